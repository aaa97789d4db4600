package limit

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Intervals of the ledger's periodic work.
const (
	// sweepInterval is how often peers and permits are checked for timeouts.
	sweepInterval = 50 * time.Millisecond
	// holdingInterval is the longest time for which a computed number of held units is
	// valid.
	holdingInterval = 100 * time.Millisecond
)

// Ledger is the state of one instance: its peers, the targets, the units that it may
// use and the work that it has granted and runs. It is not safe for concurrent use.
type Ledger struct {
	self        fleet.InstanceID
	incarnation fleet.Incarnation
	params      Params
	dataCentre  fleet.DataCentreID
	leaving     bool

	lists membership.ListHistory
	// listsSettledAt is when the last replaced list left the hold-down.
	listsSettledAt time.Time
	freshness      membership.Freshness
	// started is when this incarnation started.
	started time.Time
	// views is the record of this instance's own views.
	views viewHistory
	// skipped are the members of its data centre that this instance skips as owners.
	skipped []fleet.InstanceID
	// decoded caches the results of decode.
	decoded map[membership.View]decodedView

	peers   map[fleet.InstanceID]*peer
	targets map[fleet.TargetID]*target
	entry   entry
	epoch   ownerEpoch

	lastSweep time.Time
}

// New returns the ledger of an instance that starts at now. The ledger neither lends nor
// grants until ReleaseTime has passed, because loans and grants of a former incarnation
// may still be in use.
func New(self fleet.InstanceID, inc fleet.Incarnation, p Params, now time.Time) *Ledger {
	l := &Ledger{
		self:           self,
		incarnation:    inc,
		params:         p,
		decoded:        make(map[membership.View]decodedView),
		peers:          make(map[fleet.InstanceID]*peer),
		targets:        make(map[fleet.TargetID]*target),
		entry:          newEntry(),
		lists:          membership.NewListHistory(p.HoldDown),
		freshness:      membership.NewFreshness(p.CutOffTime),
		listsSettledAt: now,
		started:        now,
	}
	l.views.restart(0, now)
	return l
}

// SetMembers sets the platform's list and confirms it. Call it after each successful
// read, even if the list has not changed, and at no other time. The read must not be
// older than CutOffTime.
func (l *Ledger) SetMembers(instances []fleet.ListedInstance, order OwnerOrder, now time.Time) {
	l.advance(now)
	for _, instance := range instances {
		l.recordDataCentre(instance, now)
	}
	if !l.fresh(now) {
		l.lists = membership.NewListHistory(l.params.HoldDown)
	}
	l.freshness.MarkRead(now)
	l.replaceList(membership.NewList(instances, order), now)
}

// SetOwnerOrder sets a new owner order for the current list. Unlike SetMembers, it does
// not confirm the list.
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

// listReplaced invalidates the state derived from former, which was the current list.
func (l *Ledger) listReplaced(former *membership.List, now time.Time) {
	clear(l.decoded)
	for _, t := range l.targets {
		t.holdingUntil = time.Time{}
		if !slices.Equal(former.Holders(t.DataCentre), l.lists.Current().Holders(t.DataCentre)) {
			t.order = nil
		}
	}
	l.updateView(now)
}

// listsPruned invalidates the state derived from lists that have left the hold-down.
func (l *Ledger) listsPruned(now time.Time) {
	l.listsSettledAt = now
	clear(l.decoded)
	for _, t := range l.targets {
		t.holdingUntil = time.Time{}
		t.formerOrders = nil
	}
}

// recordDataCentre records the data centre of a listed instance.
func (l *Ledger) recordDataCentre(instance fleet.ListedInstance, now time.Time) {
	if instance.ID == l.self {
		l.dataCentre = instance.DataCentre
		return
	}
	p := l.peer(instance.ID, now)
	p.dataCentre = instance.DataCentre
}

// SetTargets sets the targets and their limits. A target that is missing has limit 0
// from then on. It takes O(targets); call it when the targets change.
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
			t.formerOrders = nil
		}
		t.Target = next
		t.maxLimit = max(t.maxLimit, next.Limit)
	}
	for _, t := range l.targets {
		t.holdingUntil = time.Time{}
	}
}

// SetLeaving sets whether this instance is stopping. Peers skip a leaving instance as an
// owner.
func (l *Ledger) SetLeaving(leaving bool) { l.leaving = leaving }

// target returns the state of a target and creates it if needed.
func (l *Ledger) target(id fleet.TargetID) *target {
	t, ok := l.targets[id]
	if !ok {
		t = newTarget(id)
		l.targets[id] = t
	}
	return t
}

// Owner returns the target's current owner in the view of this instance. It returns
// false if the target is unknown or every holder is skipped.
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

// Owned returns the targets that this instance owns now, sorted by id. It leaves out
// targets with limit 0 and no known work. It takes O(targets).
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

// holdsIn reports whether this instance holds units of a data centre's targets. It
// stores the result in cache.
func (l *Ledger) holdsIn(dataCentre fleet.DataCentreID, cache map[fleet.DataCentreID]bool) bool {
	holds, ok := cache[dataCentre]
	if !ok {
		holds = slices.Contains(l.lists.Current().Holders(dataCentre), l.self)
		cache[dataCentre] = holds
	}
	return holds
}

// skips reports whether this instance skips an instance, which may be itself, as an
// owner.
func (l *Ledger) skips(id fleet.InstanceID, now time.Time) bool {
	if id == l.self {
		return l.leaving
	}
	p, ok := l.peers[id]
	return !ok || p.leaving || !p.contact.Reachable(l.unreachableAfter(p), now)
}

// unreachableAfter returns the time without a heartbeat after which a peer counts as
// unreachable.
func (l *Ledger) unreachableAfter(p *peer) time.Duration {
	if p.dataCentre != l.dataCentre && l.lists.Current().LargeFleet() {
		return max(l.params.UnreachableAfter, l.params.RemoteUnreachableAfter)
	}
	return l.params.UnreachableAfter
}

// advance does the periodic work that is due. It takes O(peers) at most once in each
// sweepInterval.
func (l *Ledger) advance(now time.Time) {
	l.freshness.Check(now)
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
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
		l.updateWorkOwner(id, now)
	}
}

// updateView recomputes which members of its data centre this instance skips.
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
			t.holdingUntil = time.Time{}
		}
	}
}

// IsCutOff reports whether this instance must not take new work, because neither the
// platform nor a peer has confirmed its list within CutOffTime.
func (l *Ledger) IsCutOff(now time.Time) bool { return !l.fresh(now) }

// Restarting reports whether loans and grants of a former incarnation may still be in
// use. While they may, the instance neither lends nor grants.
func (l *Ledger) Restarting(now time.Time) bool {
	return now.Sub(l.started) <= l.params.ReleaseTime()
}

// fresh reports whether this instance may act on the current list.
func (l *Ledger) fresh(now time.Time) bool { return l.freshness.Check(now) }
