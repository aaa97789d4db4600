// Package prefixindex tracks which long prompt prefixes the targets keep in their prefix caches or
// are prefilling, as far as the requests of all instances show it.
//
// The load that it answers: hundreds of prefixes of some 5,000 tokens, each used by many instances on
// several targets. An engine's memory is replaced within 5 to 10 s, so that neither a fixed home nor
// what one instance sent itself tells where a prefix is cached.
//
// A target keeps a prefix from the first event of a request that carried it; until then it is
// prefilling it. An engine evicts the least recently used tokens, so an entry is dropped once the
// tokens that the engine has taken in since the entry's last use, together with the entries used
// later, fill its memory. A start of a target that is not the newest known keeps nothing.
//
// What is known of an entry is three times: when the target was last known to keep the prefix, when
// it last began to prefill it, and when it turned out not to keep it. Each only grows, and what
// peers report is merged by taking the later one, so that the order of reports does not matter and
// repeated reports change nothing.
//
// The package does no I/O and reads no clock. An Index must not be used concurrently.
package prefixindex

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Bounds of an Index. An entry takes some 200 bytes, so that a full index takes about 4 MB.
const (
	// MinTokens is the number of tokens from which a prefix is tracked. Shorter ones are prefilled
	// in the time that a transfer takes to begin.
	MinTokens = 1000
	// MaxTargets, MaxPerTarget and MaxEntries are the largest numbers of targets, of entries for
	// one target and of entries. The least recently used entry makes room for a new one.
	MaxTargets   = 1024
	MaxPerTarget = 256
	MaxEntries   = 16384
	// maxTokens is the longest prefix that a peer's report may name.
	maxTokens = 10_000_000
)

// Times of an Index.
const (
	// prefillTTL is how long a prefill counts as going on without a first event. The run may have
	// ended at an instance that could not say so.
	prefillTTL = 3 * time.Second
	// entryTTL is how long an entry is kept without use, whatever the target takes in: 6 times the
	// time in which a busy engine of the published deployments replaces its cache.
	entryTTL = time.Minute
	// avoidSourceAfter is the number of consecutive fetches from a target that failed after
	// which it is not named for avoidSourceFor.
	avoidSourceAfter = 3
	avoidSourceFor   = 3 * time.Second
	// missesToDrop is the number of consecutive late first events after which an entry is dropped.
	// A single one may be due to requests of peers that were not known yet.
	missesToDrop = 2
)

// Entry is what is known of one prefix on one start of a target.
type Entry struct {
	Target fleet.TargetID
	Prefix uint64
	Tokens int

	// keptAt is when the target was last known to keep the prefix, prefillAt when it last began to
	// prefill it, droppedAt when it was last found not to keep it. Each is 0 for never.
	keptAt, prefillAt, droppedAt clock.Instant
	// takenIn is the target's count of tokens at the last use.
	takenIn float64
	// fill is the part of the target's memory that was used since the last use, as of the last
	// call of Expire.
	fill   float64
	misses int
	// origin and from say who reported the entry. revision is that of the last change that peers
	// are to learn, reportedTakenIn is takenIn at that time.
	origin          Origin
	from            fleet.InstanceID
	revision        uint64
	reportedTakenIn float64
}

// Origin is where knowledge of an entry comes from.
type Origin int

// The origins of an entry.
const (
	// Own is an observation of this instance.
	Own Origin = iota
	// DataCentre is a report by an instance of the same data centre on what it observed itself.
	DataCentre
	// Elsewhere is a report by a relay or by an instance of another data centre.
	Elsewhere
)

// Kept reports whether the target keeps the prefix.
func (e *Entry) Kept() bool { return e.keptAt != 0 && e.keptAt > e.droppedAt }

// Prefilling reports whether the target is prefilling the prefix for the first time.
func (e *Entry) Prefilling(now clock.Instant) bool {
	return !e.Kept() && e.prefillAt > e.droppedAt && now.Sub(e.prefillAt) < prefillTTL
}

// Age returns the time since the target was last known to keep the prefix.
func (e *Entry) Age(now clock.Instant) time.Duration { return now.Sub(e.keptAt) }

// Belief returns the probability that the target still keeps the prefix. What a target has taken in
// is known within about half, because peers' sends are estimated from their running requests: the
// true part of the memory is taken as evenly distributed from 0.5 to 1.5 times the estimate.
func (e *Entry) Belief() float64 {
	if !e.Kept() {
		return 0
	}
	return min(max(1/max(e.fill, 1e-3)-0.5, 0), 1)
}

// usedAt returns the time of the last use.
func (e *Entry) usedAt() clock.Instant { return max(e.keptAt, e.prefillAt, e.droppedAt) }

// target is the state of the newest known start of a target.
type target struct {
	startMillis int64
	entries     map[uint64]*Entry
	// takenIn counts the tokens that the target has taken in, perSecond is the smoothed rate,
	// countedAt when it was last brought up to date.
	takenIn, perSecond float64
	countedAt          clock.Instant
	// memory is the engine's memory in tokens, 0 if it is unknown.
	memory int
	// linkBusyUntil is when the transfers that this instance caused on the target's link end.
	linkBusyUntil clock.Instant
	// failedFetches counts consecutive fetches from the target that failed.
	failedFetches int
	avoidUntil    clock.Instant
}

// Stats are the counters of an Index.
type Stats struct {
	// Entries is the number of entries, Targets that of targets.
	Entries, Targets int
	// Dropped counts the entries that first events disproved, Evicted those that targets must
	// have evicted, Restarted those of earlier starts, Displaced those dropped for room.
	Dropped, Evicted, Restarted, Displaced int64
	// Merged counts the entries that reports added or changed, Ignored those not taken.
	Merged, Ignored int64
}

// Index holds the entries of all targets.
type Index struct {
	targets map[fleet.TargetID]*target
	// holders lists the entries of each prefix.
	holders map[uint64][]*Entry
	count   int
	changes changes
	stats   Stats
	// sorted is reused by Expire.
	sorted []*Entry
}

// New returns an empty index.
func New() *Index {
	return &Index{
		targets: make(map[fleet.TargetID]*target), holders: make(map[uint64][]*Entry),
		changes: changes{cursors: make(map[fleet.InstanceID]cursor)},
	}
}

// Holders returns the entries of a prefix, whatever their state. The slice is valid until the next
// change. O(1).
func (x *Index) Holders(prefix uint64) []*Entry { return x.holders[prefix] }

// Get returns the entry of a prefix on a start of a target, nil if there is none.
func (x *Index) Get(id fleet.TargetID, startMillis int64, prefix uint64) *Entry {
	t := x.targets[id]
	if t == nil || t.startMillis != startMillis {
		return nil
	}
	return t.entries[prefix]
}

// IsStart reports whether the entries of a target are those of the given start.
func (x *Index) IsStart(id fleet.TargetID, startMillis int64) bool {
	t := x.targets[id]
	return t != nil && t.startMillis == startMillis
}

// Begin records that a request which carries a prefix is sent to a target that does not keep it.
func (x *Index) Begin(id fleet.TargetID, startMillis int64, prefix uint64, tokens int, now clock.Instant) {
	x.merge(&Entry{Target: id, Prefix: prefix, Tokens: tokens, prefillAt: now}, startMillis, now)
}

// Keep records that a target keeps a prefix now.
func (x *Index) Keep(id fleet.TargetID, startMillis int64, prefix uint64, tokens int, now clock.Instant) {
	x.merge(&Entry{Target: id, Prefix: prefix, Tokens: tokens, keptAt: now}, startMillis, now)
}

// Drop records that a target does not keep a prefix.
func (x *Index) Drop(id fleet.TargetID, startMillis int64, prefix uint64, now clock.Instant) {
	if e := x.Get(id, startMillis, prefix); e != nil && e.Kept() {
		e.droppedAt = now
		x.stats.Dropped++
	}
}

// Miss records whether a first event came so late that the target cannot have kept the prefix. The
// entry is dropped after missesToDrop late ones in succession.
func (x *Index) Miss(id fleet.TargetID, startMillis int64, prefix uint64, late bool, now clock.Instant) {
	e := x.Get(id, startMillis, prefix)
	if e == nil {
		return
	}
	if !late {
		e.misses = 0
		return
	}
	if e.misses++; e.misses >= missesToDrop {
		e.misses = 0
		x.Drop(id, startMillis, prefix, now)
	}
}

// merge takes over what is later than what is known. It reports whether anything changed.
func (x *Index) merge(seen *Entry, startMillis int64, now clock.Instant) bool {
	t := x.forStart(seen.Target, startMillis, now)
	if t == nil {
		return false
	}
	e := t.entries[seen.Prefix]
	if e == nil {
		if t.memory > 0 && t.perSecond*now.Sub(seen.usedAt()).Seconds() >= float64(t.memory) {
			return false
		}
		if !x.makeRoom(t, seen) {
			return false
		}
		e = &Entry{Target: seen.Target, Prefix: seen.Prefix, origin: seen.origin, from: seen.from}
		t.entries[seen.Prefix] = e
		x.holders[seen.Prefix] = append(x.holders[seen.Prefix], e)
		x.count++
	}
	wasKept, wasPrefilling := e.Kept(), e.Prefilling(now)
	if seen.keptAt <= e.keptAt && seen.prefillAt <= e.prefillAt && seen.Tokens <= e.Tokens {
		return false
	}
	e.Tokens = max(e.Tokens, seen.Tokens)
	if seen.usedAt() > e.usedAt() {
		t.decayRate(now)
		// What a report says was observed earlier: the target has taken in tokens since.
		e.takenIn = max(e.takenIn, t.takenIn-t.perSecond*now.Sub(seen.usedAt()).Seconds())
		e.fill = (t.takenIn - e.takenIn) / float64(max(t.memory, 1))
		if t.memory == 0 {
			e.fill = 0
		}
	}
	e.keptAt, e.prefillAt = max(e.keptAt, seen.keptAt), max(e.prefillAt, seen.prefillAt)
	refreshed := e.takenIn-e.reportedTakenIn > refreshPart*float64(t.memory)
	// Once a target keeps the prefix, others fetch it in some 10 ms: that is over before peers learn of it.
	begun := !e.Kept() && e.Prefilling(now) && !wasPrefilling && !slices.ContainsFunc(x.holders[seen.Prefix], (*Entry).Kept)
	if e.Kept() && (!wasKept || refreshed) || begun {
		e.origin, e.from, e.reportedTakenIn = seen.origin, seen.from, e.takenIn
		x.changes.add(e)
	}
	return true
}

// forStart returns the state of a start of a target, nil if a later start is known or there is no
// room. The entries of an earlier start are dropped.
func (x *Index) forStart(id fleet.TargetID, startMillis int64, now clock.Instant) *target {
	t := x.targets[id]
	switch {
	case t == nil && len(x.targets) >= MaxTargets || t != nil && t.startMillis > startMillis:
		return nil
	case t != nil && t.startMillis < startMillis:
		x.stats.Restarted += int64(len(t.entries))
		x.removeTarget(id)
		t = nil
	}
	if t == nil {
		t = &target{startMillis: startMillis, entries: make(map[uint64]*Entry), countedAt: now}
		x.targets[id] = t
	}
	return t
}

// makeRoom drops the least recently used entry of a target, or of all, if a bound is reached. It
// returns false if that entry was used later than the new one.
func (x *Index) makeRoom(t *target, seen *Entry) bool {
	var oldest *Entry
	switch {
	case len(t.entries) >= MaxPerTarget:
		for _, e := range t.entries {
			oldest = older(oldest, e)
		}
	case x.count >= MaxEntries:
		for _, other := range x.targets {
			for _, e := range other.entries {
				oldest = older(oldest, e)
			}
		}
	default:
		return true
	}
	if older(oldest, seen) == seen {
		return false
	}
	x.remove(oldest)
	x.stats.Displaced++
	return true
}

// older returns the entry that was used less recently; a may be nil.
func older(a, b *Entry) *Entry {
	if a == nil || cmp.Or(cmp.Compare(b.usedAt(), a.usedAt()), cmp.Compare(b.Prefix, a.Prefix), cmp.Compare(b.Target, a.Target)) < 0 {
		return b
	}
	return a
}

// remove removes an entry.
func (x *Index) remove(e *Entry) {
	delete(x.targets[e.Target].entries, e.Prefix)
	e.revision = 0
	x.count--
	rest := slices.DeleteFunc(x.holders[e.Prefix], func(other *Entry) bool { return other == e })
	if len(rest) == 0 {
		delete(x.holders, e.Prefix)
		return
	}
	x.holders[e.Prefix] = rest
}

func (x *Index) removeTarget(id fleet.TargetID) {
	for _, e := range x.targets[id].entries {
		x.remove(e)
	}
	delete(x.targets, id)
}

// Stats returns the counters.
func (x *Index) Stats() Stats {
	s := x.stats
	s.Entries, s.Targets = x.count, len(x.targets)
	return s
}
