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
	most   int
}

// target is the account of one target.
type target struct {
	Target

	// order is the rendezvous order under the current list, former under others.
	order  []fleet.InstanceID
	former map[*membership.List][]fleet.InstanceID

	// known is the work granted by this instance or named by reachable entries.
	known int
	peaks [peakBuckets]peakBucket
	// lost is the work of unreachable entries, and unresolved that of former
	// incarnations and of former holders of this instance's units. bound is the most
	// that reports taken since decisive leave for both.
	lost       int
	unresolved int
	bound      int
	decisive   time.Time
	// foreign is reported work that nobody accounts for.
	foreign int

	// held is the number of units this instance may use now, heldRule the same by
	// the highest limit the rules have given, which is reference.
	held      int
	heldRule  int
	reference int
	holdUntil time.Time
	// wholeFrom is since when this instance has held every unit; zero if it does not.
	wholeFrom time.Time

	// samples are the latest states of each entry and ended the latest own work, both
	// kept while work is uncertain.
	samples map[*peer][]stateSample
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
	t.notePeak(now)
	t.known += count
	t.notePeak(now)
}

// notePeak records the known work at now.
func (t *target) notePeak(now time.Time) {
	second := now.Unix()
	bucket := &t.peaks[second%peakBuckets]
	if bucket.second != second {
		*bucket = peakBucket{second: second}
	}
	bucket.most = max(bucket.most, t.known)
}

// peakSince returns the highest known work since a time, for which it looks back
// peakBuckets seconds at most.
func (t *target) peakSince(since time.Time) int {
	most := t.known
	for _, bucket := range t.peaks {
		if bucket.second >= since.Unix() {
			most = max(most, bucket.most)
		}
	}
	return most
}

// lose moves known work to the lost work; reports after decisive can resolve it.
func (t *target) lose(count int, decisive, now time.Time) {
	t.add(-count, now)
	t.lost += count
	t.bound += count
	t.postpone(decisive)
}

// regain moves lost work back to the known work.
func (t *target) regain(count int, now time.Time) {
	t.lost -= count
	t.add(count, now)
}

// unresolve adds work that only a report after decisive can resolve.
func (t *target) unresolve(count int, decisive time.Time) {
	t.unresolved += count
	t.bound += count
	t.postpone(decisive)
}

// postpone lets only reports after decisive resolve work.
func (t *target) postpone(decisive time.Time) {
	if decisive.After(t.decisive) {
		t.decisive = decisive
	}
}

// uncertain returns the most work that may run besides the known work.
func (t *target) uncertain() int { return min(t.unresolved+t.lost, t.bound) }

// resolve lowers the bound to what a report leaves.
func (t *target) resolve(rest int) {
	t.bound = min(t.bound, max(rest, 0))
	t.unresolved = min(t.unresolved, t.bound)
}
