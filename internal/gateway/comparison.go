package gateway

import (
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// comparisonTime is how long an instance waits for a peer with which it can compare its
// configuration. It covers the longest pause after which such a peer dials again.
const comparisonTime = 3 * time.Second

// touchTime is how long an instance counts as in touch with its peers after it has compared its
// configuration with that of one.
const touchTime = 5 * heartbeatInterval

// comparison says whether this instance knows of every configuration that was in force. The
// platform alone does not tell: after a restore it may show an older one. An instance that has
// just started, or stood still or was cut off while the platform was restored, has to compare its
// configuration with that of a peer that knows. It is safe for concurrent use.
type comparison struct {
	mu sync.Mutex
	// needed is set until this instance has compared its configuration, until at the latest.
	needed bool
	until  clock.Instant
	// first is set for an instance of a fleet that starts for the first time. There is no earlier
	// configuration that it could lack.
	first bool
	// inTouchAt is the time at which a peer's configuration was last known not to be newer, 0 if
	// none has reported.
	inTouchAt clock.Instant
	// unheard holds, for an instance that starts, the seeds that have not reported yet. If all have
	// and none knows of a newer configuration, the fleet has started together.
	unheard map[fleet.InstanceID]bool
}

// newComparison returns the state of an instance that starts with the given seeds.
func newComparison(now clock.Instant, first bool, self fleet.InstanceID, seeds []fleet.InstanceID) *comparison {
	limit := comparisonTime
	if first {
		limit = aloneSettleTime
	}
	c := &comparison{needed: true, until: now.Add(limit), first: first, unheard: make(map[fleet.InstanceID]bool)}
	for _, id := range seeds {
		if id != self {
			c.unheard[id] = true
		}
	}
	return c
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

// note records that the configuration in force is as new as that of a peer that knows, which
// reported it after reportedAt. It reports whether that was needed.
func (c *comparison) note(reportedAt, now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inTouchAt = max(c.inTouchAt, reportedAt)
	was := c.isNeededLocked(now)
	c.needed = false
	return was
}

// noteUnknowing records that a peer that does not know of every configuration either reported none
// that is newer. It reports whether no comparison is needed any more.
func (c *comparison) noteUnknowing(from fleet.InstanceID, now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unheard[from] || !c.isNeededLocked(now) {
		return false
	}
	delete(c.unheard, from)
	c.needed = len(c.unheard) > 0
	return !c.needed
}

// noteRestore records that this instance has the records of a restored platform. It reports whether
// a comparison is needed for that: the instance may have missed the last configuration before the
// restore if its records had lapsed, which means that they were too old to rely on their keys, or if
// it was not in touch. An instance that never had a peer has none to compare with.
func (c *comparison) noteRestore(lapsed bool, now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.isNeededLocked(now)
	missed := c.inTouchAt != 0 && (lapsed || now.Sub(c.inTouchAt) > touchTime)
	if pending || missed {
		c.needed, c.until, c.first, c.unheard = true, now.Add(comparisonTime), false, nil
	}
	return missed
}
