package prefixindex

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Bounds of the reports.
const (
	// MaxReported is the largest number of entries in a report.
	MaxReported = 64
	// maxChanges bounds the changes kept for peers that have not been told of them.
	maxChanges = 2048
	// refreshPart is the part of the target's memory that it takes in between two reports of the
	// same entry: the use of an entry is then known within a quarter of the time after which it
	// would be evicted.
	refreshPart = 0.25
	// cursorTTL is how long it is kept what a peer was told.
	cursorTTL = time.Minute
	// maxReportAge is the age from which a reported entry is not taken.
	maxReportAge = entryTTL
)

// changes is the log of what peers are to learn, oldest first.
type changes struct {
	log      []change
	revision uint64
	cursors  map[fleet.InstanceID]cursor
}

type change struct {
	revision uint64
	entry    *Entry
}

// cursor is the last revision of which a peer was told.
type cursor struct {
	revision uint64
	at       clock.Instant
}

// add records that peers are to learn of an entry.
func (c *changes) add(e *Entry) {
	c.revision++
	e.revision = c.revision
	if len(c.log) >= maxChanges {
		c.log = append(c.log[:0], c.log[len(c.log)-maxChanges/2:]...)
	}
	c.log = append(c.log, change{c.revision, e})
}

// Report returns what a peer is to learn since the last call for it: at most MaxReported entries,
// the largest first. Each change is told once; what is lost or left out is told with the next use
// of the entry. farthest is the farthest origin of the entries that the peer is to learn of; what
// came from the peer itself is left out.
func (x *Index) Report(peer fleet.InstanceID, farthest Origin, now clock.Instant) []wire.KeptPrefix {
	c := &x.changes
	told := c.cursors[peer].revision
	if len(c.cursors) >= MaxTargets {
		for id, other := range c.cursors {
			if now.Sub(other.at) >= cursorTTL {
				delete(c.cursors, id)
			}
		}
	}
	c.cursors[peer] = cursor{c.revision, now}
	first, _ := slices.BinarySearchFunc(c.log, told+1, func(a change, revision uint64) int { return cmp.Compare(a.revision, revision) })
	var entries []*Entry
	for _, a := range c.log[first:] {
		e := a.entry
		if e.revision == a.revision && e.origin <= farthest && (e.origin == Own || e.from != peer) && (e.Kept() || e.Prefilling(now)) {
			entries = append(entries, e)
		}
	}
	slices.SortStableFunc(entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Target, b.Target))
	})
	var list []wire.KeptPrefix
	for _, e := range entries[:min(len(entries), MaxReported)] {
		at, prefilling := e.keptAt, !e.Kept()
		if prefilling {
			at = e.prefillAt
		}
		list = append(list, wire.KeptPrefix{
			Target: e.Target, StartMillis: x.targets[e.Target].startMillis, Prefix: e.Prefix, Tokens: e.Tokens,
			Reading: prefilling, AgeMillis: now.Sub(at).Milliseconds(),
		})
	}
	return list
}

// Merge takes over what a peer reports of the listed starts of targets.
func (x *Index) Merge(reported []wire.KeptPrefix, from fleet.InstanceID, origin Origin, isListed func(id fleet.TargetID, startMillis int64) bool, now clock.Instant) {
	for _, w := range reported[:min(len(reported), MaxReported)] {
		age := time.Duration(w.AgeMillis) * time.Millisecond
		if w.AgeMillis < 0 || w.AgeMillis >= maxReportAge.Milliseconds() || w.Tokens < MinTokens || w.Tokens > maxTokens || !isListed(w.Target, w.StartMillis) {
			x.stats.Ignored++
			continue
		}
		seen := Entry{Target: w.Target, Prefix: w.Prefix, Tokens: w.Tokens, origin: origin, from: from}
		if w.Reading {
			seen.prefillAt = now.Add(-age)
		} else {
			seen.keptAt = now.Add(-age)
		}
		if x.merge(&seen, w.StartMillis, now) {
			x.stats.Merged++
		}
	}
}
