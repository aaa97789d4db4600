package membership

import "time"

// Freshness tells whether an instance is cut off: its list may be acted on while the
// platform gave it within the cut-off time, or while a peer is in touch within that
// time and no peer of the same data centre holds an unknown list. An instance that
// was cut off stays so until the platform answers or a peer with the same list is in
// touch again. It is not safe for concurrent use.
type Freshness struct {
	cutOff       time.Duration
	lastRead     time.Time
	lastContact  time.Time
	lastConflict time.Time
	suspended    bool
}

// NewFreshness begins cut off.
func NewFreshness(cutOff time.Duration) Freshness {
	return Freshness{cutOff: cutOff, suspended: true}
}

// MarkRead says that the platform answered.
func (f *Freshness) MarkRead(now time.Time) {
	f.lastRead = now
	f.suspended = false
}

// MarkContact says that a peer was in touch after the given time, at which this instance
// sent what the peer has echoed.
func (f *Freshness) MarkContact(anchor time.Time) {
	if anchor.After(f.lastContact) {
		f.lastContact = anchor
	}
}

// MarkAgreement says that a peer in touch after anchor holds the same list.
func (f *Freshness) MarkAgreement(anchor, now time.Time) {
	f.MarkContact(anchor)
	if Within(anchor, f.cutOff, now) {
		f.suspended = false
	}
}

// MarkConflict says that a peer of the same data centre holds an unknown list.
func (f *Freshness) MarkConflict(now time.Time) { f.lastConflict = now }

// ValidUntil returns when the list may be acted on no longer, unless it is confirmed
// again by then. It is not after now if the instance is cut off.
func (f *Freshness) ValidUntil(now time.Time) time.Time {
	last := f.lastRead
	usable := !f.suspended && !Within(f.lastConflict, f.cutOff, now)
	if usable && f.lastContact.After(last) {
		last = f.lastContact
	}
	if last.IsZero() {
		return last
	}
	return last.Add(f.cutOff)
}

// Check tells whether the list may be acted on now, and notes it if not.
func (f *Freshness) Check(now time.Time) bool {
	if f.ValidUntil(now).After(now) {
		return true
	}
	f.suspended = true
	return false
}

// Within tells whether t is set and at most d before now.
func Within(t time.Time, d time.Duration, now time.Time) bool {
	return !t.IsZero() && now.Sub(t) <= d
}

// Contact is when messages last passed between this instance and a peer.
type Contact struct {
	// KnownSince is when the peer, or its present incarnation, became known.
	KnownSince time.Time
	// LastHeartbeat is when its last heartbeat arrived.
	LastHeartbeat time.Time
	// Anchor is when this instance sent the latest heartbeat that the peer echoed.
	Anchor time.Time
}

// Reachable tells whether messages pass both ways, or may yet: a peer is given the
// dead-peer time from when it became known, and an echo twice that.
func (c Contact) Reachable(unreachableAfter time.Duration, now time.Time) bool {
	heard := c.LastHeartbeat
	if heard.Before(c.KnownSince) {
		heard = c.KnownSince
	}
	echoed := c.Anchor
	if echoed.Before(c.KnownSince) {
		echoed = c.KnownSince
	}
	return now.Sub(heard) <= unreachableAfter && now.Sub(echoed) <= 2*unreachableAfter
}
