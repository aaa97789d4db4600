//go:build !race

package faults

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/client"
	"medlarwind.dev/medlarwind/internal/localfleet"
)

// callTime is how long a service takes to process one call.
const callTime = 300 * time.Millisecond

// callSteps are the stages of a non-repeatable call, as the time since it was sent.
// The call runs from about 10 ms to 310 ms.
var callSteps = []struct {
	name  string
	after time.Duration
}{
	{"non-repeatable call sent", time.Millisecond},
	{"non-repeatable call waiting", 4 * time.Millisecond},
	{"non-repeatable call running", 100 * time.Millisecond},
	{"non-repeatable call answered", callTime + 9*time.Millisecond},
}

func TestOnceCallsRunAtMostOnce(t *testing.T) {
	for _, f := range allFaults {
		for _, s := range callSteps {
			t.Run(f.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runCallCell(t, s.after, f) })
			})
		}
	}
}

// runCallCell sends a call, injects the fault and sends the call again several times
// with the same id, as a caller does that needs the answer.
func runCallCell(t *testing.T, after time.Duration, f fault) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	w := newTestEnv(t, ctx)
	defer w.close()
	p := w.newProbe()
	w.warmUp()
	for _, s := range w.fleet.Services {
		s.SetDelay(callTime)
	}
	id, err := p.client.IssueCallID(ctx)
	if err != nil {
		t.Fatal(err)
	}
	calls := &callHistory{env: w, id: id}
	first := make(chan struct{})
	go func() {
		defer close(first)
		calls.send(p.client)
	}()
	time.Sleep(after)
	f.inject(w, p)
	again := w.fleet.Client(w.newCaller(), w.fleet.Spec.Customers[0], w.fleet.Members[4])
	for range 5 {
		calls.send(again)
		time.Sleep(500 * time.Millisecond)
	}
	calls.sendElsewhere(again)
	<-first
	heal(w, p, []fault{f})
	calls.send(again)
	calls.check()
	w.checkRecovery(p.entry, w.fleet.Members[5])
	w.check()
}

// callHistory sends one call id and counts its runs.
type callHistory struct {
	env *testEnv
	id  client.CallID
}

// send sends the call under its id and checks the outcome that the caller gets against
// the runs that the services recorded.
func (h *callHistory) send(c *client.Client) {
	h.sendAt(c, h.id)
}

// sendElsewhere sends the id to every other instance. None of them may run the call,
// nor report that it did not run.
func (h *callHistory) sendElsewhere(c *client.Client) {
	for _, m := range h.env.fleet.Members {
		if m.CallerAddr == h.id.Address {
			continue
		}
		err := h.sendAt(c, client.CallID{ID: h.id.ID, Address: m.CallerAddr})
		if err == nil {
			h.env.t.Errorf("%s answered a call id of another instance", m.ID)
		}
	}
}

func (h *callHistory) sendAt(c *client.Client, id client.CallID) error {
	ctx, cancel := context.WithTimeout(h.env.ctx, 10*time.Second)
	defer cancel()
	body, err := c.CallOnce(ctx, id, string(localfleet.ServiceName), "settle", []byte("lot 7"))
	switch {
	case err == nil && string(body) != "lot 7":
		h.env.t.Errorf("the call's answer is %q", body)
	case err == nil && h.runs() != 1:
		h.env.t.Errorf("the call was answered and ran %d times", h.runs())
	case errorKind(err) == client.NotRun && h.runs() > 0:
		h.env.t.Errorf("reported as \"not run\", but the call ran: %v", err)
	}
	return err
}

func (h *callHistory) runs() int {
	runs := 0
	for _, s := range h.env.fleet.Services {
		runs += s.Runs(h.id.ID)
	}
	return runs
}

func (h *callHistory) check() {
	if runs := h.runs(); runs > 1 {
		h.env.t.Errorf("a call that may not be repeated ran %d times", runs)
	}
}

// faultPairs returns the pairs of faults that are injected together, each fault from
// another part of the system.
func faultPairs() [][2]fault {
	names := []string{
		"entry restarted without state",
		"other instance of the data centre killed",
		"region partitioned from the others",
		"one-way loss from the entry to its peers",
		"connections between entry and targets drop all packets",
		"every target of the data centre crashes",
		"every target turns cold without warning",
		"platform down",
		"entry removed from the list while running",
		"data centre taken out of service",
		"flood by another customer",
		"graceful stop of the entry",
	}
	var chosen []fault
	for _, f := range allFaults {
		for _, name := range names {
			if f.name == name {
				chosen = append(chosen, f)
			}
		}
	}
	var pairs [][2]fault
	for i := range chosen {
		for j := i + 1; j < len(chosen); j++ {
			pairs = append(pairs, [2]fault{chosen[i], chosen[j]})
		}
	}
	return pairs
}

func TestPairsOfFaults(t *testing.T) {
	for _, pair := range faultPairs() {
		for _, s := range []step{requestSteps[2], requestSteps[5]} {
			t.Run(fmt.Sprintf("%s+%s/%s", pair[0].name, pair[1].name, s.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runCell(t, s, pair[0], pair[1]) })
			})
		}
	}
}
