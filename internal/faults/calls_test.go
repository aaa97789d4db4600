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

// callTime is how long a service takes for one call.
const callTime = 300 * time.Millisecond

// stepsOfCall are the moments of a call that may not be repeated, as the time from
// sending it; the call runs from about 10 ms to 310 ms.
var stepsOfCall = []struct {
	name  string
	after time.Duration
}{
	{"once-call sent", time.Millisecond},
	{"once-call waiting", 4 * time.Millisecond},
	{"once-call running", 100 * time.Millisecond},
	{"once-call answered", callTime + 9*time.Millisecond},
}

func TestOnceCallsRunAtMostOnce(t *testing.T) {
	for _, f := range faultsOfBrief {
		for _, s := range stepsOfCall {
			t.Run(f.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runCallCell(t, s.after, f) })
			})
		}
	}
}

// runCallCell sends a call, brings the fault about, and sends the call again and
// again with its id, as a caller does that wants an answer.
func runCallCell(t *testing.T, after time.Duration, f fault) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	w := newWorld(t, ctx)
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
	calls := &callHistory{world: w, id: id}
	first := make(chan struct{})
	go func() {
		defer close(first)
		calls.send(p.client)
	}()
	time.Sleep(after)
	f.inject(w, p)
	again := w.fleet.Client(w.caller(), w.fleet.Spec.Customers[0], w.fleet.Members[4])
	for range 5 {
		calls.send(again)
		time.Sleep(500 * time.Millisecond)
	}
	calls.sendElsewhere(again)
	<-first
	heal(w, p, []fault{f})
	calls.send(again)
	calls.check()
	w.recovers(p.entry, w.fleet.Members[5])
	w.check()
}

// callHistory follows one call id.
type callHistory struct {
	world *world
	id    client.CallID
}

// send runs the call under its id and checks what the caller is told against what
// the services saw.
func (h *callHistory) send(c *client.Client) {
	h.sendAt(c, h.id)
}

// sendElsewhere uses the id at every other instance, none of which may run it or
// claim that it did not run.
func (h *callHistory) sendElsewhere(c *client.Client) {
	for _, m := range h.world.fleet.Members {
		if m.CallerAddr == h.id.Address {
			continue
		}
		err := h.sendAt(c, client.CallID{ID: h.id.ID, Address: m.CallerAddr})
		if err == nil {
			h.world.t.Errorf("%s answered a call id of another instance", m.ID)
		}
	}
}

func (h *callHistory) sendAt(c *client.Client, id client.CallID) error {
	ctx, cancel := context.WithTimeout(h.world.ctx, 10*time.Second)
	defer cancel()
	body, err := c.CallOnce(ctx, id, string(localfleet.ServiceName), "settle", []byte("lot 7"))
	switch {
	case err == nil && string(body) != "lot 7":
		h.world.t.Errorf("the call's answer is %q", body)
	case err == nil && h.runs() != 1:
		h.world.t.Errorf("the call was answered and ran %d times", h.runs())
	case kindOf(err) == client.NotRun && h.runs() > 0:
		h.world.t.Errorf("told \"not run\", but the call ran: %v", err)
	}
	return err
}

func (h *callHistory) runs() int {
	runs := 0
	for _, s := range h.world.fleet.Services {
		runs += s.Runs(h.id.ID)
	}
	return runs
}

func (h *callHistory) check() {
	if runs := h.runs(); runs > 1 {
		h.world.t.Errorf("a call that may not be repeated ran %d times", runs)
	}
}

// pairsOfFaults are faults that come together, each from another part of the
// system.
func pairsOfFaults() [][2]fault {
	names := []string{
		"entry restarted with nothing",
		"other instance of the data centre killed",
		"region cut off",
		"one-way loss from the entry to its peers",
		"connections between entry and targets go silent",
		"every target of the data centre crashes",
		"every target turns cold without warning",
		"platform down",
		"list drops the entry while it lives",
		"data centre taken out",
		"flood by another customer",
		"planned stop of the entry",
	}
	var chosen []fault
	for _, f := range faultsOfBrief {
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
	for _, pair := range pairsOfFaults() {
		for _, s := range []step{stepsOfRequest[2], stepsOfRequest[5]} {
			t.Run(fmt.Sprintf("%s+%s/%s", pair[0].name, pair[1].name, s.name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runCell(t, s, pair[0], pair[1]) })
			})
		}
	}
}
