// Package pacing bounds two rates over the whole fleet without agreement: the starts
// on cold targets, and the requests that are sent a second time. Each instance uses a
// part of the bound that stays safe when instances see different fleets. It is pure;
// one goroutine at a time uses its values.
package pacing

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// window is the sliding time over which starts on a cold target are counted.
const window = time.Second

// StartCounter counts the starts on one target within the last second.
type StartCounter struct{ times []clock.Instant }

// Add notes a start.
func (s *StartCounter) Add(now clock.Instant) {
	s.trim(now)
	s.times = append(s.times, now)
}

// Count returns the number of starts within the last second.
func (s *StartCounter) Count(now clock.Instant) int {
	s.trim(now)
	return len(s.times)
}

func (s *StartCounter) trim(now clock.Instant) {
	keep := 0
	for keep < len(s.times) && now.Sub(s.times[keep]) >= window {
		keep++
	}
	s.times = s.times[keep:]
}

// ColdShare returns how many starts a second one instance may make on a cold target
// that bears rate a second, when the given number of instances share it and this one
// is the rank-th of them, from 0. Instances beyond the number of whole starts get
// none.
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

// RetryBudget bounds the second sends for one service: a share of the first sends and a
// constant, both within a sliding window.
type RetryBudget struct {
	// Window is the sliding time.
	Window time.Duration
	// Ratio is the part of the first sends that may be sent again.
	Ratio float64
	// Extra is what may be sent again beside that.
	Extra float64

	first, again counter
}

// AddRequest counts a request that is new.
func (b *RetryBudget) AddRequest(now clock.Instant) { b.first.add(b.Window, now) }

// AllowRetry reports whether a request may be sent again now, and counts it if so.
func (b *RetryBudget) AllowRetry(now clock.Instant) bool {
	allowed := b.Ratio*b.first.sum(b.Window, now) + b.Extra
	if b.again.sum(b.Window, now)+1 > allowed {
		return false
	}
	b.again.add(b.Window, now)
	return true
}

// counterBuckets is the number of buckets of a window.
const counterBuckets = 10

// counter counts events within a sliding window. The oldest bucket counts as a whole.
type counter struct {
	buckets [counterBuckets + 1]float64
	last    int64
}

func (c *counter) advance(window time.Duration, now clock.Instant) {
	index := int64(time.Duration(now) / (window / counterBuckets))
	n := int64(len(c.buckets))
	for i := max(c.last+1, index-n+1); i <= index; i++ {
		c.buckets[i%n] = 0
	}
	c.last = max(c.last, index)
}

func (c *counter) add(window time.Duration, now clock.Instant) {
	c.advance(window, now)
	c.buckets[c.last%int64(len(c.buckets))]++
}

func (c *counter) sum(window time.Duration, now clock.Instant) float64 {
	c.advance(window, now)
	total := 0.0
	for _, b := range c.buckets {
		total += b
	}
	return total
}
