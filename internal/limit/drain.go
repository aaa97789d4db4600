package limit

import (
	"time"

	"medlarwind.dev/medlarwind/internal/membership"
)

const (
	// maxDrainTime is the longest duration of a drain.
	maxDrainTime = 10 * time.Second
	// minBlockedTime is the least blocked time that starts a drain, as an average over
	// the units held.
	minBlockedTime = 5 * time.Second
	// maxDrainDoublings bounds the number of times that the drain threshold doubles while
	// drains resolve nothing.
	maxDrainDoublings = 6
	// drainSpreadSteps is the number of distinct drain thresholds among the targets.
	drainSpreadSteps = 1024
)

// drain decides when a target should run empty. Under steady load, reports may never
// resolve uncertain work, and the units that it occupies would stay idle.
type drain struct {
	// until is when the current drain ends.
	until time.Time
	// updatedAt is when blockedTime was last updated. blockedTime is the sum, over all
	// units, of the time for which uncertain work kept them unused.
	updatedAt   time.Time
	blockedTime time.Duration
	// doublings is the number of times that the drain threshold has doubled.
	doublings int
}

// updateDrain adds the unit time blocked by uncertain work since the last report and
// starts a drain once the sum reaches the threshold. It adds no time while units are
// free, nor while other instances hold units, because a drain could not resolve anything
// then.
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

// drainThreshold returns the blocked time that starts the next drain, as an average over
// the units held. It differs between targets, so that they do not all drain at once, and
// doubles with each drain.
func (t *target) drainThreshold() time.Duration {
	spread := time.Duration(membership.Hash(string(t.ID)) % drainSpreadSteps)
	base := minBlockedTime + minBlockedTime*spread/drainSpreadSteps
	return base << t.drain.doublings
}

// draining reports whether a drain prevents grants on the target at now.
func (t *target) draining(now time.Time) bool {
	return now.Before(t.drain.until) && t.uncertain() > 0
}
