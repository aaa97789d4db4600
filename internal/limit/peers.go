package limit

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/wire"
)

// sentWindow is how many heartbeats to one peer keep their send time.
const sentWindow = 256

// maxRetired is how many former incarnations of a peer are remembered.
const maxRetired = 8

// sentHeartbeat is when the heartbeat with a sequence number was sent.
type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// sendTimes remembers the send times of the latest heartbeats to one peer.
type sendTimes struct {
	seq  uint64
	ring [sentWindow]sentHeartbeat
}

// next numbers a heartbeat sent at now.
func (s *sendTimes) next(now time.Time) uint64 {
	s.seq++
	s.ring[s.seq%sentWindow] = sentHeartbeat{seq: s.seq, at: now}
	return s.seq
}

// at returns the send time of a heartbeat, or false if it is not known any more.
func (s *sendTimes) at(seq uint64) (time.Time, bool) {
	sent := s.ring[seq%sentWindow]
	return sent.at, seq != 0 && sent.seq == seq
}

// pendingGrant is a grant that the entry has not yet reflected in its state.
type pendingGrant struct {
	seq    uint64
	target *target
	at     time.Time
}

// peer is what is known of another instance. The instance itself has one too, for
// its account as an entry.
type peer struct {
	id         fleet.InstanceID
	dataCentre fleet.DataCentreID

	incarnation fleet.Incarnation
	retired     []retiredIncarnation
	// received is the highest heartbeat sequence of the incarnation.
	received uint64
	sent     sendTimes
	contact  membership.Contact

	leaving bool
	// skipped says that the peer was no owner at the last OwnerEpoch.
	skipped bool
	lends   bool
	// loanUntil is when the last loan ends.
	loanUntil time.Time
	views     viewHistory

	// counts is the peer's latest state as an entry, stated after stated.
	counts map[*target]int
	stated time.Time
	// pending are the grants not in counts, by rising sequence.
	pending  []pendingGrant
	grantSeq uint64
	// lost says that the counts and pending grants are kept as lost work.
	lost bool

	// grantsFrom is the highest grant received from the peer's incarnation.
	grantsFrom uint64
}

// retiredIncarnation is a former incarnation and when it was replaced.
type retiredIncarnation struct {
	incarnation fleet.Incarnation
	at          time.Time
}

// peer returns the account of a peer, making one if needed.
func (l *Ledger) peer(id fleet.InstanceID, now time.Time) *peer {
	p, ok := l.peers[id]
	if !ok {
		p = &peer{id: id, contact: membership.Contact{KnownSince: now}, counts: make(map[*target]int)}
		l.peers[id] = p
	}
	return p
}

// FillHeartbeat sets the ledger's fields of the next heartbeat to a peer, which must
// be sent at once. A Leaving that the caller has set stays.
func (l *Ledger) FillHeartbeat(to fleet.InstanceID, hb *wire.Heartbeat, now time.Time) {
	l.advance(now)
	p := l.peer(to, now)
	hb.Incarnation = l.incarnation
	hb.Seq = p.sent.next(now)
	hb.EchoSeq = p.received
	hb.EchoIncarnation = p.incarnation
	hb.View = uint64(l.views.current)
	hb.LendsEscrow = l.lends(now)
	hb.Leaving = hb.Leaving || l.leaving
	l.fillState(p, hb, now)
}

// lends tells whether this instance may lend its escrow now.
func (l *Ledger) lends(now time.Time) bool {
	return !l.Restarting(now) && l.fresh(now)
}

// ReceiveHeartbeat takes a heartbeat from a peer. One that is late, repeated or of a
// former incarnation is dropped.
func (l *Ledger) ReceiveHeartbeat(from fleet.InstanceID, hb *wire.Heartbeat, now time.Time) {
	l.advance(now)
	p := l.peer(from, now)
	anchor := l.echoed(p, hb)
	if !l.accept(p, hb, anchor, now) {
		return
	}
	p.received = hb.Seq
	p.contact.LastHeartbeat = now
	p.leaving = hb.Leaving
	lapsed := !membership.Within(p.contact.Anchor, l.params.LoanTime, now)
	if anchor.After(p.contact.Anchor) {
		p.contact.Anchor = anchor
	}
	l.takeView(p, hb, lapsed, now)
	l.takeLoan(p, hb)
	l.takeState(p, hb, now)
	l.updateView(now)
}

// echoed returns the send time of the heartbeat that hb echoes, zero if it is not
// one of this incarnation's latest.
func (l *Ledger) echoed(p *peer, hb *wire.Heartbeat) time.Time {
	if hb.EchoIncarnation != l.incarnation {
		return time.Time{}
	}
	at, _ := p.sent.at(hb.EchoSeq)
	return at
}

// accept tells whether hb is newer than what is known, and turns to its incarnation
// if that is new.
func (l *Ledger) accept(p *peer, hb *wire.Heartbeat, anchor, now time.Time) bool {
	if hb.Incarnation == 0 {
		return false
	}
	if hb.Incarnation == p.incarnation {
		return hb.Seq > p.received
	}
	for _, former := range p.retired {
		if former.incarnation == hb.Incarnation && !anchor.After(former.at) {
			return false
		}
	}
	l.turnIncarnation(p, hb.Incarnation, now)
	return true
}

// turnIncarnation begins a new account for a restarted peer. What its former
// incarnation ran stays counted as unresolved work.
func (l *Ledger) turnIncarnation(p *peer, next fleet.Incarnation, now time.Time) {
	if p.incarnation != 0 {
		p.retired = slices.DeleteFunc(p.retired, func(r retiredIncarnation) bool {
			return r.incarnation == next
		})
		if len(p.retired) >= maxRetired {
			p.retired = slices.Delete(p.retired, 0, 1)
		}
		p.retired = append(p.retired, retiredIncarnation{incarnation: p.incarnation, at: now})
	}
	l.abandon(p, now)
	l.entry.stateAll(p.id)
	p.incarnation = next
	p.received = 0
	p.contact = membership.Contact{KnownSince: now}
	p.lends = false
	p.loanUntil = time.Time{}
	p.views.restart(0, now)
	p.stated = time.Time{}
	p.grantSeq = 0
	p.grantsFrom = 0
}

// takeView records the peer's view and whether the peer confirms the list. After a
// lapse longer than a loan the record of the peer's views starts afresh.
func (l *Ledger) takeView(p *peer, hb *wire.Heartbeat, lapsed bool, now time.Time) {
	view := membership.View(hb.View)
	if lapsed {
		p.views.restart(view, now)
	} else {
		p.views.set(view, l.params.borrowDelay(), now)
	}
	l.confirm(p, view, now)
}

// confirm counts a heartbeat as a proof of touch, or as a dispute if it is from a
// peer of the same data centre with an unknown list.
func (l *Ledger) confirm(p *peer, view membership.View, now time.Time) {
	if p.dataCentre != l.dataCentre {
		l.touch.MarkContact(p.contact.Anchor)
		return
	}
	switch l.decode(view).list {
	case nil:
		l.touch.MarkConflict(now)
	case l.lists.Current():
		l.touch.MarkAgreement(p.contact.Anchor, now)
	default:
		l.touch.MarkContact(p.contact.Anchor)
	}
}

// takeLoan extends the loan of the peer's escrow.
func (l *Ledger) takeLoan(p *peer, hb *wire.Heartbeat) {
	p.lends = hb.LendsEscrow
	if hb.LendsEscrow && !p.contact.Anchor.IsZero() {
		p.loanUntil = p.contact.Anchor.Add(l.params.LoanTime)
	}
}

// takeState replaces the peer's account as an entry by its new state. Of several
// entries for a target the first is work that surely runs unless it has ended by
// itself; all of them are counted.
func (l *Ledger) takeState(p *peer, hb *wire.Heartbeat, now time.Time) {
	l.recover(p, now)
	next := make(map[*target]int, len(hb.Running))
	running := make(map[*target]int, len(hb.Running))
	for _, r := range hb.Running {
		t := l.target(r.Target)
		if _, ok := next[t]; !ok {
			running[t] = max(0, r.Count)
		}
		next[t] += max(0, r.Count)
	}
	for t, count := range p.counts {
		t.add(-count, now)
	}
	for t, count := range next {
		t.add(count, now)
	}
	p.counts = next
	p.stated = p.contact.Anchor
	reflected := uint64(0)
	if hb.EchoIncarnation == l.incarnation {
		reflected = hb.GrantSeq
	}
	l.sampleState(p, running, reflected, now)
	l.dropPending(p, reflected, now)
}

// sampleState keeps the state for the reading of reports on uncertain targets.
func (l *Ledger) sampleState(p *peer, running map[*target]int, reflected uint64, now time.Time) {
	for t, count := range running {
		if t.uncertain() == 0 {
			continue
		}
		started := 0
		for _, g := range p.pending {
			if g.target == t && g.seq <= reflected {
				started++
			}
		}
		t.sample(p, stateSample{sent: p.stated, received: now, count: count, started: started})
	}
}

// dropPending ends the pending grants that the state covers: those it reflects, and
// those that cannot be used any more and had not arrived when it was sent.
func (l *Ledger) dropPending(p *peer, reflected uint64, now time.Time) {
	p.pending = slices.DeleteFunc(p.pending, func(g pendingGrant) bool {
		missed := p.stated.Sub(g.at) > l.params.PermitTime+l.params.Margin
		if g.seq > reflected && !missed {
			return false
		}
		g.target.add(-1, now)
		return true
	})
}

// checkLost moves the account of an unreachable entry to the lost work.
func (l *Ledger) checkLost(p *peer, now time.Time) {
	if p.lost || p.id == l.self || p.contact.Reachable(l.deadPeer(p), now) {
		return
	}
	p.lost = true
	for t, count := range p.counts {
		t.lose(count, l.permitsOver(now), now)
	}
	for _, g := range p.pending {
		g.target.lose(1, l.permitsOver(now), now)
	}
}

// recover takes the account of a returned entry back from the lost work.
func (l *Ledger) recover(p *peer, now time.Time) {
	if !p.lost {
		return
	}
	p.lost = false
	for t, count := range p.counts {
		t.regain(count, now)
	}
	for _, g := range p.pending {
		g.target.regain(1, now)
	}
}

// abandon turns the account of a former incarnation into unresolved work for good.
func (l *Ledger) abandon(p *peer, now time.Time) {
	l.recover(p, now)
	for t, count := range p.counts {
		t.add(-count, now)
		t.unresolve(count, l.permitsOver(now))
	}
	for _, g := range p.pending {
		g.target.add(-1, now)
		g.target.unresolve(1, l.permitsOver(now))
	}
	clear(p.counts)
	p.pending = p.pending[:0]
}

// permitsOver returns when no permit granted until now can still be used.
func (l *Ledger) permitsOver(now time.Time) time.Time {
	return now.Add(l.params.PermitTime + l.params.Margin)
}
