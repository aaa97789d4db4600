package limit

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Steps of the concurrency found from reports, as fractions of it.
const (
	shrinkDivisor = 4
	growDivisor   = 8
)

// loadState is what the latest report of a target says.
type loadState struct {
	asked     time.Time
	bootID    string
	state     fleet.TargetState
	completed int64
	// coldAt is Completed when the target was last cold.
	coldAt int64
	// broken is when a connection with running work last broke; zero if the target
	// has reported since.
	broken time.Time
	// concurrency is the found limit, 0 if the rule's limit stands, and adjusted is
	// when it was changed last.
	concurrency int
	adjusted    time.Time
}

// Report takes a load report that was asked for and received at the given times.
// One that was asked for before the latest known one is dropped.
func (l *Ledger) Report(id fleet.TargetID, r fleet.LoadReport, asked, received time.Time) {
	l.advance(received)
	t := l.target(id)
	if !asked.After(t.load.asked) {
		return
	}
	taken := asked.Add(-r.Age())
	next := reading{
		earliest: taken.Add(-l.params.ReportLag),
		latest:   received.Add(-r.Age()),
		running:  max(0, r.Running) + max(0, r.Waiting),
	}
	t.load.take(r, asked, taken)
	t.adjust(r, next, received)
	t.holdUntil = time.Time{}
	l.hold(t, received)
	if len(t.readings) == maxReadings {
		t.readings = append(t.readings[:0], t.readings[1:]...)
	}
	t.readings = append(t.readings, next)
	l.settle(t, received)
	t.considerDrain(received)
}

// take records the state. A changed boot id starts the warm-up afresh.
func (s *loadState) take(r fleet.LoadReport, asked, taken time.Time) {
	if r.BootID != s.bootID {
		s.coldAt = 0
		s.concurrency = 0
	}
	if r.State != fleet.TargetReady {
		s.coldAt = r.Completed
	}
	s.coldAt = min(s.coldAt, r.Completed)
	if !taken.Before(s.broken) {
		s.broken = time.Time{}
	}
	s.asked = asked
	s.bootID = r.BootID
	s.state = r.State
	s.completed = r.Completed
}

// MarkBroken says that a connection to the target broke with work running: the target
// counts as cold until a report taken later.
func (l *Ledger) MarkBroken(id fleet.TargetID, now time.Time) {
	l.advance(now)
	t := l.target(id)
	t.load.broken = now
	t.holdUntil = time.Time{}
}

// level returns the limit in force.
func (t *target) level(p Params, now time.Time) int {
	cold := min(t.ColdLimit, t.Limit)
	switch {
	case t.load.state == fleet.TargetLeaving:
		return 0
	case t.load.state != fleet.TargetReady, !t.load.broken.IsZero():
		return cold
	case now.Sub(t.load.asked) > p.CutOffTime+p.ReportLag:
		return cold
	}
	level := t.warmed(cold)
	if t.load.concurrency > 0 {
		level = min(level, max(t.load.concurrency, cold))
	}
	return min(level, t.Limit)
}

// warmed returns the step of the warm-up: it begins at the cold limit and doubles
// each time as many requests as the step allows have completed.
func (t *target) warmed(cold int) int {
	level := max(1, cold)
	done := t.load.completed - t.load.coldAt
	for level < t.Limit && done >= int64(level) {
		done -= int64(level)
		level *= 2
	}
	return level
}

// adjust finds the concurrency that keeps the batch full and the target's own queue
// empty. It waits for a report taken after its last change.
func (t *target) adjust(r fleet.LoadReport, next reading, now time.Time) {
	if r.State != fleet.TargetReady || next.earliest.Before(t.load.adjusted) {
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
	t.load.adjusted = now
}

// settle lets the latest reports resolve uncertain work and finds foreign work.
func (l *Ledger) settle(t *target, now time.Time) {
	for _, r := range t.readings {
		if t.uncertain() == 0 {
			break
		}
		if r.earliest.Before(t.decisive) {
			continue
		}
		t.resolve(r.running - l.leastRunning(t, r, now))
	}
	t.forgetSamples(now)
	latest := t.readings[len(t.readings)-1]
	others := max(0, t.level(l.params, now)-t.held)
	t.foreign = max(0, latest.running-t.peakSince(latest.earliest)-t.uncertain()-others)
}

// State describes what the ledger knows of a target.
func (l *Ledger) State(id fleet.TargetID) TargetStatus {
	t, ok := l.targets[id]
	if !ok {
		return TargetStatus{}
	}
	return TargetStatus{
		Known:      true,
		BootID:     t.load.bootID,
		State:      t.load.state,
		Limit:      t.level(l.params, l.swept),
		Usable:     t.held,
		Accounted:  t.known,
		Unresolved: t.uncertain(),
		Foreign:    t.foreign,
		Reported:   t.load.asked,
	}
}
