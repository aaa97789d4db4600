package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fairness"
	"medlarwind.dev/medlarwind/internal/fleet"
	"pgregory.net/rapid"
)

const manyWaiting = 1 << 20

func alwaysWaiting(int) int { return manyWaiting }

// gapBound is the proven limit, in cost units, of how far i's service per share may be
// ahead of j's while both are backlogged and compete for the same targets.
//
// An owner serves i only while i's virtual time, as the owner sees it, is at most that
// of j plus j's pending grants. The owner's view lacks at most what was served within
// maxStaleness. Each of the L slots may hold one request of the largest cost Q that was
// charged in advance, and one more that finishes later. Estimates and credit put j's
// charge ahead of its service by at most 2(L+1)Q more.
func (s *simulation) gapBound(i, j int) float64 {
	slots, q := 0, fleet.Cost(0)
	for _, l := range s.limit {
		slots += l
	}
	for _, c := range s.clients {
		q = max(q, c.cost)
	}
	perSlot := float64(slots) * float64(q)
	unseen := float64(slots) * float64(s.rate) * float64(maxStaleness)
	si, sj := float64(s.clients[i].share), float64(s.clients[j].share)
	return (unseen+2*perSlot)/si + (3*perSlot+2*float64(q))/sj
}

// lead returns how far i's service per share since the given point is ahead of j's.
func (s *simulation) lead(i, j int, since []fleet.Cost) float64 {
	return float64(s.served[i]-since[i])/float64(s.clients[i].share) -
		float64(s.served[j]-since[j])/float64(s.clients[j].share)
}

// checkGaps fails the test if one client is ahead of another by more than the given
// multiple of the bound.
func (s *simulation) checkGaps(t rapid.TB, since []fleet.Cost, times float64) {
	for i := range s.clients {
		for j := range s.clients {
			if gap := s.lead(i, j, since); gap > times*s.gapBound(i, j) {
				t.Fatalf("step %d: client %d is %.0f ahead of %d, bound %.0f", s.t, i, gap, j, times*s.gapBound(i, j))
			}
		}
	}
}

func params(maxLag fleet.Cost) fairness.Params {
	return fairness.Params{MaxLag: maxLag, PublishThreshold: 20, FlushInterval: flushInterval, IdleAfter: time.Duration(maxStaleness) * step, FirstEstimate: 10}
}

func drawSimulation(t *rapid.T, policy Policy) *simulation {
	nodes := rapid.IntRange(2, 4).Draw(t, "nodes")
	limits := make([][]int, nodes)
	for i := range limits {
		limits[i] = []int{rapid.IntRange(1, 3).Draw(t, "limit")}
	}
	var cs []client
	for i := range rapid.IntRange(2, 5).Draw(t, "clients") {
		c := client{id: fleet.CustomerID(rune('a' + i)), waiting: alwaysWaiting, workloads: []fleet.Workload{model(0)}}
		c.share = rapid.IntRange(1, 4).Draw(t, "share")
		c.cost = fleet.Cost(rapid.IntRange(5, 200).Draw(t, "cost"))
		c.entries = rapid.SliceOfNDistinct(rapid.IntRange(0, nodes-1), 1, nodes, rapid.ID).Draw(t, "entries")
		cs = append(cs, c)
	}
	s := newSimulation(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), cs, limits, params(1<<40), policy)
	s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	return s
}

// TestGapBounded checks the bound in a connected fleet whose messages are lost,
// delayed, duplicated and reordered.
func TestGapBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, Fair{})
		zeroService := s.zeroService()
		s.run(1000, func() { s.checkGaps(t, zeroService, 1) })
	})
}

// unevenFleet returns a fleet whose clients differ by the cost of their requests and by
// their entries.
func unevenFleet(policy Policy) *simulation {
	cs := []client{
		{id: "huge", share: 1, cost: 200, entries: []int{0, 1}, waiting: alwaysWaiting},
		{id: "small", share: 1, cost: 5, entries: []int{0}, waiting: alwaysWaiting},
		{id: "flood", share: 1, cost: 20, entries: []int{0, 1, 2}, waiting: alwaysWaiting},
	}
	for i := range cs {
		cs[i].workloads = []fleet.Workload{model(0)}
	}
	return newSimulation(rand.New(rand.NewPCG(7, 7)), cs, [][]int{{2}, {2}, {2}}, params(1<<40), policy)
}

// worstRatio returns the greatest gap between two clients as a multiple of its bound.
func worstRatio(s *simulation) float64 {
	worst := 0.0
	for i := range s.clients {
		for j := range s.clients {
			worst = max(worst, s.lead(i, j, make([]fleet.Cost, len(s.clients)))/s.gapBound(i, j))
		}
	}
	return worst
}

// TestBaselinesExceedBound checks that Fair stays within the bound, and that round
// robin and instances that do not exchange counters exceed it. Otherwise the bound
// would be too loose to detect an unfair policy.
func TestBaselinesExceedBound(t *testing.T) {
	for _, c := range []struct {
		name    string
		policy  Policy
		noMerge bool
		within  bool
	}{
		{"fair", Fair{}, false, true},
		{"round robin", RoundRobin{}, false, false},
		{"without counter exchange", Fair{}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := unevenFleet(c.policy)
			s.noMerge = c.noMerge
			s.run(4000, func() {})
			worst := worstRatio(s)
			t.Logf("worst gap is %.2f of the bound; served %v", worst, s.served)
			if (worst <= 1) != c.within {
				t.Errorf("worst gap is %.2f of the bound, want within: %v", worst, c.within)
			}
		})
	}
}

// waitLimit bounds the steps between two services of a backlogged client. Before its
// turn, no other client can receive more than spread per share. In the time that one
// grant and one request take, each slot serves at least the least cost of a request.
func (s *simulation) waitLimit(spread float64) int {
	slots, shares, least := 0, 0, fleet.Cost(1<<40)
	for _, l := range s.limit {
		slots += l
	}
	for _, c := range s.clients {
		shares += c.share
		least = min(least, c.cost)
	}
	turn := int(least/s.rate) + 1 + heartbeatInterval + 2*maxDelay
	perStep := float64(slots) * float64(least) / float64(turn)
	return maxStaleness + int(float64(shares)*spread/perStep)
}

// checkWaits fails the test if a client that is backlogged now and was so limit steps
// ago has not been served in between.
func (s *simulation) checkWaits(t *testing.T, limit int) {
	for j, c := range s.clients {
		if c.waiting(s.t) == 0 || c.waiting(s.t-limit) == 0 {
			continue
		}
		if wait := s.t - s.lastServed[j]; wait > limit {
			t.Fatalf("step %d: %s not served for %d steps, bound %d", s.t, c.id, wait, limit)
		}
	}
}

// TestNoStarvation bounds the time between two services of a client that competes with
// a flood, of one whose requests are all very large, and of one that returns after a
// long idle time.
func TestNoStarvation(t *testing.T) {
	const period = 30000
	inSecondHalf := func(t int) int {
		if t%period < period/2 {
			return 0
		}
		return manyWaiting
	}
	cs := []client{
		{id: "flood", share: 1, cost: 50, entries: []int{0, 1}, waiting: alwaysWaiting},
		{id: "huge", share: 1, cost: 200, entries: []int{0, 1}, waiting: alwaysWaiting},
		{id: "small", share: 1, cost: 50, entries: []int{1}, waiting: alwaysWaiting},
		{id: "returning", share: 1, cost: 60, entries: []int{0}, waiting: inSecondHalf},
	}
	for i := range cs {
		cs[i].workloads = []fleet.Workload{model(0)}
	}
	for seed := range uint64(3) {
		s := newSimulation(rand.New(rand.NewPCG(seed, 2)), cs, [][]int{{1}, {1}}, params(1<<40), Fair{})
		limit := s.waitLimit(2 * s.gapBound(0, 1))
		s.run(2*period, func() { s.checkWaits(t, limit) })
	}
}

// TestIdleCustomer checks that an idle time gives a client neither credit nor debt once
// it is backlogged again.
func TestIdleCustomer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, Fair{})
		idle := rapid.IntRange(0, len(s.clients)-1).Draw(t, "idle")
		from := rapid.IntRange(0, 500).Draw(t, "from")
		const back = 2500
		s.clients[idle].waiting = func(t int) int {
			if t >= from && t < back {
				return 0
			}
			return manyWaiting
		}
		s.run(back+maxStaleness, func() {})
		since := append([]fleet.Cost(nil), s.served...)
		s.run(800, func() { s.checkGaps(t, since, 2) })
	})
}

// TestPartitionHeals checks that after a long partition the gap in virtual time is at
// most the sum of the clamp, one gapBound for each part and one for the lift, and that
// the client that received more service is served again within a bounded time.
func TestPartitionHeals(t *testing.T) {
	const clamp, cutAt, healAt, parts = 2000, 100, 16000, 2
	cs := []client{
		{id: "a", share: 1, cost: 40, entries: []int{0}, waiting: alwaysWaiting},
		{id: "b", share: 1, cost: 50, entries: []int{0}, waiting: alwaysWaiting},
		{id: "c", share: 1, cost: 60, entries: []int{0}, waiting: alwaysWaiting},
		{id: "alone", share: 1, cost: 40, entries: []int{1}, waiting: alwaysWaiting},
	}
	for i := range cs {
		cs[i].workloads = []fleet.Workload{model(0)}
	}
	for seed := range uint64(3) {
		s := newSimulation(rand.New(rand.NewPCG(seed, 1)), cs, [][]int{{2}, {2}}, params(clamp), Fair{})
		s.cut = func(t, from, to int) bool { return from != to && t >= cutAt && t < healAt }
		s.run(healAt+maxStaleness+int(time.Second/step)+maxStaleness, func() {})
		gapBound := (parts-1)*clamp + (parts+1)*s.gapBound(0, 1)
		limit := s.waitLimit(gapBound)
		s.run(2*limit, func() {
			if gap := float64(s.nodes[0].acc.Gap()); gap > gapBound {
				t.Fatalf("seed %d, step %d: gap %.0f, bound %.0f", seed, s.t, gap, gapBound)
			}
			s.checkWaits(t, limit)
		})
	}
}

// TestRestartKeepsGaps restarts all instances in turn, twice. An instance that starts
// without counters and receives them slowly must not change virtual times because of
// those it lacks, and the counters of a stopped instance must survive the restart of
// every instance that received them from it directly. The service that the former
// incarnation had not reported and its running work add one gapBound.
func TestRestartKeepsGaps(t *testing.T) {
	for _, records := range []int{1, 2, 1000} {
		s := unevenFleet(Fair{})
		s.records = records
		s.run(6000, func() {})
		for i := range 2 * len(s.nodes) {
			s.restart(i % len(s.nodes))
			s.run(1000, func() { s.checkGaps(t, s.zeroService(), 2) })
		}
	}
}

// TestOrderBehindLeader checks that clients that compete only with each other stay
// within the bound while a third one, which other targets serve as well, runs ahead of
// them by far more than the clamp.
func TestOrderBehindLeader(t *testing.T) {
	cs := []client{
		{id: "large", share: 1, cost: 200, entries: []int{0}, waiting: alwaysWaiting, workloads: []fleet.Workload{model(0)}},
		{id: "small", share: 1, cost: 5, entries: []int{0}, waiting: alwaysWaiting, workloads: []fleet.Workload{model(0)}},
		{id: "leader", share: 1, cost: 20, entries: []int{0}, waiting: alwaysWaiting, workloads: []fleet.Workload{model(0), model(1)}},
	}
	s := newSimulation(rand.New(rand.NewPCG(3, 3)), cs, [][]int{{1, 8}}, params(500), Fair{})
	s.run(20000, func() {})
	if gap := max(s.lead(0, 1, s.zeroService()), s.lead(1, 0, s.zeroService())); gap > s.gapBound(0, 1) {
		t.Errorf("gap %.0f, bound %.0f; served %v", gap, s.gapBound(0, 1), s.served)
	}
}

func (s *simulation) zeroService() []fleet.Cost { return make([]fleet.Cost, len(s.clients)) }
