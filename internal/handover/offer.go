// Package handover decides which new connections an instance whose processor is late hands over to peers
// of its data centre, and how many an instance takes.
//
// The load that it responds to: all requests of a large customer come to one small instance, while
// others of the data centre have processor time to spare. The package does no I/O and reads no clock.
package handover

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Constants of an offer.
const (
	// connectionCost is the processor time that a connection taken over costs a peer: 0.3 ms for an
	// answer, and as much as two thirds of it again for larger ones.
	connectionCost = 500 * time.Microsecond
	// offeredFraction is the fraction of the idle processor time that is offered, reservedFraction the
	// fraction of the whole processor that is kept for the instance's own callers.
	offeredFraction  = 0.5
	reservedFraction = 0.1
	// minOffer is the least offer in connections a second; a smaller one is none.
	minOffer = 25
	// withdrawnTime is how long there is no offer after the processor was late, so that one that is late
	// now and then does not change its offer in each heartbeat.
	withdrawnTime = time.Second
	// usedWeight is the weight of the newest measurement of the processor time used.
	usedWeight = 0.3
)

// Situation is what an offer rests on.
type Situation struct {
	// Processor is the instance's share of a processor, 1 for a whole one.
	Processor float64
	// Late says that the processor is late, Closed that the instance takes nothing over for another
	// reason: it stops, or is not ready.
	Late, Closed bool
	// LatePeers is the number of peers of the data centre that are late. Without any there is no offer.
	LatePeers int
}

// Offer computes how many connections a second an instance takes from each late peer. It moves in steps
// of a factor of two with hysteresis, because each change costs heartbeats that list all members. The
// zero value is ready for use. It must not be used concurrently.
type Offer struct {
	used  float64
	known bool
	level int
	// lateAt is when the processor was last late, 0 if it never was.
	lateAt clock.Instant
}

// Measure records the processor time used within the time elapsed.
func (o *Offer) Measure(used, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	now := float64(used) / float64(elapsed)
	if !o.known {
		o.used, o.known = now, true
		return
	}
	o.used += usedWeight * (now - o.used)
}

// Used returns the smoothed processor time used, 1 for a whole processor.
func (o *Offer) Used() float64 { return o.used }

// Total returns how many connections a second the instance takes from all peers together.
func (o *Offer) Total(s Situation, now clock.Instant) int {
	if s.Late {
		o.lateAt = now
	}
	isWithdrawn := o.lateAt != 0 && now.Sub(o.lateAt) < withdrawnTime
	if !o.known || isWithdrawn || s.Closed || s.LatePeers == 0 {
		o.level = 0
		return 0
	}
	idle := s.Processor*(1-reservedFraction) - o.used
	raw := offeredFraction * idle / connectionCost.Seconds()
	if o.level == 0 || raw < float64(o.level) || raw >= 3*float64(o.level) {
		o.level = 0
		if raw >= minOffer {
			o.level = minOffer << int(math.Log2(raw/minOffer))
		}
	}
	return o.level
}

// PerPeer divides an offer among the peers that are late.
func PerPeer(total, latePeers int) int { return total / max(latePeers, 1) }
