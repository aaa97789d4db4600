package scheduler

import (
	"medlarwind.dev/medlarwind/internal/pacing"
)

// ObserveLimit records the limit on requests a second that the target named in its answer,
// or that it named none.
func (p *Placement) ObserveLimit(perSecond float64, named bool) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Observe(p.Target.ID, p.Target.StartMillis, perSecond, named, s.options.Now())
}

// LimitChange is a change of a target's limit, with the requests that this instance started
// there within the last second.
type LimitChange struct {
	pacing.LimitChange
	OwnStarts int
}

// TakeLimitChanges returns the limits of targets that changed since the last call.
func (s *Scheduler) TakeLimitChanges() []LimitChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	var changes []LimitChange
	for _, c := range s.limits.TakeChanges() {
		changes = append(changes, LimitChange{LimitChange: c, OwnStarts: s.target(c.Target).starts.Count(now)})
	}
	return changes
}
