package gateway

import (
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// comparisonTime is how long an instance waits for a peer with which it can compare its
// configuration. It covers the longest pause after which such a peer dials again.
const comparisonTime = 3 * time.Second

// comparison says whether this instance knows of every configuration that was in force. The
// platform alone does not tell: after a restore it may show an older one. An instance that has
// just started has to compare its configuration with that of a peer that knows. It is safe for
// concurrent use.
type comparison struct {
	mu sync.Mutex
	// needed is set until this instance has compared its configuration, until at the latest.
	needed bool
	until  clock.Instant
	// first is set for an instance of a fleet that starts for the first time. There is no earlier
	// configuration that it could lack.
	first bool
}

// newComparison returns the state of an instance that starts.
func newComparison(now clock.Instant, first bool) *comparison {
	limit := comparisonTime
	if first {
		limit = aloneSettleTime
	}
	return &comparison{needed: true, until: now.Add(limit), first: first}
}

// isNeeded reports whether this instance has yet to compare its configuration. If no peer that
// knows is in touch in time, the instance relies on the platform.
func (c *comparison) isNeeded(now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isNeededLocked(now)
}

func (c *comparison) isNeededLocked(now clock.Instant) bool { return c.needed && now < c.until }

// isSource reports whether peers may compare their configuration with that of this instance.
func (c *comparison) isSource(now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first || !c.isNeededLocked(now)
}

// note records that the configuration in force is as new as that of a peer that knows. It reports
// whether that was needed.
func (c *comparison) note(now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.isNeededLocked(now)
	c.needed = false
	return was
}
