package instance

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/quarantine"
)

// resolveInterval is the time between two polls of a target that broke connections.
const resolveInterval = 200 * time.Millisecond

// brokenBoot is a boot of a target on which connections of this entry broke. Its
// next report tells a crash from a network fault.
type brokenBoot struct {
	bootID string
	// since is the first break that is not resolved.
	since time.Time
}

// trackBrokenBoot asks a target for its load until it is known whether it crashed.
func (c *core) trackBrokenBoot(t fleet.TargetID, bootID string, now time.Time) {
	for _, b := range c.brokenBoots[t] {
		if b.bootID == bootID {
			return
		}
	}
	c.brokenBoots[t] = append(c.brokenBoots[t], brokenBoot{bootID: bootID, since: now})
	c.poller.submit(poll{target: t, addr: c.targets[t].addr})
}

// resolveBrokenBoots takes a report asked for at the given time: runs on another boot than
// the reported one crashed with it.
func (c *core) resolveBrokenBoots(t fleet.TargetID, reported string, requested, now time.Time) {
	boots := c.brokenBoots[t]
	delete(c.brokenBoots, t)
	for _, b := range boots {
		switch {
		case b.bootID != reported:
			c.quarantine.MarkCrashed(bootKey(t, b.bootID), now)
		case requested.After(b.since):
			c.quarantine.MarkSurvived(bootKey(t, b.bootID), requested)
		default:
			c.brokenBoots[t] = append(c.brokenBoots[t], b)
		}
	}
	c.queueSuspects()
}

// pollBrokenBoots asks again, and leaves to the quarantine what stays unknown.
func (c *core) pollBrokenBoots(now time.Time) {
	if now.Sub(c.lastResolvePoll) < resolveInterval {
		return
	}
	c.lastResolvePoll = now
	for t, boots := range c.brokenBoots {
		if now.Sub(boots[0].since) > quarantine.DefaultResolveAfter {
			delete(c.brokenBoots, t)
			continue
		}
		c.poller.submit(poll{target: t, addr: c.targets[t].addr})
	}
}
