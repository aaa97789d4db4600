package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Size of a simulated fleet, its load and the bound on its shares.
const (
	fleetInstances = 24
	fleetEngines   = 12
	// fleetTokensPerSecond is the published throughput. The engines reach about three times
	// as much, because they hold shared prompt parts in their caches.
	fleetTokensPerSecond = 450000
	// fairnessWindow is the time over which two customers are compared.
	fairnessWindow = 6
	// minFairShare is the least part of its claim that each customer gets in such a window.
	minFairShare = 0.5
	// tolerated is by how many tokens a customer may fall short of that: three of the largest
	// requests.
	tolerated = 3 * (18000 + 2*400)
	// fleetSeconds is the length of a simulation, of which the first fleetWarmup seconds are
	// not judged.
	fleetSeconds, fleetWarmup = 22, 4
)

// testFleet is a fleet of instances that exchange heartbeats and share simulated engines.
type testFleet struct {
	engines   catalog.Service
	generate  time.Duration
	instances []*Scheduler
	now       clock.Source
	start     clock.Instant

	mu sync.Mutex
	// idleAt is when each engine has prefilled all prompts that were sent to it, and cached
	// the shared parts that it holds.
	idleAt map[fleet.TargetID]clock.Instant
	cached map[fleet.TargetID]map[string]bool
	// asked and got are the tokens that each customer requested and started in each second.
	asked, got map[fleet.CustomerID]*[fleetSeconds]float64
}

// newTestFleet returns a fleet whose engines run up to slots requests at once and generate
// each answer in the given time.
func newTestFleet(slots int, generate time.Duration) *testFleet {
	f := &testFleet{
		engines: engines, generate: generate,
		now: clock.Monotonic(), idleAt: make(map[fleet.TargetID]clock.Instant), cached: make(map[fleet.TargetID]map[string]bool),
		asked: make(map[fleet.CustomerID]*[fleetSeconds]float64), got: make(map[fleet.CustomerID]*[fleetSeconds]float64),
	}
	f.engines.Engine = &catalog.Engine{Slots: slots, MemoryTokens: 500000}
	targets := engineList(fleetEngines)
	for i := range targets {
		targets[i].Slots = slots
	}
	f.start = f.now()
	var members []roster.Member
	for i := range fleetInstances {
		members = append(members, roster.Member{ID: fleet.InstanceID(fmt.Sprint("r", i))})
	}
	for _, m := range members {
		s := New(Options{
			Self: m.ID, DataCentre: "a", Regions: map[fleet.DataCentreID]fleet.RegionID{"a": "ra"}, Now: f.now,
			ShareWindow: 4 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
		})
		s.SetCatalog(catalog.New(catalog.Config{
			Version: 1, Services: []catalog.Service{f.engines}, Limits: catalog.Limits{TokensPerSecond: fleetTokensPerSecond},
		}))
		s.SetTargets(targets, nil)
		s.SetAlive(members)
		f.instances = append(f.instances, s)
	}
	return f
}

// exchange sends one heartbeat from every instance to every other.
func (f *testFleet) exchange() {
	for i, from := range f.instances {
		for j, to := range f.instances {
			if i == j {
				continue
			}
			hb := wire.Heartbeat{Incarnation: 1}
			from.FillHeartbeat(&hb, to.options.Self, wire.ScopeOwn)
			to.HandleHeartbeat(wire.Hello{Instance: from.options.Self, Incarnation: 1, DataCentre: "a"}, &hb)
		}
	}
}

// second returns the current second of the simulation.
func (f *testFleet) second() int {
	return min(int(f.now().Sub(f.start)/time.Second), fleetSeconds-1)
}

// serve simulates a placed request: the engine prefills one prompt after the other, without
// the shared parts that it holds, and then generates the answer.
func (f *testFleet) serve(p *Placement, j *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := p.Target.ID
	if f.cached[id] == nil {
		f.cached[id] = make(map[string]bool)
	}
	unread := j.Prompt
	for _, part := range j.Parts {
		if f.cached[id][part.ID] {
			unread -= part.Tokens
		}
		f.cached[id][part.ID] = true
	}
	f.idleAt[id] = max(f.idleAt[id], f.now()).Add(time.Duration(unread) * time.Millisecond / 66)
	prefill := f.idleAt[id].Sub(f.now())
	time.AfterFunc(prefill, p.PrefillDone)
	time.AfterFunc(prefill+f.generate, func() { p.End(Completed) })
	f.got[j.Customer][f.second()] += j.weight()
}

// customerLoad is the traffic of one customer: requests a second, which come to the given
// instances in turn and share one of the given number of prompt parts.
type customerLoad struct {
	id        fleet.CustomerID
	perSecond float64
	parts     int
	entries   []int
	// from is when the traffic begins.
	from time.Duration
}

// run sends the requests of one customer until the end of the simulation.
func (f *testFleet) run(c customerLoad, rng *rand.Rand, group *sync.WaitGroup) {
	time.Sleep(c.from)
	for sent := 0; ; sent++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / c.perSecond * float64(time.Second)))
		if f.now().Sub(f.start) >= fleetSeconds*time.Second {
			return
		}
		prompt := 2000 + rng.IntN(16000)
		j := &Job{
			ID: fmt.Sprint(c.id, sent), Route: &stream, Service: &f.engines, Customer: c.id, AnyRegion: true,
			Prompt: prompt, Output: 400, Fingerprint: rng.Uint64(),
			Parts: []Part{
				{ID: fmt.Sprint(c.id, "-part", rng.IntN(c.parts)), Tokens: prompt / 2},
				{ID: fmt.Sprint(c.id, "-own", sent), Tokens: prompt - prompt/2},
			},
			Arrived: f.now(), Deadline: f.now().Add(15 * time.Second),
		}
		entry := f.instances[c.entries[sent%len(c.entries)]]
		f.mu.Lock()
		f.asked[c.id][f.second()] += j.weight()
		f.mu.Unlock()
		group.Go(func() {
			entry.RecordArrival(j)
			if p, err := entry.Admit(context.Background(), j, false); err == nil {
				f.serve(p, j)
			}
		})
	}
}

// simulate plays the loads of some customers.
func (f *testFleet) simulate(loads []customerLoad, seed uint64) {
	var sources, requests sync.WaitGroup
	// The sources read the maps, so that these are complete before the first one starts.
	for _, c := range loads {
		f.asked[c.id], f.got[c.id] = new([fleetSeconds]float64), new([fleetSeconds]float64)
	}
	for i, c := range loads {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		sources.Go(func() { f.run(c, rng, &requests) })
	}
	for f.now().Sub(f.start) < fleetSeconds*time.Second {
		time.Sleep(200 * time.Millisecond)
		f.exchange()
		for _, s := range f.instances {
			s.Tick()
		}
	}
	sources.Wait()
	requests.Wait()
	time.Sleep(20 * time.Second)
}

// worstShare returns the smallest fraction, over all windows, that a customer got of what
// it could claim: in each second what it asked or what the best served customer got,
// whichever is less.
func (f *testFleet) worstShare(id fleet.CustomerID) float64 {
	worst := 1.0
	for from := fleetWarmup; from+fairnessWindow <= fleetSeconds; from++ {
		best := id
		for other, got := range f.got {
			if sumOf(got[from:from+fairnessWindow]) > sumOf(f.got[best][from:from+fairnessWindow]) {
				best = other
			}
		}
		claim := 0.0
		for s := from; s < from+fairnessWindow; s++ {
			claim += min(f.asked[id][s], f.got[best][s])
		}
		worst = min(worst, (sumOf(f.got[id][from:from+fairnessWindow])+tolerated)/claim)
	}
	return worst
}

func sumOf(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func (f *testFleet) throughput() float64 {
	total := 0.0
	for _, got := range f.got {
		total += sumOf(got[fleetWarmup:])
	}
	return total / (fleetSeconds - fleetWarmup)
}

// allInstances returns the indices of all instances of a fleet.
func allInstances() []int {
	all := make([]int, fleetInstances)
	for i := range all {
		all[i] = i
	}
	return all
}

// steadyLoads returns customers that ask for more than their share of what the engines
// process, through one instance or through all.
func steadyLoads() []customerLoad {
	return []customerLoad{
		{id: "wide", perSecond: 190, parts: 60, entries: allInstances()},
		{id: "narrow", perSecond: 80, parts: 60, entries: []int{7}},
		{id: "narrow2", perSecond: 65, parts: 60, entries: []int{7}},
		{id: "medium", perSecond: 40, parts: 30, entries: allInstances()},
	}
}

// checkFleet plays the loads, with some small customers, at engines that run up to slots
// requests at once, and checks the shares. It does so for several seeds.
func checkFleet(t *testing.T, slots int, generate time.Duration, loads []customerLoad) {
	for i := range 8 {
		loads = append(loads, customerLoad{id: fleet.CustomerID(fmt.Sprint("small", i)), perSecond: 3, parts: 5, entries: allInstances()})
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(slots, generate)
				f.simulate(loads, seed)
				f.checkShares(t, loads)
			})
		})
	}
}

// Beyond the nominal shares, each customer must get at least half as much as the best served
// one, however much that one asks for.
func TestCustomerThatAsksMoreStarvesOthers(t *testing.T) {
	checkFleet(t, 64, time.Second, steadyLoads())
}

// The same while slots limit the engines: a slot that is freed is seen first by the instance
// whose request held it.
func TestCustomerThatAsksMoreStarvesOthersAtFullSlots(t *testing.T) {
	checkFleet(t, 20, 3*time.Second, steadyLoads())
}

// A customer that starts to ask while another one uses all that is left must get its part.
func TestEstablishedCustomerStarvesNewcomer(t *testing.T) {
	checkFleet(t, 20, 3*time.Second, []customerLoad{
		{id: "wide", perSecond: 400, parts: 60, entries: allInstances()},
		{id: "narrow", perSecond: 120, parts: 60, entries: []int{7}, from: 8 * time.Second},
	})
}

// A customer that asks for little, of which no request can be served, such as one that allows
// only a region without engines, must not keep others from what is left.
func TestCustomerThatCannotBeServedHoldsBackOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(6)
		j := ts.job("nowhere", "part", 12000)
		j.AnyRegion, j.Regions = false, []fleet.RegionID{"rb"}
		for _, c := range []fleet.CustomerID{"a", "b", "c"} {
			ts.meter.AddDemand(c, 4e6, ts.now())
			ts.meter.AddUsage(c, 2e6, ts.now())
		}
		time.Sleep(2 * time.Second)
		for _, c := range []fleet.CustomerID{"a", "b", "c"} {
			ts.meter.AddDemand(c, 4e5, ts.now())
			ts.meter.AddUsage(c, 4e5, ts.now())
		}
		for _, requests := range []int{1, 200} {
			for range requests {
				ts.RecordArrival(j)
			}
			time.Sleep(shareInterval)
			if shares := ts.shares(ts.now()); shares.finiteLead() != 0 {
				t.Errorf("%d requests: customers that used more than %.0f tokens wait for one that cannot be served, shares %.0f and %.0f",
					requests, shares.lead, shares.nominal, shares.effective)
			}
		}
	})
}

// checkShares checks the worst share of each customer.
func (f *testFleet) checkShares(t *testing.T, loads []customerLoad) {
	t.Helper()
	t.Logf("%.0f tokens a second in all", f.throughput())
	for _, c := range loads {
		share := f.worstShare(c.id)
		t.Logf("%s asked %.0f, got %.0f tokens a second, worst share %.2f", c.id, sumOf(f.asked[c.id][fleetWarmup:])/(fleetSeconds-fleetWarmup),
			sumOf(f.got[c.id][fleetWarmup:])/(fleetSeconds-fleetWarmup), share)
		if share < minFairShare {
			t.Errorf("%s got %.2f of its claim within %d s, want at least %.2f", c.id, share, fairnessWindow, minFairShare)
		}
	}
}
