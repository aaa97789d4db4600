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

	lists membership.ListHistory
	// settled is when the last replaced list left the hold-down.
	settled time.Time
	touch   membership.Freshness
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
		lists:       membership.NewListHistory(p.HoldDown),
		touch:       membership.NewFreshness(p.CutOff),
		settled:     now,
		started:     now,
	}
	l.views.restart(0, now)
	return l
}

// SetMembers takes the platform's list. Call it after each successful read, also of
// an unchanged list, and only then, because it confirms the list. The read must not
// be older than CutOff.
func (l *Ledger) SetMembers(instances []fleet.ListedInstance, order OwnerOrder, now time.Time) {
	l.advance(now)
	for _, instance := range instances {
		l.notePeer(instance, now)
	}
	if !l.fresh(now) {
		l.lists = membership.NewListHistory(l.params.HoldDown)
	}
	l.touch.MarkRead(now)
	l.replaceList(membership.NewList(instances, order), now)
}

// SetOwnerOrder takes a new owner order for the current list. Unlike SetMembers it
// does not confirm the list.
func (l *Ledger) SetOwnerOrder(order OwnerOrder, now time.Time) {
	l.advance(now)
	l.replaceList(l.lists.Current().WithOrder(order), now)
}

// replaceList makes next the current list.
func (l *Ledger) replaceList(next *membership.List, now time.Time) {
	former := l.lists.Current()
	if l.lists.Replace(next, now) {
		l.listReplaced(former, now)
	}
}

// listReplaced drops what was derived from the list before the current one.
func (l *Ledger) listReplaced(former *membership.List, now time.Time) {
	clear(l.decoded)
	for _, t := range l.targets {
		t.holdUntil = time.Time{}
		if !slices.Equal(former.Holders(t.DataCentre), l.lists.Current().Holders(t.DataCentre)) {
			t.order = nil
		}
	}
	l.updateView(now)
}

// listsPruned drops what was derived from lists that have left the hold-down.
func (l *Ledger) listsPruned(now time.Time) {
	l.settled = now
	clear(l.decoded)
	for _, t := range l.targets {
		t.holdUntil = time.Time{}
		t.former = nil
	}
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
// limit 0 from then on. It takes O(targets); call it when they change.
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
	for _, id := range l.ranked(t, l.lists.Current()) {
		if !l.skips(id, now) {
			return id, true
		}
	}
	return "", false
}

// Owned returns the targets that this instance owns now, sorted. It takes O(targets).
func (l *Ledger) Owned(now time.Time) []fleet.TargetID {
	l.advance(now)
	var owned []fleet.TargetID
	holds := make(map[fleet.DataCentreID]bool)
	for id, t := range l.targets {
		if t.Limit == 0 && t.known == 0 || !l.holdsIn(t.DataCentre, holds) {
			continue
		}
		if owner, ok := l.owner(t, now); ok && owner == l.self {
			owned = append(owned, id)
		}
	}
	slices.Sort(owned)
	return owned
}

// holdsIn tells whether this instance holds units of a data centre's targets, and
// remembers the answer in known.
func (l *Ledger) holdsIn(dataCentre fleet.DataCentreID, known map[fleet.DataCentreID]bool) bool {
	holds, ok := known[dataCentre]
	if !ok {
		holds = slices.Contains(l.lists.Current().Holders(dataCentre), l.self)
		known[dataCentre] = holds
	}
	return holds
}

// skips tells whether this instance passes over another one as an owner.
func (l *Ledger) skips(id fleet.InstanceID, now time.Time) bool {
	if id == l.self {
		return l.leaving
	}
	p, ok := l.peers[id]
	return !ok || p.leaving || !p.contact.Reachable(l.deadPeer(p), now)
}

// deadPeer returns the silence after which a peer is taken to be unreachable.
func (l *Ledger) deadPeer(p *peer) time.Duration {
	if p.dataCentre != l.dataCentre && l.lists.Current().LargeFleet() {
		return max(l.params.DeadPeer, l.params.FarDeadPeer)
	}
	return l.params.DeadPeer
}

// advance does the housekeeping that is due. It takes O(peers) at most once in
// each sweepInterval.
func (l *Ledger) advance(now time.Time) {
	l.touch.Check(now)
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	if l.lists.Prune(now) {
		l.listsPruned(now)
	}
	for _, p := range l.peers {
		l.checkLost(p, now)
	}
	l.dropExpired(now)
	l.dropAbandoned(now)
	l.updateView(now)
	for id := range l.entry.work {
		l.believe(id, now)
	}
}

// updateView recomputes whom this instance skips among its data centre's members.
func (l *Ledger) updateView(now time.Time) {
	members := l.lists.Current().Members(l.dataCentre)
	skipped := l.skipped[:0:0]
	view := l.lists.Current().View(l.dataCentre)
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

// CutOff tells whether this instance must take no new work, because neither the
// platform nor a peer has confirmed its list within CutOff.
func (l *Ledger) CutOff(now time.Time) bool { return !l.fresh(now) }

// Restarting tells whether what a former incarnation lent and granted may still be
// in use. The instance neither lends nor grants then.
func (l *Ledger) Restarting(now time.Time) bool {
	return now.Sub(l.started) <= l.params.Release()
}

// fresh tells whether the current list may be acted on.
func (l *Ledger) fresh(now time.Time) bool { return l.touch.Check(now) }
