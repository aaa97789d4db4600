package limit

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// lease describes whether this instance may use the units of one holder.
type lease struct {
	usable bool
	// until is when the lease must be checked again, or ends without another heartbeat.
	until time.Time
	// exclusiveSince is the time since which no other instance can have used the units.
	exclusiveSince time.Time
}

// updateHolding updates the number of units of a target that this instance may use. It
// takes O(holders) at most once in each holdingInterval, and O(1) otherwise.
func (l *Ledger) updateHolding(t *target, now time.Time) {
	if now.Before(t.holdingUntil) {
		return
	}
	until := l.freshness.ValidUntil(now)
	if latest := now.Add(holdingInterval); latest.Before(until) || !until.After(now) {
		until = latest
	}
	effectiveLimit := t.effectiveLimit(l.params, now)
	exclusiveSince := l.listsSettledAt
	held, heldOfMax := 0, 0
	for _, id := range l.usableHolders(t, now) {
		holderLease := l.lease(t, id, now)
		if !holderLease.usable {
			continue
		}
		held += l.units(t, id, effectiveLimit)
		heldOfMax += l.units(t, id, t.maxLimit)
		if holderLease.until.Before(until) {
			until = holderLease.until
		}
		if holderLease.exclusiveSince.After(exclusiveSince) {
			exclusiveSince = holderLease.exclusiveSince
		}
	}
	t.setHeld(held, heldOfMax, exclusiveSince)
	t.holdingUntil = until
}

// usableHolders returns the holders whose units this instance may use under a lease. It
// returns none while this instance is restarting or cut off.
func (l *Ledger) usableHolders(t *target, now time.Time) []fleet.InstanceID {
	if l.Restarting(now) || !l.fresh(now) {
		return nil
	}
	return l.ranked(t, l.lists.Current())
}

// setHeld sets the number of units held. Work of former users may still occupy units
// gained, until a report taken since exclusiveSince shows otherwise.
func (t *target) setHeld(held, heldOfMax int, exclusiveSince time.Time) {
	if gained := heldOfMax - t.heldOfMax; gained > 0 {
		t.addUnresolved(gained, exclusiveSince)
	}
	t.held = held
	t.heldOfMax = heldOfMax
	if heldOfMax < t.maxLimit || t.maxLimit == 0 {
		t.wholeSince = time.Time{}
		return
	}
	if t.wholeSince.IsZero() {
		t.wholeSince = exclusiveSince
	}
}

// lease returns the lease on the units of a holder. The units may be used if the holder
// has considered this instance the target's owner for long enough and, for the units of
// another instance, if a loan is in force.
func (l *Ledger) lease(t *target, id fleet.InstanceID, now time.Time) lease {
	if id == l.self {
		since, ok := l.ownerSince(t, &l.views)
		if !ok || now.Sub(since) <= l.params.ReleaseTime() {
			return lease{}
		}
		return lease{usable: true, until: now.Add(holdingInterval), exclusiveSince: since.Add(l.params.ReleaseTime())}
	}
	p, ok := l.peers[id]
	if !ok || !now.Before(p.loanUntil) {
		return lease{}
	}
	since, ok := l.ownerSince(t, &p.views)
	if !ok || now.Sub(since) <= l.params.borrowDelay() {
		return lease{}
	}
	return lease{usable: true, until: p.loanUntil, exclusiveSince: since.Add(l.params.ReleaseTime())}
}

// ownerSince returns the time since which the record of views has named this instance as
// the target's owner without interruption. It returns false if the current view does not
// name it.
func (l *Ledger) ownerSince(t *target, h *viewHistory) (time.Time, bool) {
	if !l.ownsUnder(t, h) {
		return time.Time{}, false
	}
	since := h.since
	for _, change := range h.past {
		if !change.until.After(since) {
			continue
		}
		former := viewHistory{current: change.view}
		if !l.ownsUnder(t, &former) {
			since = change.until
		}
	}
	return since, true
}

// ownsUnder reports whether the current view of h names this instance as the owner.
func (l *Ledger) ownsUnder(t *target, h *viewHistory) bool {
	view := l.decode(h.current)
	if !view.known {
		return false
	}
	owner, ok := l.ownerUnder(t, view)
	return ok && owner == l.self
}

// units returns a holder's share of limit: the least under all lists within the
// hold-down.
func (l *Ledger) units(t *target, id fleet.InstanceID, limit int) int {
	least := limit
	for _, list := range l.lists.All() {
		order := l.ranked(t, list)
		rank := slices.Index(order, id)
		if rank < 0 {
			return 0
		}
		least = min(least, share(limit, rank, len(order)))
	}
	return least
}

// Available returns how many further starts on a target this instance may grant now. It
// takes O(1) amortised.
func (l *Ledger) Available(id fleet.TargetID, now time.Time) int {
	l.advance(now)
	t, ok := l.targets[id]
	if !ok {
		return 0
	}
	return l.available(t, now)
}

// available returns the number of units held that neither known nor uncertain nor
// foreign work occupies. It returns 0 before the first load report and during a drain.
func (l *Ledger) available(t *target, now time.Time) int {
	l.updateHolding(t, now)
	if t.load.requested.IsZero() || t.draining(now) {
		return 0
	}
	return max(0, t.held-t.known-t.uncertain()-t.foreign)
}
