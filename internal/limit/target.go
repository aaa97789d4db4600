package limit

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Sizes of the records kept for each target.
const (
	// maxReadings is how many reports are kept until the entries' heartbeats cover their
	// time.
	maxReadings = 4
	// peakBuckets is the number of one-second buckets that record the highest known
	// work.
	peakBuckets = 16
)

// reading is a load report with the interval in which its figures were true. running
// includes the requests in the target's own queue.
type reading struct {
	earliest time.Time
	latest   time.Time
	running  int
}

// peakBucket is the highest known work within one second of Unix time.
type peakBucket struct {
	second int64
	peak   int
}

// target is the ledger's state of one target.
type target struct {
	Target

	// order is the rendezvous order of the holders under the current list, and
	// formerOrders the order under each list within the hold-down. Both are caches.
	order        []fleet.InstanceID
	formerOrders map[*membership.List][]fleet.InstanceID

	// known is the work granted by this instance or reported by reachable entries.
	known int
	peaks [peakBuckets]peakBucket
	// lost is the work of unreachable entries, and unresolved that of former
	// incarnations and of former users of the units that this instance uses.
	// uncertainBound is an upper bound of their sum, from the reports taken since
	// resolvableFrom.
	lost           int
	unresolved     int
	uncertainBound int
	resolvableFrom time.Time
	// foreign is the work in the latest report that no known instance accounts for.
	foreign int

	// held is the number of units that this instance may use until holdingUntil, under
	// the limit in force. heldOfMax is the same number under maxLimit, the highest limit
	// that the rules have set.
	held         int
	heldOfMax    int
	maxLimit     int
	holdingUntil time.Time
	// wholeSince is the time since which this instance has held every unit, or zero if it
	// does not.
	wholeSince time.Time

	// samples are the latest samples of each entry, and ended the latest ended work of
	// this instance. Both are kept only while there is uncertain work.
	samples map[*peer][]runningSample
	ended   []endedWork

	drain drain
	load  loadState
	// readings are the latest reports, oldest first.
	readings []reading
}

// newTarget returns a target with limits 0.
func newTarget(id fleet.TargetID) *target {
	return &target{Target: Target{ID: id}}
}

// add changes the known work by count and records its peak.
func (t *target) add(count int, now time.Time) {
	t.recordPeak(now)
	t.known += count
	t.recordPeak(now)
}

// recordPeak updates the peak of the current second with the known work.
func (t *target) recordPeak(now time.Time) {
	second := now.Unix()
	bucket := &t.peaks[second%peakBuckets]
	if bucket.second != second {
		*bucket = peakBucket{second: second}
	}
	bucket.peak = max(bucket.peak, t.known)
}

// peakSince returns the highest known work since the given time. It covers the last
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

// markLost moves known work to the lost work. Only reports taken since resolvableFrom
// can resolve it.
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

// addUnresolved adds unresolved work. Only reports taken since resolvableFrom can
// resolve it.
func (t *target) addUnresolved(count int, resolvableFrom time.Time) {
	t.unresolved += count
	t.uncertainBound += count
	t.deferResolution(resolvableFrom)
}

// deferResolution lets only reports taken since resolvableFrom resolve work.
func (t *target) deferResolution(resolvableFrom time.Time) {
	if resolvableFrom.After(t.resolvableFrom) {
		t.resolvableFrom = resolvableFrom
	}
}

// uncertain returns an upper bound of the work that may run besides the known work.
func (t *target) uncertain() int { return min(t.unresolved+t.lost, t.uncertainBound) }

// resolve lowers the bound of the uncertain work to the work that remains in a report
// after the known work is subtracted.
func (t *target) resolve(remaining int) {
	t.uncertainBound = min(t.uncertainBound, max(remaining, 0))
	t.unresolved = min(t.unresolved, t.uncertainBound)
}
