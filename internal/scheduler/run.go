package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Constants for avoiding targets after failures.
const (
	// failureWeight is the weight of the newest request in the smoothed failure rate.
	failureWeight = 0.2
	// probeThreshold is the number of consecutive failures after which a target is
	// avoided for a while and then probed with one request. The time for which it is
	// avoided doubles with each failure, from minAvoid up to maxAvoid.
	probeThreshold = 2
	minAvoid       = 300 * time.Millisecond
	maxAvoid       = 3 * time.Second
	// downThreshold is the number of consecutive failures after which a broken connection, or one
	// that was not opened in time, marks the target as down. A single one shows only that an answer
	// or a packet was lost. A silent run counts as a failure, but marks no target as down: the target
	// may be sound and go on.
	downThreshold = 3
	// unreachableAvoid is the minimum time for which a target is avoided after a
	// connection to it could not be opened.
	unreachableAvoid = 500 * time.Millisecond
)

// Validity is whether a target may still get a request, and what that rests on.
type Validity struct {
	Usable bool
	// ListingAge is the time since the list of targets was last known to be the newest.
	ListingAge time.Duration
	// Absent is the time since the target is no longer listed, 0 while it is.
	Absent time.Duration
}

// Validity reports whether the target may still get requests. It must be called immediately
// before the request is sent.
func (p *Placement) Validity() Validity {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	return Validity{
		Usable:     s.isListingCurrent(now) && s.inventory.IsUsable(p.Target.ID, p.Target.StartMillis) && !p.isPausing(now),
		ListingAge: s.listingAge(now),
		Absent:     s.inventory.AbsentFor(p.Target.ID, now),
	}
}

// isListingCurrent reports whether targets may get requests by the list of targets. s.mu must be
// held.
func (s *Scheduler) isListingCurrent(now clock.Instant) bool {
	return s.inventory.IsCurrent(s.listingAge(now), s.isListingUnreachable(now))
}

// ListingCurrent reports whether targets may get requests by the list of targets.
func (s *Scheduler) ListingCurrent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isListingCurrent(s.options.Now())
}

// ObserveLeaving records that the target says that it leaves. It reports whether that was not known.
func (p *Placement) ObserveLeaving() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.inventory.MarkLeaving(p.Target.ID, p.Target.StartMillis, s.options.Now()) {
		return false
	}
	s.invalidateTargetLists()
	return true
}

// listingAge returns the time since the list of targets was last known to be the newest.
func (s *Scheduler) listingAge(now clock.Instant) time.Duration {
	if s.options.ListingConfirmedAt == nil {
		return 0
	}
	return now.Sub(s.options.ListingConfirmedAt())
}

// PrefillDone records that the target has processed the prompt. The target's first event
// indicates this. Further calls have no effect.
func (p *Placement) PrefillDone() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.prefilling {
		return
	}
	p.prefilling = false
	t := s.target(p.Target.ID)
	t.ownLoad.Unread -= p.load.Unread
	p.load.Unread = 0
	t.endSilence(p)
	now := s.options.Now()
	s.observeSpeed(p, t, now)
	s.observePrefixes(p, t, now)
	s.startQueued()
}

// End releases the placement and records the outcome. Further calls have no effect.
func (p *Placement) End(o Outcome) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	now := s.options.Now()
	t := s.target(p.Target.ID)
	t.ownLoad = placement.Load{
		Running: t.ownLoad.Running - p.load.Running,
		Unread:  t.ownLoad.Unread - p.load.Unread,
		Memory:  t.ownLoad.Memory - p.load.Memory,
	}
	t.probing = false
	if o == Rejected || o == Unreachable || o == DialTimedOut || o == Unsent {
		s.refundUsage(p, now)
	}
	s.endPrefixes(p, o, now)
	s.endBackup(p, o, now)
	s.recordOutcome(p, t, o, now)
	s.observeRunTime(p, o, now)
	s.startQueued()
}

// Withdraw releases a placement by Replace that is not used, and returns its retry to the
// budget.
func (p *Placement) Withdraw() {
	p.End(Unsent)
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(p.job.Service.ID).ReturnRetry(p.started, s.options.Now())
}

// refundUsage returns the tokens that were charged to the customer for a request that did
// not run. s.mu must be held.
func (s *Scheduler) refundUsage(p *Placement, now clock.Instant) {
	if p.job.Prompt == 0 || p.continues {
		return
	}
	s.meter.AddUsage(p.job.Customer, -p.job.weight(), now)
	s.addUsage(p.job.Customer, 0, -p.job.weight())
}

// recordOutcome updates the state of the target and the evidence on the request. s.mu must be
// held.
func (s *Scheduler) recordOutcome(p *Placement, t *targetState, o Outcome, now clock.Instant) {
	switch o {
	case Completed:
		t.failureRate *= 1 - failureWeight
		t.consecutiveFailures, t.silentFailures = 0, 0
		s.clearSuspicion(p, t, now)
		if !p.answering {
			s.evidence.RecordAnswering(p.job.traits, now)
		}
		if !p.continues {
			s.evidence.RecordCompleted(p.job.traits, now)
		}
	case Failed, Rejected, Unreachable, DialTimedOut, Broken, Silent:
		t.failureRate += failureWeight * (1 - t.failureRate)
		t.countFailure(p, o, now)
		s.avoid(t, o, now)
	case Abandoned, Unsent:
	}
	if s.isDown(t, o) {
		s.noteCrash(p.Target.ID, p.Target.StartMillis, now)
		t.brokenAt = now
		t.suspicion = suspicion{since: now, reportedAt: now}
		s.inventory.MarkBroken(p.Target.ID, p.job.Service.ColdPeriod, now)
	}
	if o != Broken {
		return
	}
	s.evidence.RecordBreak(startKey(p.Target.ID, p.Target.StartMillis), p.job.traits, now)
	if !p.answering {
		s.addBrokenRun(p, now)
	}
}

// countFailure counts a consecutive failure. Runs that fell silent together show one silence, however
// many they are: the target is then avoided for minAvoid and probed. Those of a silence that has
// ended show nothing more.
func (t *targetState) countFailure(p *Placement, o Outcome, now clock.Instant) {
	if o != Silent {
		t.consecutiveFailures++
		return
	}
	sameSilence := p.started < t.silentAt
	if !sameSilence {
		t.silentAt, t.silenceEnded = now, false
	}
	if sameSilence && (t.silenceEnded || t.consecutiveFailures >= probeThreshold) {
		return
	}
	t.consecutiveFailures++
	t.silentFailures++
}

// endSilence records that the target has begun to answer a run. If that began after the target was
// silent, the target has gone on, and its silent runs do not count any more: unless others failed, too,
// requests need not wait until the run has ended.
func (t *targetState) endSilence(p *Placement) {
	if t.silentFailures == 0 || p.started <= t.silentAt {
		return
	}
	t.consecutiveFailures -= t.silentFailures
	t.silentFailures, t.silenceEnded = 0, true
	t.probing = t.probing && t.consecutiveFailures >= probeThreshold
}

// isDown reports whether a failure shows that the target has ended. An instance that falls behind
// misses answers to its own packets. s.mu must be held.
func (s *Scheduler) isDown(t *targetState, o Outcome) bool {
	switch o {
	case Unreachable:
		return true
	case DialTimedOut:
		return t.consecutiveFailures >= downThreshold && !s.processor.Behind
	case Broken:
		return t.consecutiveFailures-t.silentFailures >= downThreshold
	case Completed, Failed, Rejected, Silent, Unsent, Abandoned:
	}
	return false
}

// suspicion is the time for which instances hold that a target has restarted.
type suspicion struct {
	// since is when this instance learnt of it, 0 for none, reportedAt when it was last
	// reported.
	since, reportedAt clock.Instant
	// disproved is set once a run from before it has ended well.
	disproved bool
}

// disproofDelay is how long after a suspicion began a run must end to disprove it: what the
// target sent before it ended has arrived by then.
const disproofDelay = 300 * time.Millisecond

// clearSuspicion ends the suspicion of a target's restart if a completed run that it contradicts
// began before. s.mu must be held.
func (s *Scheduler) clearSuspicion(p *Placement, t *targetState, now clock.Instant) {
	if t.suspicion.since == 0 || p.started >= t.suspicion.since || now.Sub(t.suspicion.since) < disproofDelay {
		return
	}
	t.suspicion.disproved = true
	t.brokenAt = 0
	s.inventory.MarkRunning(p.Target.ID)
}

// suspect records that a peer reports a target as broken. It returns false if the report is
// disproved. s.mu must be held.
func (t *targetState) suspect(now clock.Instant) bool {
	if t.suspicion.since == 0 || now.Sub(t.suspicion.reportedAt) > wire.BrokenRetention {
		t.suspicion = suspicion{since: now}
	}
	t.suspicion.reportedAt = now
	return !t.suspicion.disproved
}

// avoid keeps requests away from a target, for longer with each consecutive failure. s.mu
// must be held.
func (s *Scheduler) avoid(t *targetState, o Outcome, now clock.Instant) {
	var d time.Duration
	if t.consecutiveFailures >= probeThreshold {
		d = min(minAvoid<<min(t.consecutiveFailures-probeThreshold, 4), maxAvoid)
	}
	if o == Unreachable || o == DialTimedOut {
		d = max(d, unreachableAvoid)
	}
	t.avoidUntil = max(t.avoidUntil, now.Add(d))
}
