package limit

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Intervals of the ledger's own housekeeping.
const (
	// sweepInterval is how often peers and permits are looked over for timeouts.
	sweepInterval = 50 * time.Millisecond
	// holdingInterval is how long a computed holding is kept at most.
	holdingInterval = 100 * time.Millisecond
)

// Ledger is the state of one instance. It is not safe for concurrent use.
type Ledger struct {
	self        fleet.InstanceID
	incarnation fleet.Incarnation
	params      Params
	dataCentre  fleet.DataCentreID
	leaving     bool

	// lists are the known versions within the hold-down; the last is current.
	lists []*snapshot
	// settled is when the last replaced list left the hold-down.
	settled time.Time
	// read is when the platform last gave the list, confirmed when a peer last
	// proved to be in touch, and disputed when one last held an unknown list.
	read      time.Time
	confirmed time.Time
	disputed  time.Time
	// suspended says that the list was out of touch for longer than CutOff and awaits
	// the platform or a peer of the same data centre with the same list.
	suspended bool
	// started is when this incarnation started.
	started time.Time
	// views is the record of this instance's own view.
	views   viewHistory
	skipped []fleet.InstanceID
	decoded map[membership.View]decodedView

	peers   map[fleet.InstanceID]*peer
	targets map[fleet.TargetID]*target
	entry   entry
	epoch   ownerEpoch

	swept time.Time
}

// New returns the ledger of an instance that starts at now. It neither lends nor
// grants until Release has passed, because its former incarnation may have.
func New(self fleet.InstanceID, inc fleet.Incarnation, p Params, now time.Time) *Ledger {
	l := &Ledger{
		self:        self,
		incarnation: inc,
		params:      p,
		decoded:     make(map[membership.View]decodedView),
		peers:       make(map[fleet.InstanceID]*peer),
		targets:     make(map[fleet.TargetID]*target),
		entry:       newEntry(),
		lists:       []*snapshot{newSnapshot(nil, nil)},
		settled:     now,
		started:     now,
	}
	l.views.restart(0, now)
	return l
}

// SetMembers takes the platform's list. Call it after each successful read, also
// of an unchanged list, because it confirms the list.
func (l *Ledger) SetMembers(instances []fleet.ListedInstance, order OwnerOrder, now time.Time) {
	l.advance(now)
	next := newSnapshot(instances, order)
	for _, instance := range instances {
		l.notePeer(instance, now)
	}
	if !l.fresh(now) {
		l.lists = []*snapshot{newSnapshot(nil, nil)}
	}
	l.read = now
	l.suspended = false
	if l.list().equal(next) {
		return
	}
	l.list().until = now
	l.lists = append(l.lists, next)
	l.listsChanged(now)
}

// listsChanged drops what was derived from the lists.
func (l *Ledger) listsChanged(now time.Time) {
	clear(l.decoded)
	for _, t := range l.targets {
		t.order = nil
		t.former = nil
		t.holdUntil = time.Time{}
	}
	l.updateView(now)
}

// notePeer records the data centre of a listed instance.
func (l *Ledger) notePeer(instance fleet.ListedInstance, now time.Time) {
	if instance.ID == l.self {
		l.dataCentre = instance.DataCentre
		return
	}
	p := l.peer(instance.ID, now)
	p.dataCentre = instance.DataCentre
}

// SetTargets takes the targets and their limits. A target that is missing has
// limit 0 from then on.
func (l *Ledger) SetTargets(targets []Target, now time.Time) {
	l.advance(now)
	for _, t := range l.targets {
		t.Limit = 0
		t.ColdLimit = 0
	}
	for _, next := range targets {
		t := l.target(next.ID)
		if t.DataCentre != next.DataCentre {
			t.order = nil
			t.former = nil
		}
		t.Target = next
		t.reference = max(t.reference, next.Limit)
	}
	for _, t := range l.targets {
		t.holdUntil = time.Time{}
	}
}

// SetLeaving says that this instance stops: peers skip it as an owner.
func (l *Ledger) SetLeaving(leaving bool) { l.leaving = leaving }

// target returns the account of a target, making one if needed.
func (l *Ledger) target(id fleet.TargetID) *target {
	t, ok := l.targets[id]
	if !ok {
		t = newTarget(id)
		l.targets[id] = t
	}
	return t
}

// Owner returns whom this instance takes for the target's owner now. It returns
// false if the target is unknown or has no usable owner.
func (l *Ledger) Owner(id fleet.TargetID, now time.Time) (fleet.InstanceID, bool) {
	l.advance(now)
	t, ok := l.targets[id]
	if !ok {
		return "", false
	}
	return l.owner(t, now)
}

// owner returns the first holder in rendezvous order that is not skipped.
func (l *Ledger) owner(t *target, now time.Time) (fleet.InstanceID, bool) {
	for _, id := range l.ranked(t, l.list()) {
		if !l.skips(id, now) {
			return id, true
		}
	}
	return "", false
}

// Owned returns the targets that this instance owns now, sorted.
func (l *Ledger) Owned(now time.Time) []fleet.TargetID {
	l.advance(now)
	var owned []fleet.TargetID
	for id, t := range l.targets {
		if t.Limit == 0 && t.known == 0 {
			continue
		}
		if owner, ok := l.owner(t, now); ok && owner == l.self {
			owned = append(owned, id)
		}
	}
	slices.Sort(owned)
	return owned
}

// skips tells whether this instance passes over another one as an owner.
func (l *Ledger) skips(id fleet.InstanceID, now time.Time) bool {
	if id == l.self {
		return l.leaving
	}
	p, ok := l.peers[id]
	return !ok || p.leaving || !p.reachable(l.params, now)
}

// advance does the housekeeping that is due. It takes O(peers) at most once in
// each sweepInterval.
func (l *Ledger) advance(now time.Time) {
	if !l.fresh(now) {
		l.suspended = true
	}
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	l.pruneLists(now)
	for _, p := range l.peers {
		l.checkLost(p, now)
	}
	l.dropExpired(now)
	l.updateView(now)
	for id := range l.entry.work {
		l.believe(id, now)
	}
}

// pruneLists forgets lists that have left the hold-down.
func (l *Ledger) pruneLists(now time.Time) {
	dropped := 0
	for dropped < len(l.lists)-1 && now.Sub(l.lists[dropped].until) > l.params.HoldDown {
		dropped++
	}
	if dropped == 0 {
		return
	}
	l.lists = slices.Delete(l.lists, 0, dropped)
	l.settled = now
	l.listsChanged(now)
}

// updateView recomputes whom this instance skips among its data centre's members.
func (l *Ledger) updateView(now time.Time) {
	members := l.list().members[l.dataCentre]
	skipped := l.skipped[:0:0]
	view := l.list().views[l.dataCentre]
	for _, id := range members {
		if l.skips(id, now) {
			skipped = append(skipped, id)
			view = view.Toggle(id)
		}
	}
	if !slices.Equal(skipped, l.skipped) {
		l.skipped = skipped
		clear(l.decoded)
	}
	if view != l.views.current {
		l.views.set(view, l.params.borrowDelay(), now)
		for _, t := range l.targets {
			t.holdUntil = time.Time{}
		}
	}
}

// fresh tells whether the list may be acted on: the platform gave it within CutOff,
// or a peer was in touch within CutOff and none held an unknown list.
func (l *Ledger) fresh(now time.Time) bool {
	if within(l.read, l.params.CutOff, now) {
		return true
	}
	if l.suspended {
		return false
	}
	return within(l.confirmed, l.params.CutOff, now) && !within(l.disputed, l.params.CutOff, now)
}

// freshUntil returns when fresh ends without another read or heartbeat.
func (l *Ledger) freshUntil(now time.Time) time.Time {
	last := l.read
	if l.confirmed.After(last) && !within(l.disputed, l.params.CutOff, now) {
		last = l.confirmed
	}
	return last.Add(l.params.CutOff)
}

// within tells whether t is set and at most d before now.
func within(t time.Time, d time.Duration, now time.Time) bool {
	return !t.IsZero() && now.Sub(t) <= d
}

// restarting tells whether a former incarnation's loans and grants may still be in
// use.
func (l *Ledger) restarting(now time.Time) bool {
	return now.Sub(l.started) <= l.params.Release()
}
