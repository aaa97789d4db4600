package limit

import "time"

// ownerEpoch counts changes of what the owners of all targets follow from.
type ownerEpoch struct {
	count   uint64
	list    *snapshot
	leaving bool
}

// OwnerEpoch returns a number that changes whenever the owner of any target may have
// changed, other than by SetTargets. It lets a caller keep what it derived from
// Owner. O(peers).
func (l *Ledger) OwnerEpoch(now time.Time) uint64 {
	l.advance(now)
	e := &l.epoch
	changed := e.list != l.list() || e.leaving != l.leaving
	e.list = l.list()
	e.leaving = l.leaving
	for _, p := range l.peers {
		skipped := p.leaving || !p.reachable(l.params, now)
		changed = changed || p.skipped != skipped
		p.skipped = skipped
	}
	if changed {
		e.count++
	}
	return e.count
}
