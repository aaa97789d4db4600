package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

const (
	// speedsInterval is the time between two updates of the speeds of all targets.
	speedsInterval = 500 * time.Millisecond
	// maxObservedDelay is the delay of the instance's own processor from which the times at which
	// it notices first events say more of that than of the engines.
	maxObservedDelay = 3 * time.Millisecond
	// maxOddTimes bounds the odd times kept until they are taken.
	maxOddTimes = 64
)

// OddTime is a time to a first event that no engine can have needed, which happens when a clock
// jumps. It changes no estimate.
type OddTime struct {
	Target fleet.TargetID
	Took   time.Duration
}

// TakeOddTimes returns the first odd time of each start of a target since the last call.
func (s *Scheduler) TakeOddTimes() []OddTime {
	s.mu.Lock()
	defer s.mu.Unlock()
	odd := s.oddTimes
	s.oddTimes = nil
	return odd
}

// observeSpeed adds the time to the first event of a placed request to the estimates. s.mu must be
// held.
func (s *Scheduler) observeSpeed(p *Placement, t *targetState, now clock.Instant) {
	if p.job.Service.Engine == nil || s.processor.Delay >= maxObservedDelay {
		return
	}
	took, steady := s.atUsualPace(p, now.Sub(p.started)-p.distance, now)
	if !steady {
		return
	}
	if !s.speeds.Observe(p.job.Service.ID, p.Target.ID, p.Target.StartMillis, p.toPrefill, took, now) && len(s.oddTimes) < maxOddTimes {
		s.oddTimes = append(s.oddTimes, OddTime{Target: p.Target.ID, Took: took})
	}
	t.speed = s.speeds.Engine(p.job.Service.ID, p.Target.ID, p.Target.StartMillis, now)
}

// updateSpeeds brings the speeds of all targets up to date, since estimates change with time and
// with those of other targets. s.mu must be held.
func (s *Scheduler) updateSpeeds() {
	now := s.options.Now()
	if s.speedsAt != 0 && now.Sub(s.speedsAt) < speedsInterval {
		return
	}
	s.speedsAt = now
	s.speeds.Refresh(now)
	s.updateTimes(now)
	clear(s.meanSpeeds)
	known := make(map[fleet.ServiceID]int)
	for id, t := range s.targets {
		if e, ok := s.inventory.Get(id); ok {
			t.speed = s.speeds.Engine(e.Service, id, e.StartMillis, now)
			known[e.Service]++
			s.meanSpeeds[e.Service] += (t.speed - s.meanSpeeds[e.Service]) / float64(known[e.Service])
		}
	}
}

// meanSpeed returns the mean speed of a service's engines as this instance estimates it now. Where
// a limit in tokens is compared with a wait, what the instance's own load makes of all estimates
// cancels. s.mu must be held.
func (s *Scheduler) meanSpeed(id fleet.ServiceID) float64 {
	if mean := s.meanSpeeds[id]; mean > 0 {
		return mean
	}
	return s.speeds.Service(id)
}
