package limit

import (
	"time"

	"medlarwind.dev/medlarwind/internal/membership"
)

const (
	// drainTime is how long a drain lasts at most.
	drainTime = 10 * time.Second
	// drainPatience is the least loss, in time of a whole target, before a drain.
	drainPatience = 5 * time.Second
	// maxDrainDoublings bounds how rare drains become that resolve nothing.
	maxDrainDoublings = 6
	// spreadSteps is the resolution at which the drains of targets are spread.
	spreadSteps = 1024
)

// drain decides when a target is worth running empty: under steady load reports
// may never resolve uncertain work, and the units that it keeps would stay idle.
type drain struct {
	// until is when the present drain ends.
	until time.Time
	// checked is when the loss was last added up, in time of one unit.
	checked   time.Time
	loss      time.Duration
	doublings int
}

// considerDrain adds up what uncertain work has cost since the last report and
// starts a drain once that exceeds the patience. Without every unit in this
// instance's hands a drain could not resolve anything.
func (t *target) considerDrain(now time.Time) {
	uncertain := t.uncertain()
	elapsed := now.Sub(t.drain.checked)
	t.drain.checked = now
	if uncertain == 0 {
		t.drain = drain{checked: now}
		return
	}
	full := t.held <= t.known+uncertain+t.foreign
	if t.wholeFrom.IsZero() || !full || now.Before(t.drain.until) || elapsed > drainTime {
		return
	}
	t.drain.loss += elapsed * time.Duration(min(uncertain, t.held))
	if t.drain.loss < t.patience()*time.Duration(t.held) {
		return
	}
	t.drain.loss = 0
	t.drain.until = now.Add(drainTime)
	t.drain.doublings = min(t.drain.doublings+1, maxDrainDoublings)
}

// patience returns the loss that starts the next drain. It differs between targets,
// so that not all of them drain at once, and doubles with each drain.
func (t *target) patience() time.Duration {
	spread := time.Duration(membership.Hash(string(t.ID)) % spreadSteps)
	base := drainPatience + drainPatience*spread/spreadSteps
	return base << t.drain.doublings
}

// draining tells whether grants are withheld now.
func (t *target) draining(now time.Time) bool {
	return now.Before(t.drain.until) && t.uncertain() > 0
}
