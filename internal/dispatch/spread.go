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

// Proximity is how near an owner is to an entry.
type Proximity int

// Values of Proximity, nearest first.
const (
	SameDataCentre Proximity = iota
	SameRegion
	OtherRegion
)

// OwnerView is an owner as seen from an entry.
type OwnerView struct {
	ID        fleet.InstanceID
	Proximity Proximity
	// Distance orders owners of the same proximity, for example by round-trip time.
	Distance time.Duration
	// Workloads are those that the owner's targets serve, with its spare starts.
	Workloads []wire.Spare
}

// PlannerParams are the parameters of a Planner. Zero fields take their defaults.
type PlannerParams struct {
	// Copies is the number of owners in the entry's data centre with which each waiting
	// request is registered at once.
	Copies int
	// MaxRemoteOwners bounds the remote owners, those outside the entry's data centre,
	// that are asked for each customer and workload. It applies separately to the same
	// region and to other regions.
	MaxRemoteOwners int
	// RegionDelay and OtherRegionDelay are how long the oldest request must have waited
	// before owners in the region's other data centres, and in other regions, are asked
	// as well.
	RegionDelay, OtherRegionDelay time.Duration
	// MinRemoteLag is how far, in cost units per share, a customer must be behind one
	// that waits in the data centre of a remote owner to be registered with that owner
	// even though it has no spare start.
	MinRemoteLag int64
	// VirtualTime returns a customer's virtual time. If it is nil, nothing is
	// registered with remote owners that have no spare start.
	VirtualTime func(fleet.CustomerID) int64
}

// Defaults of PlannerParams.
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

// Assignment is the full demand to be registered with one owner.
type Assignment struct {
	Owner  fleet.InstanceID
	Demand []wire.Demand
}

// Planner decides with which owners an entry registers its demand. It stores the owners
// and reuses the memory of its last plan.
type Planner struct {
	params PlannerParams
	self   fleet.InstanceID
	seed   maphash.Seed
	owners []OwnerView
	index  map[fleet.InstanceID]int
	groups map[fleet.Workload]*group
	plan   []Assignment
	local  []candidate
}

// candidate is an owner that serves the workload being planned.
type candidate struct {
	index int
	spare int
	// maxVirtualTime is the greatest virtual time that the owner reported, or
	// noneWaiting if it reported none.
	maxVirtualTime int64
	distance       time.Duration
	// rank is set by rankLocal.
	rank uint64
}

// noneWaiting is the maxVirtualTime of an owner in whose data centre nobody waits. It
// is greater than all others, so that such owners are asked first.
const noneWaiting = math.MaxInt64

// group holds the owners that serve one workload, by proximity. Those outside the data
// centre are sorted by distance.
type group struct {
	local, region, otherRegion []candidate
	// stale is set when an owner's report changed after the candidates were refreshed.
	stale bool
	// regionFree and otherRegionFree are the owners with spare starts.
	regionFree, otherRegionFree []candidate
	// regionFull and otherRegionFull are up to MaxRemoteOwners of the owners without
	// spare starts: first those in whose data centre nobody waits, then those whose
	// waiting customers have the greatest virtual time.
	regionFull, otherRegionFull []candidate
}

// NewPlanner returns a Planner for the entry self.
func NewPlanner(self fleet.InstanceID, p PlannerParams) *Planner {
	return &Planner{params: p.withDefaults(), self: self, seed: maphash.MakeSeed()}
}

// SetOwners replaces the owners. The Planner keeps and modifies the slice and its
// Workloads. O(owners · workloads).
func (p *Planner) SetOwners(owners []OwnerView) {
	p.owners = owners
	p.index = make(map[fleet.InstanceID]int, len(owners))
	p.groups = map[fleet.Workload]*group{}
	p.plan = make([]Assignment, len(owners))
	for i := range owners {
		p.index[owners[i].ID] = i
		p.plan[i].Owner = owners[i].ID
		for _, w := range owners[i].Workloads {
			p.group(w.Workload).add(candidate{index: i, distance: owners[i].Distance}, owners[i].Proximity)
		}
	}
	byDistance := func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) }
	for _, g := range p.groups {
		slices.SortStableFunc(g.region, byDistance)
		slices.SortStableFunc(g.otherRegion, byDistance)
	}
}

// group returns the group of workload w, which it creates if needed.
func (p *Planner) group(w fleet.Workload) *group {
	g, ok := p.groups[w]
	if !ok {
		g = &group{stale: true}
		p.groups[w] = g
	}
	return g
}

func (g *group) add(c candidate, proximity Proximity) {
	switch proximity {
	case SameDataCentre:
		g.local = append(g.local, c)
	case SameRegion:
		g.region = append(g.region, c)
	default:
		g.otherRegion = append(g.otherRegion, c)
	}
}

// SetSpare replaces what an owner last reported about the workloads that it serves. A
// workload that is missing from the report has no spare starts and nobody waiting.
// SetSpare has no effect for an instance that owns no targets. O(workloads²).
func (p *Planner) SetSpare(owner fleet.InstanceID, reported []wire.Spare) {
	i, ok := p.index[owner]
	if !ok {
		return
	}
	workloads := p.owners[i].Workloads
	for n := range workloads {
		next := spareOf(reported, workloads[n].Workload)
		if next != workloads[n] {
			workloads[n] = next
			p.groups[next.Workload].stale = true
		}
	}
}

// spareOf returns the report on workload w, or an empty one if there is none.
func spareOf(reported []wire.Spare, w fleet.Workload) wire.Spare {
	for _, spare := range reported {
		if spare.Workload == w {
			return spare
		}
	}
	return wire.Spare{Workload: w}
}

// Plan returns one assignment for each owner, in the order of the owners. The next call
// reuses the memory of the result.
//
// Each waiting request is registered with at most Copies owners in the entry's data
// centre. If no owner there has a spare start and the oldest request has waited
// RegionDelay, or if none serves the workload, spare starts of the region's other
// owners are requested as well, at most one for each request. In the same way those of
// other regions are requested after OtherRegionDelay. The nearest owners are asked
// first.
//
// After the same delays, requests are also registered with remote owners that have no
// spare start, at most MaxRemoteOwners in the same region and as many in other regions.
// Such an owner is asked if nobody waits in its data centre, so that the next start
// there finds work, or if a customer that waits there is MinRemoteLag ahead, to limit
// how far the service that customers get differs between data centres.
//
// round changes which owners are asked when there are fewer requests than owners; raise
// it about once a second. O(owners of the demands' workloads + demands · local owners).
func (p *Planner) Plan(ds []wire.Demand, round uint64) []Assignment {
	for i := range p.plan {
		p.plan[i].Demand = p.plan[i].Demand[:0]
	}
	for _, d := range ds {
		if g, served := p.groups[d.Workload]; served {
			p.planDemand(g, d, round)
		}
	}
	return p.plan
}

// planDemand adds one customer's demand for one workload to the plan.
func (p *Planner) planDemand(g *group, d wire.Demand, round uint64) {
	if g.stale {
		g.stale = false
		p.refreshCandidates(g, d.Workload)
	}
	p.rankLocal(g, d, round)
	p.assignLocal(p.plan, d)
	p.assignLagging(p.plan, d, g.regionFull, p.params.RegionDelay)
	p.assignLagging(p.plan, d, g.otherRegionFull, p.params.OtherRegionDelay)
	if !p.exhausted(len(g.local), p.localFree(), d, p.params.RegionDelay) {
		return
	}
	p.assignRemote(p.plan, d, g.regionFree)
	if p.exhausted(len(g.region), len(g.regionFree) > 0, d, p.params.OtherRegionDelay) {
		p.assignRemote(p.plan, d, g.otherRegionFree)
	}
}

// refreshCandidates copies the owners' latest reports on workload w into its
// candidates.
func (p *Planner) refreshCandidates(g *group, w fleet.Workload) {
	for i := range g.local {
		g.local[i].spare = spareOf(p.owners[g.local[i].index].Workloads, w).Count
	}
	g.regionFree, g.regionFull = p.splitBySpare(g.region, w, g.regionFree[:0], g.regionFull[:0])
	g.otherRegionFree, g.otherRegionFull = p.splitBySpare(g.otherRegion, w, g.otherRegionFree[:0], g.otherRegionFull[:0])
}

// splitBySpare appends the owners with spare starts to free, and up to MaxRemoteOwners
// of the others to full, in the order of insertByVirtualTime.
func (p *Planner) splitBySpare(cs []candidate, w fleet.Workload, free, full []candidate) ([]candidate, []candidate) {
	for _, c := range cs {
		reported := spareOf(p.owners[c.index].Workloads, w)
		c.spare, c.maxVirtualTime = reported.Count, reported.MaxVirtualTime
		if c.maxVirtualTime == 0 {
			c.maxVirtualTime = noneWaiting
		}
		if c.spare > 0 {
			free = append(free, c)
		} else {
			full = insertByVirtualTime(full, c, p.params.MaxRemoteOwners)
		}
	}
	return free, full
}

// insertByVirtualTime inserts c into cs, which is sorted by descending maxVirtualTime,
// after those that are equal, and returns at most limit candidates.
func insertByVirtualTime(cs []candidate, c candidate, limit int) []candidate {
	i := len(cs)
	for i > 0 && cs[i-1].maxVirtualTime < c.maxVirtualTime {
		i--
	}
	if i == limit {
		return cs
	}
	cs = slices.Insert(cs, i, c)
	return cs[:min(len(cs), limit)]
}

// rankLocal sorts the local owners for one demand: first those with spare starts, then
// the others, each of the two groups by rank.
func (p *Planner) rankLocal(g *group, d wire.Demand, round uint64) {
	p.local = append(p.local[:0], g.local...)
	for i := range p.local {
		p.local[i].rank = p.rank(d, p.owners[p.local[i].index].ID, round)
	}
	slices.SortFunc(p.local, func(a, b candidate) int {
		if (a.spare > 0) == (b.spare > 0) {
			return cmp.Compare(a.rank, b.rank)
		}
		return cmp.Compare(b.spare, a.spare)
	})
}

// localFree reports whether a local owner has a spare start. rankLocal sorts those
// first.
func (p *Planner) localFree() bool { return len(p.local) > 0 && p.local[0].spare > 0 }

// rank returns the rendezvous hash of an owner for this entry's demand.
func (p *Planner) rank(d wire.Demand, owner fleet.InstanceID, round uint64) uint64 {
	return maphash.Comparable(p.seed, struct {
		customer    fleet.CustomerID
		workload    fleet.Workload
		self, owner fleet.InstanceID
		round       uint64
	}{d.Customer, d.Workload, p.self, owner, round})
}

// exhausted reports whether owners further away are to be asked. n is the number of
// nearer owners that serve the workload, and free is set if one of them has a spare
// start. Owners further away are asked if n is 0, or if there is no spare start and the
// demand has waited at least the duration after.
func (p *Planner) exhausted(n int, free bool, d wire.Demand, after time.Duration) bool {
	if free {
		return false
	}
	waited := time.Duration(d.WaitMillis) * time.Millisecond
	return n == 0 || waited >= after
}

// assignLocal distributes the waiting requests, Copies times each, over the local
// owners. No owner is assigned more requests than are waiting.
func (p *Planner) assignLocal(plan []Assignment, d wire.Demand) {
	n := len(p.local)
	if n == 0 {
		return
	}
	units := d.Waiting * min(p.params.Copies, n)
	for i, c := range p.local {
		share := units / n
		if i < units%n {
			share++
		}
		assign(plan, c.index, d, share)
	}
}

// assignRemote assigns each waiting request at most once, to the nearest owners with
// spare starts.
func (p *Planner) assignRemote(plan []Assignment, d wire.Demand, cs []candidate) {
	left, asked := d.Waiting, 0
	for _, c := range cs {
		if left == 0 || asked == p.params.MaxRemoteOwners {
			return
		}
		share := min(left, c.spare)
		assign(plan, c.index, d, share)
		left -= share
		asked++
	}
}

// assignLagging distributes the waiting requests over owners without spare starts, once
// the oldest has waited at least the duration after. It asks the owners in whose data
// centre nobody waits or a waiting customer is MinRemoteLag ahead. If the requests do
// not divide evenly, the owners that come first in full, which are furthest ahead, get
// one more.
func (p *Planner) assignLagging(plan []Assignment, d wire.Demand, full []candidate, after time.Duration) {
	waited := time.Duration(d.WaitMillis) * time.Millisecond
	if p.params.VirtualTime == nil || waited < after {
		return
	}
	threshold := p.params.VirtualTime(d.Customer) + p.params.MinRemoteLag
	n := 0
	for n < len(full) && full[n].maxVirtualTime > threshold {
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
