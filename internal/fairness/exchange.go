package fairness

import (
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// RetiredIncarnation marks a wire.Service that carries the sum of the counters of
// retired incarnations. Incarnation zero is never drawn.
const RetiredIncarnation fleet.Incarnation = 0

// maxRetired bounds the retired incarnations whose late counters are recognised.
const maxRetired = 1 << 16

// maxUnacknowledged bounds the heartbeats remembered for each peer.
const maxUnacknowledged = 64

// recordKind tells the records of one customer apart.
type recordKind int32

const (
	ownCounter recordKind = iota
	retiredSum
	lift
	recordKinds
)

// changeOrder is a list of all records in the order of their last change, linked
// through arrays. Record r belongs to customer r/recordKinds.
type changeOrder struct {
	version    []uint64
	prev, next []int32
	first      int32
	last       int32
	latest     uint64
}

const noRecord = int32(-1)

// grow makes room for the records of n customers.
func (o *changeOrder) grow(n int) {
	if len(o.version) == 0 {
		o.first, o.last = noRecord, noRecord
	}
	for len(o.version) < n*int(recordKinds) {
		o.version = append(o.version, 0)
		o.prev = append(o.prev, noRecord)
		o.next = append(o.next, noRecord)
	}
}

// touch moves a record to the end of the order and gives it a new version.
func (o *changeOrder) touch(customer int32, kind recordKind) {
	r := customer*int32(recordKinds) + int32(kind)
	o.unlink(r)
	o.latest++
	o.version[r] = o.latest
	o.prev[r] = o.last
	if o.last == noRecord {
		o.first = r
	} else {
		o.next[o.last] = r
	}
	o.last = r
}

func (o *changeOrder) unlink(r int32) {
	if o.version[r] == 0 {
		return
	}
	p, n := o.prev[r], o.next[r]
	if p == noRecord {
		o.first = n
	} else {
		o.next[p] = n
	}
	if n == noRecord {
		o.last = p
	} else {
		o.prev[n] = p
	}
	o.prev[r], o.next[r] = noRecord, noRecord
}

// after returns the oldest record changed after version v. O(1) when none or all
// are, else O(records changed since).
func (o *changeOrder) after(v uint64) int32 {
	if len(o.version) == 0 || o.latest <= v {
		return noRecord
	}
	if v == 0 {
		return o.first
	}
	r := o.last
	for p := r; p != noRecord && o.version[p] > v; p = o.prev[p] {
		r = p
	}
	return r
}

// peerState is what a peer is known to have received.
type peerState struct {
	incarnation  fleet.Incarnation
	acknowledged uint64
	sent         []sentHeartbeat
}

// sentHeartbeat says that heartbeat seq carried all changes up to a version.
type sentHeartbeat struct {
	seq, version uint64
}

// FillHeartbeat adds to hb, whose Seq must be set, the counters and lifts that
// changed since the last heartbeat which the peer acknowledged, oldest change
// first and at most limit of them. What is lost is therefore sent again.
// O(records sent).
func (a *Accounts) FillHeartbeat(to fleet.InstanceID, hb *wire.Heartbeat, limit int) {
	p := a.peer(to)
	version := p.acknowledged
	r := a.changes.after(version)
	for n := 0; r != noRecord && n < limit; n++ {
		a.appendRecord(hb, r)
		version = a.changes.version[r]
		r = a.changes.next[r]
	}
	if len(p.sent) >= maxUnacknowledged {
		p.sent = append(p.sent[:0], p.sent[1:]...)
	}
	p.sent = append(p.sent, sentHeartbeat{seq: hb.Seq, version: version})
}

func (a *Accounts) appendRecord(hb *wire.Heartbeat, r int32) {
	acc := &a.accounts[r/int32(recordKinds)]
	switch recordKind(r % int32(recordKinds)) {
	case ownCounter:
		hb.Service = append(hb.Service, wire.Service{Incarnation: a.self, Customer: acc.id, Total: acc.own})
	case retiredSum:
		total := max(acc.retired, acc.reported)
		hb.Service = append(hb.Service, wire.Service{Incarnation: RetiredIncarnation, Customer: acc.id, Total: total})
	case lift:
		hb.Offsets = append(hb.Offsets, wire.Offset{Customer: acc.id, Lift: acc.lift})
	}
}

func (a *Accounts) peer(id fleet.InstanceID) *peerState {
	p, ok := a.peers[id]
	if !ok {
		p = &peerState{}
		a.peers[id] = p
	}
	return p
}

// Acknowledge notes that a peer's incarnation has received heartbeat echoSeq, 0 if
// none of this incarnation's. A new incarnation starts with nothing and is sent
// everything. O(unacknowledged heartbeats).
func (a *Accounts) Acknowledge(from fleet.InstanceID, inc fleet.Incarnation, echoSeq uint64) {
	p := a.peer(from)
	if p.incarnation != inc {
		*p = peerState{incarnation: inc}
	}
	n := 0
	for _, s := range p.sent {
		if s.seq > echoSeq {
			p.sent[n] = s
			n++
			continue
		}
		if s.seq == echoSeq {
			p.acknowledged = max(p.acknowledged, s.version)
		}
	}
	p.sent = p.sent[:n]
}

// RemovePeer forgets what a peer that is no longer listed has received.
func (a *Accounts) RemovePeer(id fleet.InstanceID) { delete(a.peers, id) }

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
			a.changes.touch(i, lift)
		}
	}
}

func (a *Accounts) mergeService(s wire.Service) {
	i, ok := a.intern(s.Customer)
	if !ok || s.Incarnation == a.self || s.Total <= 0 {
		return
	}
	acc := &a.accounts[i]
	if s.Incarnation == RetiredIncarnation {
		if s.Total > max(acc.retired, acc.reported) {
			acc.reported = s.Total
			a.changes.touch(i, retiredSum)
		}
		return
	}
	if _, gone := a.retired[s.Incarnation]; gone {
		return
	}
	totals := a.counters[s.Incarnation]
	for int(i) >= len(totals) {
		totals = append(totals, 0)
	}
	a.counters[s.Incarnation] = totals
	if s.Total <= totals[i] {
		return
	}
	acc.live += s.Total - totals[i]
	totals[i] = s.Total
	acc.lastActive = a.now
}

// Retire folds the counters of an incarnation that has ended for good into one
// sum, which peers are told, so that memory does not grow with restarts. Its late
// counters are ignored from then on. O(customers).
func (a *Accounts) Retire(inc fleet.Incarnation) {
	if _, done := a.retired[inc]; done || inc == a.self || inc == RetiredIncarnation {
		return
	}
	if len(a.retired) < maxRetired {
		a.retired[inc] = struct{}{}
	}
	for i, total := range a.counters[inc] {
		if total == 0 {
			continue
		}
		acc := &a.accounts[i]
		before := max(acc.retired, acc.reported)
		acc.live -= total
		acc.retired += total
		if max(acc.retired, acc.reported) > before {
			a.changes.touch(int32(i), retiredSum)
		}
	}
	delete(a.counters, inc)
	a.epoch++
}
