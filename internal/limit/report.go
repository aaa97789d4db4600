package limit

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Divisors of the current concurrency that give the largest step down and the step up.
const (
	shrinkDivisor = 4
	growDivisor   = 8
)

// loadState is the state of a target from its latest load report.
type loadState struct {
	requested time.Time
	bootID    string
	state     fleet.TargetState
	completed int64
	// completedAtCold is the report's Completed when the target was last cold.
	completedAtCold int64
	// brokenAt is when a connection with running work last broke; zero if a report was
	// taken since.
	brokenAt time.Time
	// concurrency is the limit found from reports, or 0 if the rule's limit applies, and
	// adjustedAt is when it was last changed.
	concurrency int
	adjustedAt  time.Time
}

// Report applies a load report that was requested and received at the given times. It
// drops a report that was not requested after the latest one.
func (l *Ledger) Report(id fleet.TargetID, r fleet.LoadReport, requested, received time.Time) {
	l.advance(received)
	t := l.target(id)
	if !requested.After(t.load.requested) {
		return
	}
	taken := requested.Add(-r.Age())
	next := reading{
		earliest: taken.Add(-l.params.ReportLag),
		latest:   received.Add(-r.Age()),
		running:  max(0, r.Running) + max(0, r.Waiting),
	}
	t.load.update(r, requested, taken)
	t.adjustConcurrency(r, next, received)
	t.holdingUntil = time.Time{}
	l.updateHolding(t, received)
	if len(t.readings) == maxReadings {
		t.readings = append(t.readings[:0], t.readings[1:]...)
	}
	t.readings = append(t.readings, next)
	l.reconcile(t, received)
	t.updateDrain(received)
}

// update applies a report. taken is the earliest time, not counting ReportLag, at which
// its figures can have been taken. A changed boot id restarts the warm-up.
func (s *loadState) update(r fleet.LoadReport, requested, taken time.Time) {
	if r.BootID != s.bootID {
		s.completedAtCold = 0
		s.concurrency = 0
	}
	if r.State != fleet.TargetReady {
		s.completedAtCold = r.Completed
	}
	s.completedAtCold = min(s.completedAtCold, r.Completed)
	if !taken.Before(s.brokenAt) {
		s.brokenAt = time.Time{}
	}
	s.requested = requested
	s.bootID = r.BootID
	s.state = r.State
	s.completed = r.Completed
}

// MarkBroken records that a connection to the target broke while it ran work. The target
// counts as cold until a report that was taken later arrives.
func (l *Ledger) MarkBroken(id fleet.TargetID, now time.Time) {
	l.advance(now)
	t := l.target(id)
	t.load.brokenAt = now
	t.holdingUntil = time.Time{}
}

// effectiveLimit returns the limit in force: 0 if the target is leaving, the cold limit
// if it is not ready, broke a connection or has not reported lately, and otherwise the
// warm-up step, bounded by the concurrency found from reports.
func (t *target) effectiveLimit(p Params, now time.Time) int {
	cold := min(t.ColdLimit, t.Limit)
	switch {
	case t.load.state == fleet.TargetLeaving:
		return 0
	case t.load.state != fleet.TargetReady, !t.load.brokenAt.IsZero():
		return cold
	case now.Sub(t.load.requested) > p.CutOffTime+p.ReportLag:
		return cold
	}
	effectiveLimit := t.warmupLimit(cold)
	if t.load.concurrency > 0 {
		effectiveLimit = min(effectiveLimit, max(t.load.concurrency, cold))
	}
	return min(effectiveLimit, t.Limit)
}

// warmupLimit returns the current step of the warm-up. It starts at the cold limit and
// doubles each time that as many requests as the step allows have completed.
func (t *target) warmupLimit(cold int) int {
	limit := max(1, cold)
	done := t.load.completed - t.load.completedAtCold
	for limit < t.Limit && done >= int64(limit) {
		done -= int64(limit)
		limit *= 2
	}
	return limit
}

// adjustConcurrency finds the concurrency that keeps the target's batch full and its own
// queue empty. It ignores reports taken before its last change.
func (t *target) adjustConcurrency(r fleet.LoadReport, next reading, now time.Time) {
	if r.State != fleet.TargetReady || next.earliest.Before(t.load.adjustedAt) {
		return
	}
	current := t.load.concurrency
	if current == 0 {
		current = t.Limit
	}
	floor := max(1, min(t.ColdLimit, t.Limit))
	switch {
	case r.Waiting > 0:
		step := max(1, min(r.Waiting, current/shrinkDivisor))
		t.load.concurrency = max(floor, current-step)
	case r.Running >= current && current < t.Limit:
		t.load.concurrency = min(t.Limit, current+max(1, current/growDivisor))
	default:
		return
	}
	t.load.adjustedAt = now
}

// reconcile resolves uncertain work by the latest reports and computes the foreign work.
func (l *Ledger) reconcile(t *target, now time.Time) {
	for _, r := range t.readings {
		if t.uncertain() == 0 {
			break
		}
		if r.earliest.Before(t.resolvableFrom) {
			continue
		}
		t.resolve(r.running - l.leastRunning(t, r, now))
	}
	t.pruneSamples(now)
	latest := t.readings[len(t.readings)-1]
	notHeld := max(0, t.effectiveLimit(l.params, now)-t.held)
	t.foreign = max(0, latest.running-t.peakSince(latest.earliest)-t.uncertain()-notHeld)
}

// State returns the state of a target, or a zero TargetStatus if the target is unknown.
func (l *Ledger) State(id fleet.TargetID) TargetStatus {
	t, ok := l.targets[id]
	if !ok {
		return TargetStatus{}
	}
	return TargetStatus{
		Known:      true,
		BootID:     t.load.bootID,
		State:      t.load.state,
		Limit:      t.effectiveLimit(l.params, l.lastSweep),
		Usable:     t.held,
		Accounted:  t.known,
		Unresolved: t.uncertain(),
		Foreign:    t.foreign,
		Reported:   t.load.requested,
	}
}
