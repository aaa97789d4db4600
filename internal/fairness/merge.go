package fairness

import (
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// maxFolded bounds the folded incarnations whose late counters are recognised.
const maxFolded = 1 << 16

// foreign holds the counters of another incarnation.
type foreign struct {
	totals map[int32]foreignTotal
	// live says that a peer is known to be this incarnation and tells its counters
	// itself. Those of others are passed on, so that they outlive all who heard them
	// at first hand.
	live bool
}

// foreignTotal is one counter and, unless live, its record in the change order.
type foreignTotal struct {
	total  fleet.Cost
	record recordID
}

// Merge takes in counters and lifts from a peer; each register keeps the larger
// value. O(len(ss) + len(os)).
func (a *Accounts) Merge(ss []wire.Service, os []wire.Offset) {
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

func (a *Accounts) mergeService(s wire.Service) {
	i, ok := a.intern(s.Customer)
	if !ok || s.Incarnation == a.self || s.Total <= 0 {
		return
	}
	if s.Incarnation == FoldedIncarnation {
		a.mergeFolded(i, s.Total)
		return
	}
	if _, gone := a.folded[s.Incarnation]; gone {
		return
	}
	f := a.foreignOf(s.Incarnation)
	old, known := f.totals[i]
	if s.Total <= old.total {
		return
	}
	if !known {
		a.foreignCount++
		old.record = noRecord
	}
	acc := &a.accounts[i]
	acc.live += s.Total - old.total
	acc.lastActive = a.now
	old.total = s.Total
	if !f.live {
		a.passOn(&old, i, s.Incarnation)
	}
	f.totals[i] = old
	if a.foreignCount > a.params.MaxRemoteCounters {
		a.foldOldest()
	}
}

func (a *Accounts) mergeFolded(i int32, total fleet.Cost) {
	acc := &a.accounts[i]
	if total > acc.folded {
		acc.folded = total
		a.changes.touch(acc.foldedRecord)
	}
}

func (a *Accounts) foreignOf(inc fleet.Incarnation) *foreign {
	f, ok := a.foreign[inc]
	if !ok {
		f = &foreign{totals: map[int32]foreignTotal{}}
		a.foreign[inc] = f
		a.ended = append(a.ended, inc)
	}
	return f
}

// passOn makes a counter that its own incarnation cannot tell due for sending.
func (a *Accounts) passOn(t *foreignTotal, customer int32, inc fleet.Incarnation) {
	if t.record == noRecord {
		t.record = a.changes.add(record{kind: endedCounter, customer: customer, incarnation: inc})
	}
	a.changes.touch(t.record)
}

// revive notes that an incarnation is a peer's and tells its own counters.
func (a *Accounts) revive(inc fleet.Incarnation) {
	if _, gone := a.folded[inc]; gone {
		return
	}
	f := a.foreignOf(inc)
	f.live = true
	for i, t := range f.totals {
		if t.record != noRecord {
			a.changes.remove(t.record)
			f.totals[i] = foreignTotal{total: t.total, record: noRecord}
		}
	}
}

// end notes that an incarnation no longer tells its own counters.
func (a *Accounts) end(inc fleet.Incarnation) {
	f, ok := a.foreign[inc]
	if !ok || !f.live {
		return
	}
	f.live = false
	for i, t := range f.totals {
		a.passOn(&t, i, inc)
		f.totals[i] = t
	}
	a.ended = append(a.ended, inc)
}

// foldOldest adds the counters of the incarnation that ended first to one sum for
// each customer, of which peers keep the largest. While instances have folded
// different incarnations a sum may be short, by less than what was folded; the clamp
// bounds the effect.
func (a *Accounts) foldOldest() {
	for len(a.ended) > 0 {
		inc := a.ended[0]
		a.ended = a.ended[1:]
		if f, ok := a.foreign[inc]; ok && !f.live {
			a.fold(inc, f)
			return
		}
	}
}

func (a *Accounts) fold(inc fleet.Incarnation, f *foreign) {
	if len(a.folded) < maxFolded {
		a.folded[inc] = struct{}{}
	}
	for i, t := range f.totals {
		acc := &a.accounts[i]
		acc.live -= t.total
		acc.foldedHere += t.total
		if t.record != noRecord {
			a.changes.remove(t.record)
		}
		a.mergeFolded(i, acc.foldedHere)
	}
	a.foreignCount -= len(f.totals)
	delete(a.foreign, inc)
	a.epoch++
}
