package scheduler

import (
	"cmp"
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

// Constants of the decision.
const (
	// plainWork is the assumed time of a call of a plain service.
	plainWork = 15 * time.Millisecond
	// plainOverbook lets plain services queue a few requests beside those that run.
	plainOverbook = 2
	// memoryUse is the part of an engine's memory given to running requests; the rest
	// holds shared parts and what outgrows its estimate.
	memoryUse = 0.75
	// regionDistance is a round trip between regions and what the bytes are worth.
	regionDistance = 45 * time.Millisecond
	// centreDistance is the same between data centres of one region.
	centreDistance = 5 * time.Millisecond
	// spareWait is the longest expected wait at a target that a customer beyond its
	// share may add to, and idleWait the same for one that has also had its share of
	// what is left over.
	spareWait = 80 * time.Millisecond
	idleWait  = 40 * time.Millisecond
	// lateWait is the same for a request that can no longer meet its objective: while
	// not all can be served, those that can go first.
	lateWait = 10 * time.Millisecond
	// spareSlots is the part of a target's slots that such a customer may fill.
	spareSlots = 0.7
	// shareWait bounds the expected wait at a target for customers within their share,
	// as a multiple of the route's objective: past it a request waits here, where it
	// can still go elsewhere.
	shareWait = 1.0
	// defaultShareWait is used by routes without an objective.
	defaultShareWait = 500 * time.Millisecond
	// coldSponsors is the most instances that start work on one cold target.
	coldSponsors = 6
)

// verdict is the outcome of a decision: a placement, a refusal, or neither, which
// means to wait.
type verdict struct {
	placement *Placement
	refusal   *Refusal
}

// decide places a job, refuses it, or leaves it to wait. The mutex is held.
func (s *Scheduler) decide(j *Job, now clock.Instant) verdict {
	switch {
	case now >= j.Deadline:
		return verdict{refusal: &Refusal{Reason: ReasonDeadline}}
	case s.isSuspect(j.Fingerprint, now):
		return verdict{refusal: &Refusal{Reason: ReasonSuspect}}
	case s.tooLarge(j):
		return verdict{refusal: &Refusal{Reason: ReasonTooLarge}}
	}
	entries := s.usableTargets(j, now)
	candidates, from := s.candidates(j, entries, now)
	choice, ok := placement.Pick(j.request(), candidates)
	if !ok || !s.mayStart(j, &candidates[choice.Index], choice, now) {
		return verdict{}
	}
	return verdict{placement: s.start(j, from[choice.Index], candidates[choice.Index], choice, now)}
}

// tooLarge reports whether no engine of the service can ever hold the job.
func (s *Scheduler) tooLarge(j *Job) bool {
	e := j.Service.Engine
	return e != nil && e.MemoryTokens > 0 && j.Prompt+j.Output > e.MemoryTokens
}

// mayStart applies the customers' shares: within its share of the published throughput
// a customer may fill the targets; within its share of what they really do it may add
// to short waits; beyond that it gets only what would idle.
func (s *Scheduler) mayStart(j *Job, c *placement.Candidate, choice placement.Choice, now clock.Instant) bool {
	if j.Service.Engine == nil {
		return true
	}
	used, shares := s.meter.Used(j.Customer, now), s.shares(now)
	if used < shares.owed {
		limit := time.Duration(shareWait * float64(j.Route.Objective))
		if j.Route.Objective == 0 {
			limit = defaultShareWait
		}
		return choice.Wait <= limit
	}
	limit := idleWait
	switch {
	case j.isLate():
		limit = lateWait
	case used < shares.reached:
		limit = spareWait
	}
	return choice.Wait <= limit && float64(c.Load.Running) < spareSlots*float64(c.Slots)
}

// usableTargets returns the targets of the job's service that may get work at all.
func (s *Scheduler) usableTargets(j *Job, now clock.Instant) []*inventory.Entry {
	entries, ok := s.usable[j.Service.ID]
	if !ok {
		entries = s.inventory.Usable(j.Service.ID, j.Service.ColdFor, now)
		s.usable[j.Service.ID] = entries
	}
	return entries
}

// candidates returns the targets that may get the job now, as placement sees them.
func (s *Scheduler) candidates(j *Job, entries []*inventory.Entry, now clock.Instant) ([]placement.Candidate, []*inventory.Entry) {
	ranks := homeRanks(j, entries)
	candidates := make([]placement.Candidate, 0, len(entries))
	from := make([]*inventory.Entry, 0, len(entries))
	for i, e := range entries {
		if !s.allowed(j, e, now) {
			continue
		}
		candidates = append(candidates, s.candidate(j, e, ranks[i], now))
		from = append(from, e)
	}
	return candidates, from
}

// homeRanks returns the position of each target in the rendezvous order of the job's
// home; all are 0 for a job without one.
func homeRanks(j *Job, entries []*inventory.Entry) []int {
	ranks := make([]int, len(entries))
	if j.home == 0 {
		return ranks
	}
	type scored struct {
		index int
		score uint64
	}
	order := make([]scored, len(entries))
	for i, e := range entries {
		order[i] = scored{index: i, score: membership.Score(j.home, membership.Hash(string(e.ID)))}
	}
	slices.SortFunc(order, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for rank, o := range order {
		ranks[o.index] = rank
	}
	return ranks
}

// allowed reports whether a target may get the job now, its load apart.
func (s *Scheduler) allowed(j *Job, e *inventory.Entry, now clock.Instant) bool {
	if slices.Contains(j.excluded, e.ID) {
		return false
	}
	if !j.AnyRegion && !slices.Contains(j.Regions, s.options.Regions[e.DataCentre]) {
		return false
	}
	t := s.target(e.ID)
	if now < t.avoidUntil || t.trial {
		return false
	}
	if e.IsCold(now) && j.Service.ColdRate > 0 {
		return t.starts.Count(now) < s.coldShare(e.ID, j.Service.ColdRate)
	}
	return true
}

// coldShare returns how many starts a second this instance may make on a cold target:
// rendezvous hashing names the instances that share it.
func (s *Scheduler) coldShare(id fleet.TargetID, rate float64) int {
	members := make([]fleet.InstanceID, 0, len(s.alive))
	for _, m := range s.alive {
		members = append(members, m.ID)
	}
	sponsors := min(len(members), coldSponsors)
	rank := slices.Index(membership.Rank(string(id), members), s.options.Self)
	if rank < 0 || rank >= sponsors {
		return 0
	}
	// Alone in its view an instance still takes no more than its part in a fleet of
	// coldSponsors: the others may only be out of sight.
	return pacing.ColdShare(rate, max(sponsors, coldSponsors), rank)
}

// candidate describes a target for placement.
func (s *Scheduler) candidate(j *Job, e *inventory.Entry, rank int, now clock.Instant) placement.Candidate {
	t := s.target(e.ID)
	c := placement.Candidate{
		Load:     t.own.Add(s.exchange.Others(e.ID, now)),
		Slots:    e.Slots,
		Rank:     rank,
		Distance: s.distance(e.DataCentre),
		Failing:  t.failing,
	}
	if j.Service.Engine == nil {
		c.Slots *= plainOverbook
		return c
	}
	c.Memory = int(memoryUse * float64(j.Service.Engine.MemoryTokens))
	c.Cached = j.cachedTokens(s.cache.Cached(runOf(e), j.prefixes))
	if j.home != 0 && rank == 0 {
		c.Cached = j.sharedTokens
	}
	return c
}

// runOf names one run of a target: one that starts again has an empty cache.
func runOf(e *inventory.Entry) fleet.TargetID {
	return e.ID + "@" + fleet.TargetID(strconv.FormatInt(e.Started, 10))
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

// start counts a job in on its target.
func (s *Scheduler) start(j *Job, e *inventory.Entry, c placement.Candidate, choice placement.Choice, now clock.Instant) *Placement {
	t := s.target(e.ID)
	p := &Placement{
		Target:    e.Target,
		Wait:      choice.Wait,
		Cached:    c.Cached,
		Rank:      c.Rank,
		scheduler: s,
		job:       j,
		started:   now,
	}
	p.load.Running = 1
	if j.Prompt > 0 {
		p.reading = true
		p.load.Unread = max(j.Prompt-c.Cached, 0)
		p.load.Memory = placement.Footprint(j.request(), c.Cached)
		s.cache.Ran(runOf(e), "", j.prefixes)
		s.meter.Started(j.Customer, j.weight(), now)
		s.count(j.Customer, 0, j.weight())
	}
	t.own = t.own.Add(p.load)
	t.starts.Add(now)
	// After failures in a row one request tries the target before others follow.
	t.trial = t.failures >= trialFailures
	return p
}
