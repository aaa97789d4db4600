package scheduler

import (
	"slices"
	"strconv"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Constants of the target lists.
const (
	// regionDistance is the cost of sending a request to another region: a round trip and
	// the cost of the transferred bytes, as a time.
	regionDistance = 45 * time.Millisecond
	// dataCentreDistance is the same for another data centre of the same region.
	dataCentreDistance = 5 * time.Millisecond
)

// usableTarget is a target that may get requests, with the derived values that decisions
// need and that change only with the target list or the set of live instances. They are
// kept because a waiting job is decided on dozens of times a second, each time over all
// targets of its service.
type usableTarget struct {
	entry *inventory.Entry
	state *targetState
	// startID identifies this start of the target: a restarted target has an empty cache.
	startID  fleet.TargetID
	hash     uint64
	region   fleet.RegionID
	distance time.Duration
	// rank is this instance's position, from 0, among the instances that share the starts on
	// the target. It is valid if rankKnown is set.
	rank      int
	rankKnown bool
	// entryRank and entryRankKnown are the same among the entries.
	entryRank      int
	entryRankKnown bool
	chances        startChances
	// setAside is set for an engine that is set aside for long prefills.
	setAside bool
	belief   *loadreport.Belief
}

// targetList holds the usable targets of one service. generation identifies the version
// of the list.
type targetList struct {
	generation uint64
	targets    []usableTarget
	// isolates is set if some of the targets are set aside for long prefills.
	isolates bool
	// index is the position of each target by its id.
	index map[fleet.TargetID]int
}

// invalidateTargetLists drops all target lists, so that they are built anew. s.mu must be
// held.
func (s *Scheduler) invalidateTargetLists() {
	clear(s.targetLists)
	s.generation++
}

// targetListFor returns the usable targets of the job's service, building the list if
// needed. s.mu must be held.
func (s *Scheduler) targetListFor(j *Job, now clock.Instant) *targetList {
	list, ok := s.targetLists[j.Service.ID]
	if !ok {
		list = &targetList{generation: s.generation, index: make(map[fleet.TargetID]int)}
		for _, e := range s.inventory.Usable(j.Service.ID, j.Service.ColdPeriod, now) {
			list.index[e.ID] = len(list.targets)
			list.targets = append(list.targets, s.usableTarget(e))
		}
		s.setAside(j.Service.ID, list)
		s.targetLists[j.Service.ID] = list
	}
	return list
}

// usableTarget computes the derived values of a target. s.mu must be held.
func (s *Scheduler) usableTarget(e *inventory.Entry) usableTarget {
	return usableTarget{
		entry:    e,
		state:    s.target(e.ID),
		startID:  e.ID + "@" + fleet.TargetID(strconv.FormatInt(e.StartMillis, 10)),
		hash:     membership.Hash(string(e.ID)),
		region:   s.options.Regions[e.DataCentre],
		distance: s.distance(e.DataCentre),
		belief:   s.loads.reports.Of(e.ID),
	}
}

// distance returns the cost of sending a request to a data centre, as a time.
func (s *Scheduler) distance(dc fleet.DataCentreID) time.Duration {
	switch {
	case dc == s.options.DataCentre:
		return 0
	case s.options.Regions[dc] == s.options.Regions[s.options.DataCentre]:
		return dataCentreDistance
	}
	return regionDistance
}

// candidates returns the targets that may get the job now: as candidates for placement
// and, in the same order, as usable targets. The slices are valid until the next call. It
// also notes in the job when the first of the others may get it. s.mu must be held.
func (s *Scheduler) candidates(j *Job, list *targetList, now clock.Instant) ([]placement.Candidate, []*usableTarget) {
	j.rankTargets(list)
	candidates, from := s.candidateBuffer[:0], s.targetBuffer[:0]
	j.heldTargets, j.heldUntil = 0, 0
	s.locate(j, list, now)
	for i := range list.targets {
		target := &list.targets[i]
		if !j.allows(target) {
			continue
		}
		if t := target.state; now < t.avoidUntil || t.probing {
			j.waitUntil(max(t.avoidUntil, now))
			continue
		}
		if next := s.nextStart(j, target, now); next > now {
			j.heldTargets++
			j.waitUntil(next)
			continue
		}
		c := s.candidate(j, target, j.rankOf(i), now)
		c.Interference = j.interference(list, target)
		candidates = append(candidates, c)
		from = append(from, target)
	}
	s.candidateBuffer, s.targetBuffer = candidates, from
	return candidates, from
}

// ownLoad returns this instance's load on a target on which peers have a load, too. While the
// processor is late, first events are noticed late: unread tokens then count as far as they cannot
// have been prefilled meanwhile. s.mu must be held.
func (s *Scheduler) ownLoad(t *targetState, peers placement.Load, now clock.Instant) placement.Load {
	own := t.ownLoad
	if own.Unread <= 0 || t.speed == 0 || s.processor.Delay < maxObservedDelay {
		return own
	}
	part := float64(own.Unread) / float64(own.Unread+max(peers.Unread, 0))
	own.Unread = t.backlog.drain(own.Unread, t.speed, part, now)
	return own
}

// allows reports whether a target may get the job at any time.
func (j *Job) allows(target *usableTarget) bool {
	return !slices.Contains(j.excluded, target.entry.ID) && (j.AnyRegion || slices.Contains(j.Regions, target.region))
}

// candidate returns the description of a target for placement.
func (s *Scheduler) candidate(j *Job, target *usableTarget, rank int, now clock.Instant) placement.Candidate {
	peers := s.exchange.PeerLoad(target.entry.ID, now)
	c := placement.Candidate{
		Load:        s.ownLoad(target.state, peers, now).Add(peers),
		Slots:       target.entry.Slots,
		Rank:        rank,
		Distance:    target.distance,
		FailureRate: target.state.failureRate,
		Speed:       target.state.speed,
		Key:         target.hash,
	}
	if j.Service.Engine == nil {
		c.Slots *= plainSlotFactor
		s.applyReport(j, &c, target, now)
		return c
	}
	s.applyReport(j, &c, target, now)
	if s.prefixes.located.inForce {
		c.Memory = int(memoryFraction * float64(j.Service.Engine.MemoryTokens))
		s.describeCopy(j, target, &c, now)
		return c
	}
	c.Memory = int(memoryFraction * float64(j.Service.Engine.MemoryTokens))
	c.Cached = j.cachedTokens(s.cache.Cached(target.startID, j.prefixes))
	// The home target counts as having all shared parts cached.
	if j.homeHash != 0 && rank == 0 {
		c.Cached = j.sharedTokens
	}
	return c
}
