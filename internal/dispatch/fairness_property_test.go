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

func always(int) int { return manyWaiting }

// bound is the proven limit of how far i's service for one share may run ahead of
// j's while both are backlogged and compete for the same targets, in cost units.
//
// An owner serves i only while its view of i's virtual time is at most that of j
// plus j's pending grants. The view lacks at most what was served within the
// information age, and each of the L slots may hold one request of the largest
// cost Q charged ahead, and one more that finishes after. Estimates and credit put
// j's charge ahead of its service by at most 2(L+1)Q more.
func (s *simulation) bound(i, j int) float64 {
	slots, q := 0, fleet.Cost(0)
	for _, l := range s.limit {
		slots += l
	}
	for _, c := range s.clients {
		q = max(q, c.cost)
	}
	perSlot := float64(slots) * float64(q)
	unseen := float64(slots) * float64(s.rate) * float64(infoAge)
	si, sj := float64(s.clients[i].share), float64(s.clients[j].share)
	return (unseen+2*perSlot)/si + (3*perSlot+2*float64(q))/sj
}

// ahead is how far i's service since the given point runs ahead of j's.
func (s *simulation) ahead(i, j int, since []fleet.Cost) float64 {
	return float64(s.served[i]-since[i])/float64(s.clients[i].share) -
		float64(s.served[j]-since[j])/float64(s.clients[j].share)
}

// checkGaps fails if a pair of backlogged clients is further apart than times the
// bound.
func (s *simulation) checkGaps(t rapid.TB, since []fleet.Cost, times float64) {
	for i := range s.clients {
		for j := range s.clients {
			if gap := s.ahead(i, j, since); gap > times*s.bound(i, j) {
				t.Fatalf("step %d: client %d is %.0f ahead of %d, bound %.0f", s.t, i, gap, j, times*s.bound(i, j))
			}
		}
	}
}

func params(clamp fleet.Cost) fairness.Params {
	return fairness.Params{MaxLag: clamp, PublishThreshold: 20, FlushInterval: flush, IdleAfter: time.Duration(infoAge) * step, FirstEstimate: 10}
}

func drawSimulation(t *rapid.T, policy Policy) *simulation {
	nodes := rapid.IntRange(2, 4).Draw(t, "nodes")
	limits := make([][]int, nodes)
	for i := range limits {
		limits[i] = []int{rapid.IntRange(1, 3).Draw(t, "limit")}
	}
	var cs []client
	for i := range rapid.IntRange(2, 5).Draw(t, "clients") {
		c := client{id: fleet.CustomerID(rune('a' + i)), waiting: always, workloads: []fleet.Workload{model(0)}}
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
// late, repeated and out of order.
func TestGapBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, Fair{})
		zero := s.zero()
		s.run(1000, func() { s.checkGaps(t, zero, 1) })
	})
}

// contrast is a fleet whose clients differ by cost and by entry.
func contrast(policy Policy) *simulation {
	cs := []client{
		{id: "huge", share: 1, cost: 200, entries: []int{0, 1}, waiting: always},
		{id: "small", share: 1, cost: 5, entries: []int{0}, waiting: always},
		{id: "flood", share: 1, cost: 20, entries: []int{0, 1, 2}, waiting: always},
	}
	for i := range cs {
		cs[i].workloads = []fleet.Workload{model(0)}
	}
	return newSimulation(rand.New(rand.NewPCG(7, 7)), cs, [][]int{{2}, {2}, {2}}, params(1<<40), policy)
}

func worstRatio(s *simulation) float64 {
	worst := 0.0
	for i := range s.clients {
		for j := range s.clients {
			worst = max(worst, s.ahead(i, j, make([]fleet.Cost, len(s.clients)))/s.bound(i, j))
		}
	}
	return worst
}

// TestBaselinesExceedBound shows that the bound tells the policies apart.
func TestBaselinesExceedBound(t *testing.T) {
	for _, c := range []struct {
		name    string
		policy  Policy
		noMerge bool
		within  bool
	}{
		{"fair", Fair{}, false, true},
		{"round robin", RoundRobin{}, false, false},
		{"each instance alone", Fair{}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := contrast(c.policy)
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

// waitLimit bounds the steps between two services of a client while it is
// backlogged: none of the others can take more than spread, for one share, before
// it is its turn, and each slot serves at least the least cost in the time of one
// permit round and one request.
func (s *simulation) waitLimit(spread float64) int {
	slots, shares, least := 0, 0, fleet.Cost(1<<40)
	for _, l := range s.limit {
		slots += l
	}
	for _, c := range s.clients {
		shares += c.share
		least = min(least, c.cost)
	}
	turn := int(least/s.rate) + 1 + beat + 2*lag
	perStep := float64(slots) * float64(least) / float64(turn)
	return infoAge + int(float64(shares)*spread/perStep)
}

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

// TestNoStarvation checks the time between two services next to a flood, to a
// client whose every request is huge, and to one that comes back from long idleness.
func TestNoStarvation(t *testing.T) {
	const period = 30000
	inSecondHalf := func(t int) int {
		if t%period < period/2 {
			return 0
		}
		return manyWaiting
	}
	cs := []client{
		{id: "flood", share: 1, cost: 50, entries: []int{0, 1}, waiting: always},
		{id: "huge", share: 1, cost: 200, entries: []int{0, 1}, waiting: always},
		{id: "small", share: 1, cost: 50, entries: []int{1}, waiting: always},
		{id: "returning", share: 1, cost: 60, entries: []int{0}, waiting: inSecondHalf},
	}
	for i := range cs {
		cs[i].workloads = []fleet.Workload{model(0)}
	}
	for seed := range uint64(3) {
		s := newSimulation(rand.New(rand.NewPCG(seed, 2)), cs, [][]int{{1}, {1}}, params(1<<40), Fair{})
		limit := s.waitLimit(2 * s.bound(0, 1))
		s.run(2*period, func() { s.checkWaits(t, limit) })
	}
}

// TestIdleCustomer checks that a client which was idle neither gains from it nor
// pays for it once it is backlogged again.
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
		s.run(back+infoAge, func() {})
		since := append([]fleet.Cost(nil), s.served...)
		s.run(800, func() { s.checkGaps(t, since, 2) })
	})
}

// TestPartitionHeals checks that after a long partition the gap in virtual time is
// at most the clamp, one bound for each part and one for the lift, and that the
// client which got more is served again in bounded time.
func TestPartitionHeals(t *testing.T) {
	const clamp, cutAt, healAt, parts = 2000, 100, 16000, 2
	cs := []client{
		{id: "a", share: 1, cost: 40, entries: []int{0}, waiting: always},
		{id: "b", share: 1, cost: 50, entries: []int{0}, waiting: always},
		{id: "c", share: 1, cost: 60, entries: []int{0}, waiting: always},
		{id: "alone", share: 1, cost: 40, entries: []int{1}, waiting: always},
	}
	for i := range cs {
		cs[i].workloads = []fleet.Workload{model(0)}
	}
	for seed := range uint64(3) {
		s := newSimulation(rand.New(rand.NewPCG(seed, 1)), cs, [][]int{{2}, {2}}, params(clamp), Fair{})
		s.cut = func(t, from, to int) bool { return from != to && t >= cutAt && t < healAt }
		s.run(healAt+infoAge+int(time.Second/step)+infoAge, func() {})
		bound := (parts-1)*clamp + (parts+1)*s.bound(0, 1)
		limit := s.waitLimit(bound)
		s.run(2*limit, func() {
			if gap := float64(s.nodes[0].acc.Gap()); gap > bound {
				t.Fatalf("seed %d, step %d: gap %.0f, bound %.0f", seed, s.t, gap, bound)
			}
			s.checkWaits(t, limit)
		})
	}
}

// TestRestartKeepsGaps restarts all instances in turn, twice. One that starts with
// nothing, and learns slowly, must not move virtual times by what it does not know
// yet, and what was served outlives all that heard of it at first hand. What the
// former incarnation served unseen and had running adds one bound.
func TestRestartKeepsGaps(t *testing.T) {
	for _, records := range []int{1, 2, 1000} {
		s := contrast(Fair{})
		s.records = records
		s.run(6000, func() {})
		for i := range 2 * len(s.nodes) {
			s.restart(i % len(s.nodes))
			s.run(1000, func() { s.checkGaps(t, s.zero(), 2) })
		}
	}
}

// TestOrderBehindLeader checks that clients which compete only with each other
// stay within the bound while a third one, which other targets serve as well, runs
// ahead of them by far more than the clamp.
func TestOrderBehindLeader(t *testing.T) {
	cs := []client{
		{id: "large", share: 1, cost: 200, entries: []int{0}, waiting: always, workloads: []fleet.Workload{model(0)}},
		{id: "small", share: 1, cost: 5, entries: []int{0}, waiting: always, workloads: []fleet.Workload{model(0)}},
		{id: "leader", share: 1, cost: 20, entries: []int{0}, waiting: always, workloads: []fleet.Workload{model(0), model(1)}},
	}
	s := newSimulation(rand.New(rand.NewPCG(3, 3)), cs, [][]int{{1, 8}}, params(500), Fair{})
	s.run(20000, func() {})
	if gap := max(s.ahead(0, 1, s.zero()), s.ahead(1, 0, s.zero())); gap > s.bound(0, 1) {
		t.Errorf("gap %.0f, bound %.0f; served %v", gap, s.bound(0, 1), s.served)
	}
}

func (s *simulation) zero() []fleet.Cost { return make([]fleet.Cost, len(s.clients)) }
