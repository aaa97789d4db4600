package limit

import (
	"time"

	"medlarwind.dev/medlarwind/internal/membership"
)

const (
	// maxDrainTime is how long a drain lasts at most.
	maxDrainTime = 10 * time.Second
	// minBlockedTime is the least loss, in time of a whole target, before a drain.
	minBlockedTime = 5 * time.Second
	// maxDrainDoublings bounds how rare drains become that resolve nothing.
	maxDrainDoublings = 6
	// drainSpreadSteps is the resolution at which the drains of targets are spread.
	drainSpreadSteps = 1024
)

// drain decides when a target is worth running empty: under steady load reports
// may never resolve uncertain work, and the units that it keeps would stay idle.
type drain struct {
	// until is when the present drain ends.
	until time.Time
	// updatedAt is when the loss was last added up, in time of one unit.
	updatedAt   time.Time
	blockedTime time.Duration
	doublings   int
}

// updateDrain adds up what uncertain work has cost since the last report and
// starts a drain once that exceeds the patience. Without every unit in this
// instance's hands a drain could not resolve anything.
func (t *target) updateDrain(now time.Time) {
	uncertain := t.uncertain()
	elapsed := now.Sub(t.drain.updatedAt)
	t.drain.updatedAt = now
	if uncertain == 0 {
		t.drain = drain{updatedAt: now}
		return
	}
	full := t.held <= t.known+uncertain+t.foreign
	if t.wholeSince.IsZero() || !full || now.Before(t.drain.until) || elapsed > maxDrainTime {
		return
	}
	t.drain.blockedTime += elapsed * time.Duration(min(uncertain, t.held))
	if t.drain.blockedTime < t.drainThreshold()*time.Duration(t.held) {
		return
	}
	t.drain.blockedTime = 0
	t.drain.until = now.Add(maxDrainTime)
	t.drain.doublings = min(t.drain.doublings+1, maxDrainDoublings)
}

// drainThreshold returns the loss that starts the next drain. It differs between targets,
// so that not all of them drain at once, and doubles with each drain.
func (t *target) drainThreshold() time.Duration {
	spread := time.Duration(membership.Hash(string(t.ID)) % drainSpreadSteps)
	base := minBlockedTime + minBlockedTime*spread/drainSpreadSteps
	return base << t.drain.doublings
}

// draining tells whether grants are withheld now.
func (t *target) draining(now time.Time) bool {
	return now.Before(t.drain.until) && t.uncertain() > 0
}
