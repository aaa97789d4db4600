package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// pause is the time for which a run of a target wants no requests from this instance.
type pause struct {
	startMillis int64
	until       clock.Instant
}

// end returns the end of the pause of the given run, 0 if that has none.
func (p pause) end(startMillis int64) clock.Instant {
	if p.startMillis != startMillis {
		return 0
	}
	return p.until
}

// ObservePause records that the target wants no requests from this instance for a time. A shorter
// time does not end a longer one that it named before. It reports whether a pause begins.
func (p *Placement) ObservePause(d time.Duration) bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, listed := s.inventory.Get(p.Target.ID); listed && e.StartMillis != p.Target.StartMillis {
		return false
	}
	now := s.options.Now()
	t := s.target(p.Target.ID)
	before := t.pause.end(p.Target.StartMillis)
	t.pause = pause{startMillis: p.Target.StartMillis, until: max(before, now.Add(d))}
	return before <= now
}

// isPausing reports whether the placement's target wants no requests now. s.mu must be held.
func (p *Placement) isPausing(now clock.Instant) bool {
	t, ok := p.scheduler.targets[p.Target.ID]
	return ok && now < t.pause.end(p.Target.StartMillis)
}
