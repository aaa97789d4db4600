package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// onceModel drives a registry and counts, for each id, the runs that may have had an
// effect.
type onceModel struct {
	registry *onceRegistry
	now      time.Time
	ids      []callID
	owners   map[callID]fleet.CustomerID
	running  map[callID]*onceRun
	effects  map[callID]int
}

func newOnceModel() *onceModel {
	return &onceModel{
		registry: newOnceRegistry(7, time.Minute, 20, 10, 1000),
		now:      time.Unix(0, 0),
		owners:   map[callID]fleet.CustomerID{},
		running:  map[callID]*onceRun{},
		effects:  map[callID]int{},
	}
}

func (m *onceModel) issue(t *rapid.T) {
	customer := rapid.SampledFrom([]fleet.CustomerID{"mill-a", "mill-b"}).Draw(t, "customer")
	id, ok := m.registry.issue(customer, rapid.Uint64().Draw(t, "random"), m.now)
	if !ok {
		return
	}
	m.ids = append(m.ids, id)
	m.owners[id] = customer
}

func (m *onceModel) begin(t *rapid.T) {
	if len(m.ids) == 0 {
		return
	}
	id := rapid.SampledFrom(m.ids).Draw(t, "id")
	customer := rapid.SampledFrom([]fleet.CustomerID{"mill-a", "mill-b"}).Draw(t, "caller")
	run, start, outcome := m.registry.begin(id, customer, [32]byte{}, m.now)
	if start && customer != m.owners[id] {
		t.Fatal("begin started a call under the id of another customer")
	}
	if start && m.running[id] != nil {
		t.Fatal("begin started a call that is already running")
	}
	if start {
		m.running[id] = run
		m.effects[id]++
	}
	if !start && outcome == nil && run == nil {
		t.Fatal("begin returned neither a run nor an outcome")
	}
}

func (m *onceModel) end(t *rapid.T) {
	for _, id := range m.ids {
		run := m.running[id]
		if run == nil {
			continue
		}
		outcomes := []*OutcomeError{nil, {Kind: NotRun}, {Kind: Unknown}, {Kind: Failed}}
		outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
		if outcome != nil && outcome.Kind == NotRun {
			m.effects[id]--
		}
		m.registry.end(run, []byte("answer"), outcome)
		delete(m.running, id)
		return
	}
}

// A non-repeatable call must never have its effect twice, whatever the order of sends,
// results and expiry.
func TestOnceRegistryRunsEachIDAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOnceModel()
		t.Repeat(map[string]func(*rapid.T){
			"issue": m.issue,
			"begin": m.begin,
			"end":   m.end,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				for id, n := range m.effects {
					if n > 1 {
						t.Fatalf("call %s ran %d times, want at most once", id, n)
					}
				}
			},
		})
	})
}

// An id that this incarnation does not hold must give an unknown outcome: its call may
// have run elsewhere, so NotRun would invite the caller to run it twice.
func TestOnceRegistryRefusesUnknownIDs(t *testing.T) {
	registry := newOnceRegistry(7, time.Minute, 20, 10, 1000)
	now := time.Unix(0, 0)
	tests := map[string]struct {
		id   callID
		want string
	}{
		"other incarnation": {callID{incarnation: 8, serial: 1}, ReasonCallIDOtherInstance},
		"guessed":           {callID{incarnation: 7, serial: 1}, ReasonCallIDNotHeld},
	}
	for name, test := range tests {
		_, start, outcome := registry.begin(test.id, "mill-a", [32]byte{}, now)
		if start || outcome == nil || outcome.Kind != Unknown || outcome.Reason != test.want {
			t.Errorf("%s: start=%v outcome=%v, want an unknown outcome with reason %s", name, start, outcome, test.want)
		}
	}
}

func TestCallIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := callID{
			incarnation: fleet.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			serial:      rapid.Uint64().Draw(t, "serial"),
			random:      rapid.Uint64().Draw(t, "random"),
		}
		got, err := parseCallID(id.String())
		if err != nil || got != id {
			t.Fatalf("parseCallID(%s) = %v, %v", id, got, err)
		}
	})
}
