package gateway

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// sendSummary sums up the sends of an interval.
type sendSummary struct {
	count int
	// oldest is the highest age of the list of targets, absent the number of sends to targets
	// that were no longer listed.
	oldest time.Duration
	absent int
}

// recordSend records what a send rested on.
func (m *metrics) recordSend(v scheduler.Validity) {
	m.recordDuration(m.listingAge, v.ListingAge)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sends.count++
	m.sends.oldest = max(m.sends.oldest, v.ListingAge)
	if v.Absent > 0 {
		m.sends.absent++
	}
}

// takeSends returns the sends since the last call.
func (m *metrics) takeSends() sendSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sends
	m.sends = sendSummary{}
	return s
}

// listingConfirmedAt returns when the list of targets in force was last known to be the newest.
func (g *Gateway) listingConfirmedAt() clock.Instant {
	_, confirmedAt := g.applied.State()
	return confirmedAt
}

// logRecordsAge logs how old the records are and what the sends since the last call rested on.
func (g *Gateway) logRecordsAge() {
	copied, copiedAt := g.copy.State()
	if copied.IsZero() {
		return
	}
	applied, appliedAt := g.applied.State()
	sends := g.metrics.takeSends()
	g.options.Log.Info().Str("event", "records_age").
		Uint64("copied", copied.Revision()).Int64("copied_age_ms", sinceMillis(g.options.Now, copiedAt)).
		Uint64("applied", applied.Revision()).Int64("applied_age_ms", sinceMillis(g.options.Now, appliedAt)).
		Int("sends", sends.count).Int64("sends_oldest_ms", sends.oldest.Milliseconds()).Int("sends_absent", sends.absent).
		Bool("late", g.lateness.since(g.options.Now().Add(-shareLogInterval), g.options.Now())).Msg("")
}
