package prefixindex

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// rateTime is the time constant of the smoothed rate at which a target takes in tokens.
const rateTime = 2 * time.Second

// Usage is what is known of the memory of the listed start of a target.
type Usage struct {
	Target      fleet.TargetID
	StartMillis int64
	// Memory is the engine's memory, Running the part of it that running requests hold, in tokens.
	Memory, Running int
	// PeerPerSecond is the rate at which requests of other instances bring tokens to the target
	// that it has to take in.
	PeerPerSecond float64
}

// TakeIn counts tokens that a request of this instance brings to a target.
func (x *Index) TakeIn(id fleet.TargetID, startMillis int64, tokens int, now clock.Instant) {
	t := x.forStart(id, startMillis, now)
	if t == nil {
		return
	}
	t.takenIn += float64(tokens)
	t.perSecond += float64(tokens) / rateTime.Seconds()
}

// decayRate lets the smoothed rate decay up to now.
func (t *target) decayRate(now clock.Instant) {
	elapsed := max(now.Sub(t.countedAt), 0)
	t.perSecond *= math.Exp(-elapsed.Seconds() / rateTime.Seconds())
	t.countedAt = max(t.countedAt, now)
}

// Expire brings the use of a target's memory up to date, and drops the entries that it must have
// evicted. It must be called a few times a second. O(entries · log entries) of the target.
//
// The memory holds what was used since an entry's last use: the tokens taken in since, the entries
// used later, and the tokens of running requests, of which those that began since are among the
// tokens taken in.
func (x *Index) Expire(u Usage, now clock.Instant) {
	t := x.targets[u.Target]
	if t == nil {
		return
	}
	if t.startMillis != u.StartMillis {
		// The start that is listed may also be the lower one, if the machine's clock was set back.
		x.stats.Restarted += int64(len(t.entries))
		x.removeTarget(u.Target)
		return
	}
	elapsed := max(now.Sub(t.countedAt), 0).Seconds()
	t.decayRate(now)
	t.takenIn += u.PeerPerSecond * elapsed
	t.perSecond += u.PeerPerSecond * elapsed / rateTime.Seconds()
	t.memory = u.Memory
	x.sorted = x.sorted[:0]
	for _, e := range t.entries {
		x.sorted = append(x.sorted, e)
	}
	slices.SortFunc(x.sorted, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(b.usedAt(), a.usedAt()), cmp.Compare(a.Prefix, b.Prefix))
	})
	later := 0
	for _, e := range x.sorted {
		if u.Memory > 0 {
			e.fill = (max(t.takenIn-e.takenIn, float64(u.Running)) + float64(later+e.Tokens)) / float64(u.Memory)
		}
		switch {
		case e.fill >= 1:
			x.stats.Evicted++
			x.remove(e)
		case now.Sub(e.usedAt()) >= entryTTL, e.keptAt == 0 && now.Sub(e.prefillAt) >= prefillTTL:
			x.remove(e)
		case e.Kept():
			later += e.Tokens
		}
	}
}

// KeepListed drops the targets that are not listed.
func (x *Index) KeepListed(listed func(fleet.TargetID) bool) {
	for id := range x.targets {
		if !listed(id) {
			x.removeTarget(id)
		}
	}
}

// LinkWait returns the time until the transfers end that this instance caused on a target's link.
func (x *Index) LinkWait(id fleet.TargetID, now clock.Instant) time.Duration {
	if t := x.targets[id]; t != nil {
		return max(t.linkBusyUntil.Sub(now), 0)
	}
	return 0
}

// IsSource reports whether a target may be named as a source: the last fetches from it have not
// all failed.
func (x *Index) IsSource(id fleet.TargetID, now clock.Instant) bool {
	t := x.targets[id]
	return t != nil && now >= t.avoidUntil
}

// BeginFetch records a transfer from a source that ends after the given time.
func (x *Index) BeginFetch(source fleet.TargetID, took time.Duration, now clock.Instant) {
	if t := x.targets[source]; t != nil {
		t.linkBusyUntil = max(t.linkBusyUntil, now.Add(took))
	}
}

// EndFetch records whether a first event came too late for a transfer from the source.
func (x *Index) EndFetch(source fleet.TargetID, startMillis int64, prefix uint64, late bool, now clock.Instant) {
	x.Miss(source, startMillis, prefix, late, now)
	t := x.targets[source]
	if t == nil || t.startMillis != startMillis {
		return
	}
	if !late {
		t.failedFetches = 0
		return
	}
	if t.failedFetches++; t.failedFetches >= avoidSourceAfter {
		t.failedFetches, t.avoidUntil = 0, now.Add(avoidSourceFor)
	}
}
