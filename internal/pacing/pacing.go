// Package pacing bounds rates in the whole fleet without coordination: the starts on cold
// targets and on targets that name a limit, and the retries of requests. Each instance uses a
// part of the bound that stays safe when instances see different sets of instances. The
// package does no I/O. Its values must not be used concurrently.
package pacing

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// StartsKept is how long starts are counted, the longest window of a bound.
const StartsKept = 4 * time.Second

// StartCounter counts the starts on one target within the last StartsKept. The zero value is
// empty.
type StartCounter struct{ times []clock.Instant }

// Add records a start.
func (s *StartCounter) Add(now clock.Instant) {
	keep := 0
	for keep < len(s.times) && now.Sub(s.times[keep]) >= StartsKept {
		keep++
	}
	s.times = append(s.times[keep:], now)
}

// Count returns the number of starts within a window, of StartsKept at most, until now.
func (s *StartCounter) Count(window time.Duration, now clock.Instant) int {
	n := 0
	for n < len(s.times) && now.Sub(s.times[len(s.times)-1-n]) < window {
		n++
	}
	return n
}

// Last returns the time of the last start, 0 if there was none.
func (s *StartCounter) Last() clock.Instant {
	if len(s.times) == 0 {
		return 0
	}
	return s.times[len(s.times)-1]
}

// Next returns the earliest time from now on at which an instance may start another request,
// of which it may start share within a window. counted is the number of starts in the window
// that count. With a share of 0 the time is that of a whole window.
func (s *StartCounter) Next(share, counted int, window time.Duration, now clock.Instant) clock.Instant {
	switch {
	case share <= 0:
		return now.Add(window)
	case counted < share:
		return now
	}
	return s.times[len(s.times)-share].Add(window)
}

// Share returns the number of starts that one instance may make of those that the given
// number of instances may make together. rank is the position of this instance among
// them, from 0. If there are more instances than starts, the last ones get none.
func Share(starts, instances, rank int) int {
	if instances <= 0 || starts <= 0 || rank >= instances {
		return 0
	}
	share := starts / instances
	if rank < starts%instances {
		share++
	}
	return share
}

// RetryBudget bounds the retries for one service to a fraction of the new requests plus a
// constant, both within a sliding window.
type RetryBudget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed for each new request.
	Ratio float64
	// Extra is the number of retries allowed in addition, whatever the number of new
	// requests.
	Extra float64

	requests, retries counter
}

// State returns the number of retries within the window and how many are allowed.
func (b *RetryBudget) State(now clock.Instant) (used, allowed float64) {
	return b.retries.sum(b.Window, now), b.Ratio*b.requests.sum(b.Window, now) + b.Extra
}

// AddRequest counts a new request.
func (b *RetryBudget) AddRequest(now clock.Instant) { b.requests.add(b.Window, now) }

// AllowRetry reports whether a request may be retried now, and counts the retry if so.
func (b *RetryBudget) AllowRetry(now clock.Instant) bool {
	if !b.HasRetry(now) {
		return false
	}
	b.retries.add(b.Window, now)
	return true
}

// HasRetry reports whether a request may be retried now, without counting a retry.
func (b *RetryBudget) HasRetry(now clock.Instant) bool {
	allowed := b.Ratio*b.requests.sum(b.Window, now) + b.Extra
	return b.retries.sum(b.Window, now)+1 <= allowed
}

// ReturnRetry takes back a retry that was counted at the given time and is not made. It has
// no effect once the bucket of that time is no longer the current one: taken from a later
// bucket, the retry would be missing there after its own bucket has left the window.
func (b *RetryBudget) ReturnRetry(counted, now clock.Instant) {
	b.retries.remove(b.Window, counted, now)
}

// counterBuckets is the number of buckets in a window.
const counterBuckets = 10

// counter counts events within a sliding window of buckets. It includes the whole of
// the oldest bucket, which is only partly within the window.
type counter struct {
	buckets [counterBuckets + 1]float64
	// last is the index of the current bucket, counted from the zero instant.
	last int64
}

// advance moves the window forward to now and clears the buckets it reuses.
func (c *counter) advance(window time.Duration, now clock.Instant) {
	index := int64(time.Duration(now) / (window / counterBuckets))
	n := int64(len(c.buckets))
	for i := max(c.last+1, index-n+1); i <= index; i++ {
		c.buckets[i%n] = 0
	}
	c.last = max(c.last, index)
}

// add counts one event.
func (c *counter) add(window time.Duration, now clock.Instant) {
	c.advance(window, now)
	c.buckets[c.last%int64(len(c.buckets))]++
}

// remove takes back an event that was added at the given time if that time is still in the
// current bucket.
func (c *counter) remove(window time.Duration, added, now clock.Instant) {
	c.advance(window, now)
	if int64(time.Duration(added)/(window/counterBuckets)) == c.last {
		c.buckets[c.last%int64(len(c.buckets))]--
	}
}

// sum returns the number of events in the window.
func (c *counter) sum(window time.Duration, now clock.Instant) float64 {
	c.advance(window, now)
	total := 0.0
	for _, b := range c.buckets {
		total += b
	}
	return total
}
