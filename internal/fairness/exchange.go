package fairness

import (
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// FoldedIncarnation marks a wire.Service that carries a sum of counters of ended
// incarnations. Incarnation zero is never drawn.
const FoldedIncarnation fleet.Incarnation = 0

// maxUnacknowledged bounds the heartbeats remembered for each peer.
const maxUnacknowledged = 64

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
		rec := &a.changes.records[r]
		a.appendRecord(hb, rec)
		version = rec.version
		r = rec.next
	}
	if len(p.sent) >= maxUnacknowledged {
		p.sent = append(p.sent[:0], p.sent[1:]...)
	}
	p.sent = append(p.sent, sentHeartbeat{seq: hb.Seq, version: version})
}

func (a *Accounts) appendRecord(hb *wire.Heartbeat, r *record) {
	acc := &a.accounts[r.customer]
	service := wire.ServiceCounter{Incarnation: r.incarnation, Customer: acc.id}
	switch r.kind {
	case lift:
		hb.Offsets = append(hb.Offsets, wire.Offset{Customer: acc.id, Lift: acc.lift})
		return
	case ownCounter:
		service.Total = acc.own
	case foldedSum:
		service.Total = acc.folded
	case endedCounter:
		service.Total = a.foreign[r.incarnation].totals[r.customer].total
	}
	hb.ServiceCounter = append(hb.ServiceCounter, service)
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
// everything; the peer's former one has ended. O(unacknowledged heartbeats).
func (a *Accounts) Acknowledge(from fleet.InstanceID, inc fleet.Incarnation, echoSeq uint64) {
	p := a.peer(from)
	if p.incarnation != inc {
		a.end(p.incarnation)
		*p = peerState{incarnation: inc}
		a.revive(inc)
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

// RemovePeer forgets what a peer that is no longer listed has received; its
// incarnation has ended.
func (a *Accounts) RemovePeer(id fleet.InstanceID) {
	if p, ok := a.peers[id]; ok {
		delete(a.peers, id)
		a.end(p.incarnation)
	}
}
