package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Constants of how failures keep work away from a target.
const (
	// failureWeight is the weight of the newest request in the smoothed part of
	// failures.
	failureWeight = 0.2
	// trialFailures is the number of failures in a row after which a target is left
	// alone for a while, and then tried with one request.
	trialFailures = 2
	minAvoid      = 300 * time.Millisecond
	maxAvoid      = 3 * time.Second
	// downFailures is the number of failures in a row that show that a target is down:
	// a single broken connection shows only that an answer was lost.
	downFailures = 3
	// unreachableAvoid is how long a target to which no connection came up is left
	// alone at least.
	unreachableAvoid = 500 * time.Millisecond
)

// Valid reports whether the placement still holds; it is asked immediately before the
// request is sent.
func (p *Placement) Valid() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.MayUse(p.Target.ID, p.Target.Started)
}

// PrefillDone notes that the target has read the prompt: its first event came.
func (p *Placement) PrefillDone() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.reading {
		return
	}
	p.reading = false
	t := s.target(p.Target.ID)
	t.own.Unread -= p.load.Unread
	p.load.Unread = 0
	s.pump()
}

// End returns the placement; it has no effect the second time.
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
	t.own = placement.Load{
		Running: t.own.Running - p.load.Running,
		Unread:  t.own.Unread - p.load.Unread,
		Memory:  t.own.Memory - p.load.Memory,
	}
	t.trial = false
	if o == Rejected || o == Unreachable || o == Unsent {
		s.takeBack(p, now)
	}
	s.note(p, t, o, now)
	s.pump()
}

// takeBack returns to the customer what a request that did not run was counted for.
func (s *Scheduler) takeBack(p *Placement, now clock.Instant) {
	if p.job.Prompt == 0 {
		return
	}
	s.meter.AddUsage(p.job.Customer, -p.job.weight(), now)
	s.count(p.job.Customer, 0, -p.job.weight())
}

// note records what an outcome says about the target.
func (s *Scheduler) note(p *Placement, t *targetState, o Outcome, now clock.Instant) {
	switch o {
	case Completed:
		t.failing *= 1 - failureWeight
		t.failures = 0
		delete(s.suspects, p.job.Fingerprint)
	case Failed, Rejected, Unreachable, Broken:
		t.failing += failureWeight * (1 - t.failing)
		t.failures++
		s.avoid(t, o, now)
	case Abandoned, Unsent:
	}
	if o == Unreachable || o == Broken && t.failures >= downFailures {
		t.brokenAt = now
		s.inventory.NoteBroken(p.Target.ID, p.job.Service.ColdFor, now)
	}
	if o == Broken {
		s.suspect(p.job.Fingerprint, now)
	}
}

// avoid leaves a target alone for longer with each failure in a row.
func (s *Scheduler) avoid(t *targetState, o Outcome, now clock.Instant) {
	var d time.Duration
	if t.failures >= trialFailures {
		d = min(minAvoid<<min(t.failures-trialFailures, 4), maxAvoid)
	}
	if o == Unreachable {
		d = max(d, unreachableAvoid)
	}
	t.avoidUntil = max(t.avoidUntil, now.Add(d))
}
