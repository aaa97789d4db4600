package fairness

import (
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// FoldedIncarnation marks a wire.ServiceCounter that carries a sum of counters of ended
// incarnations. No instance ever uses incarnation zero.
const FoldedIncarnation fleet.Incarnation = 0

// maxUnacknowledged bounds the unacknowledged heartbeats kept for each peer.
const maxUnacknowledged = 64

// peerState records which changes a peer has acknowledged.
type peerState struct {
	incarnation  fleet.Incarnation
	acknowledged uint64
	sent         []sentHeartbeat
}

// sentHeartbeat records that heartbeat seq carried all changes up to version.
type sentHeartbeat struct {
	seq, version uint64
}

// FillHeartbeat adds to hb the counters and lifts that changed since the last
// heartbeat acknowledged by the peer, oldest change first and at most limit of them.
// Lost changes are therefore sent again. hb.Seq must be set. O(records sent).
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

// appendRecord adds the current value of a record's register to hb.
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
		service.Total = a.remoteCounters[r.incarnation].counters[r.customer].total
	}
	hb.ServiceCounter = append(hb.ServiceCounter, service)
}

// peer returns the state of a peer and creates it if needed.
func (a *Accounts) peer(id fleet.InstanceID) *peerState {
	p, ok := a.peers[id]
	if !ok {
		p = &peerState{}
		a.peers[id] = p
	}
	return p
}

// Acknowledge records that a peer's incarnation has received heartbeat echoSeq from
// this incarnation, 0 if none. A new incarnation has received nothing and is sent
// everything; the peer's previous incarnation has ended. O(unacknowledged heartbeats).
func (a *Accounts) Acknowledge(from fleet.InstanceID, inc fleet.Incarnation, echoSeq uint64) {
	p := a.peer(from)
	if p.incarnation != inc {
		a.markEnded(p.incarnation)
		*p = peerState{incarnation: inc}
		a.markLive(inc)
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

// RemovePeer drops the state of a peer that is no longer listed and marks its
// incarnation as ended.
func (a *Accounts) RemovePeer(id fleet.InstanceID) {
	if p, ok := a.peers[id]; ok {
		delete(a.peers, id)
		a.markEnded(p.incarnation)
	}
}
