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

// probe is the request that a cell follows.
type probe struct {
	entry  *localfleet.Member
	caller string
	client *client.Client
	prompt string
	seen   atomic.Int64
}

// step is one column of the matrix: reached returns once the probe is there.
type step struct {
	name string
	// before says that the fault comes before the probe is sent.
	before bool
	// blocked says that all targets are busy when the probe is sent.
	blocked bool
	reached func(w *world, p *probe) bool
}

// stepsOfRequest are the columns of a request's life.
var stepsOfRequest = []step{
	{name: "asking for an address", before: true},
	{name: "connecting", before: true, reached: func(w *world, p *probe) bool {
		_, err := p.client.Locate(w.ctx)
		return err == nil
	}},
	{name: "waiting", blocked: true, reached: func(w *world, p *probe) bool {
		status, err := p.entry.Running().Status(w.ctx)
		return err == nil && status.Waiting > 0
	}},
	{name: "dialling", reached: func(w *world, p *probe) bool {
		status, err := p.entry.Running().Status(w.ctx)
		return err == nil && status.Running > 0
	}},
	{name: "first byte", reached: func(w *world, p *probe) bool { return w.arrivals(p.prompt) > 0 }},
	{name: "streaming", reached: func(w *world, p *probe) bool { return p.seen.Load() > 100 }},
	{name: "last frame", reached: func(w *world, p *probe) bool { return p.seen.Load() >= probeTokens*4 }},
}

// runCell follows one probe to a step, brings the faults about, and checks.
func runCell(t *testing.T, s step, faults ...fault) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	w := newWorld(t, ctx)
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
	if mustServe(faults) && outcome.err != nil {
		t.Errorf("the probe was not served: %v", outcome.err)
	}
	heal(w, p, faults)
	w.recovers(p.entry, w.fleet.Members[5])
	w.check()
}

// close stops everything and outlasts dials that nobody waits for any more.
func (w *world) close() {
	w.fleet.Close()
	time.Sleep(time.Minute)
}

func inject(w *world, p *probe, faults []fault) {
	for _, f := range faults {
		f.inject(w, p)
	}
}

func heal(w *world, p *probe, faults []fault) {
	for _, f := range faults {
		if f.heal != nil {
			f.heal(w, p)
		}
	}
}

func mustServe(faults []fault) bool {
	for _, f := range faults {
		if !f.serves {
			return false
		}
	}
	return true
}

// newProbe makes the instance that callers of the first customer are sent to the
// entry; its caller also knows one instance of another region.
func (w *world) newProbe() *probe {
	p := &probe{caller: w.caller(), prompt: "probe"}
	customer := w.fleet.Spec.Customers[0]
	addresses, err := w.fleet.Client(w.caller(), customer, w.fleet.Members[0]).Locate(w.ctx)
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

func (w *world) send(p *probe) result {
	return w.generate(p.client, p.prompt, probeTokens, func(data []byte) { p.seen.Add(int64(len(data))) })
}

// await waits for the step; a probe that ends before is fine, since then the fault
// comes after its end.
func (w *world) await(s step, p *probe) {
	for range 20_000 {
		if s.reached(w, p) {
			return
		}
		time.Sleep(pollStep)
	}
	w.t.Fatalf("step %q was not reached", s.name)
}

// warmUp waits until the escrow of a fresh fleet may be used, and sends requests
// until every engine is at its whole limit.
func (w *world) warmUp() {
	for _, e := range w.fleet.Engines {
		e.SetReady()
	}
	time.Sleep(startTime)
	for round := 0; !w.warm(); round++ {
		if round == warmRounds {
			w.t.Fatal("the engines do not reach their limit")
		}
		var group sync.WaitGroup
		for i := range 2 * engineLimit * len(w.fleet.Engines) {
			c := w.fleet.Client(w.caller(), w.fleet.Spec.Customers[i%2], w.fleet.Members[i%len(w.fleet.Members)])
			group.Go(func() { w.generate(c, fmt.Sprintf("warm up %d.%d", round, i), 60, nil) })
		}
		group.Wait()
		time.Sleep(time.Second)
	}
}

// warm reports whether the owners have every engine at its whole limit.
func (w *world) warm() bool {
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

// occupy keeps all engines busy with the other customer's requests.
func (w *world) occupy() {
	for i := range len(w.fleet.Engines) * engineLimit {
		c := w.fleet.Client(w.caller(), w.fleet.Spec.Customers[1], w.fleet.Members[i%len(w.fleet.Members)])
		go w.generate(c, fmt.Sprintf("occupying %d", i), 2000, nil)
	}
	time.Sleep(2 * time.Second)
}

// flood sends many requests of the other customer through every entry.
func (w *world) flood(*probe) {
	for i := range 120 {
		c := w.fleet.Client(w.caller(), w.fleet.Spec.Customers[1], w.fleet.Members[i%len(w.fleet.Members)])
		go w.generate(c, fmt.Sprintf("flood %d", i), 40, nil)
	}
	time.Sleep(10 * time.Millisecond)
}

// drain begins the planned stop of the entry in the background.
func (w *world) drain(p *probe) {
	m := p.entry
	i := m.Running()
	go func() { _ = i.Drain(w.ctx) }()
}
