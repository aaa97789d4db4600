//go:build !race

package faults

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/client"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
)

// probe is the request that a cell of the matrix follows.
type probe struct {
	entry    *localfleet.Member
	caller   string
	client   *client.Client
	prompt   string
	received atomic.Int64
}

// step is one column of the matrix; reached reports whether the probe is at the step.
type step struct {
	name string
	// before means that the fault is injected before the probe is sent.
	before bool
	// blocked means that all targets are busy when the probe is sent.
	blocked bool
	reached func(w *testEnv, p *probe) bool
}

// requestSteps are the stages of a request, the columns of the matrix.
var requestSteps = []step{
	{name: "requesting an address", before: true},
	{name: "connecting", before: true, reached: func(w *testEnv, p *probe) bool {
		_, err := p.client.Locate(w.ctx)
		return err == nil
	}},
	{name: "waiting", blocked: true, reached: func(w *testEnv, p *probe) bool {
		status, err := p.entry.Running().Status(w.ctx)
		return err == nil && status.Waiting > 0
	}},
	{name: "dialling", reached: func(w *testEnv, p *probe) bool {
		status, err := p.entry.Running().Status(w.ctx)
		return err == nil && status.Running > 0
	}},
	{name: "first byte", reached: func(w *testEnv, p *probe) bool { return w.arrivals(p.prompt) > 0 }},
	{name: "streaming", reached: func(w *testEnv, p *probe) bool { return p.received.Load() > 100 }},
	{name: "last frame", reached: func(w *testEnv, p *probe) bool { return p.received.Load() >= probeTokens*4 }},
}

// runCell sends a probe, injects the faults at the given step and checks the invariants.
func runCell(t *testing.T, s step, faults ...fault) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	w := newTestEnv(t, ctx)
	defer w.close()
	p := w.newProbe()
	w.warmUp()
	if s.blocked {
		w.occupy()
	}
	var outcome result
	if s.before {
		if s.reached != nil && !s.reached(w, p) {
			t.Fatalf("step %q was not reached", s.name)
		}
		inject(w, p, faults)
		outcome = w.send(p)
	} else {
		ended := make(chan result, 1)
		go func() { ended <- w.send(p) }()
		w.await(s, p)
		inject(w, p, faults)
		outcome = <-ended
	}
	if mustServeAll(faults) && outcome.err != nil {
		t.Errorf("the probe was not served: %v", outcome.err)
	}
	heal(w, p, faults)
	w.checkRecovery(p.entry, w.fleet.Members[5])
	w.check()
}

// close stops the fleet and waits for abandoned dials to end.
func (w *testEnv) close() {
	w.fleet.Close()
	time.Sleep(time.Minute)
}

func inject(w *testEnv, p *probe, faults []fault) {
	for _, f := range faults {
		f.inject(w, p)
	}
}

func heal(w *testEnv, p *probe, faults []fault) {
	for _, f := range faults {
		if f.heal != nil {
			f.heal(w, p)
		}
	}
}

func mustServeAll(faults []fault) bool {
	for _, f := range faults {
		if !f.mustServe {
			return false
		}
	}
	return true
}

// newProbe returns a probe whose entry is the instance that callers of the first
// customer are directed to. Its client also has the address of an instance in another
// region.
func (w *testEnv) newProbe() *probe {
	p := &probe{caller: w.newCaller(), prompt: "probe"}
	customer := w.fleet.Spec.Customers[0]
	addresses, err := w.fleet.Client(w.newCaller(), customer, w.fleet.Members[0]).Locate(w.ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, m := range w.fleet.Members {
		if m.CallerAddr == addresses[0] {
			p.entry = m
		}
	}
	p.client = w.fleet.Client(p.caller, customer, p.entry, w.fleet.Members[4])
	return p
}

func (w *testEnv) send(p *probe) result {
	return w.generate(p.client, p.prompt, probeTokens, func(data []byte) { p.received.Add(int64(len(data))) })
}

// await waits until the step is reached. A probe that ends earlier is acceptable, since
// the fault then comes after its end.
func (w *testEnv) await(s step, p *probe) {
	for range 20_000 {
		if s.reached(w, p) {
			return
		}
		time.Sleep(pollStep)
	}
	w.t.Fatalf("step %q was not reached", s.name)
}

// warmUp waits until a fresh fleet may use its escrow, and sends requests until every
// engine is at its full limit.
func (w *testEnv) warmUp() {
	for _, e := range w.fleet.Engines {
		e.SetReady()
	}
	time.Sleep(escrowDelay)
	for round := 0; !w.allWarm(); round++ {
		if round == warmRounds {
			w.t.Fatal("the engines did not reach their limit")
		}
		var group sync.WaitGroup
		for i := range 2 * engineLimit * len(w.fleet.Engines) {
			c := w.fleet.Client(w.newCaller(), w.fleet.Spec.Customers[i%2], w.fleet.Members[i%len(w.fleet.Members)])
			group.Go(func() { w.generate(c, fmt.Sprintf("warm up %d.%d", round, i), 60, nil) })
		}
		group.Wait()
		time.Sleep(time.Second)
	}
}

// allWarm reports whether the owner of every engine uses the full limit of the engine.
func (w *testEnv) allWarm() bool {
	full := make(map[fleet.TargetID]bool)
	for _, m := range w.fleet.Members {
		status, err := m.Running().Status(w.ctx)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, row := range status.Targets {
			if row.Owner == m.ID && row.Usable >= engineLimit {
				full[row.Target] = true
			}
		}
	}
	for _, e := range w.fleet.Engines {
		if !full[e.ID] {
			return false
		}
	}
	return true
}

// occupy keeps all engines busy with requests of the other customer.
func (w *testEnv) occupy() {
	for i := range len(w.fleet.Engines) * engineLimit {
		c := w.fleet.Client(w.newCaller(), w.fleet.Spec.Customers[1], w.fleet.Members[i%len(w.fleet.Members)])
		go w.generate(c, fmt.Sprintf("occupying %d", i), 2000, nil)
	}
	time.Sleep(2 * time.Second)
}

// flood sends many requests of the other customer through every entry.
func (w *testEnv) flood(*probe) {
	for i := range 120 {
		c := w.fleet.Client(w.newCaller(), w.fleet.Spec.Customers[1], w.fleet.Members[i%len(w.fleet.Members)])
		go w.generate(c, fmt.Sprintf("flood %d", i), 40, nil)
	}
	time.Sleep(10 * time.Millisecond)
}

// drain starts the graceful stop of the entry in the background.
func (w *testEnv) drain(p *probe) {
	m := p.entry
	i := m.Running()
	go func() { _ = i.Drain(w.ctx) }()
}
