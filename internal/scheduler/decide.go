package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
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
		return verdict{refusal: &Refusal{Reason: ReasonCrashesTargets}}
	case s.tooLarge(j):
		return verdict{refusal: &Refusal{Reason: ReasonTooLarge}}
	}
	candidates, from := s.candidates(j, s.prospectsOf(j, now), now)
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
	used, shares := s.meter.Usage(j.Customer, now), s.shares(now)
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

// start counts a job in on its target.
func (s *Scheduler) start(j *Job, to *prospect, c placement.Candidate, choice placement.Choice, now clock.Instant) *Placement {
	t := to.state
	p := &Placement{
		Target:    to.entry.Target,
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
		s.cache.Ran(to.run, "", j.prefixes)
		s.meter.AddUsage(j.Customer, j.weight(), now)
		s.count(j.Customer, 0, j.weight())
	}
	t.own = t.own.Add(p.load)
	t.starts.Add(now)
	// After failures in a row one request tries the target before others follow.
	t.trial = t.failures >= trialFailures
	return p
}
