package limit

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// claim says whether one holder's units may be used now.
type claim struct {
	usable bool
	// until is when that ends without another heartbeat.
	until time.Time
	// released is since when nobody else can have used the units.
	released time.Time
}

// hold brings the number of usable units of a target up to date. It takes O(holders)
// at most once in each holdingInterval and O(1) otherwise.
func (l *Ledger) hold(t *target, now time.Time) {
	if now.Before(t.holdUntil) {
		return
	}
	until := l.touch.ValidUntil(now)
	if limit := now.Add(holdingInterval); limit.Before(until) || !until.After(now) {
		until = limit
	}
	level := t.level(l.params, now)
	released := l.settled
	held, heldRule := 0, 0
	for _, id := range l.usableHolders(t, now) {
		c := l.claim(t, id, now)
		if !c.usable {
			continue
		}
		held += l.units(t, id, level)
		heldRule += l.units(t, id, t.reference)
		if c.until.Before(until) {
			until = c.until
		}
		if c.released.After(released) {
			released = c.released
		}
	}
	t.setHeld(held, heldRule, released)
	t.holdUntil = until
}

// usableHolders returns the holders whose units may be asked for, none while this
// instance is restarting or has lost touch.
func (l *Ledger) usableHolders(t *target, now time.Time) []fleet.InstanceID {
	if l.Restarting(now) || !l.fresh(now) {
		return nil
	}
	return l.ranked(t, l.lists.Current())
}

// setHeld takes the new holding. Units gained may be occupied by work of their former
// users until a report taken after released shows otherwise.
func (t *target) setHeld(held, heldRule int, released time.Time) {
	if gained := heldRule - t.heldRule; gained > 0 {
		t.unresolve(gained, released)
	}
	t.held = held
	t.heldRule = heldRule
	if heldRule < t.reference || t.reference == 0 {
		t.wholeFrom = time.Time{}
		return
	}
	if t.wholeFrom.IsZero() {
		t.wholeFrom = released
	}
}

// claim tells whether the units of a holder may be used: this instance must have
// been the target's owner in the holder's eyes for long enough, and, for another
// instance's units, a loan must run.
func (l *Ledger) claim(t *target, id fleet.InstanceID, now time.Time) claim {
	if id == l.self {
		since, ok := l.ownerSince(t, &l.views)
		if !ok || now.Sub(since) <= l.params.Release() {
			return claim{}
		}
		return claim{usable: true, until: now.Add(holdingInterval), released: since.Add(l.params.Release())}
	}
	p, ok := l.peers[id]
	if !ok || !now.Before(p.loanUntil) {
		return claim{}
	}
	since, ok := l.ownerSince(t, &p.views)
	if !ok || now.Sub(since) <= l.params.borrowDelay() {
		return claim{}
	}
	return claim{usable: true, until: p.loanUntil, released: since.Add(l.params.Release())}
}

// ownerSince returns since when the record of views has named this instance as the
// target's owner without a break, or false if it does not now.
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

// ownsUnder tells whether the current view of h names this instance as the owner.
func (l *Ledger) ownsUnder(t *target, h *viewHistory) bool {
	view := l.decode(h.current)
	if !view.known {
		return false
	}
	owner, ok := l.ownerUnder(t, view)
	return ok && owner == l.self
}

// units returns a holder's part of limit: the least under all lists within the
// hold-down.
func (l *Ledger) units(t *target, id fleet.InstanceID, limit int) int {
	least := limit
	for _, list := range l.lists.All() {
		order := l.ranked(t, list)
		rank := slices.Index(order, id)
		if rank < 0 {
			return 0
		}
		least = min(least, part(limit, rank, len(order)))
	}
	return least
}

// Available returns how many further starts this instance may grant now. It takes
// O(1) amortised.
func (l *Ledger) Available(id fleet.TargetID, now time.Time) int {
	l.advance(now)
	t, ok := l.targets[id]
	if !ok {
		return 0
	}
	return l.available(t, now)
}

// available returns the usable units that no work may occupy.
func (l *Ledger) available(t *target, now time.Time) int {
	l.hold(t, now)
	if t.load.asked.IsZero() || t.draining(now) {
		return 0
	}
	return max(0, t.held-t.known-t.uncertain()-t.foreign)
}
