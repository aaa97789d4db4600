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

// Place says where an owner stands as seen from the entry.
type Place int

// The places of an owner, nearest first.
const (
	PlaceDataCentre Place = iota
	PlaceRegion
	PlaceElsewhere
)

// OwnerView is what an entry knows of an owner.
type OwnerView struct {
	ID    fleet.InstanceID
	Place Place
	// Distance orders owners of one place, such as by round-trip time.
	Distance time.Duration
	// Workloads are those that the owner's targets serve, with its spare starts.
	Workloads []wire.Spare
}

// serves returns what the owner told of a workload and whether it serves it.
func (v *OwnerView) serves(w fleet.Workload) (wire.Spare, bool) {
	for _, s := range v.Workloads {
		if s.Workload == w {
			return s, true
		}
	}
	return wire.Spare{}, false
}

// SpreadParams are the constants of Spread. Zero fields take the defaults.
type SpreadParams struct {
	// Copies is the number of owners of the data centre with which each waiting
	// request is registered at once.
	Copies int
	// FarOwners bounds the owners elsewhere for each customer and workload.
	FarOwners int
	// RegionAfter and ElsewhereAfter are the waits of the oldest request after
	// which owners of the region's other data centres, and of other regions, are
	// asked as well.
	RegionAfter, ElsewhereAfter time.Duration
	// FarLag is how far, in cost units for one share, a customer must be behind one
	// that waits near an owner outside the data centre to be registered there though
	// that owner has no start to spare.
	FarLag int64
	// VirtualTime returns a customer's virtual time; nil registers none by FarLag.
	VirtualTime func(fleet.CustomerID) int64
}

// Defaults of SpreadParams.
const (
	DefaultCopies         = 2
	DefaultFarOwners      = 2
	DefaultRegionAfter    = 50 * time.Millisecond
	DefaultElsewhereAfter = 500 * time.Millisecond
	DefaultFarLag         = 4_000
)

func (p SpreadParams) withDefaults() SpreadParams {
	setDefault(&p.Copies, DefaultCopies)
	setDefault(&p.FarOwners, DefaultFarOwners)
	setDefault(&p.RegionAfter, DefaultRegionAfter)
	setDefault(&p.ElsewhereAfter, DefaultElsewhereAfter)
	if p.FarLag <= 0 {
		p.FarLag = DefaultFarLag
	}
	return p
}

// Assignment is the demand to be registered with one owner, whole state.
type Assignment struct {
	Owner  fleet.InstanceID
	Demand []wire.Demand
}

// Spreader plans with which owners an entry registers its demand. It keeps only
// scratch memory.
type Spreader struct {
	params  SpreadParams
	self    fleet.InstanceID
	seed    maphash.Seed
	near    []candidate
	region  []candidate
	distant []candidate
	lagging []candidate
}

// candidate is an owner that serves the workload at hand.
type candidate struct {
	index    int
	spare    int
	ahead    int64
	distance time.Duration
	rank     uint64
}

// NewSpreader returns a planner for an entry.
func NewSpreader(self fleet.InstanceID, p SpreadParams) *Spreader {
	return &Spreader{params: p.withDefaults(), self: self, seed: maphash.MakeSeed()}
}

// Plan returns one assignment for each owner, in the order of owners. Each waiting
// request is registered with at most Copies owners of the entry's data centre.
// When no owner there has a start to spare and the oldest request has waited
// RegionAfter, or none serves the workload, spare starts of the region's other
// owners are asked for as well, each request at most once; likewise those of other
// regions after ElsewhereAfter, nearest first. round changes which owners are
// asked when there are fewer requests than owners; raise it about once a second.
// An owner outside the data centre without a start to spare is asked after the same
// waits if nobody waits near it, so that the next start there finds work, or if a
// customer that does is FarLag ahead, so that data centres do not drift apart in what
// they serve; at most FarOwners of each place.
// O(demands · owners).
func (s *Spreader) Plan(ds []wire.Demand, owners []OwnerView, round uint64) []Assignment {
	plan := make([]Assignment, len(owners))
	for i := range owners {
		plan[i].Owner = owners[i].ID
	}
	for _, d := range ds {
		s.classify(d, owners, round)
		s.spreadNear(plan, d)
		s.spreadLagging(plan, d, s.region, s.params.RegionAfter)
		s.spreadLagging(plan, d, s.distant, s.params.ElsewhereAfter)
		if !s.exhausted(s.near, d, s.params.RegionAfter) {
			continue
		}
		s.spreadFar(plan, d, s.region)
		if s.exhausted(s.region, d, s.params.ElsewhereAfter) {
			s.spreadFar(plan, d, s.distant)
		}
	}
	return plan
}

// classify sorts the owners that serve the demand's workload by place.
func (s *Spreader) classify(d wire.Demand, owners []OwnerView, round uint64) {
	s.near, s.region, s.distant = s.near[:0], s.region[:0], s.distant[:0]
	for i := range owners {
		told, serves := owners[i].serves(d.Workload)
		if !serves {
			continue
		}
		c := candidate{index: i, spare: told.Count, ahead: told.Ahead, distance: owners[i].Distance}
		switch owners[i].Place {
		case PlaceDataCentre:
			c.rank = s.rank(d, owners[i].ID, round)
			s.near = append(s.near, c)
		case PlaceRegion:
			s.region = append(s.region, c)
		default:
			s.distant = append(s.distant, c)
		}
	}
	slices.SortFunc(s.near, func(a, b candidate) int {
		if (a.spare > 0) == (b.spare > 0) {
			return cmp.Compare(a.rank, b.rank)
		}
		return cmp.Compare(b.spare, a.spare)
	})
	nearest := func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) }
	slices.SortStableFunc(s.region, nearest)
	slices.SortStableFunc(s.distant, nearest)
}

// rank is the rendezvous weight of an owner for this entry's demand.
func (s *Spreader) rank(d wire.Demand, owner fleet.InstanceID, round uint64) uint64 {
	return maphash.Comparable(s.seed, struct {
		customer    fleet.CustomerID
		workload    fleet.Workload
		self, owner fleet.InstanceID
		round       uint64
	}{d.Customer, d.Workload, s.self, owner, round})
}

// exhausted reports whether none of cs can take the demand now and it has waited
// long enough to ask further away.
func (s *Spreader) exhausted(cs []candidate, d wire.Demand, after time.Duration) bool {
	for _, c := range cs {
		if c.spare > 0 {
			return false
		}
	}
	waited := time.Duration(d.WaitMillis) * time.Millisecond
	return len(cs) == 0 || waited >= after
}

// spreadNear divides the waiting requests, Copies times each, over the owners of
// the data centre. No owner is told of more than wait.
func (s *Spreader) spreadNear(plan []Assignment, d wire.Demand) {
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
func (s *Spreader) spreadFar(plan []Assignment, d wire.Demand, cs []candidate) {
	left, asked := d.Waiting, 0
	for _, c := range cs {
		if left == 0 || asked == s.params.FarOwners {
			return
		}
		if c.spare <= 0 {
			continue
		}
		share := min(left, c.spare)
		assign(plan, c.index, d, share)
		left -= share
		asked++
	}
}

// spreadLagging divides the waiting requests over owners without spare starts at
// which nobody waits from near, then those at which one does that is FarLag ahead.
func (s *Spreader) spreadLagging(plan []Assignment, d wire.Demand, cs []candidate, after time.Duration) {
	waited := time.Duration(d.WaitMillis) * time.Millisecond
	if s.params.VirtualTime == nil || waited < after {
		return
	}
	mark := s.params.VirtualTime(d.Customer) + s.params.FarLag
	s.lagging = s.lagging[:0]
	for _, c := range cs {
		if c.ahead == 0 {
			c.ahead = math.MaxInt64
		}
		if c.spare <= 0 && c.ahead > mark {
			s.lagging = append(s.lagging, c)
		}
	}
	slices.SortStableFunc(s.lagging, func(a, b candidate) int { return cmp.Compare(b.ahead, a.ahead) })
	n := min(len(s.lagging), s.params.FarOwners)
	for i, c := range s.lagging[:n] {
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
