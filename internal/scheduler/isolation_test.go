package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/feature"
)

// admitMixed admits requests of which one in 20 has a prefill that holds streams up, and returns how many long and
// other requests each engine got.
func (ts *testScheduler) admitMixed(t *testing.T, n int) (long, others map[string]int) {
	long, others = make(map[string]int), make(map[string]int)
	for i := range n {
		j := ts.job("customer", "part", 2000)
		service, _ := ts.catalog.Service("lm")
		j.Parts, j.Service = nil, service
		route := *j.Route
		route.GapSLO = 400 * time.Millisecond
		j.Route = &route
		if i%20 == 0 {
			j.Prompt = 40_000
		}
		p, err := ts.admit(t.Context(), j)
		if err != nil {
			t.Fatal(err)
		}
		if j.Prompt == 40_000 {
			long[string(p.Target.ID)]++
		} else {
			others[string(p.Target.ID)]++
		}
		p.PrefillDone()
		p.End(Completed)
		time.Sleep(20 * time.Millisecond)
		ts.Tick()
	}
	return long, others
}

// One request in 20 with a long prompt must not run beside the streams of all engines. On deployments whose
// engines do not fetch prefixes, and where it is switched off, nothing changes.
func TestLongPrefillsAreKeptApart(t *testing.T) {
	for _, test := range []struct {
		name        string
		service     catalog.Service
		off         bool
		wantIsolate bool
	}{{"fetches", fetching, false, true}, {"no fetches", engines, false, false}, {"switched off", fetching, true, false}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestScheduler(12)
				if test.off {
					ts.options.Features, _ = feature.Without(string(feature.PrefillIsolation))
				}
				ts.useService(test.service)
				ts.admitMixed(t, 300)
				before := ts.IsolationCounters()
				long, others := ts.admitMixed(t, 300)
				shared := 0
				for id := range long {
					if others[id] > 0 {
						shared++
					}
				}
				c := ts.IsolationCounters()
				if test.wantIsolate && (shared > 0 || c.LongSetAside-before.LongSetAside != 15) {
					t.Errorf("%d engines have long prefills and other requests, counters %+v, want none and 15 set aside", shared, c)
				}
				if !test.wantIsolate && c.LongSetAside > 0 {
					t.Errorf("counters %+v, want nothing set aside", c)
				}
				if changes := ts.TakeIsolationChanges(); test.wantIsolate != (len(changes) > 0) || len(changes) > 2 {
					t.Errorf("changes %+v", changes)
				}
			})
		})
	}
}

// Engines that are set aside must not idle while the others have no room, nor the other way round.
func TestIsolationGivesWayToLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(12)
		ts.useService(fetching)
		ts.admitMixed(t, 300)
		before := ts.IsolationCounters()
		for range 200 {
			j := ts.job("customer", "part", 12_000)
			j.Parts, j.Service = nil, &fetching
			if _, err := ts.admit(t.Context(), j); err != nil {
				break
			}
		}
		if c := ts.IsolationCounters(); c.OthersSetAside == before.OthersSetAside {
			t.Errorf("counters %+v: none of 200 requests at once used an engine that is set aside", c)
		}
	})
}
