package scheduler

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/pacing"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Customers over their nominal share compete for what the others leave. The more a customer
// used, the emptier a target must be for its requests, so that the usage of all that demand
// more converges, however often and through however many instances each of them asks. While
// a customer is starved, those far ahead of it wait for it.

// Limits of a target's load for customers over their nominal share.
const (
	// spareTokens is the greatest number of tokens that a target may have to prefill before a
	// request of a customer that used its effective share. It changes with the power
	// -spareExponent of the usage, up to maxSpareTokens.
	spareTokens    = 1650
	maxSpareTokens = 5500
	spareExponent  = 4
	// spareSlots is the fraction of a target's slots that requests of a customer within its
	// effective share may fill. Beyond that share it changes with the power
	// -spareSlotsExponent of the usage, down to minSpareSlots.
	spareSlots         = 0.8
	minSpareSlots      = 0.2
	spareSlotsExponent = 2
	// behindSlots replaces spareSlots for customers that are not ahead while one is starved.
	behindSlots = 0.9
	// lateTokens is that number for a request that can no longer meet its objective: while not
	// all requests can be served, those that can still meet theirs go first.
	lateTokens = 550
)

// Constants of the shares while a customer is starved.
const (
	// starvedFraction is the fraction of its recent requests, and of the effective share,
	// below which a customer counts as starved.
	starvedFraction = 0.75
	// maxLead is how far the usage of others may be ahead, as a multiple of the starved
	// customer's usage or its nominal share. minLead is the fraction of the effective share
	// that they may use in any case, because a customer can be starved for reasons of its
	// own, such as the regions that it allows.
	maxLead = 1.25
	minLead = 0.25
)

// Limits of the queue for customers over their nominal share.
const (
	// minSpareQueue is the number of jobs of a customer that may wait at this instance even if
	// none of its jobs started recently.
	minSpareQueue = 8
	// spareQueueGrowth multiplies the number of jobs that start within the wait limit at the
	// recent rate, since the rate can rise.
	spareQueueGrowth = 2
)

// spareLimit returns the limit of a customer over its nominal share. perMillisecond is the number
// of tokens that the engines of the service prefill in a millisecond.
func (sh *fairShares) spareLimit(used float64, late bool, perMillisecond float64) placement.Limit {
	usage := used / sh.effective
	if used > sh.lead {
		usage = max(usage, used/sh.lead)
	}
	tokens := float64(maxSpareTokens)
	if usage > 0 {
		tokens = min(tokens, spareTokens*math.Pow(usage, -spareExponent))
	}
	if late {
		tokens = min(tokens, lateTokens)
	}
	limit := placement.Limit{
		Wait:  time.Duration(tokens / perMillisecond * float64(time.Millisecond)),
		Slots: max(spareSlots*math.Pow(max(usage, 1), -spareSlotsExponent), minSpareSlots),
	}
	if used < sh.finiteLead() {
		limit.Slots = behindSlots
	}
	return limit
}

// lead returns the usage beyond which customers wait for a starved one, infinite if none is
// starved. s.mu must be held.
func (s *Scheduler) lead(nominal, effective float64, now clock.Instant) float64 {
	least, starved := s.meter.LeastServed(starvedFraction, nominal, effective, now)
	if !starved {
		return math.Inf(1)
	}
	return max(maxLead*max(least, nominal), minLead*effective)
}

// finiteLead returns the lead, 0 if no customer is starved.
func (sh *fairShares) finiteLead() float64 {
	if math.IsInf(sh.lead, 1) {
		return 0
	}
	return sh.lead
}

// maxSpareQueue returns how many jobs of a customer over its nominal share may wait: about as
// many as start within the wait limit at the rate of the last second. s.mu must be held.
func (s *Scheduler) maxSpareQueue(c fleet.CustomerID, waitLimit time.Duration, now clock.Instant) int {
	if s.meter.Usage(c, now) > s.shares(now).effective {
		return 0
	}
	started := 0
	if counter := s.startCounters[c]; counter != nil {
		started = counter.Count(time.Second, now)
	}
	return max(minSpareQueue, int(spareQueueGrowth*float64(started)*waitLimit.Seconds()))
}

// queuedJobs returns the number of queued jobs of a customer. s.mu must be held.
func (s *Scheduler) queuedJobs(c fleet.CustomerID) int {
	n := 0
	for _, w := range s.queue {
		if w.job.Customer == c {
			n++
		}
	}
	return n
}

// countStart counts a generation that a customer started at this instance. s.mu must be
// held.
func (s *Scheduler) countStart(c fleet.CustomerID, now clock.Instant) {
	counter := s.startCounters[c]
	if counter == nil {
		counter = &pacing.StartCounter{}
		s.startCounters[c] = counter
	}
	counter.Add(now)
}
