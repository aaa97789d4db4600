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
	boot string
	// since is the first break that is not resolved.
	since time.Time
}

// awaitBoot asks a target for its load until it is known whether it crashed.
func (c *core) awaitBoot(t fleet.TargetID, boot string, now time.Time) {
	for _, b := range c.brokenBoots[t] {
		if b.boot == boot {
			return
		}
	}
	c.brokenBoots[t] = append(c.brokenBoots[t], brokenBoot{boot: boot, since: now})
	c.poller.ask(poll{target: t, addr: c.targets[t].addr})
}

// resolveBoots takes a report asked for at the given time: runs on another boot than
// the reported one crashed with it.
func (c *core) resolveBoots(t fleet.TargetID, reported string, asked, now time.Time) {
	boots := c.brokenBoots[t]
	delete(c.brokenBoots, t)
	for _, b := range boots {
		switch {
		case b.boot != reported:
			c.quarantine.MarkCrashed(bootKey(t, b.boot), now)
		case asked.After(b.since):
			c.quarantine.MarkSurvived(bootKey(t, b.boot), asked)
		default:
			c.brokenBoots[t] = append(c.brokenBoots[t], b)
		}
	}
	c.spreadSuspects()
}

// pollBrokenBoots asks again, and leaves to the quarantine what stays unknown.
func (c *core) pollBrokenBoots(now time.Time) {
	if now.Sub(c.resolvePoll) < resolveInterval {
		return
	}
	c.resolvePoll = now
	for t, boots := range c.brokenBoots {
		if now.Sub(boots[0].since) > quarantine.DefaultResolveAfter {
			delete(c.brokenBoots, t)
			continue
		}
		c.poller.ask(poll{target: t, addr: c.targets[t].addr})
	}
}
