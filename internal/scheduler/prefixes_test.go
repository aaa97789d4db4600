package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/wire"
)

// fetching is a service of which the engines transfer a token in a tenth of the time in which they
// prefill it.
var fetching = catalog.Service{
	ID: "lm", ColdPeriod: 3 * time.Second, ColdRate: 13,
	Engine: &catalog.Engine{Slots: 64, MemoryTokens: 500000, TokenBytes: 35136, LinkMbps: 260000},
}

// newFetchScheduler returns a scheduler with the service fetching and four engines.
func newFetchScheduler() *testScheduler {
	ts := newTestScheduler(4)
	ts.useService(fetching)
	return ts
}

func (ts *testScheduler) useService(s catalog.Service) {
	ts.SetCatalog(catalog.New(catalog.Config{Version: 1, Services: []catalog.Service{s}, Limits: catalog.Limits{TokensPerSecond: 430000}}))
}

// startOn starts a request of 12,000 tokens, of which 6,000 are a shared part, on an engine.
func (ts *testScheduler) startOn(id fleet.TargetID, service *catalog.Service, change func(*Job)) *Placement {
	j := ts.job("customer", "part", 12000)
	j.Service = service
	if change != nil {
		change(j)
	}
	j.prepare()
	list := ts.targetListFor(j, ts.now())
	target := &list.targets[list.index[id]]
	c := ts.candidate(j, target, placement.MaxRank, ts.now())
	return ts.start(j, target, c, placement.Choice{}, ts.now())
}

// keepOn lets an engine prefill the shared part.
func (ts *testScheduler) keepOn(id fleet.TargetID) {
	p := ts.startOn(id, &fetching, nil)
	time.Sleep(200 * time.Millisecond)
	p.PrefillDone()
	p.End(Completed)
}

// A second engine that gets a request with a long part must name the engine that keeps the part, or it
// prefills the part again. What it fetches is no work that is to be done there.
func TestSecondEngineFetchesPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newFetchScheduler()
		reading := ts.startOn("e0", &fetching, nil)
		if p := ts.startOn("e1", &fetching, nil); p.Fetch != nil {
			t.Error("an engine that still prefills the part is named as its source")
		}
		time.Sleep(200 * time.Millisecond)
		reading.PrefillDone()
		p := ts.startOn("e2", &fetching, nil)
		if p.Fetch.Addr() != "10.0.0.0:80" || p.Fetch.Tokens != 6000 {
			t.Fatalf("fetch %+v, want 6000 tokens from e0", p.Fetch)
		}
		if load := ts.target("e2").ownLoad; load.Unread != 6000 || load.Memory != 6200 {
			t.Errorf("load %+v, want the request's own 6000 tokens and 200 of its output", load)
		}
		if c := ts.PrefixCounters(); c.Fetches != 1 || c.FetchedTokens != 6000 {
			t.Errorf("counters %+v, want one fetch of 6000 tokens", c)
		}
		if p := ts.startOn("e0", &fetching, nil); p.Fetch != nil {
			t.Error("an engine that keeps the part fetches it")
		}
	})
}

// A source that cannot serve the transfer, or that route and customer do not allow, must not be named.
func TestUnfitEngineIsNoSource(t *testing.T) {
	for name, harm := range map[string]func(*testScheduler, *Job){
		"leaving": func(ts *testScheduler, _ *Job) {
			ts.inventory.MarkLeaving("e0", 1, ts.now())
			ts.invalidateTargetLists()
		},
		"gone": func(ts *testScheduler, _ *Job) { ts.SetTargets(engineList(4)[1:], nil) },
		"restarted": func(ts *testScheduler, _ *Job) {
			list := engineList(4)
			list[0].StartMillis++
			ts.SetTargets(list, nil)
		},
		"evacuated": func(ts *testScheduler, _ *Job) {
			list := engineList(4)
			list[0].DataCentre = "b"
			ts.SetTargets(list, []fleet.DataCentreID{"b"})
		},
		"cold":    func(ts *testScheduler, _ *Job) { ts.inventory.MarkBroken("e0", time.Minute, ts.now()) },
		"failing": func(ts *testScheduler, _ *Job) { ts.target("e0").avoidUntil = ts.now().Add(time.Second) },
		"pausing": func(ts *testScheduler, _ *Job) { ts.target("e0").pause = pause{1, ts.now().Add(time.Second)} },
		"in another region": func(ts *testScheduler, j *Job) {
			list := engineList(4)
			list[0].DataCentre = "b"
			ts.SetTargets(list, nil)
			j.AnyRegion, j.Regions = false, []fleet.RegionID{"ra"}
		},
		"tried before": func(_ *testScheduler, j *Job) { j.Exclude("e0") },
		"of doubtful cache": func(ts *testScheduler, j *Job) {
			for range 3 {
				ts.prefixes.index.EndFetch("e0", 1, 0, true, ts.now())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newFetchScheduler()
				ts.keepOn("e0")
				if p := ts.startOn("e1", &fetching, nil); p.Fetch == nil {
					t.Fatal("a sound engine is not named")
				}
				if p := ts.startOn("e2", &fetching, func(j *Job) { harm(ts, j) }); p.Fetch != nil {
					t.Errorf("fetch %+v, want none", p.Fetch)
				}
			})
		})
	}
}

// Deployments whose sizes are not known, or where a transfer saves little, and instances with the part
// switched off, must be served as before.
func TestFetchesOnlyWhereTheyPay(t *testing.T) {
	slow, unknown := fetching, fetching
	// Half of the time to prefill a token at the speed that is assumed first.
	slow.Engine = &catalog.Engine{Slots: 64, MemoryTokens: 500000, TokenBytes: 35136, LinkMbps: 31000}
	unknown.Engine = &catalog.Engine{Slots: 64, MemoryTokens: 500000, TokenBytes: 35136}
	off, err := feature.Without("prefix-fetch")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		service catalog.Service
		set     feature.Set
		want    bool
	}{
		"fast link": {fetching, feature.Set{}, true}, "slow link": {slow, feature.Set{}, false},
		"unknown link": {unknown, feature.Set{}, false}, "switched off": {fetching, off, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			ts := newFetchScheduler()
			ts.options.Features = c.set
			ts.useService(c.service)
			p := ts.startOn("e0", &c.service, nil)
			time.Sleep(200 * time.Millisecond)
			p.PrefillDone()
			if p := ts.startOn("e1", &c.service, nil); (p.Fetch != nil) != c.want {
				t.Errorf("%s: fetch %+v, want one: %v", name, p.Fetch, c.want)
			}
			var hb wire.Heartbeat
			ts.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
			if (len(hb.KeptPrefixes) > 0) != c.want {
				t.Errorf("%s: %d prefixes in the heartbeat, want some: %v", name, len(hb.KeptPrefixes), c.want)
			}
		})
	}
}

// What one instance's requests leave in a cache must be known to those of another data centre, over
// the relays of both, once for each change, and nothing of a start that is over.
func TestRelaysPassPrefixesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var nodes [4]*testScheduler
		hellos := [4]wire.Hello{{Instance: "a1", DataCentre: "a"}, {Instance: "ra", DataCentre: "a"}, {Instance: "rb", DataCentre: "b"}, {Instance: "b1", DataCentre: "b"}}
		for i := range nodes {
			nodes[i] = newFetchScheduler()
			nodes[i].options.DataCentre = hellos[i].DataCentre
		}
		tell := func(from, to int, scope wire.Scope) int {
			time.Sleep(200 * time.Millisecond)
			var hb wire.Heartbeat
			nodes[from].FillHeartbeat(&hb, hellos[to].Instance, scope)
			nodes[to].HandleHeartbeat(hellos[from], &hb)
			return len(hb.KeptPrefixes)
		}
		nodes[0].keepOn("e0")
		told := []int{
			tell(0, 1, wire.ScopeOwn), tell(1, 2, wire.ScopeDataCentre), tell(2, 3, wire.ScopeRest),
			tell(2, 1, wire.ScopeDataCentre), tell(1, 0, wire.ScopeRest), tell(0, 1, wire.ScopeOwn), tell(1, 2, wire.ScopeDataCentre),
		}
		if fmt.Sprint(told) != "[1 1 1 0 0 0 0]" {
			t.Errorf("numbers of prefixes in the heartbeats: %v, want one on the way and none back or again", told)
		}
		p := nodes[3].startOn("e1", &fetching, nil)
		if p.Fetch.Addr() != "10.0.0.0:80" || p.Fetch.Age < 600*time.Millisecond {
			t.Fatalf("fetch %+v, want one from e0 with a belief of 600 ms or more", p.Fetch)
		}
		restarted := engineList(4)
		restarted[0].StartMillis++
		nodes[3].SetTargets(restarted, nil)
		var hb wire.Heartbeat
		nodes[0].FillHeartbeat(&hb, "new", wire.ScopeOwn)
		nodes[3].HandleHeartbeat(wire.Hello{Instance: "a1", DataCentre: "a", Incarnation: 2}, &hb)
		if p := nodes[3].startOn("e2", &fetching, nil); p.Fetch.Addr() == "10.0.0.0:80" {
			t.Error("an engine is named for what its former start kept")
		}
	})
}

// placeLong admits a request of 12,000 tokens, of which 6,000 are a shared part.
func (ts *testScheduler) placeLong(t *testing.T) *Placement {
	t.Helper()
	j := ts.job("customer", "part", 12000)
	j.Service = &fetching
	p, err := ts.admit(t.Context(), j)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Two requests for one part at the same moment must have it prefilled once.
func TestPartIsPrefilledOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newFetchScheduler()
		first, second := ts.placeLong(t), ts.placeLong(t)
		if first.Rank != 0 || second.Target.ID != first.Target.ID || second.Cached != 6000 {
			t.Fatalf("the first request went to rank %d, the second to %s with %d tokens cached, want both to the home %s",
				first.Rank, second.Target.ID, second.Cached, first.Target.ID)
		}
	})
}

// Once a part is cached, a busy home must not hold work that another engine could do after a transfer.
func TestHotPartSpreadsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newFetchScheduler()
		first, second := ts.placeLong(t), ts.placeLong(t)
		time.Sleep(300 * time.Millisecond)
		first.PrefillDone()
		second.PrefillDone()
		var away []*Placement
		for range 6 {
			if p := ts.placeLong(t); p.Target.ID != first.Target.ID {
				away = append(away, p)
			} else if p.Fetch != nil || p.Cached != 6000 {
				t.Errorf("the home fetches %+v and has %d tokens cached, want 6000 of its own", p.Fetch, p.Cached)
			}
		}
		if len(away) == 0 {
			t.Fatal("six requests at once queue at the home")
		}
		for _, p := range away {
			if p.Fetch.Addr() != first.Target.Addr {
				t.Errorf("the request at %s fetches %+v, want a fetch from the home", p.Target.ID, p.Fetch)
			}
		}
	})
}

// Work must return to a home that is idle again, or the copies of a part only grow in number.
func TestWorkReturnsToIdleHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newFetchScheduler()
		for _, e := range engineList(4) {
			ts.keepOn(e.ID)
		}
		for range 5 {
			p := ts.placeLong(t)
			if p.Rank != 0 {
				t.Errorf("a request went to rank %d while the home was idle", p.Rank)
			}
			time.Sleep(100 * time.Millisecond)
			p.PrefillDone()
			p.End(Completed)
		}
	})
}

// A home that lost its cache, as after a restart, must get the part by a fetch, and what it has to
// prefill otherwise must count as work there.
func TestHomeIsNotBelievedToKeepWhatItLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newFetchScheduler()
		home := ts.placeLong(t)
		if load := ts.target(home.Target.ID).ownLoad; load.Unread != 12000 {
			t.Errorf("%d tokens count as to be prefilled at a home that keeps nothing, want 12000", load.Unread)
		}
		home.PrefillDone()
		home.End(Completed)
		for _, e := range engineList(4) {
			ts.keepOn(e.ID)
		}
		ts.prefixes.index.Drop(home.Target.ID, 1, home.job.longPrefixes[0].hash, ts.now())
		p := ts.startOn(home.Target.ID, &fetching, nil)
		if p.Fetch == nil || p.Cached != 6000 {
			t.Errorf("fetch %+v with %d tokens cached, want a fetch of 6000", p.Fetch, p.Cached)
		}
	})
}

// A decision on a waiting request must not allocate, nor must its time grow with the number of copies.
func TestDecideWithManyCopiesDoesNotAllocate(t *testing.T) {
	ts := newBusyScheduler(90)
	ts.useService(fetching)
	j := ts.job("customer-1", "part", 12000)
	j.Service = &fetching
	j.prepare()
	for i := range 90 {
		ts.prefixes.index.Keep(fleet.TargetID(fmt.Sprint("e", i)), 1, j.longPrefixes[0].hash, 6000, ts.now())
	}
	list := ts.targetListFor(j, ts.now())
	decide := func() {
		candidates, _ := ts.candidates(j, list, ts.now())
		placement.Pick(j.request(), candidates, placement.Limit{})
	}
	decide()
	if allocs := testing.AllocsPerRun(100, decide); allocs > 0 {
		t.Errorf("deciding a job that has to wait allocates %v times, want 0", allocs)
	}
	if len(ts.prefixes.located.sources) > sourcesPerDataCentre {
		t.Errorf("%d sources of one data centre are compared, want %d", len(ts.prefixes.located.sources), sourcesPerDataCentre)
	}
}

// BenchmarkDecideWithCopies measures the choice among 90 engines, of which none and 30 keep the part.
func BenchmarkDecideWithCopies(b *testing.B) {
	for _, copies := range []int{0, 30} {
		b.Run(fmt.Sprint(copies), func(b *testing.B) { benchmarkChoice(b, copies) })
	}
}

func benchmarkChoice(b *testing.B, copies int) {
	ts := newBusyScheduler(90)
	ts.useService(fetching)
	j := ts.job("customer-1", "part", 12000)
	j.Service = &fetching
	j.prepare()
	for i := range copies {
		ts.prefixes.index.Keep(fleet.TargetID(fmt.Sprint("e", i)), 1, j.longPrefixes[0].hash, 6000, ts.now())
	}
	list := ts.targetListFor(j, ts.now())
	b.ReportAllocs()
	for b.Loop() {
		candidates, _ := ts.candidates(j, list, ts.now())
		placement.Pick(j.request(), candidates, placement.Limit{})
	}
}

// A source that keeps nothing, or is gone, costs the engine a prefill. First events that come later than
// a transfer can take must end the belief; those of an engine that had other work to do say nothing.
func TestLateFirstEventsEndBelief(t *testing.T) {
	for name, c := range map[string]struct {
		took    time.Duration
		ahead   int
		dropped bool
	}{
		"late": {300 * time.Millisecond, 0, true}, "in time": {120 * time.Millisecond, 0, false}, "late behind other work": {300 * time.Millisecond, 20000, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			ts := newFetchScheduler()
			for range 2 {
				ts.keepOn("e0")
			}
			hash := ts.startOn("e0", &fetching, nil).job.longPrefixes[0].hash
			for _, id := range []fleet.TargetID{"e1", "e2"} {
				ts.target(id).ownLoad.Unread += c.ahead
				ts.target(id).speed = 92
				p := ts.startOn(id, &fetching, nil)
				if p.Fetch == nil || p.Fetch.Source.ID != "e0" {
					t.Fatalf("%s: fetch %+v, want one from e0", name, p.Fetch)
				}
				time.Sleep(c.took)
				p.PrefillDone()
				// The engine then keeps what it has prefilled, but must not be the next source here.
				ts.prefixes.index.Drop(id, 1, hash, ts.now())
			}
			if kept := ts.prefixes.index.Get("e0", 1, hash).Kept(); kept == c.dropped {
				t.Errorf("%s: the belief in e0 is kept: %v, want %v", name, kept, !c.dropped)
			}
		})
	}
}
