package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/placement"
)

// isSpread reports whether instances spread the jobs of a service over targets of similar cost: those of services whose
// targets report a pace, and those of engines that fetch prefixes from each other. s.mu must be held.
func (s *Scheduler) isSpread(service *catalog.Service) bool {
	return s.options.Features.Enabled(feature.EvenLoad) && (s.paced[service.ID] || s.fetchesPrefixes(service))
}

// pick chooses one of the candidates for a job. s.mu must be held.
func (s *Scheduler) pick(j *Job, candidates []placement.Candidate, limit placement.Limit, now clock.Instant) (placement.Choice, bool) {
	r := s.request(j)
	r.TimeLeft = j.Deadline.Sub(now)
	if !s.isSpread(j.Service) {
		return placement.Pick(r, candidates, limit)
	}
	return s.spread(j, now).Pick(r, candidates, limit)
}

// spread returns the draw among candidates for a job. s.mu must be held.
func (s *Scheduler) spread(j *Job, now clock.Instant) placement.Spread {
	return placement.Spread{Seed: membership.Score(j.idHash, s.selfHash), Age: s.loadAge(now), Objective: j.Route.FirstByteSLO}
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
func (s *Scheduler) countPlaced(candidates []placement.Candidate, from []*usableTarget, index int, now clock.Instant) {
	s.starts.all++
	if !isOverloaded(&candidates[index], from[index], now) {
		return
	}
	for i := range candidates {
		if isIdle(&candidates[i], from[i], now) {
			s.starts.misplaced++
			return
		}
	}
}

// isOverloaded reports whether requests wait at a target, or a further one would be one more than it has slots.
func isOverloaded(c *placement.Candidate, target *usableTarget, now clock.Instant) bool {
	if r := target.lastReport(now); r.Waiting > 0 || r.Running > r.Slots {
		return true
	}
	slots := target.entry.Slots
	return slots > 0 && c.Load.Running >= slots
}

// isIdle reports whether a target has at least half of its slots free and nothing to prefill, and no request waits there.
func isIdle(c *placement.Candidate, target *usableTarget, now clock.Instant) bool {
	r := target.lastReport(now)
	return r.Waiting == 0 && 2*max(c.Load.Running, r.Running) <= target.entry.Slots && c.Load.Unread <= 0
}

// lastReport returns what the target last reported, the zero value if nothing is in use.
func (t *usableTarget) lastReport(now clock.Instant) loadreport.Report {
	if !t.belief.Has(t.entry.StartMillis, now) {
		return loadreport.Report{}
	}
	return t.belief.Last()
}
