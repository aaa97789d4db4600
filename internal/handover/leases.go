package handover

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Constants of leases.
const (
	// leaseTime is how long an offer counts after the peer was last heard from.
	leaseTime = time.Second
	// failureTime is how long a peer gets nothing after it has failed.
	failureTime = time.Second
	// burstTime is the time of which a lease may use the connections at once: a heartbeat.
	burstTime = 200 * time.Millisecond
	// overShareReserve is the fraction of the burst that is left to customers under their share.
	overShareReserve = 0.5
)

// Peer is an instance that takes connections over.
type Peer struct {
	ID fleet.InstanceID
	// Addr is its IP:port for them.
	Addr string
	// PerSecond is how many it takes from this instance.
	PerSecond int
	// HeardAt is when it was last heard from.
	HeardAt clock.Instant
}

// Leases are what the peers of an instance take. It must not be used concurrently.
type Leases struct {
	// MaxOpen bounds the connections that are handed over at a time.
	MaxOpen int
	open    int
	leases  map[fleet.InstanceID]*lease
}

// lease is a bucket of connections that a peer takes.
type lease struct {
	peer        Peer
	left        float64
	filledAt    clock.Instant
	failedUntil clock.Instant
}

// Update replaces the peers that take connections.
func (l *Leases) Update(peers []Peer, now clock.Instant) {
	next := make(map[fleet.InstanceID]*lease, len(peers))
	for _, p := range peers {
		e := l.leases[p.ID]
		if e == nil {
			e = &lease{left: float64(p.PerSecond) * burstTime.Seconds(), filledAt: now}
		}
		e.peer = p
		next[p.ID] = e
	}
	// A failure counts also if the peer makes no offer in between.
	for id, e := range l.leases {
		if next[id] == nil && e.failedUntil > now {
			e.peer.PerSecond = 0
			next[id] = e
		}
	}
	l.leases = next
}

// Take takes one connection from the lease with the most left, except the peer except. A customer over its
// share gets none of the part that is left to the others. Done must be called for each one taken.
func (l *Leases) Take(overShare bool, except fleet.InstanceID, now clock.Instant) (Peer, bool) {
	if l.open >= l.MaxOpen {
		return Peer{}, false
	}
	var best *lease
	for _, e := range l.leases {
		if e.peer.ID == except || !e.isValid(now) {
			continue
		}
		burst := e.fill(now)
		need := 1.0
		if overShare {
			need += overShareReserve * burst
		}
		if e.left >= need && (best == nil || e.left > best.left || e.left == best.left && e.peer.ID < best.peer.ID) {
			best = e
		}
	}
	if best == nil {
		return Peer{}, false
	}
	best.left--
	l.open++
	return best.peer, true
}

// Any reports whether a lease may be used and fewer than MaxOpen connections are handed over.
func (l *Leases) Any(now clock.Instant) bool {
	for _, e := range l.leases {
		if e.isValid(now) {
			return l.open < l.MaxOpen
		}
	}
	return false
}

// isValid reports whether a lease may be used.
func (e *lease) isValid(now clock.Instant) bool {
	return e.peer.PerSecond > 0 && now.Sub(e.peer.HeardAt) <= leaseTime && now >= e.failedUntil
}

// fill adds what has become available since the last call and returns the most that may be.
func (e *lease) fill(now clock.Instant) float64 {
	burst := max(float64(e.peer.PerSecond)*burstTime.Seconds(), 1)
	e.left = min(e.left+float64(e.peer.PerSecond)*now.Sub(e.filledAt).Seconds(), burst)
	e.filledAt = now
	return burst
}

// Done records that a connection that was taken has ended, or was not handed over.
func (l *Leases) Done() { l.open-- }

// Fail records that a peer refused a connection, could not be dialled, or did not answer.
func (l *Leases) Fail(id fleet.InstanceID, now clock.Instant) {
	if e := l.leases[id]; e != nil {
		e.failedUntil = now.Add(failureTime)
	}
}

// Open returns the number of connections that are handed over now.
func (l *Leases) Open() int { return l.open }

// Intake bounds what an instance takes over from all peers together, whatever they believe. The zero
// value takes nothing before its first refill. It must not be used concurrently.
type Intake struct {
	left     float64
	filledAt clock.Instant
}

// Allow reports whether one more connection is taken, at perSecond connections a second.
func (i *Intake) Allow(perSecond int, now clock.Instant) bool {
	// Peers act on an offer for up to leaseTime, also after it has been lowered or withdrawn.
	burst := max(2*float64(perSecond)*burstTime.Seconds(), 1)
	i.left = min(i.left+float64(perSecond)*now.Sub(i.filledAt).Seconds(), burst)
	i.filledAt = now
	if perSecond == 0 || i.left < 1 {
		return false
	}
	i.left--
	return true
}
