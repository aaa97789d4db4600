package membership

import "time"

// Freshness determines whether an instance is cut off. Its list may be used if the
// platform was read within the cut-off time, or if there was contact with a peer within
// that time and no peer of the same data centre reported an unknown list in that time. An
// instance that was cut off stays so until it reads the platform or has contact with a
// peer that has the same list. A Freshness is not safe for concurrent use.
type Freshness struct {
	cutOff       time.Duration
	lastRead     time.Time
	lastContact  time.Time
	lastConflict time.Time
	// suspended is set while only MarkRead or MarkAgreement can end the cut-off.
	suspended bool
}

// NewFreshness returns the state of an instance that is cut off.
func NewFreshness(cutOff time.Duration) Freshness {
	return Freshness{cutOff: cutOff, suspended: true}
}

// MarkRead records a successful read of the platform.
func (f *Freshness) MarkRead(now time.Time) {
	f.lastRead = now
	f.suspended = false
}

// MarkContact records contact with a peer. anchor is when this instance sent the heartbeat
// that the peer echoed, so the contact took place after anchor.
func (f *Freshness) MarkContact(anchor time.Time) {
	if anchor.After(f.lastContact) {
		f.lastContact = anchor
	}
}

// MarkAgreement records contact after anchor with a peer that has the same list.
func (f *Freshness) MarkAgreement(anchor, now time.Time) {
	f.MarkContact(anchor)
	if Within(anchor, f.cutOff, now) {
		f.suspended = false
	}
}

// MarkConflict records that a peer of the same data centre has an unknown list.
func (f *Freshness) MarkConflict(now time.Time) { f.lastConflict = now }

// ValidUntil returns when the list expires unless it is confirmed again before. The result
// is not after now if the instance is cut off.
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

// Check reports whether the list may be used now. If not, the instance stays cut off until
// MarkRead or MarkAgreement.
func (f *Freshness) Check(now time.Time) bool {
	if f.ValidUntil(now).After(now) {
		return true
	}
	f.suspended = true
	return false
}

// Within reports whether t is set and not more than d before now.
func Within(t time.Time, d time.Duration, now time.Time) bool {
	return !t.IsZero() && now.Sub(t) <= d
}

// Contact records when messages last passed between this instance and a peer.
type Contact struct {
	// KnownSince is when the peer, or its current incarnation, became known.
	KnownSince time.Time
	// LastHeartbeat is when the last heartbeat from the peer arrived.
	LastHeartbeat time.Time
	// Anchor is when this instance sent the latest heartbeat that the peer echoed.
	Anchor time.Time
}

// Reachable reports whether messages pass in both directions, or may still do so soon. The
// last heartbeat must not be older than unreachableAfter, nor the last echo older than twice
// that. Both are measured from KnownSince if that is later.
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
