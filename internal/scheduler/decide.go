package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Limits used in decisions.
const (
	// plainServiceTime is the assumed processing time of a call to a plain service, which
	// is a service without an engine.
	plainServiceTime = 15 * time.Millisecond
	// plainSlotFactor multiplies the slots of a plain service, so that a few requests can
	// queue at the target beside those that run.
	plainSlotFactor = 2
	// memoryFraction is the fraction of an engine's memory that running requests may use.
	// The rest holds shared prompt parts and requests that exceed their estimate.
	memoryFraction = 0.75
	// effectiveShareWait and excessWait limit the expected wait at a target; with a longer
	// wait a request does not start. effectiveShareWait applies to a customer that has
	// used up its nominal share, excessWait to one that has also used up its effective
	// share.
	effectiveShareWait = 80 * time.Millisecond
	excessWait         = 40 * time.Millisecond
	// lateWait limits the expected wait at a target for a request over the nominal share
	// that can no longer meet its objective: while not all requests can be served, those
	// that can still meet theirs go first.
	lateWait = 10 * time.Millisecond
	// overShareSlotFraction is the fraction of a target's slots that customers over their
	// nominal share may fill.
	overShareSlotFraction = 0.7
	// nominalShareWaitFactor limits the expected wait at a target for customers within
	// their nominal share, as a multiple of the route's objective. A request that would
	// wait longer stays in the scheduler's queue, from which it can still go to another
	// target.
	nominalShareWaitFactor = 1.0
	// defaultNominalShareWait limits the expected wait at a target for customers within
	// their nominal share on routes without an objective.
	defaultNominalShareWait = 500 * time.Millisecond
)

// decision is the outcome for a job: a placement, a refusal, or neither if the job has to
// wait.
type decision struct {
	placement *Placement
	refusal   *Refusal
}

// decide places a job, refuses it, or lets it wait. s.mu must be held.
func (s *Scheduler) decide(j *Job, now clock.Instant) decision {
	switch {
	case now >= j.Deadline:
		return decision{refusal: &Refusal{Reason: ReasonDeadline, Inputs: s.inputs(j, now)}}
	case s.isSuspect(j.Fingerprint, now):
		return decision{refusal: &Refusal{Reason: ReasonCrashesTargets, Inputs: s.inputs(j, now)}}
	case s.tooLarge(j):
		return decision{refusal: &Refusal{Reason: ReasonTooLarge, Inputs: s.inputs(j, now)}}
	}
	candidates, from := s.candidates(j, s.targetListFor(j, now), now)
	choice, ok := placement.Pick(j.request(), candidates)
	j.considered.record(candidates, from, choice, now)
	if !ok || !s.shareAllows(j, &candidates[choice.Index], choice, now) {
		return decision{}
	}
	return decision{placement: s.start(j, from[choice.Index], candidates[choice.Index], choice, now)}
}

// tooLarge reports whether the job exceeds the memory of every engine of its service.
func (s *Scheduler) tooLarge(j *Job) bool {
	e := j.Service.Engine
	return e != nil && e.MemoryTokens > 0 && j.Prompt+j.Output > e.MemoryTokens
}

// shareAllows reports whether the fair shares allow the job to start on the chosen
// target. Within its nominal share a customer may fill the targets; within its effective
// share it may start on targets with a short wait; beyond that it gets only capacity that
// would otherwise be idle. s.mu must be held.
func (s *Scheduler) shareAllows(j *Job, c *placement.Candidate, choice placement.Choice, now clock.Instant) bool {
	if j.Service.Engine == nil {
		return true
	}
	used, shares := s.meter.Usage(j.Customer, now), s.shares(now)
	if used < shares.nominal {
		limit := time.Duration(nominalShareWaitFactor * float64(j.Route.FirstByteSLO))
		if j.Route.FirstByteSLO == 0 {
			limit = defaultNominalShareWait
		}
		j.considered.waitLimit = limit
		return choice.Wait <= limit
	}
	limit := excessWait
	switch {
	case j.isLate():
		limit = lateWait
	case used < shares.effective:
		limit = effectiveShareWait
	}
	j.considered.waitLimit = limit
	return choice.Wait <= limit && float64(c.Load.Running) < overShareSlotFraction*float64(c.Slots)
}

// start places a job on a target and adds it to the target's load. s.mu must be held.
func (s *Scheduler) start(j *Job, target *usableTarget, c placement.Candidate, choice placement.Choice, now clock.Instant) *Placement {
	t := target.state
	p := &Placement{
		Target:    target.entry.Target,
		Wait:      choice.Wait,
		Cached:    c.Cached,
		Rank:      c.Rank,
		scheduler: s,
		job:       j,
		started:   now,
	}
	p.load.Running = 1
	if j.Prompt > 0 {
		p.prefilling = true
		p.load.Unread = max(j.Prompt-c.Cached, 0)
		p.load.Memory = placement.Footprint(j.request(), c.Cached)
		s.cache.AddPrefixes(target.startID, "", j.prefixes)
		s.meter.AddUsage(j.Customer, j.weight(), now)
		s.addUsage(j.Customer, 0, j.weight())
	}
	t.ownLoad = t.ownLoad.Add(p.load)
	t.starts.Add(now)
	// After consecutive failures one request probes the target before others follow.
	t.probing = t.consecutiveFailures >= probeThreshold
	return p
}
