package limit

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Sizes of the records kept for each target.
const (
	// maxReadings is how many reports wait for entries to confirm their work.
	maxReadings = 4
	// peakBuckets of one second each remember the highest accounted work.
	peakBuckets = 16
)

// reading is a load report with the interval in which its figures were true.
type reading struct {
	earliest time.Time
	latest   time.Time
	running  int
}

// peakBucket is the highest accounted work within one second.
type peakBucket struct {
	second int64
	peak   int
}

// target is the account of one target.
type target struct {
	Target

	// order is the rendezvous order under the current list, former under others.
	order        []fleet.InstanceID
	formerOrders map[*membership.List][]fleet.InstanceID

	// known is the work granted by this instance or named by reachable entries.
	known int
	peaks [peakBuckets]peakBucket
	// lost is the work of unreachable entries, and unresolved that of former
	// incarnations and of former holders of this instance's units. bound is the most
	// that reports taken since decisive leave for both.
	lost           int
	unresolved     int
	uncertainBound int
	resolvableFrom time.Time
	// foreign is reported work that nobody accounts for.
	foreign int

	// held is the number of units this instance may use now, heldRule the same by
	// the highest limit the rules have given, which is reference.
	held         int
	heldOfMax    int
	maxLimit     int
	holdingUntil time.Time
	// wholeSince is since when this instance has held every unit; zero if it does not.
	wholeSince time.Time

	// samples are the latest states of each entry and ended the latest own work, both
	// kept while work is uncertain.
	samples map[*peer][]runningSample
	ended   []endedWork

	drain drain
	load  loadState
	// readings are the latest reports, oldest first.
	readings []reading
}

// newTarget returns an account without limits.
func newTarget(id fleet.TargetID) *target {
	return &target{Target: Target{ID: id}}
}

// add changes the known work and keeps its peak.
func (t *target) add(count int, now time.Time) {
	t.recordPeak(now)
	t.known += count
	t.recordPeak(now)
}

// recordPeak records the known work at now.
func (t *target) recordPeak(now time.Time) {
	second := now.Unix()
	bucket := &t.peaks[second%peakBuckets]
	if bucket.second != second {
		*bucket = peakBucket{second: second}
	}
	bucket.peak = max(bucket.peak, t.known)
}

// peakSince returns the highest known work since a time, for which it looks back
// peakBuckets seconds at most.
func (t *target) peakSince(since time.Time) int {
	peak := t.known
	for _, bucket := range t.peaks {
		if bucket.second >= since.Unix() {
			peak = max(peak, bucket.peak)
		}
	}
	return peak
}

// markLost moves known work to the lost work; reports after decisive can resolve it.
func (t *target) markLost(count int, resolvableFrom, now time.Time) {
	t.add(-count, now)
	t.lost += count
	t.uncertainBound += count
	t.deferResolution(resolvableFrom)
}

// restoreLost moves lost work back to the known work.
func (t *target) restoreLost(count int, now time.Time) {
	t.lost -= count
	t.add(count, now)
}

// addUnresolved adds work that only a report after decisive can resolve.
func (t *target) addUnresolved(count int, resolvableFrom time.Time) {
	t.unresolved += count
	t.uncertainBound += count
	t.deferResolution(resolvableFrom)
}

// deferResolution lets only reports after decisive resolve work.
func (t *target) deferResolution(resolvableFrom time.Time) {
	if resolvableFrom.After(t.resolvableFrom) {
		t.resolvableFrom = resolvableFrom
	}
}

// uncertain returns the most work that may run besides the known work.
func (t *target) uncertain() int { return min(t.unresolved+t.lost, t.uncertainBound) }

// resolve lowers the bound to what a report leaves.
func (t *target) resolve(remaining int) {
	t.uncertainBound = min(t.uncertainBound, max(remaining, 0))
	t.unresolved = min(t.unresolved, t.uncertainBound)
}
