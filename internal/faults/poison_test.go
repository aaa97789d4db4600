//go:build !race

package faults

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/quarantine"
)

// poisonFaults are the faults that are injected while a request crashes targets.
var poisonFaults = []string{
	"none",
	"other instance of the data centre killed",
	"entry restarted without state",
	"platform down",
	"connections between entry and peers drop all packets",
	"every target turns cold without warning",
	"slow links",
}

// TestRequestThatCrashesTargets guards against one request taking down many targets. It
// repeatedly sends a request that crashes every target that runs it through all
// entries, beside innocent requests.
func TestRequestThatCrashesTargets(t *testing.T) {
	for _, f := range allFaults {
		for _, name := range poisonFaults {
			if f.name != name {
				continue
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runPoison(t, f) })
			})
		}
	}
}

func runPoison(t *testing.T, f fault) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	w := newTestEnv(t, ctx)
	defer w.close()
	p := w.newProbe()
	w.warmUp()
	for _, e := range w.fleet.Engines {
		e.CrashOn("poison")
	}
	load := w.startLoad()
	f.inject(w, p)
	for round := range 12 {
		c := w.fleet.Client(w.newCaller(), w.fleet.Spec.Customers[1], w.fleet.Members[(2+round)%6], w.fleet.Members[2])
		r := w.generate(c, "poison", 40, nil)
		if r.err == nil {
			t.Fatal("a request that crashes every target was answered")
		}
		time.Sleep(300 * time.Millisecond)
	}
	heal(w, p, []fault{f})
	load.stop()
	crashes := 0
	for _, e := range w.fleet.Engines {
		crashes += e.Peak().Crashes - e.Peak().ColdOverloads
	}
	if crashes > quarantine.MaxCrashedTargets {
		t.Errorf("one request crashed %d targets, want at most %d", crashes, quarantine.MaxCrashedTargets)
	}
	w.checkInnocentRequests()
	w.checkRecovery(w.fleet.Members[2], w.fleet.Members[5])
	w.check()
}

// checkInnocentRequests checks that no other request was refused for crashing targets.
func (w *testEnv) checkInnocentRequests() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.results {
		if r.prompt != "poison" && r.err != nil && errorReason(r.err) == "crashes_targets" {
			w.t.Errorf("%s: an innocent request was refused: %v", r.prompt, r.err)
		}
	}
}
