package limit

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// soleLedger returns the ledger of the only instance of a fleet, which holds all units of
// target "t", and the current time.
func soleLedger(limit, cold int) (*Ledger, time.Time) {
	now := time.Unix(1000, 0)
	l := New("a", 1, DefaultParams(), now)
	for range 60 {
		now = now.Add(250 * time.Millisecond)
		l.SetMembers([]fleet.ListedInstance{{ID: "a", DataCentre: "d", State: fleet.StateLive}}, nil, now)
		l.SetTargets([]Target{{ID: "t", DataCentre: "d", Limit: limit, ColdLimit: cold}}, now)
		l.Report("t", fleet.LoadReport{BootID: "1", State: fleet.TargetReady, Completed: 1000}, now, now)
	}
	return l, now
}

func TestLimitInForce(t *testing.T) {
	ready := fleet.LoadReport{BootID: "1", State: fleet.TargetReady, Completed: 1000}
	with := func(change func(r *fleet.LoadReport)) []fleet.LoadReport {
		r := ready
		change(&r)
		return []fleet.LoadReport{r}
	}
	tests := []struct {
		name    string
		reports []fleet.LoadReport
		want    int
	}{
		{"ready", []fleet.LoadReport{ready}, 16},
		{"cold", with(func(r *fleet.LoadReport) { r.State = fleet.TargetCold }), 2},
		{"leaving", with(func(r *fleet.LoadReport) { r.State = fleet.TargetLeaving }), 0},
		{"no state", with(func(r *fleet.LoadReport) { r.State = "" }), 2},
		{"new boot", with(func(r *fleet.LoadReport) { r.BootID, r.Completed = "2", 0 }), 2},
		{"warming", with(func(r *fleet.LoadReport) { r.BootID, r.Completed = "2", 6 }), 8},
		{"queueing", with(func(r *fleet.LoadReport) { r.Waiting = 2 }), 12},
		{"foreign work", with(func(r *fleet.LoadReport) { r.Running = 3 }), 13},
		{"cold again, then ready", []fleet.LoadReport{
			{BootID: "1", State: fleet.TargetCold, Completed: 1000}, {BootID: "1", State: fleet.TargetReady, Completed: 1002},
		}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, now := soleLedger(16, 2)
			for _, r := range test.reports {
				now = now.Add(100 * time.Millisecond)
				l.Report("t", r, now, now)
			}
			l.Report("t", ready, now.Add(-time.Millisecond), now)
			if got := l.Available("t", now); got != test.want {
				t.Errorf("Available = %d, want %d: %+v", got, test.want, l.State("t"))
			}
		})
	}
}

func TestBrokenTargetIsColdUntilItReports(t *testing.T) {
	l, now := soleLedger(16, 2)
	l.MarkBroken("t", now)
	report := fleet.LoadReport{BootID: "1", State: fleet.TargetReady, Completed: 1000, AgeMillis: 100}
	for _, want := range []int{2, 16} {
		now = now.Add(50 * time.Millisecond)
		l.Report("t", report, now, now)
		if got := l.Available("t", now); got != want {
			t.Errorf("Available = %d, want %d", got, want)
		}
		now = now.Add(50 * time.Millisecond)
	}
}

func TestColdLimitOfOne(t *testing.T) {
	l, now := soleLedger(8, 1)
	l.Report("t", fleet.LoadReport{BootID: "2", State: fleet.TargetCold}, now.Add(1), now.Add(1))
	g, ok := l.Grant("t", "a", "c", fleet.Workload{Model: "m"}, now)
	if _, again := l.Grant("t", "a", "c", fleet.Workload{Model: "m"}, now); !ok || again {
		t.Fatalf("first grant %v, second %v, want only the first", ok, again)
	}
	permit, err := l.GrantSelf(&g, now)
	if err != nil || !l.Use(&permit, now) || l.Available("t", now) != 0 {
		t.Fatalf("own grant not usable or not counted: %v", err)
	}
	l.Done(&permit, now)
	l.Done(&permit, now)
	if got := l.Available("t", now); got != 1 {
		t.Errorf("Available after two calls of Done = %d, want 1", got)
	}
}

func TestReceiveGrant(t *testing.T) {
	base := wire.Grant{Incarnation: 7, Seq: 2, EchoIncarnation: 1, EchoSeq: 1, Target: "t"}
	with := func(change func(g *wire.Grant)) wire.Grant {
		g := base
		change(&g)
		return g
	}
	tests := []struct {
		name     string
		grant    wire.Grant
		after    time.Duration
		want     error
		received uint64
	}{
		{"in time", base, 900 * time.Millisecond, nil, 1},
		{"too late", base, time.Second, ErrExpired, 2},
		{"unknown echo", with(func(g *wire.Grant) { g.EchoSeq = 9 }), 0, ErrExpired, 2},
		{"repeated", with(func(g *wire.Grant) { g.Seq = 1 }), 0, ErrDuplicate, 1},
		{"for a former incarnation", with(func(g *wire.Grant) { g.EchoIncarnation = 5 }), 0, ErrStaleIncarnation, 1},
		{"from another incarnation", with(func(g *wire.Grant) { g.Incarnation = 5 }), 0, ErrStaleIncarnation, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := New("a", 1, DefaultParams(), now)
			var hb wire.Heartbeat
			l.FillHeartbeat("b", &hb, now)
			l.ReceiveHeartbeat("b", &wire.Heartbeat{Incarnation: 7, Seq: 1, EchoSeq: 1, EchoIncarnation: 1}, now)
			first := with(func(g *wire.Grant) { g.Seq = 1 })
			if permit, err := l.ReceiveGrant("b", &first, now); err == nil {
				l.Done(&permit, now)
			}
			now = now.Add(test.after)
			permit, err := l.ReceiveGrant("b", &test.grant, now)
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if l.Use(&permit, now) != (err == nil) || l.Use(&permit, now.Add(time.Second)) {
				t.Error("Use succeeded without a valid permit, or failed with one")
			}
		})
	}
}

// TestDrainResolvesUnderLoad guards against uncertain work that occupies units forever
// under steady load. The time allowed is that in which a single uncertain unit starts a
// drain.
func TestDrainResolvesUnderLoad(t *testing.T) {
	const limit = 16
	s := newSim(1, 2, []Target{{ID: "t", DataCentre: "d", Limit: limit, ColdLimit: 2}})
	s.steady = true
	s.begin(2*time.Second, 2*time.Second)
	s.runPlan([]simFault{{kind: faultIsolate, lasts: 3 * time.Second}})
	uncertain := func() int {
		return max(s.nodes[0].ledger.State("t").Unresolved, s.nodes[1].ledger.State("t").Unresolved)
	}
	if uncertain() == 0 {
		t.Fatal("no uncertain work after the isolation")
	}
	s.run(2*minBlockedTime*limit + maxDrainTime)
	if got := uncertain(); got != 0 {
		t.Errorf("%d units still uncertain", got)
	}
}
