// Package pacing bounds two rates in the whole fleet without coordination: the starts on
// cold targets, and the retries of requests. Each instance uses a part of the bound that
// stays safe when instances see different sets of instances. The package does no I/O.
// Its values must not be used concurrently.
package pacing

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// startWindow is the sliding window in which starts on a cold target are counted.
const startWindow = time.Second

// StartCounter counts the starts on one target within the last second. The zero value
// is empty.
type StartCounter struct{ times []clock.Instant }

// Add records a start.
func (s *StartCounter) Add(now clock.Instant) {
	s.trim(now)
	s.times = append(s.times, now)
}

// Count returns the number of starts within the last second.
func (s *StartCounter) Count(now clock.Instant) int {
	s.trim(now)
	return len(s.times)
}

// trim removes starts that are older than startWindow.
func (s *StartCounter) trim(now clock.Instant) {
	keep := 0
	for keep < len(s.times) && now.Sub(s.times[keep]) >= startWindow {
		keep++
	}
	s.times = s.times[keep:]
}

// ColdShare returns the number of starts per second that one instance may make on a cold
// target that allows rate starts per second, shared by the given number of instances.
// rank is the position of this instance among them, from 0. If there are more instances
// than whole starts, the last ones get none.
func ColdShare(rate float64, instances, rank int) int {
	whole := int(rate)
	if instances <= 0 || whole <= 0 {
		return 0
	}
	share := whole / instances
	if rank < whole%instances {
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
