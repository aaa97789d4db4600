package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/placement"
)

// isSpread reports whether instances spread the jobs of a service over targets of similar cost. s.mu must be held.
func (s *Scheduler) isSpread(id fleet.ServiceID) bool {
	return s.paced != nil && s.options.Features.Enabled(feature.EvenLoad) && s.paced(id)
}

// pick chooses one of the candidates for a job. s.mu must be held.
func (s *Scheduler) pick(j *Job, candidates []placement.Candidate, limit placement.Limit, now clock.Instant) (placement.Choice, bool) {
	if !s.isSpread(j.Service.ID) {
		return placement.Pick(j.request(), candidates, limit)
	}
	spread := placement.Spread{
		Seed: membership.Score(j.idHash, s.selfHash), Age: s.loadAge(now), Objective: j.Route.FirstByteSLO,
	}
	return spread.Pick(j.request(), candidates, limit)
}

// loadAge returns the greatest age of the peers' loads, 0 for an instance without peers. s.mu must be held.
func (s *Scheduler) loadAge(now clock.Instant) time.Duration {
	if len(s.alive) <= 1 {
		return 0
	}
	return s.exchange.LoadAge(now)
}

// startCounts count the starts on targets.
type startCounts struct {
	// all are all starts; misplaced those on an overloaded target while another one was idle, by the loads
	// that this instance knew at the start.
	all, misplaced int64
}

// countPlaced counts a start on one of the candidates. Only a start on an overloaded target looks at the others.
// s.mu must be held.
func (s *Scheduler) countPlaced(candidates []placement.Candidate, from []*usableTarget, index int) {
	s.starts.all++
	if !s.isOverloaded(&candidates[index], from[index]) {
		return
	}
	for i := range candidates {
		if s.isIdle(&candidates[i], from[i]) {
			s.starts.misplaced++
			return
		}
	}
}

// isOverloaded reports whether requests wait at a target, or a further one would be one more than it has slots.
func (s *Scheduler) isOverloaded(c *placement.Candidate, target *usableTarget) bool {
	if r, ok := s.report(target); ok && (r.Waiting > 0 || r.Running > r.Slots) {
		return true
	}
	slots := target.entry.Slots
	return slots > 0 && c.Load.Running >= slots
}

// isIdle reports whether a target has at least half of its slots free and nothing to prefill, and no request waits there.
func (s *Scheduler) isIdle(c *placement.Candidate, target *usableTarget) bool {
	r, _ := s.report(target)
	return r.Waiting == 0 && 2*max(c.Load.Running, r.Running) <= target.entry.Slots && c.Load.Unread <= 0
}

// report returns what a target last reported, false if nothing is known.
func (s *Scheduler) report(target *usableTarget) (loadreport.Report, bool) {
	if s.reported == nil {
		return loadreport.Report{}, false
	}
	if r, ok := s.reported(target.startID); ok {
		return r, true
	}
	return loadreport.Report{}, false
}
