package dispatch

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Proximity says where an owner stands as seen from the entry.
type Proximity int

// The places of an owner, nearest first.
const (
	SameDataCentre Proximity = iota
	SameRegion
	OtherRegion
)

// OwnerView is what an entry knows of an owner.
type OwnerView struct {
	ID        fleet.InstanceID
	Proximity Proximity
	// Distance orders owners of one place, such as by round-trip time.
	Distance time.Duration
	// Workloads are those that the owner's targets serve, with its spare starts.
	Workloads []wire.Spare
}

// PlannerParams are the constants of Spread. Zero fields take the defaults.
type PlannerParams struct {
	// Copies is the number of owners of the data centre with which each waiting
	// request is registered at once.
	Copies int
	// MaxRemoteOwners bounds the owners elsewhere for each customer and workload.
	MaxRemoteOwners int
	// RegionDelay and OtherRegionDelay are the waits of the oldest request after
	// which owners of the region's other data centres, and of other regions, are
	// asked as well.
	RegionDelay, OtherRegionDelay time.Duration
	// MinRemoteLag is how far, in cost units for one share, a customer must be behind one
	// that waits near an owner outside the data centre to be registered there though
	// that owner has no start to spare.
	MinRemoteLag int64
	// VirtualTime returns a customer's virtual time; nil registers none by FarLag.
	VirtualTime func(fleet.CustomerID) int64
}

// Defaults of SpreadParams.
const (
	DefaultCopies           = 2
	DefaultMaxRemoteOwners  = 2
	DefaultRegionDelay      = 50 * time.Millisecond
	DefaultOtherRegionDelay = 500 * time.Millisecond
	DefaultMinRemoteLag     = 4_000
)

func (p PlannerParams) withDefaults() PlannerParams {
	setDefault(&p.Copies, DefaultCopies)
	setDefault(&p.MaxRemoteOwners, DefaultMaxRemoteOwners)
	setDefault(&p.RegionDelay, DefaultRegionDelay)
	setDefault(&p.OtherRegionDelay, DefaultOtherRegionDelay)
	if p.MinRemoteLag <= 0 {
		p.MinRemoteLag = DefaultMinRemoteLag
	}
	return p
}

// Assignment is the demand to be registered with one owner, whole state.
type Assignment struct {
	Owner  fleet.InstanceID
	Demand []wire.Demand
}

// Planner plans with which owners an entry registers its demand. It keeps the
// owners and scratch memory.
type Planner struct {
	params PlannerParams
	self   fleet.InstanceID
	seed   maphash.Seed
	owners []OwnerView
	index  map[fleet.InstanceID]int
	groups map[fleet.Workload]*group
	plan   []Assignment
	near   []candidate
}

// candidate is an owner that serves the workload at hand.
type candidate struct {
	index int
	spare int
	// ahead is the virtual time that the owner told, noneAhead without any.
	ahead    int64
	distance time.Duration
	rank     uint64
}

// noneAhead stands for the virtual time told by an owner near which nobody waits.
const noneAhead = math.MaxInt64

// group is the owners that serve one workload, by place; those elsewhere are sorted
// by distance.
type group struct {
	near, region, distant []candidate
	// stale says that what owners told changed since it was read.
	stale bool
	// regionFree and distantFree are those with starts to spare.
	regionFree, distantFree []candidate
	// regionFull and distantFull are up to FarOwners of the others: those near which
	// nobody waits, then those whose customers are furthest ahead.
	regionFull, distantFull []candidate
}

// NewPlanner returns a planner for an entry.
func NewPlanner(self fleet.InstanceID, p PlannerParams) *Planner {
	return &Planner{params: p.withDefaults(), self: self, seed: maphash.MakeSeed()}
}

// SetOwners replaces the owners. The Spreader keeps the slice and the workloads.
// O(owners · workloads).
func (s *Planner) SetOwners(owners []OwnerView) {
	s.owners = owners
	s.index = make(map[fleet.InstanceID]int, len(owners))
	s.groups = map[fleet.Workload]*group{}
	s.plan = make([]Assignment, len(owners))
	for i := range owners {
		s.index[owners[i].ID] = i
		s.plan[i].Owner = owners[i].ID
		for _, w := range owners[i].Workloads {
			s.group(w.Workload).add(candidate{index: i, distance: owners[i].Distance}, owners[i].Proximity)
		}
	}
	nearest := func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) }
	for _, g := range s.groups {
		slices.SortStableFunc(g.region, nearest)
		slices.SortStableFunc(g.distant, nearest)
	}
}

func (s *Planner) group(w fleet.Workload) *group {
	g, ok := s.groups[w]
	if !ok {
		g = &group{stale: true}
		s.groups[w] = g
	}
	return g
}

func (g *group) add(c candidate, place Proximity) {
	switch place {
	case SameDataCentre:
		g.near = append(g.near, c)
	case SameRegion:
		g.region = append(g.region, c)
	default:
		g.distant = append(g.distant, c)
	}
}

// SetSpare takes what an owner told last of the workloads that it serves; one that is
// missing has no spare starts and nobody waiting. It has no effect for an instance
// that owns nothing. O(workloads²).
func (s *Planner) SetSpare(owner fleet.InstanceID, told []wire.Spare) {
	i, ok := s.index[owner]
	if !ok {
		return
	}
	workloads := s.owners[i].Workloads
	for n := range workloads {
		next := spareOf(told, workloads[n].Workload)
		if next != workloads[n] {
			workloads[n] = next
			s.groups[next.Workload].stale = true
		}
	}
}

func spareOf(told []wire.Spare, w fleet.Workload) wire.Spare {
	for _, t := range told {
		if t.Workload == w {
			return t
		}
	}
	return wire.Spare{Workload: w}
}

// Plan returns one assignment for each owner, in the order of the owners; the next
// call uses its memory again. Each waiting request is registered with at most Copies
// owners of the entry's data centre. When no owner there has a start to spare and the
// oldest request has waited RegionAfter, or none serves the workload, spare starts of
// the region's other owners are asked for as well, each request at most once;
// likewise those of other regions after ElsewhereAfter, nearest first. round changes
// which owners are asked when there are fewer requests than owners; raise it about
// once a second. An owner outside the data centre without a start to spare is asked
// after the same waits if nobody waits near it, so that the next start there finds
// work, or if a customer that does is FarLag ahead, so that data centres do not drift
// apart in what they serve; at most FarOwners of each place.
// O(owners of the demands' workloads + demands · owners near).
func (s *Planner) Plan(ds []wire.Demand, round uint64) []Assignment {
	for i := range s.plan {
		s.plan[i].Demand = s.plan[i].Demand[:0]
	}
	for _, d := range ds {
		if g, served := s.groups[d.Workload]; served {
			s.planOne(g, d, round)
		}
	}
	return s.plan
}

func (s *Planner) planOne(g *group, d wire.Demand, round uint64) {
	if g.stale {
		g.stale = false
		s.readSpare(g, d.Workload)
	}
	s.rankNear(g, d, round)
	s.spreadNear(s.plan, d)
	s.spreadLagging(s.plan, d, g.regionFull, s.params.RegionDelay)
	s.spreadLagging(s.plan, d, g.distantFull, s.params.OtherRegionDelay)
	if !s.exhausted(len(g.near), s.nearFree(), d, s.params.RegionDelay) {
		return
	}
	s.spreadFar(s.plan, d, g.regionFree)
	if s.exhausted(len(g.region), len(g.regionFree) > 0, d, s.params.OtherRegionDelay) {
		s.spreadFar(s.plan, d, g.distantFree)
	}
}

// readSpare takes what the owners told into their candidates.
func (s *Planner) readSpare(g *group, w fleet.Workload) {
	for i := range g.near {
		g.near[i].spare = spareOf(s.owners[g.near[i].index].Workloads, w).Count
	}
	g.regionFree, g.regionFull = s.divide(g.region, w, g.regionFree[:0], g.regionFull[:0])
	g.distantFree, g.distantFull = s.divide(g.distant, w, g.distantFree[:0], g.distantFull[:0])
}

// divide appends the owners with starts to spare to free, and those of the others that
// come first for a lagging customer to full.
func (s *Planner) divide(cs []candidate, w fleet.Workload, free, full []candidate) ([]candidate, []candidate) {
	for _, c := range cs {
		told := spareOf(s.owners[c.index].Workloads, w)
		c.spare, c.ahead = told.Count, told.Ahead
		if c.ahead == 0 {
			c.ahead = noneAhead
		}
		if c.spare > 0 {
			free = append(free, c)
		} else {
			full = insertAhead(full, c, s.params.MaxRemoteOwners)
		}
	}
	return free, full
}

// insertAhead keeps the most candidates that are furthest ahead, furthest first, and
// in the order of their insertion where they are level.
func insertAhead(cs []candidate, c candidate, most int) []candidate {
	i := len(cs)
	for i > 0 && cs[i-1].ahead < c.ahead {
		i--
	}
	if i == most {
		return cs
	}
	cs = slices.Insert(cs, i, c)
	return cs[:min(len(cs), most)]
}

// rankNear sorts the owners of the data centre for one demand.
func (s *Planner) rankNear(g *group, d wire.Demand, round uint64) {
	s.near = append(s.near[:0], g.near...)
	for i := range s.near {
		s.near[i].rank = s.rank(d, s.owners[s.near[i].index].ID, round)
	}
	slices.SortFunc(s.near, func(a, b candidate) int {
		if (a.spare > 0) == (b.spare > 0) {
			return cmp.Compare(a.rank, b.rank)
		}
		return cmp.Compare(b.spare, a.spare)
	})
}

// nearFree tells whether an owner of the data centre has a start to spare; those
// come first.
func (s *Planner) nearFree() bool { return len(s.near) > 0 && s.near[0].spare > 0 }

// rank is the rendezvous weight of an owner for this entry's demand.
func (s *Planner) rank(d wire.Demand, owner fleet.InstanceID, round uint64) uint64 {
	return maphash.Comparable(s.seed, struct {
		customer    fleet.CustomerID
		workload    fleet.Workload
		self, owner fleet.InstanceID
		round       uint64
	}{d.Customer, d.Workload, s.self, owner, round})
}

// exhausted reports whether none of n owners can take the demand now and it has
// waited long enough to ask further away.
func (s *Planner) exhausted(n int, free bool, d wire.Demand, after time.Duration) bool {
	if free {
		return false
	}
	waited := time.Duration(d.WaitMillis) * time.Millisecond
	return n == 0 || waited >= after
}

// spreadNear divides the waiting requests, Copies times each, over the owners of
// the data centre. No owner is told of more than wait.
func (s *Planner) spreadNear(plan []Assignment, d wire.Demand) {
	n := len(s.near)
	if n == 0 {
		return
	}
	units := d.Waiting * min(s.params.Copies, n)
	for i, c := range s.near {
		share := units / n
		if i < units%n {
			share++
		}
		assign(plan, c.index, d, share)
	}
}

// spreadFar registers at most the waiting requests, in all, with the nearest
// owners that have starts to spare.
func (s *Planner) spreadFar(plan []Assignment, d wire.Demand, cs []candidate) {
	left, asked := d.Waiting, 0
	for _, c := range cs {
		if left == 0 || asked == s.params.MaxRemoteOwners {
			return
		}
		share := min(left, c.spare)
		assign(plan, c.index, d, share)
		left -= share
		asked++
	}
}

// spreadLagging divides the waiting requests over those of the owners without spare
// starts, furthest ahead first, near which nobody waits or somebody who is FarLag ahead.
func (s *Planner) spreadLagging(plan []Assignment, d wire.Demand, full []candidate, after time.Duration) {
	waited := time.Duration(d.WaitMillis) * time.Millisecond
	if s.params.VirtualTime == nil || waited < after {
		return
	}
	mark := s.params.VirtualTime(d.Customer) + s.params.MinRemoteLag
	n := 0
	for n < len(full) && full[n].ahead > mark {
		n++
	}
	for i, c := range full[:n] {
		assign(plan, c.index, d, (d.Waiting+n-1-i)/n)
	}
}

func assign(plan []Assignment, owner int, d wire.Demand, waiting int) {
	if waiting == 0 {
		return
	}
	d.Waiting = waiting
	plan[owner].Demand = append(plan[owner].Demand, d)
}
