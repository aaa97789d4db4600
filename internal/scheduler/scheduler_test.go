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
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

var (
	engines = catalog.Service{ID: "lm", ColdPeriod: 3 * time.Second, ColdRate: 13, Engine: &catalog.Engine{Slots: 64, MemoryTokens: 500000}}
	plain   = catalog.Service{ID: "app"}
	stream  = catalog.Route{Name: "stream", Kind: catalog.Stream, FirstByteSLO: 800 * time.Millisecond, MaxTargets: 2, Resumable: true}
)

// testScheduler is a scheduler in virtual time with simulated engines.
type testScheduler struct {
	*Scheduler
	now      clock.Source
	lastID   int
	engineMu sync.Mutex
	// idleAt is when each engine has prefilled all prompts that were sent to it.
	idleAt map[fleet.TargetID]clock.Instant
}

// serve simulates a placed request: an engine prefills one prompt after the other, 66
// tokens a millisecond, and then generates for two seconds.
func (ts *testScheduler) serve(p *Placement, prompt int) {
	ts.engineMu.Lock()
	defer ts.engineMu.Unlock()
	began := max(ts.idleAt[p.Target.ID], ts.now())
	ts.idleAt[p.Target.ID] = began.Add(time.Duration(prompt-p.Cached) * time.Millisecond / 66)
	prefill := ts.idleAt[p.Target.ID].Sub(ts.now())
	time.AfterFunc(prefill, p.PrefillDone)
	time.AfterFunc(prefill+2*time.Second, func() { p.End(Completed) })
}

func newTestScheduler(targets int) *testScheduler {
	now := clock.Monotonic()
	s := New(Options{
		Self: "r0", DataCentre: "a", Regions: map[fleet.DataCentreID]fleet.RegionID{"a": "ra", "b": "rb"}, Now: now,
		ShareWindow: 4 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second, Features: feature.All(),
	})
	s.SetCatalog(catalog.New(catalog.Config{
		Version: 1, Services: []catalog.Service{engines, plain}, Limits: catalog.Limits{TokensPerSecond: 430000},
	}))
	s.SetTargets(engineList(targets), nil)
	s.SetAlive([]roster.Member{{ID: "r0"}, {ID: "r1"}, {ID: "r2"}, {ID: "r3"}, {ID: "r4"}, {ID: "r5"}})
	return &testScheduler{Scheduler: s, now: now, idleAt: make(map[fleet.TargetID]clock.Instant)}
}

func engineList(n int) []inventory.Target {
	var all []inventory.Target
	for i := range n {
		all = append(all, inventory.Target{
			ID: fleet.TargetID(fmt.Sprintf("e%d", i)), StartMillis: 1, Service: "lm", Addr: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: "a", Slots: 64, WrittenAt: records.NewPosition(0, 1),
		})
	}
	return all
}

// job returns a request with one shared part and one part of its own.
func (ts *testScheduler) job(customer, shared string, prompt int) *Job {
	ts.lastID++
	return &Job{
		ID: fmt.Sprint(ts.lastID), Route: &stream, Service: &engines, Customer: fleet.CustomerID(customer), AnyRegion: true,
		Prompt: prompt, Output: 200, Fingerprint: uint64(ts.lastID),
		Parts:   []Part{{ID: shared, Tokens: prompt / 2}, {ID: fmt.Sprint("own", ts.lastID), Tokens: prompt - prompt/2}},
		Arrived: ts.now(), Deadline: ts.now().Add(15 * time.Second),
	}
}

func (ts *testScheduler) admit(ctx context.Context, j *Job) (*Placement, error) {
	ts.RecordArrival(j)
	return ts.Admit(ctx, j, false)
}

func refusalOf(t *testing.T, err error) *Refusal {
	t.Helper()
	var r *Refusal
	if !errors.As(err, &r) {
		t.Fatalf("error %v is not a refusal", err)
	}
	return r
}

// One customer demands several times the capacity of the fleet. Requests of others must
// start immediately, and its own must be refused immediately when its window cannot admit
// them.
func TestOverloadByOneCustomerDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(6)
		var group sync.WaitGroup
		var refused, immediately atomic.Int64
		for i := range 400 {
			j := ts.job("flood", fmt.Sprint("part", i%20), 12000)
			group.Go(func() {
				p, err := ts.admit(t.Context(), j)
				if err == nil {
					ts.serve(p, 12000)
					return
				}
				refused.Add(1)
				if refusalOf(t, err).Waited == 0 {
					immediately.Add(1)
				}
			})
			if i%10 == 9 {
				began := ts.now()
				p, err := ts.admit(t.Context(), ts.job("small", "theirs", 1500))
				if waited := ts.now().Sub(began); err != nil || waited > 100*time.Millisecond {
					t.Errorf("request %d of a small customer: %v after %v", i, err, waited)
				} else {
					ts.serve(p, 1500)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		if refused.Load() < 100 || immediately.Load() == 0 {
			t.Errorf("%d of 400 requests of the overloading customer were refused, %d immediately", refused.Load(), immediately.Load())
		}
		time.Sleep(10 * time.Second)
	})
}

// A single broken connection means one lost answer. The target must keep its full rate
// and must not be treated as cold.
func TestSingleBrokenConnectionDoesNotMakeTargetCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		for i := range 40 {
			p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
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

// After failures a target may have restarted and be cold. An instance must then start
// only its part of the requests that a cold target accepts.
func TestStartsOnColdTargetArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		p.End(Unreachable)
		time.Sleep(unreachableAvoid + time.Millisecond)
		started := 0
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			if p, err := ts.admit(ctx, ts.job("c", "s", 1000)); err == nil {
				p.PrefillDone()
				p.End(Completed)
				started++
			}
			cancel()
		}
		if limit := int(engines.ColdRate)/maxColdStarters + 1; started > limit {
			t.Errorf("%d requests started on a target that may be cold, want at most %d from this instance", started, limit)
		}
	})
}

// coldShareOf returns the number of requests a second that this instance may start on a
// cold engine.
func (ts *testScheduler) coldShareOf(id fleet.TargetID) int {
	list := ts.targetListFor(&Job{Service: &engines}, ts.now())
	for i := range list.targets {
		if list.targets[i].entry.ID == id {
			return ts.coldShare(&list.targets[i], engines.ColdRate)
		}
	}
	return 0
}

func TestColdSharesOfFleetStayWithinColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		total := 0
		var members []roster.Member
		for i := range 90 {
			members = append(members, roster.Member{ID: fleet.InstanceID(fmt.Sprint("r", i))})
		}
		for _, m := range members {
			ts := newTestScheduler(1)
			ts.options.Self = m.ID
			ts.SetAlive(members)
			total += ts.coldShareOf("e0")
		}
		if float64(total) > engines.ColdRate || total == 0 {
			t.Errorf("90 instances start %d requests a second on a cold target, want more than 0 and at most %v", total, engines.ColdRate)
		}
	})
}

// Instances that are isolated from each other see only themselves. They must not each use
// the whole rate of a cold target.
func TestIsolatedInstanceStaysWithinColdShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.SetAlive([]roster.Member{{ID: "r0"}})
		share := ts.coldShareOf("e0")
		if share == 0 {
			t.Error("an isolated instance starts no requests on a cold target")
		}
		if float64(share) > engines.ColdRate/maxColdStarters+1 {
			t.Errorf("an isolated instance starts %d requests a second on a cold target that accepts %v from the whole fleet", share, engines.ColdRate)
		}
	})
}

// Each restart of a target can add a new id, so the state of removed targets must be
// dropped.
func TestStateOfRemovedTargetsIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		var running *Placement
		for i := range 100 {
			id := fleet.TargetID(fmt.Sprint("run", i))
			ts.SetTargets([]inventory.Target{{ID: id, StartMillis: 1, Service: "lm", Addr: "10.0.0.1:80", DataCentre: "a", Slots: 64, WrittenAt: records.NewPosition(0, uint64(i+2))}}, nil)
			p, err := ts.admit(t.Context(), ts.job("c", "part", 1000))
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
		if tracked := len(ts.targets); tracked != 2 {
			t.Errorf("state is kept for %d targets, want 2: the listed one and the one with a running request", tracked)
		}
		running.End(Completed)
		ts.SetTargets(engineList(1), nil)
		if tracked := len(ts.targets); tracked > 1 {
			t.Errorf("state is kept for %d targets, want at most the listed one", tracked)
		}
	})
}

func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(8)
		for range 3 {
			j := ts.job("c", "s", 1000)
			j.Fingerprint = 99
			p, err := ts.admit(t.Context(), j)
			if err != nil {
				t.Fatal(err)
			}
			p.End(Broken)
		}
		j := ts.job("c", "s", 1000)
		j.Fingerprint = 99
		_, err := ts.admit(t.Context(), j)
		if r := refusalOf(t, err); r.Reason != ReasonCrashesTargets {
			t.Errorf("refused with reason %s, want crashes_targets", r.Reason)
		}
		// Peers must learn of the suspect through heartbeats.
		var hb wire.Heartbeat
		ts.FillHeartbeat(&hb, "other", wire.ScopeOwn)
		other := newTestScheduler(8)
		other.HandleHeartbeat(wire.Hello{Instance: "r0", DataCentre: "a"}, &hb)
		j = other.job("c", "s", 1000)
		j.Fingerprint = 99
		if _, err := other.admit(t.Context(), j); err == nil {
			t.Error("a peer starts a request that crashed three targets")
		}
	})
}

func TestOversizeRequestIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(2)
		began := ts.now()
		_, err := ts.admit(t.Context(), ts.job("c", "s", 600000))
		if r := refusalOf(t, err); r.Reason != ReasonTooLarge || ts.now() != began {
			t.Errorf("refused with reason %s after %v, want too_large immediately", r.Reason, ts.now().Sub(began))
		}
	})
}

// A placement is checked again before it is used: a target that was listed as leaving in
// the meantime must get no request.
func TestPlacementIsInvalidAfterTargetLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil || !p.Validity().Usable {
			t.Fatal(err)
		}
		list := engineList(1)
		list[0].State = inventory.Leaving
		ts.SetTargets(list, nil)
		if p.Validity().Usable {
			t.Error("the placement is still valid after its target was listed as leaving")
		}
	})
}

// By an old list of targets nothing is sent: new jobs are refused at once, and what has been admitted
// waits until the list is current.
func TestOldListingPlacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		placed, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		age := time.Duration(0)
		ts.inventory.MaxAge = time.Second
		ts.options.ListingConfirmedAt = func() clock.Instant { return ts.now().Add(-age) }
		if !placed.Validity().Usable || !ts.ListingCurrent() {
			t.Error("a current list is not used")
		}
		age = time.Second
		if v := placed.Validity(); v.Usable || v.ListingAge != age {
			t.Errorf("a placement by a list of %v is valid: %+v", age, v)
		}
		_, err = ts.admit(t.Context(), ts.job("c", "s", 1000))
		if r := refusalOf(t, err); r.Reason != ReasonListingOld || r.Waited != 0 || r.RetryAfter <= 0 {
			t.Errorf("a new job: %+v, want listing_old at once with a retry delay", r)
		}
		if ts.Replace(ts.job("c", "s", 1000)) != nil {
			t.Error("a replacement is placed")
		}
		go func() {
			time.Sleep(50 * time.Millisecond)
			ts.mu.Lock()
			age = 0
			ts.mu.Unlock()
			ts.Tick()
		}()
		began := ts.now()
		p, err := ts.Admit(t.Context(), ts.job("c", "s", 1000), true)
		if err != nil || ts.now().Sub(began) < 50*time.Millisecond {
			t.Errorf("a retry got %v, %v after %v, want a placement once the list is current", p, err, ts.now().Sub(began))
		}
	})
}

// Requests with a shared part must go to one target while it has room.
func TestRequestsWithSharedPartGoToOneTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(18)
		homes := map[fleet.TargetID]int{}
		for range 30 {
			p, err := ts.admit(t.Context(), ts.job("c", "part", 10000))
			if err != nil {
				t.Fatal(err)
			}
			homes[p.Target.ID]++
			time.AfterFunc(100*time.Millisecond, p.PrefillDone)
			time.AfterFunc(time.Second, func() { p.End(Completed) })
			time.Sleep(110 * time.Millisecond)
		}
		if len(homes) != 1 {
			t.Errorf("30 requests with one shared part, 9 a second, went to %v, want one target", homes)
		}
		time.Sleep(2 * time.Second)
	})
}

// The load that peers report must count, or all instances fill the same target.
func TestLoadOfPeersIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(2)
		ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 5, Loads: []wire.TargetLoad{{Target: "e0", Running: 64, Unread: 50000}}})
		p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil || p.Target.ID != "e1" {
			t.Errorf("placed on %v with error %v, want e1 because a peer fills e0", p, err)
		}
	})
}

func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(4)
		retries := 0
		for range 300 {
			j := ts.job("c", "s", 100)
			ts.RecordArrival(j)
			p, err := ts.Admit(t.Context(), j, true)
			if err == nil {
				p.PrefillDone()
				p.End(Completed)
				retries++
			}
		}
		// The limit is RetryRatio (0.2) of this instance's own requests plus a sixth of
		// RetryExtra (50), because the fleet has six instances.
		if limit := 0.2*300 + 50.0/6; float64(retries) > limit {
			t.Errorf("%d retries for 300 requests, want at most %v", retries, limit)
		}
	})
}

// Several customers demand more than their share of the actual throughput. Spare capacity
// must go first to those that have used the least.
func TestSpareCapacityGoesToLeastServedCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		// In four seconds both demanded far more than the capacity, and one of them used
		// most of it at other instances.
		now := ts.now()
		for customer, started := range map[fleet.CustomerID]float64{"hog": 2400000, "modest": 900000} {
			ts.meter.AddDemand(customer, 6000000, now)
			ts.meter.AddUsage(customer, started, now)
		}
		if s := ts.shares(now); 900000 < s.nominal || 900000 > s.effective || 2400000 < s.effective {
			t.Fatalf("shares %+v do not separate the two customers", s)
		}
		// The target has 60 ms of work ahead.
		ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 5, Loads: []wire.TargetLoad{{Target: "e0", Running: 1, Unread: 3300}}})
		hog, modest := ts.job("hog", "s", 1000), ts.job("modest", "s", 1000)
		if v := ts.decide(hog, now); v.placement != nil {
			t.Error("a customer far over its effective share starts a request on a busy target")
		}
		if v := ts.decide(modest, now); v.placement == nil {
			t.Error("a customer below its effective share does not start a request on a target with a short wait")
		}
	})
}

// While a customer is over its share, a request that can still meet its objective must
// start before one that cannot.
func TestLateRequestOfCustomerOverShareWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		now := ts.now()
		ts.meter.AddDemand("c", 6000000, now)
		ts.meter.AddUsage("c", 1750000, now)
		ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 5, Loads: []wire.TargetLoad{{Target: "e0", Running: 1, Unread: 1000}}})
		late, fresh := ts.job("c", "s", 1000), ts.job("c", "s", 1000)
		late.Elapsed = 2 * time.Second
		if v := ts.decide(late, now); v.placement != nil {
			t.Error("a late request of a customer over its share starts on a busy target")
		}
		if v := ts.decide(fresh, now); v.placement == nil {
			t.Error("a request that can still meet its objective does not start")
		}
		// Within its share, a customer's late request is served like any other.
		own := ts.job("other", "s", 1000)
		own.Elapsed = 2 * time.Second
		if v := ts.decide(own, now); v.placement == nil {
			t.Error("a late request of a customer within its share does not start")
		}
	})
}

// A replacement draws on the retry budget only if there is a target for it, and no longer
// once it is withdrawn.
func TestOnlyUsedReplacementsDrawOnRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(2)
		j := ts.job("c", "part", 1000)
		p, err := ts.admit(t.Context(), j)
		if err != nil {
			t.Fatal(err)
		}
		j.Exclude(p.Target.ID)
		for range 100 {
			replacement := ts.Replace(j)
			if replacement == nil || replacement.Target.ID == p.Target.ID {
				t.Fatalf("got replacement %+v for a job on %s", replacement, p.Target.ID)
			}
			replacement.Withdraw()
		}
		ts.SetTargets(engineList(0), nil)
		for range 100 {
			if replacement := ts.Replace(j); replacement != nil {
				t.Fatalf("got replacement %s without a target", replacement.Target.ID)
			}
		}
		ts.SetTargets(engineList(2), nil)
		replacements := 0
		for ts.Replace(j) != nil {
			replacements++
		}
		// The limit is a part of RetryExtra (50) and RetryRatio (0.2) for one request.
		if limit := 50 / minBudgetDivisor; replacements == 0 || replacements > limit {
			t.Errorf("%d replacements, want some and at most %d", replacements, limit)
		}
	})
}

// A retry that is refused for want of a target is not made, and must not use up the budget of
// retries that could be.
func TestRefusedRetriesDoNotDrawOnRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(0)
		var group sync.WaitGroup
		for range 100 {
			j := ts.job("c", "part", 1000)
			group.Go(func() {
				_, err := ts.Admit(t.Context(), j, true)
				if r := refusalOf(t, err); r.Reason != ReasonNoTarget {
					t.Errorf("refused for %s, want %s", r.Reason, ReasonNoTarget)
				}
			})
		}
		group.Wait()
		ts.SetTargets(engineList(2), nil)
		if _, err := ts.Admit(t.Context(), ts.job("c", "part", 1000), true); err != nil {
			t.Errorf("retry with a free target: %v", err)
		}
	})
}

// Retries that wait together for a target must not exceed the budget when they start.
func TestWaitingRetriesStayWithinRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(0)
		var group sync.WaitGroup
		var placed, overBudget atomic.Int64
		for range 100 {
			j := ts.job("c", "part", 10)
			group.Go(func() {
				_, err := ts.Admit(t.Context(), j, true)
				if err == nil {
					placed.Add(1)
				} else if refusalOf(t, err).Reason == ReasonRetryBudget {
					overBudget.Add(1)
				}
			})
		}
		synctest.Wait()
		ts.SetTargets(engineList(6), nil)
		group.Wait()
		// The limit is a part of RetryExtra (50), as no request arrived anew.
		if limit := int64(50 / minBudgetDivisor); placed.Load() == 0 || placed.Load() > limit || placed.Load()+overBudget.Load() != 100 {
			t.Errorf("%d retries placed and %d over the budget, want at most %d placed and all others over it",
				placed.Load(), overBudget.Load(), limit)
		}
	})
}
