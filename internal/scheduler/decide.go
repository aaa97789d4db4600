package scheduler

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Limits used in decisions.
const (
	// plainServiceTime is the assumed processing time of a call to a plain service, which
	// is a service without an engine, until calls have shown it.
	plainServiceTime = 15 * time.Millisecond
	// plainSlotFactor multiplies the slots of a plain service, so that a few requests can
	// queue at the target beside those that run.
	plainSlotFactor = 2
	// memoryFraction is the fraction of an engine's memory that running requests may use.
	// The rest holds shared prompt parts and requests that exceed their estimate.
	memoryFraction = 0.75
	// nominalShareWaitFactor limits the expected wait at a target for customers within
	// their nominal share, as a multiple of the route's objective. A request that would
	// wait longer stays in the scheduler's queue, from which it can still go to another
	// target.
	nominalShareWaitFactor = 1.0
	// defaultNominalShareWait limits the expected wait at a target for customers within
	// their nominal share on routes without an objective.
	defaultNominalShareWait = 500 * time.Millisecond
	// minReplacementTime is the time to a job's deadline from which no replacement is begun: opening a
	// connection and the shortest work of a plain service, 15 ms, take longer.
	minReplacementTime = 10 * time.Millisecond
)

// decision is the outcome for a job: a placement, a refusal, or neither if the job has to
// wait.
type decision struct {
	placement *Placement
	refusal   *Refusal
}

// decide places a job, refuses it, or lets it wait. s.mu must be held.
func (s *Scheduler) decide(j *Job, now clock.Instant) decision {
	judgement := s.judge(j, now)
	switch {
	case now >= j.Deadline:
		return decision{refusal: &Refusal{Reason: ReasonDeadline, Inputs: s.inputs(j, now)}}
	case judgement.Refused:
		return decision{refusal: s.refuseSuspect(j, judgement, now)}
	case s.tooLarge(j):
		return decision{refusal: &Refusal{Reason: ReasonTooLarge, Inputs: s.inputs(j, now)}}
	}
	list := s.targetListFor(j, now)
	j.longPrefill = list.isolates && s.isLongPrefill(j)
	limit := s.loadLimit(j, now)
	if s.overLimit.has(j, limit, now) {
		return decision{}
	}
	candidates, from := s.candidates(j, list, now)
	choice, ok := s.pick(j, candidates, limit, now)
	j.considered.record(candidates, from, choice, now)
	if !ok {
		return decision{}
	}
	if j.Service.Engine != nil {
		j.considered.limit = limit
	}
	if !choice.Within {
		if choice.ShortestWait > limit.Wait {
			s.overLimit.add(j, limit, now)
		}
		return decision{}
	}
	if s.dryRun {
		return decision{placement: s.wouldStart(j, from[choice.Index], choice, now)}
	}
	if judgement.Trial {
		s.evidence.RecordTrial(j.traits, now)
	}
	s.countPlaced(candidates, from, choice.Index, now)
	return decision{placement: s.start(j, from[choice.Index], candidates[choice.Index], choice, now)}
}

// tooLarge reports whether the job exceeds the memory of every engine of its service.
func (s *Scheduler) tooLarge(j *Job) bool {
	e := j.Service.Engine
	return e != nil && e.MemoryTokens > 0 && j.Prompt+j.Output > e.MemoryTokens
}

// loadLimit returns the load of a target up to which the fair shares allow the job to start
// there. Within its nominal share a customer may fill the targets. s.mu must be held.
func (s *Scheduler) loadLimit(j *Job, now clock.Instant) placement.Limit {
	if j.Service.Engine == nil {
		return placement.Limit{Wait: math.MaxInt64}
	}
	return s.allowOwnPrefill(j, s.shareLimit(j, now))
}

// shareLimit is the limit by the customer's share alone. s.mu must be held.
func (s *Scheduler) shareLimit(j *Job, now clock.Instant) placement.Limit {
	used, shares := s.meter.Usage(j.Customer, now), s.shares(now)
	if used >= shares.nominal {
		return shares.spareLimit(used, j.isLate(), s.meanSpeed(j.Service.ID))
	}
	if j.Route.FirstByteSLO == 0 {
		return placement.Limit{Wait: defaultNominalShareWait}
	}
	return placement.Limit{Wait: time.Duration(nominalShareWaitFactor * float64(j.Route.FirstByteSLO))}
}

// start places a job on a target and adds it to the target's load. s.mu must be held.
func (s *Scheduler) start(j *Job, target *usableTarget, c placement.Candidate, choice placement.Choice, now clock.Instant) *Placement {
	t := target.state
	fetch, believed := s.planFetch(j, target, &c, now)
	p := &Placement{
		Target:    target.entry.Target,
		Wait:      choice.Wait,
		Cached:    c.Cached,
		Rank:      c.Rank,
		Fetch:     fetch,
		scheduler: s,
		job:       j,
		started:   now,
	}
	p.load.Running = 1
	if j.Prompt > 0 {
		p.prefilling = true
		p.load.Unread = max(j.Prompt-c.Cached, 0)
		p.toPrefill, p.distance = c.Load.Unread+p.load.Unread, target.distance+fetch.took()
		p.believed, p.aheadUnread = believed, c.Load.Unread
		p.load.Memory = placement.Footprint(j.request(), c.Cached)
		s.cache.AddPrefixes(target.startID, "", j.prefixes)
		s.beginPrefixes(p, now)
		s.meter.AddUsage(j.Customer, j.weight(), now)
		s.addUsage(j.Customer, 0, j.weight())
		s.countStart(j.Customer, now)
	}
	s.noteStart(p, target, c, now)
	t.backlog.add(p.load.Unread, now)
	t.ownLoad = t.ownLoad.Add(p.load)
	t.starts.Add(now)
	s.countIsolation(j, target)
	s.beginBackup(p, target, now)
	// After consecutive failures one request probes the target before others follow.
	t.probing = t.consecutiveFailures >= probeThreshold
	return p
}
