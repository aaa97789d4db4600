package scheduler

import (
	"slices"
	"strconv"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/pacing"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Constants of what is known of targets.
const (
	// regionDistance is a round trip between regions and what the bytes are worth.
	regionDistance = 45 * time.Millisecond
	// centreDistance is the same between data centres of one region.
	centreDistance = 5 * time.Millisecond
	// coldSponsors is the most instances that start work on one cold target.
	coldSponsors = 6
)

// prospect is a usable target with what decisions need of it and only a new listing or
// a new view of the fleet changes. A waiting job is decided on dozens of times a second,
// each time over all targets of its service.
type prospect struct {
	entry *inventory.Entry
	state *targetState
	// run names this start of the target: one that starts again has an empty cache.
	run      fleet.TargetID
	hash     uint64
	region   fleet.RegionID
	distance time.Duration
	// coldRank is this instance's position among those that may start work on the
	// target while it is cold, from 0; coldSponsors or more for none.
	coldRank  int
	coldKnown bool
}

// prospects are the usable targets of one service; listing tells one list from another.
type prospects struct {
	listing uint64
	all     []prospect
}

// forgetProspects drops what was derived from the listing. The mutex is held.
func (s *Scheduler) forgetProspects() {
	clear(s.usable)
	s.listing++
}

// prospectsOf returns the targets of the job's service that may get work at all.
func (s *Scheduler) prospectsOf(j *Job, now clock.Instant) *prospects {
	known, ok := s.usable[j.Service.ID]
	if !ok {
		known = &prospects{listing: s.listing}
		for _, e := range s.inventory.Usable(j.Service.ID, j.Service.ColdFor, now) {
			known.all = append(known.all, s.prospect(e))
		}
		s.usable[j.Service.ID] = known
	}
	return known
}

func (s *Scheduler) prospect(e *inventory.Entry) prospect {
	return prospect{
		entry:    e,
		state:    s.target(e.ID),
		run:      e.ID + "@" + fleet.TargetID(strconv.FormatInt(e.Started, 10)),
		hash:     membership.Hash(string(e.ID)),
		region:   s.options.Regions[e.DataCentre],
		distance: s.distance(e.DataCentre),
	}
}

// distance is the cost of the way to a data centre.
func (s *Scheduler) distance(dc fleet.DataCentreID) time.Duration {
	switch {
	case dc == s.options.DataCentre:
		return 0
	case s.options.Regions[dc] == s.options.Regions[s.options.DataCentre]:
		return centreDistance
	}
	return regionDistance
}

// candidates returns the targets that may get the job now, as placement sees them. The
// slices are valid until the next call.
func (s *Scheduler) candidates(j *Job, known *prospects, now clock.Instant) ([]placement.Candidate, []*prospect) {
	j.rankHomes(known)
	candidates, from := s.candidateBuffer[:0], s.prospectBuffer[:0]
	for i := range known.all {
		to := &known.all[i]
		if !s.allowed(j, to, now) {
			continue
		}
		candidates = append(candidates, s.candidate(j, to, j.rankOf(i), now))
		from = append(from, to)
	}
	s.candidateBuffer, s.prospectBuffer = candidates, from
	return candidates, from
}

// allowed reports whether a target may get the job now, its load apart.
func (s *Scheduler) allowed(j *Job, to *prospect, now clock.Instant) bool {
	if slices.Contains(j.excluded, to.entry.ID) {
		return false
	}
	if !j.AnyRegion && !slices.Contains(j.Regions, to.region) {
		return false
	}
	t := to.state
	if now < t.avoidUntil || t.trial {
		return false
	}
	if to.entry.IsCold(now) && j.Service.ColdRate > 0 {
		return t.starts.Count(now) < s.coldShare(to, j.Service.ColdRate)
	}
	return true
}

// coldShare returns how many starts a second this instance may make on a cold target:
// rendezvous hashing names the instances that share it.
func (s *Scheduler) coldShare(to *prospect, rate float64) int {
	sponsors := min(len(s.alive), coldSponsors)
	if !to.coldKnown {
		to.coldRank, to.coldKnown = s.coldRank(to.entry.ID), true
	}
	if to.coldRank >= sponsors {
		return 0
	}
	// Alone in its view an instance still takes no more than its part in a fleet of
	// coldSponsors: the others may only be out of sight.
	return pacing.ColdShare(rate, max(sponsors, coldSponsors), to.coldRank)
}

// coldRank returns this instance's position among those that share a cold target.
func (s *Scheduler) coldRank(id fleet.TargetID) int {
	members := make([]fleet.InstanceID, 0, len(s.alive))
	for _, m := range s.alive {
		members = append(members, m.ID)
	}
	rank := slices.Index(membership.Rank(string(id), members), s.options.Self)
	if rank < 0 {
		return coldSponsors
	}
	return rank
}

// candidate describes a target for placement.
func (s *Scheduler) candidate(j *Job, to *prospect, rank int, now clock.Instant) placement.Candidate {
	c := placement.Candidate{
		Load:        to.state.own.Add(s.exchange.Others(to.entry.ID, now)),
		Slots:       to.entry.Slots,
		Rank:        rank,
		Distance:    to.distance,
		FailureRate: to.state.failing,
	}
	if j.Service.Engine == nil {
		c.Slots *= plainOverbook
		return c
	}
	c.Memory = int(memoryUse * float64(j.Service.Engine.MemoryTokens))
	c.Cached = j.cachedTokens(s.cache.Cached(to.run, j.prefixes))
	if j.home != 0 && rank == 0 {
		c.Cached = j.sharedTokens
	}
	return c
}
