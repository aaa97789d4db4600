package limit

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/wire"
)

// sentWindow is the number of heartbeats to a peer whose send times are stored.
const sentWindow = 256

// maxRetired is the number of former incarnations of a peer that are stored.
const maxRetired = 8

// sentHeartbeat is the send time of the heartbeat with a sequence number.
type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// sendTimes stores the send times of the latest heartbeats to one peer.
type sendTimes struct {
	seq  uint64
	ring [sentWindow]sentHeartbeat
}

// next returns the sequence number of a heartbeat sent at now.
func (s *sendTimes) next(now time.Time) uint64 {
	s.seq++
	s.ring[s.seq%sentWindow] = sentHeartbeat{seq: s.seq, at: now}
	return s.seq
}

// at returns the send time of a heartbeat, or false if it is not stored.
func (s *sendTimes) at(seq uint64) (time.Time, bool) {
	sent := s.ring[seq%sentWindow]
	return sent.at, seq != 0 && sent.seq == seq
}

// pendingGrant is a grant that the entry's heartbeats do not reflect yet.
type pendingGrant struct {
	seq    uint64
	target *target
	at     time.Time
}

// peer is the state of another instance. The instance itself has one too, for the grants
// to itself as an entry.
type peer struct {
	id         fleet.InstanceID
	dataCentre fleet.DataCentreID

	incarnation fleet.Incarnation
	retired     []retiredIncarnation
	// received is the highest heartbeat sequence received from the incarnation.
	received uint64
	sent     sendTimes
	contact  membership.Contact

	leaving bool
	// skipped is set if the peer was skipped as an owner at the last call of OwnerEpoch.
	skipped bool
	// lends is set if the peer lent its units in its latest heartbeat.
	lends bool
	// loanUntil is when the last loan ends.
	loanUntil time.Time
	views     viewHistory

	// counts is the peer's running work as an entry, from its latest heartbeat. That
	// heartbeat was sent after countsAnchor.
	counts       map[*target]int
	countsAnchor time.Time
	// pending are the grants to the peer that counts does not include, in ascending order
	// of their sequence. sentGrantSeq is the sequence of the last grant to the peer.
	pending      []pendingGrant
	sentGrantSeq uint64
	// lost is set if counts and pending are counted as lost work.
	lost bool

	// receivedGrantSeq is the highest grant sequence received from the peer's incarnation.
	receivedGrantSeq uint64
}

// retiredIncarnation is a former incarnation and the time at which it was replaced.
type retiredIncarnation struct {
	incarnation fleet.Incarnation
	at          time.Time
}

// peer returns the state of a peer and creates it if needed.
func (l *Ledger) peer(id fleet.InstanceID, now time.Time) *peer {
	p, ok := l.peers[id]
	if !ok {
		p = &peer{id: id, contact: membership.Contact{KnownSince: now}, counts: make(map[*target]int)}
		l.peers[id] = p
	}
	return p
}

// FillHeartbeat sets the ledger's fields of the next heartbeat to a peer. The caller must
// send the heartbeat immediately. Leaving stays set if the caller has set it.
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
	l.fillRunning(p, hb, now)
}

// lends reports whether this instance may lend its units now.
func (l *Ledger) lends(now time.Time) bool {
	return !l.Restarting(now) && l.fresh(now)
}

// ReceiveHeartbeat applies a heartbeat from a peer. It drops a heartbeat that is late,
// repeated or from a former incarnation.
func (l *Ledger) ReceiveHeartbeat(from fleet.InstanceID, hb *wire.Heartbeat, now time.Time) {
	l.advance(now)
	p := l.peer(from, now)
	anchor := l.echoAnchor(p, hb)
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
	l.applyView(p, hb, lapsed, now)
	l.applyLoan(p, hb)
	l.applyRunning(p, hb, now)
	l.updateView(now)
}

// echoAnchor returns the send time of the heartbeat that hb echoes, or zero if that is
// not one of the latest of this incarnation.
func (l *Ledger) echoAnchor(p *peer, hb *wire.Heartbeat) time.Time {
	if hb.EchoIncarnation != l.incarnation {
		return time.Time{}
	}
	at, _ := p.sent.at(hb.EchoSeq)
	return at
}

// accept reports whether hb is newer than the last heartbeat received from p. If it is
// from a new incarnation, accept starts that incarnation.
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
	l.startIncarnation(p, hb.Incarnation, now)
	return true
}

// startIncarnation resets the state of a restarted peer. The work of its former
// incarnation stays counted as unresolved work.
func (l *Ledger) startIncarnation(p *peer, next fleet.Incarnation, now time.Time) {
	if p.incarnation != 0 {
		p.retired = slices.DeleteFunc(p.retired, func(r retiredIncarnation) bool {
			return r.incarnation == next
		})
		if len(p.retired) >= maxRetired {
			p.retired = slices.Delete(p.retired, 0, 1)
		}
		p.retired = append(p.retired, retiredIncarnation{incarnation: p.incarnation, at: now})
	}
	l.moveToUnresolved(p, now)
	l.entry.announceAll(p.id)
	p.incarnation = next
	p.received = 0
	p.contact = membership.Contact{KnownSince: now}
	p.lends = false
	p.loanUntil = time.Time{}
	p.views.restart(0, now)
	p.countsAnchor = time.Time{}
	p.sentGrantSeq = 0
	p.receivedGrantSeq = 0
}

// applyView records the peer's view and whether the peer confirms the list. If lapsed is
// set, no echo was received for longer than a loan lasts, and the record of the peer's
// views is restarted.
func (l *Ledger) applyView(p *peer, hb *wire.Heartbeat, lapsed bool, now time.Time) {
	view := membership.View(hb.View)
	if lapsed {
		p.views.restart(view, now)
	} else {
		p.views.set(view, l.params.borrowDelay(), now)
	}
	l.confirmList(p, view, now)
}

// confirmList counts a heartbeat from p as a confirmation of the list, or as a dispute if
// it is from a peer of the same data centre with an unknown list.
func (l *Ledger) confirmList(p *peer, view membership.View, now time.Time) {
	if p.dataCentre != l.dataCentre {
		l.freshness.MarkContact(p.contact.Anchor)
		return
	}
	switch l.decode(view).list {
	case nil:
		l.freshness.MarkConflict(now)
	case l.lists.Current():
		l.freshness.MarkAgreement(p.contact.Anchor, now)
	default:
		l.freshness.MarkContact(p.contact.Anchor)
	}
}

// applyLoan extends the loan of the peer's units.
func (l *Ledger) applyLoan(p *peer, hb *wire.Heartbeat) {
	p.lends = hb.LendsEscrow
	if hb.LendsEscrow && !p.contact.Anchor.IsZero() {
		p.loanUntil = p.contact.Anchor.Add(l.params.LoanTime)
	}
}

// applyRunning replaces the peer's work as an entry by the running work in hb. The first
// item for a target is work that is certain to run unless it has completed. A second item
// is abandoned work, which may have ended. All items are counted.
func (l *Ledger) applyRunning(p *peer, hb *wire.Heartbeat, now time.Time) {
	l.recoverPeer(p, now)
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
	p.countsAnchor = p.contact.Anchor
	reflected := uint64(0)
	if hb.EchoIncarnation == l.incarnation {
		reflected = hb.GrantSeq
	}
	l.sampleRunning(p, running, reflected, now)
	l.dropPending(p, reflected, now)
}

// sampleRunning stores samples of the running work for the targets that have uncertain
// work, to compare with their load reports.
func (l *Ledger) sampleRunning(p *peer, running map[*target]int, reflected uint64, now time.Time) {
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
		t.addSample(p, runningSample{sent: p.countsAnchor, received: now, count: count, started: started})
	}
}

// dropPending drops the pending grants that the counts of p cover: those reflected in
// the counts, and those that had not arrived when the counts were sent and can no longer
// be used.
func (l *Ledger) dropPending(p *peer, reflected uint64, now time.Time) {
	p.pending = slices.DeleteFunc(p.pending, func(g pendingGrant) bool {
		missed := p.countsAnchor.Sub(g.at) > l.params.PermitTime+l.params.Margin
		if g.seq > reflected && !missed {
			return false
		}
		g.target.add(-1, now)
		return true
	})
}

// checkLost moves the work and the pending grants of an unreachable entry to the lost
// work.
func (l *Ledger) checkLost(p *peer, now time.Time) {
	if p.lost || p.id == l.self || p.contact.Reachable(l.unreachableAfter(p), now) {
		return
	}
	p.lost = true
	for t, count := range p.counts {
		t.markLost(count, l.lastPermitExpiry(now), now)
	}
	for _, g := range p.pending {
		g.target.markLost(1, l.lastPermitExpiry(now), now)
	}
}

// recoverPeer moves the work and the pending grants of an entry that is reachable again
// back from the lost work.
func (l *Ledger) recoverPeer(p *peer, now time.Time) {
	if !p.lost {
		return
	}
	p.lost = false
	for t, count := range p.counts {
		t.restoreLost(count, now)
	}
	for _, g := range p.pending {
		g.target.restoreLost(1, now)
	}
}

// moveToUnresolved moves the work and the pending grants of a former incarnation to the
// unresolved work. Unlike checkLost, this is never undone.
func (l *Ledger) moveToUnresolved(p *peer, now time.Time) {
	l.recoverPeer(p, now)
	for t, count := range p.counts {
		t.add(-count, now)
		t.addUnresolved(count, l.lastPermitExpiry(now))
	}
	for _, g := range p.pending {
		g.target.add(-1, now)
		g.target.addUnresolved(1, l.lastPermitExpiry(now))
	}
	clear(p.counts)
	p.pending = p.pending[:0]
}

// lastPermitExpiry returns the time from which no permit granted until now can be used.
func (l *Ledger) lastPermitExpiry(now time.Time) time.Time {
	return now.Add(l.params.PermitTime + l.params.Margin)
}
