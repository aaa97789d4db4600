package pacing

import (
	"maps"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Limits of a LimitTable.
const (
	// reportChangesFor is how long a changed limit is in each report to peers, up to
	// maxReportedChanges of them. Of the others each report has reportedInTurn.
	reportChangesFor   = 2 * time.Second
	maxReportedChanges = 128
	reportedInTurn     = 16
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

	// origin and seq identify the observation that set the value, so that a report that comes
	// back through other instances is not taken for a later one.
	origin, seq uint64
	changedAt   clock.Instant
	// recent is set while the target is in the table's list of recent ones.
	recent bool
}

// LimitChange is a change of a target's limit.
type LimitChange struct {
	Target fleet.TargetID
	Limit
	// Before is the limit before, 0 if there was none.
	Before float64
}

// LimitTable holds the limits that targets name in their answers to any instance. Of two
// observations of one start of a target the later one counts. It must not be used
// concurrently.
type LimitTable struct {
	// origin identifies this instance's observations, seq counts them.
	origin, seq uint64
	limits      map[fleet.TargetID]*Limit
	// unlimited holds when targets without a limit here last named none, since a peer may still
	// report a limit from before.
	unlimited map[fleet.TargetID]unlimited
	// order holds the targets in the order in which reports take turns, turn is the next index.
	order []fleet.TargetID
	turn  int
	// recent holds the targets whose limits are to be in each report for a time.
	recent  []fleet.TargetID
	changes []LimitChange
}

// unlimited is the last answer without a limit from a start of a target.
type unlimited struct {
	startMillis int64
	at          clock.Instant
}

// NewLimitTable returns an empty table of the incarnation origin.
func NewLimitTable(origin fleet.Incarnation) *LimitTable {
	return &LimitTable{
		origin: uint64(origin), limits: make(map[fleet.TargetID]*Limit), unlimited: make(map[fleet.TargetID]unlimited),
	}
}

// Observe records what an answer of a target said.
func (t *LimitTable) Observe(id fleet.TargetID, startMillis int64, perSecond float64, named bool, now clock.Instant) {
	l := t.limits[id]
	switch {
	case l == nil && t.unlimited[id].startMillis > startMillis, l != nil && l.StartMillis > startMillis:
		return
	case l == nil && !named:
		t.unlimited[id] = unlimited{startMillis: startMillis, at: now}
		return
	case l == nil || l.StartMillis != startMillis:
		l = t.add(id, startMillis)
	}
	if t.set(id, l, perSecond, named, now) {
		t.seq++
		l.origin, l.seq = t.origin, t.seq
	}
	l.ObservedAt = now
}

// Merge adds what a peer reports of the targets that are listed.
func (t *LimitTable) Merge(reported []wire.TargetLimit, listed func(fleet.TargetID) bool, now clock.Instant) {
	for _, w := range reported[:min(len(reported), maxReportedChanges+reportedInTurn)] {
		if w.AgeMillis >= 0 && w.PerSecond >= 0 && listed(w.Target) {
			t.merge(w, now.Add(-time.Duration(w.AgeMillis)*time.Millisecond), now)
		}
	}
}

// merge adds a limit that was observed at the given time.
func (t *LimitTable) merge(w wire.TargetLimit, at, now clock.Instant) {
	l := t.limits[w.Target]
	if u, ok := t.unlimited[w.Target]; ok && l == nil && !w.Ended {
		if u.startMillis > w.StartMillis {
			return
		}
		if u.startMillis == w.StartMillis && at <= u.at {
			// The peer does not know that the limit has ended.
			l = t.add(w.Target, w.StartMillis)
			t.seq++
			l.ObservedAt, l.origin, l.seq = u.at, t.origin, t.seq
			t.noteRecent(w.Target, l, now)
			return
		}
	}
	switch {
	case l == nil && w.Ended, l != nil && l.StartMillis > w.StartMillis:
		return
	case l == nil || l.StartMillis != w.StartMillis:
		l = t.add(w.Target, w.StartMillis)
	case l.origin == w.Origin && l.seq == w.Seq:
		return
	case at <= l.ObservedAt:
		if l.Named == w.Ended || l.PerSecond != w.PerSecond {
			// The peer does not know the later observation yet.
			t.noteRecent(w.Target, l, now)
		}
		return
	}
	t.set(w.Target, l, w.PerSecond, !w.Ended, now)
	l.ObservedAt, l.origin, l.seq = at, w.Origin, w.Seq
}

// Report returns the limits that changed recently and, in turn, some of the others.
func (t *LimitTable) Report(now clock.Instant) []wire.TargetLimit {
	if len(t.limits) == 0 {
		t.recent = nil
		return nil
	}
	t.recent = slices.DeleteFunc(t.recent, func(id fleet.TargetID) bool {
		l := t.limits[id]
		if l != nil && now.Sub(l.changedAt) >= reportChangesFor {
			l.recent = false
		}
		return l == nil || !l.recent
	})
	chosen := slices.Clone(t.recent[:min(len(t.recent), maxReportedChanges)])
	for range min(len(t.order), reportedInTurn) {
		t.turn %= len(t.order)
		chosen = append(chosen, t.order[t.turn])
		t.turn++
	}
	list := make([]wire.TargetLimit, 0, len(chosen))
	for _, id := range chosen {
		l := t.limits[id]
		list = append(list, wire.TargetLimit{
			Target: id, StartMillis: l.StartMillis, PerSecond: l.PerSecond, Ended: !l.Named,
			Origin: l.origin, Seq: l.seq, AgeMillis: now.Sub(l.ObservedAt).Milliseconds(),
		})
	}
	return list
}

// add adds an entry for a start of a target in place of one for another start.
func (t *LimitTable) add(id fleet.TargetID, startMillis int64) *Limit {
	l := &Limit{StartMillis: startMillis}
	if before := t.limits[id]; before != nil {
		l.recent = before.recent
	} else {
		t.order = append(t.order, id)
	}
	t.limits[id] = l
	delete(t.unlimited, id)
	return l
}

// noteRecent puts a limit into each report for a time.
func (t *LimitTable) noteRecent(id fleet.TargetID, l *Limit, now clock.Instant) {
	if !l.recent {
		t.recent = append(t.recent, id)
	}
	l.recent, l.changedAt = true, now
}

// set sets a limit and records the change. It reports whether there was one.
func (t *LimitTable) set(id fleet.TargetID, l *Limit, perSecond float64, named bool, now clock.Instant) bool {
	if !named {
		perSecond = 0
	}
	if l.Named == named && l.PerSecond == perSecond {
		return false
	}
	before := l.PerSecond
	if named && !l.Named {
		l.Since = now
	}
	l.Named, l.PerSecond = named, perSecond
	t.noteRecent(id, l, now)
	if len(t.changes) < maxLimitChanges {
		t.changes = append(t.changes, LimitChange{Target: id, Limit: *l, Before: before})
	}
	return true
}

// IsEmpty reports whether the table holds no limit, named or ended.
func (t *LimitTable) IsEmpty() bool { return len(t.limits) == 0 }

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
	maps.DeleteFunc(t.unlimited, func(id fleet.TargetID, _ unlimited) bool { return !listed(id) })
	t.order = slices.DeleteFunc(t.order, func(id fleet.TargetID) bool { return t.limits[id] == nil })
}

// TakeChanges returns the changes since the last call.
func (t *LimitTable) TakeChanges() []LimitChange {
	changes := t.changes
	t.changes = nil
	return changes
}
