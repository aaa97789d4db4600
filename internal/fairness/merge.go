package fairness

import (
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// maxFolded bounds the folded incarnations that are remembered so that their late
// counters are ignored.
const maxFolded = 1 << 16

// remoteCounters holds the counters of another incarnation, by customer index.
type remoteCounters struct {
	counters map[int32]remoteCounter
	// live is true while a peer is known to be this incarnation and sends its counters
	// itself. Counters of other incarnations are forwarded, so that they outlive all
	// instances that received them directly.
	live bool
}

// remoteCounter is one counter and, unless its incarnation is live, its record in the
// change list.
type remoteCounter struct {
	total  fleet.Cost
	record recordID
}

// Merge merges counters and lifts from a peer; each register keeps the larger value.
// O(len(ss) + len(os)).
func (a *Accounts) Merge(ss []wire.ServiceCounter, os []wire.Offset) {
	for _, s := range ss {
		a.mergeService(s)
	}
	for _, o := range os {
		i, ok := a.intern(o.Customer)
		if ok && o.Lift > a.accounts[i].lift {
			a.accounts[i].lift = o.Lift
			a.changes.touch(a.accounts[i].liftRecord)
		}
	}
}

// mergeService merges one counter. It ignores this incarnation's own counters and
// those of incarnations that are already folded.
func (a *Accounts) mergeService(s wire.ServiceCounter) {
	i, ok := a.intern(s.Customer)
	if !ok || s.Incarnation == a.self || s.Total <= 0 {
		return
	}
	if s.Incarnation == FoldedIncarnation {
		a.mergeFolded(i, s.Total)
		return
	}
	if _, folded := a.foldedIncarnations[s.Incarnation]; folded {
		return
	}
	r := a.remoteCountersOf(s.Incarnation)
	old, known := r.counters[i]
	if s.Total <= old.total {
		return
	}
	if !known {
		a.remoteCount++
		old.record = noRecord
	}
	acc := &a.accounts[i]
	acc.unfolded += s.Total - old.total
	acc.lastActive = a.now
	old.total = s.Total
	if !r.live {
		a.forward(&old, i, s.Incarnation)
	}
	r.counters[i] = old
	if a.remoteCount > a.params.MaxRemoteCounters {
		a.foldOldest()
	}
}

// mergeFolded raises a customer's folded sum to at least total.
func (a *Accounts) mergeFolded(i int32, total fleet.Cost) {
	acc := &a.accounts[i]
	if total > acc.folded {
		acc.folded = total
		a.changes.touch(acc.foldedRecord)
	}
}

// remoteCountersOf returns the counters of an incarnation and creates them if needed.
func (a *Accounts) remoteCountersOf(inc fleet.Incarnation) *remoteCounters {
	r, ok := a.remoteCounters[inc]
	if !ok {
		r = &remoteCounters{counters: map[int32]remoteCounter{}}
		a.remoteCounters[inc] = r
		a.foldQueue = append(a.foldQueue, inc)
	}
	return r
}

// forward makes a counter that its own incarnation no longer sends due for sending.
func (a *Accounts) forward(t *remoteCounter, customer int32, inc fleet.Incarnation) {
	if t.record == noRecord {
		t.record = a.changes.add(record{kind: endedCounter, customer: customer, incarnation: inc})
	}
	a.changes.touch(t.record)
}

// markLive records that an incarnation is that of a peer, which sends its counters
// itself, and stops forwarding them.
func (a *Accounts) markLive(inc fleet.Incarnation) {
	if _, folded := a.foldedIncarnations[inc]; folded {
		return
	}
	r := a.remoteCountersOf(inc)
	r.live = true
	for i, t := range r.counters {
		if t.record != noRecord {
			a.changes.remove(t.record)
			r.counters[i] = remoteCounter{total: t.total, record: noRecord}
		}
	}
}

// markEnded records that an incarnation no longer sends its own counters and starts
// forwarding them.
func (a *Accounts) markEnded(inc fleet.Incarnation) {
	r, ok := a.remoteCounters[inc]
	if !ok || !r.live {
		return
	}
	r.live = false
	for i, t := range r.counters {
		a.forward(&t, i, inc)
		r.counters[i] = t
	}
	a.foldQueue = append(a.foldQueue, inc)
}

// foldOldest adds the counters of the incarnation that ended first to one sum for
// each customer; peers keep the largest sum. While instances have folded different
// incarnations, the largest sum lacks some of their counters. The missing amount is
// less than the amount folded, and Clamp bounds the effect.
func (a *Accounts) foldOldest() {
	for len(a.foldQueue) > 0 {
		inc := a.foldQueue[0]
		a.foldQueue = a.foldQueue[1:]
		if r, ok := a.remoteCounters[inc]; ok && !r.live {
			a.fold(inc, r)
			return
		}
	}
}

// fold moves the counters of an incarnation into the folded sums of their customers.
func (a *Accounts) fold(inc fleet.Incarnation, r *remoteCounters) {
	if len(a.foldedIncarnations) < maxFolded {
		a.foldedIncarnations[inc] = struct{}{}
	}
	for i, t := range r.counters {
		acc := &a.accounts[i]
		acc.unfolded -= t.total
		acc.foldedLocally += t.total
		if t.record != noRecord {
			a.changes.remove(t.record)
		}
		a.mergeFolded(i, acc.foldedLocally)
	}
	a.remoteCount -= len(r.counters)
	delete(a.remoteCounters, inc)
	a.epoch++
}
