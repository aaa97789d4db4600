package scheduler

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

var (
	engines = catalog.Service{ID: "lm", ColdFor: 3 * time.Second, ColdRate: 13, Engine: &catalog.Engine{Slots: 64, MemoryTokens: 500000}}
	plain   = catalog.Service{ID: "app"}
	stream  = catalog.Route{Name: "stream", Kind: catalog.Stream, Objective: 800 * time.Millisecond, MaxTargets: 2, Resumable: true}
)

// world is a scheduler in virtual time with some engines.
type world struct {
	*Scheduler
	now     clock.Source
	ids     int
	reading sync.Mutex
	// free is when each engine has read what it was sent.
	free map[fleet.TargetID]clock.Instant
}

// run plays a placed request: an engine reads one prompt after the other, 66 tokens a
// millisecond, and then generates for two seconds.
func (w *world) run(p *Placement, prompt int) {
	w.reading.Lock()
	defer w.reading.Unlock()
	began := max(w.free[p.Target.ID], w.now())
	w.free[p.Target.ID] = began.Add(time.Duration(prompt-p.Cached) * time.Millisecond / 66)
	read := w.free[p.Target.ID].Sub(w.now())
	time.AfterFunc(read, p.PrefillDone)
	time.AfterFunc(read+2*time.Second, func() { p.End(Completed) })
}

func newWorld(targets int) *world {
	now := clock.System()
	s := New(Options{
		Self: "r0", DataCentre: "a", Regions: map[fleet.DataCentreID]fleet.RegionID{"a": "ra", "b": "rb"}, Now: now,
		ShareWindow: 4 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
	})
	s.SetCatalog(catalog.New(catalog.Content{
		Version: 1, Services: []catalog.Service{engines, plain}, Limits: catalog.Limits{TokensPerSecond: 430000},
	}))
	s.SetTargets(engineList(targets), nil)
	s.SetAlive([]roster.Member{{ID: "r0"}, {ID: "r1"}, {ID: "r2"}, {ID: "r3"}, {ID: "r4"}, {ID: "r5"}})
	return &world{Scheduler: s, now: now, free: make(map[fleet.TargetID]clock.Instant)}
}

func engineList(n int) []inventory.Target {
	var all []inventory.Target
	for i := range n {
		all = append(all, inventory.Target{
			ID: fleet.TargetID(fmt.Sprintf("e%d", i)), Started: 1, Service: "lm", Addr: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: "a", Slots: 64, Revision: 1,
		})
	}
	return all
}

// job is a request with one shared part and a part of its own.
func (w *world) job(customer, shared string, prompt int) *Job {
	w.ids++
	return &Job{
		ID: fmt.Sprint(w.ids), Route: &stream, Service: &engines, Customer: fleet.CustomerID(customer), AnyRegion: true,
		Prompt: prompt, Output: 200, Fingerprint: uint64(w.ids),
		Parts:   []Part{{ID: shared, Tokens: prompt / 2}, {ID: fmt.Sprint("own", w.ids), Tokens: prompt - prompt/2}},
		Arrived: w.now(), Deadline: w.now().Add(15 * time.Second),
	}
}

func (w *world) admit(ctx context.Context, j *Job) (*Placement, error) {
	w.RecordArrival(j)
	return w.Admit(ctx, j, false)
}

func refusalOf(t *testing.T, err error) *Refusal {
	t.Helper()
	var r *Refusal
	if !errors.As(err, &r) {
		t.Fatalf("error %v is not a refusal", err)
	}
	return r
}

// One customer asks for several times what the fleet gives. The others are started at
// once; the flood is refused at once when its window cannot let it in.
func TestFloodOfOneCustomerDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(6)
		var group sync.WaitGroup
		var refused, atOnce atomic.Int64
		for i := range 400 {
			j := w.job("flood", fmt.Sprint("part", i%20), 12000)
			group.Go(func() {
				p, err := w.admit(t.Context(), j)
				if err == nil {
					w.run(p, 12000)
					return
				}
				refused.Add(1)
				if refusalOf(t, err).Waited == 0 {
					atOnce.Add(1)
				}
			})
			if i%10 == 9 {
				began := w.now()
				p, err := w.admit(t.Context(), w.job("small", "theirs", 1500))
				if waited := w.now().Sub(began); err != nil || waited > 100*time.Millisecond {
					t.Errorf("request %d of a small customer: %v after %v", i, err, waited)
				} else {
					w.run(p, 1500)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		if refused.Load() < 100 || atOnce.Load() == 0 {
			t.Errorf("%d of 400 requests of the flood were refused, %d at once", refused.Load(), atOnce.Load())
		}
		time.Sleep(10 * time.Second)
	})
}

// A target that broke off once lost an answer; it goes on getting work at full pace.
func TestSingleBrokenConnectionDoesNotMakeTargetCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		for i := range 40 {
			p, err := w.admit(t.Context(), w.job("c", "s", 1000))
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			p.PrefillDone()
			if i%10 == 0 {
				p.End(Broken)
			} else {
				p.End(Completed)
			}
		}
	})
}

// While a target may be cold, an instance starts only its part of what the target
// bears, and after failures in a row it may be.
func TestColdTargetIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		p, err := w.admit(t.Context(), w.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		p.End(Unreachable)
		time.Sleep(unreachableAvoid + time.Millisecond)
		started := 0
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			if p, err := w.admit(ctx, w.job("c", "s", 1000)); err == nil {
				p.PrefillDone()
				p.End(Completed)
				started++
			}
			cancel()
		}
		if most := int(engines.ColdRate)/coldSponsors + 1; started > most {
			t.Errorf("%d starts at once on a target that may be cold, of %d for this instance", started, most)
		}
	})
}

// coldShareOf is how many starts a second this instance may make on a cold engine.
func (w *world) coldShareOf(id fleet.TargetID) int {
	known := w.prospectsOf(&Job{Service: &engines}, w.now())
	for i := range known.all {
		if known.all[i].entry.ID == id {
			return w.coldShare(&known.all[i], engines.ColdRate)
		}
	}
	return 0
}

func TestColdSharesOfFleetStayWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		total := 0
		var members []roster.Member
		for i := range 90 {
			members = append(members, roster.Member{ID: fleet.InstanceID(fmt.Sprint("r", i))})
		}
		for _, m := range members {
			w := newWorld(1)
			w.options.Self = m.ID
			w.SetAlive(members)
			total += w.coldShareOf("e0")
		}
		if float64(total) > engines.ColdRate || total == 0 {
			t.Errorf("90 instances start %d a second on a cold target that bears %v", total, engines.ColdRate)
		}
	})
}

// Instances that see only themselves, all cut off from each other, must not each take
// the whole of what a cold target bears.
func TestLoneInstanceTakesItsPartOfColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		w.SetAlive([]roster.Member{{ID: "r0"}})
		share := w.coldShareOf("e0")
		if share == 0 {
			t.Error("an instance alone in its view starts nothing on a cold target")
		}
		if float64(share) > engines.ColdRate/coldSponsors+1 {
			t.Errorf("an instance alone in its view starts %d a second, the target bears %v", share, engines.ColdRate)
		}
	})
}

// Each start of a target has a new id: what is known of those that are gone must not stay.
func TestTargetsThatAreGoneAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		var running *Placement
		for i := range 100 {
			id := fleet.TargetID(fmt.Sprint("run", i))
			w.SetTargets([]inventory.Target{{ID: id, Started: 1, Service: "lm", Addr: "10.0.0.1:80", DataCentre: "a", Slots: 64, Revision: uint64(i + 2)}}, nil)
			p, err := w.admit(t.Context(), w.job("c", "part", 1000))
			if err != nil {
				t.Fatal(err)
			}
			if i == 50 {
				running = p
				continue
			}
			p.End(Completed)
			time.Sleep(2 * time.Second)
		}
		if known := len(w.loads); known != 2 {
			t.Errorf("%d targets are known, want the listed one and the one that still runs a request", known)
		}
		running.End(Completed)
		w.SetTargets(engineList(1), nil)
		if known := len(w.loads); known > 1 {
			t.Errorf("%d targets are known, one is listed", known)
		}
	})
}

func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(8)
		for range suspectLimit {
			j := w.job("c", "s", 1000)
			j.Fingerprint = 99
			p, err := w.admit(t.Context(), j)
			if err != nil {
				t.Fatal(err)
			}
			p.End(Broken)
		}
		j := w.job("c", "s", 1000)
		j.Fingerprint = 99
		_, err := w.admit(t.Context(), j)
		if r := refusalOf(t, err); r.Reason != ReasonCrashesTargets {
			t.Errorf("refused as %s", r.Reason)
		}
		// Peers hear of it.
		var hb wire.Heartbeat
		w.FillHeartbeat(&hb, "other", wire.ScopeOwn)
		other := newWorld(8)
		other.HandleHeartbeat(wire.Hello{Instance: "r0", DataCentre: "a"}, &hb)
		j = other.job("c", "s", 1000)
		j.Fingerprint = 99
		if _, err := other.admit(t.Context(), j); err == nil {
			t.Error("a peer starts a request that took down three targets")
		}
	})
}

func TestImpossibleRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		began := w.now()
		_, err := w.admit(t.Context(), w.job("c", "s", 600000))
		if r := refusalOf(t, err); r.Reason != ReasonTooLarge || w.now() != began {
			t.Errorf("refused as %s after %v", r.Reason, w.now().Sub(began))
		}
	})
}

// A placement is checked again before it is used: what was listed as leaving
// meanwhile gets nothing.
func TestPlacementEndsWhenTargetLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		p, err := w.admit(t.Context(), w.job("c", "s", 1000))
		if err != nil || !p.Valid() {
			t.Fatal(err)
		}
		list := engineList(1)
		list[0].State = inventory.Leaving
		w.SetTargets(list, nil)
		if p.Valid() {
			t.Error("a request may still be sent to a target that leaves")
		}
	})
}

// Shared parts keep to one target while it has room.
func TestSharedPartKeepsItsHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(18)
		homes := map[fleet.TargetID]int{}
		for range 30 {
			p, err := w.admit(t.Context(), w.job("c", "part", 10000))
			if err != nil {
				t.Fatal(err)
			}
			homes[p.Target.ID]++
			time.AfterFunc(100*time.Millisecond, p.PrefillDone)
			time.AfterFunc(time.Second, func() { p.End(Completed) })
			time.Sleep(110 * time.Millisecond)
		}
		if len(homes) != 1 {
			t.Errorf("30 requests, 9 a second, with one shared part went to %v", homes)
		}
		time.Sleep(2 * time.Second)
	})
}

// The load of peers counts, so that instances do not all fill the same target.
func TestPeersLoadIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		w.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 5, Loads: []wire.TargetLoad{{Target: "e0", Running: 64, Unread: 50000}}})
		p, err := w.admit(t.Context(), w.job("c", "s", 1000))
		if err != nil || p.Target.ID != "e1" {
			t.Errorf("placed on %v, %v; a peer fills e0", p, err)
		}
	})
}

func TestSecondSendsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		again := 0
		for range 300 {
			j := w.job("c", "s", 100)
			w.RecordArrival(j)
			p, err := w.Admit(t.Context(), j, true)
			if err == nil {
				p.PrefillDone()
				p.End(Completed)
				again++
			}
		}
		// A sixth of the fleet's constant and its own ratio.
		if most := 0.2*300 + 50.0/6; float64(again) > most {
			t.Errorf("%d second sends for 300 requests, at most %v", again, most)
		}
	})
}

// Several customers ask for more than their share of what the engines do. What is left
// over goes first to those that have had the least of it.
func TestLeftoverGoesToThoseThatHadLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		// Four seconds in which both asked for far more than the fleet gives, the hog at
		// other instances got most of it.
		now := w.now()
		for customer, started := range map[fleet.CustomerID]float64{"hog": 2400000, "modest": 900000} {
			w.meter.AddDemand(customer, 6000000, now)
			w.meter.AddUsage(customer, started, now)
		}
		if s := w.shares(now); 900000 < s.owed || 900000 > s.reached || 2400000 < s.reached {
			t.Fatalf("shares %+v do not tell the customers apart", s)
		}
		// Work ahead of 60 ms.
		w.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 5, Loads: []wire.TargetLoad{{Target: "e0", Running: 1, Unread: 3300}}})
		hog, modest := w.job("hog", "s", 1000), w.job("modest", "s", 1000)
		if v := w.decide(hog, now); v.placement != nil {
			t.Error("a customer that had several shares adds to a target's work")
		}
		if v := w.decide(modest, now); v.placement == nil {
			t.Error("a customer below the share that the engines reach may not add to a short wait")
		}
	})
}

// While a customer asks for more than its share, a request that can still meet its
// objective goes before one that cannot.
func TestLateRequestOfOverloadedCustomerYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		now := w.now()
		w.meter.AddDemand("c", 6000000, now)
		w.meter.AddUsage("c", 1750000, now)
		w.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 5, Loads: []wire.TargetLoad{{Target: "e0", Running: 1, Unread: 1000}}})
		late, fresh := w.job("c", "s", 1000), w.job("c", "s", 1000)
		late.Elapsed = 2 * time.Second
		if v := w.decide(late, now); v.placement != nil {
			t.Error("a late request of a customer beyond its share adds to a target's work")
		}
		if v := w.decide(fresh, now); v.placement == nil {
			t.Error("one that can be on time does not start")
		}
		// Within its share a customer's late request is served like any other.
		own := w.job("other", "s", 1000)
		own.Elapsed = 2 * time.Second
		if v := w.decide(own, now); v.placement == nil {
			t.Error("a late request of a customer within its share does not start")
		}
	})
}
