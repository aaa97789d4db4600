package limit

import (
	"time"

	"medlarwind.dev/medlarwind/internal/membership"
)

// ownerEpoch counts the changes of the state that determines the targets' owners.
type ownerEpoch struct {
	count   uint64
	list    *membership.List
	leaving bool
}

// OwnerEpoch returns a number that changes whenever the owner of any target may have
// changed for a reason other than SetTargets. Callers use it to cache what they derive
// from Owner. It takes O(peers).
func (l *Ledger) OwnerEpoch(now time.Time) uint64 {
	l.advance(now)
	e := &l.epoch
	list := l.lists.Current()
	changed := e.list != list || e.leaving != l.leaving
	e.list = list
	e.leaving = l.leaving
	for id, p := range l.peers {
		skipped := l.skips(id, now)
		changed = changed || p.skipped != skipped
		p.skipped = skipped
	}
	if changed {
		e.count++
	}
	return e.count
}
