package limit

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Grant grants one start on a target to an entry and counts it. It returns false if no
// unit is available or no heartbeat of the entry arrived within PermitTime. If the entry
// is this instance itself, the caller must pass the grant to GrantSelf.
func (l *Ledger) Grant(id fleet.TargetID, to fleet.InstanceID, customer fleet.CustomerID, w fleet.Workload, now time.Time) (wire.Grant, bool) {
	l.advance(now)
	t, ok := l.targets[id]
	if !ok || l.available(t, now) < 1 {
		return wire.Grant{}, false
	}
	p := l.peer(to, now)
	if to == l.self {
		p.incarnation = l.incarnation
	} else if p.incarnation == 0 || p.lost || !membership.Within(p.contact.LastHeartbeat, l.params.PermitTime, now) {
		return wire.Grant{}, false
	}
	p.sentGrantSeq++
	p.pending = append(p.pending, pendingGrant{seq: p.sentGrantSeq, target: t, at: now})
	t.add(1, now)
	return wire.Grant{
		Incarnation:     l.incarnation,
		Seq:             p.sentGrantSeq,
		EchoIncarnation: p.incarnation,
		EchoSeq:         p.received,
		Customer:        customer,
		Workload:        w,
		Target:          id,
		BootID:          t.load.bootID,
	}, true
}

// GrantSelf turns a grant from this instance to itself into a permit. It returns the
// errors of ReceiveGrant.
func (l *Ledger) GrantSelf(g *wire.Grant, now time.Time) (Permit, error) {
	return l.ReceiveGrant(l.self, g, now)
}

// ReceiveGrant turns a grant from an owner into a permit. If it returns
// ErrStaleIncarnation, ErrDuplicate or ErrExpired, the next heartbeat to the owner shows
// that the grant is not in use.
func (l *Ledger) ReceiveGrant(from fleet.InstanceID, g *wire.Grant, now time.Time) (Permit, error) {
	l.advance(now)
	p := l.peer(from, now)
	if g.Incarnation != p.incarnation || g.EchoIncarnation != l.incarnation {
		return Permit{}, ErrStaleIncarnation
	}
	if g.Seq <= p.receivedGrantSeq {
		return Permit{}, ErrDuplicate
	}
	p.receivedGrantSeq = g.Seq
	anchor := l.grantAnchor(p, g, now)
	expires := anchor.Add(l.params.PermitTime)
	if !now.Before(expires) {
		return Permit{}, ErrExpired
	}
	permit := Permit{
		Target:   g.Target,
		BootID:   g.BootID,
		Customer: g.Customer,
		Workload: g.Workload,
		Alone:    g.Alone,
		Owner:    from,
		Expires:  expires,
	}
	held := &heldPermit{target: g.Target, owner: from, seq: g.Seq, expires: expires}
	l.entry.addPermit(held)
	permit.serial = held.serial
	l.target(g.Target).add(1, now)
	l.updateWorkOwner(g.Target, now)
	return permit, nil
}

// grantAnchor returns the start of a grant's lease, or zero if the send time of the
// echoed heartbeat is no longer stored. The lease of a grant to this instance itself
// starts when the grant was made. In that case grantAnchor also removes the grant and all
// earlier ones from the pending grants.
func (l *Ledger) grantAnchor(p *peer, g *wire.Grant, now time.Time) time.Time {
	if p.id != l.self {
		at, _ := p.sent.at(g.EchoSeq)
		return at
	}
	anchor := time.Time{}
	for len(p.pending) > 0 && p.pending[0].seq <= g.Seq {
		anchor = p.pending[0].at
		p.pending[0].target.add(-1, now)
		p.pending = p.pending[1:]
	}
	return anchor
}

// Use reports whether the permit may start its request now, and marks it as used if so.
// Call it immediately before the first byte is sent to the target.
func (l *Ledger) Use(p *Permit, now time.Time) bool {
	l.advance(now)
	return l.entry.use(p.serial, now)
}

// Done ends a permit that is returned unused or whose work has ended by the target's
// own response. Only the first call for a permit has an effect.
func (l *Ledger) Done(p *Permit, now time.Time) {
	l.advance(now)
	l.release(p.serial, now)
}

// Abandon ends a permit whose connection broke or was closed while the target may still
// work on the request. The permit stays counted for ReportLag and Margin; the target
// must notice the closed connection within ReportLag.
func (l *Ledger) Abandon(p *Permit, now time.Time) {
	l.advance(now)
	held, ok := l.entry.permits[p.serial]
	if !ok || !held.abandoned.IsZero() {
		return
	}
	held.abandoned = now
	until := now.Add(l.params.ReportLag + l.params.Margin)
	l.entry.abandoned = append(l.entry.abandoned, abandonedPermit{serial: p.serial, until: until})
}

// dropAbandoned releases the abandoned permits that need no longer be counted.
func (l *Ledger) dropAbandoned(now time.Time) {
	expired := 0
	for _, a := range l.entry.abandoned {
		if now.Before(a.until) {
			break
		}
		l.release(a.serial, now)
		expired++
	}
	l.entry.abandoned = slices.Delete(l.entry.abandoned, 0, expired)
}

// release removes a permit and its work from the counts, if the permit is held.
func (l *Ledger) release(serial uint64, now time.Time) {
	permit := l.entry.release(serial)
	if permit == nil {
		return
	}
	t := l.target(permit.target)
	t.add(-1, now)
	if t.uncertain() > 0 && !permit.used.IsZero() {
		t.ended = append(t.ended, endedWork{used: permit.used, ended: permit.ranUntil(now)})
	}
}
