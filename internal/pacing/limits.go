package pacing

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Limits of a LimitTable.
const (
	// endedTTL is how long it is kept that a target no longer names a limit, so that an older
	// report does not bring the limit back.
	endedTTL = 30 * time.Second
	// maxLimitChanges limits the changes kept until they are taken.
	maxLimitChanges = 64
)

// Limit is what a target said of the requests that it takes.
type Limit struct {
	// StartMillis identifies the target's start. A restarted target has no limit until it names
	// one.
	StartMillis int64
	// PerSecond is the number of requests a second that the target takes from the whole
	// fleet. It applies if Named is set; otherwise the target named no limit.
	PerSecond float64
	Named     bool
	// ObservedAt is when the answer arrived that said so.
	ObservedAt clock.Instant
	// Since is when this instance learnt that the target names limits, and has since.
	Since clock.Instant
}

// LimitChange is a change of a target's limit.
type LimitChange struct {
	Target fleet.TargetID
	Limit
	// Before is the limit before, 0 if there was none.
	Before float64
}

// LimitTable holds the limits that targets name in their answers. It must not be used
// concurrently.
type LimitTable struct {
	limits  map[fleet.TargetID]*Limit
	changes []LimitChange
}

// NewLimitTable returns an empty table.
func NewLimitTable() *LimitTable { return &LimitTable{limits: make(map[fleet.TargetID]*Limit)} }

// Observe records what an answer of a target said.
func (t *LimitTable) Observe(id fleet.TargetID, startMillis int64, perSecond float64, named bool, now clock.Instant) {
	l := t.limits[id]
	switch {
	case l == nil && !named, l != nil && l.StartMillis > startMillis:
		return
	case l == nil || l.StartMillis != startMillis:
		l = &Limit{StartMillis: startMillis}
		t.limits[id] = l
	}
	t.set(id, l, perSecond, named, now)
	l.ObservedAt = now
}

// set sets a limit and records the change, if it is one.
func (t *LimitTable) set(id fleet.TargetID, l *Limit, perSecond float64, named bool, now clock.Instant) {
	if !named {
		perSecond = 0
	}
	if l.Named == named && l.PerSecond == perSecond {
		return
	}
	before := l.PerSecond
	if named && !l.Named {
		l.Since = now
	}
	l.Named, l.PerSecond = named, perSecond
	if len(t.changes) < maxLimitChanges {
		t.changes = append(t.changes, LimitChange{Target: id, Limit: *l, Before: before})
	}
}

// Get returns the limit that the given start of a target names, false if it names none.
func (t *LimitTable) Get(id fleet.TargetID, startMillis int64) (Limit, bool) {
	l := t.limits[id]
	if l == nil || !l.Named || l.StartMillis != startMillis {
		return Limit{}, false
	}
	return *l, true
}

// Expire drops the limits that ended some time ago and those of targets that are not listed.
func (t *LimitTable) Expire(listed func(fleet.TargetID) bool, now clock.Instant) {
	for id, l := range t.limits {
		if !listed(id) || !l.Named && now.Sub(l.ObservedAt) > endedTTL {
			delete(t.limits, id)
		}
	}
}

// TakeChanges returns the changes since the last call.
func (t *LimitTable) TakeChanges() []LimitChange {
	changes := t.changes
	t.changes = nil
	return changes
}
