package instance

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/quarantine"
)

// resolveInterval is the time between two polls of a target that broke connections.
const resolveInterval = 200 * time.Millisecond

// brokenBoot is a boot of a target to which connections of this entry broke. The target's
// next load report shows whether it crashed or the network failed.
type brokenBoot struct {
	bootID string
	// since is the time of the first break that is not resolved.
	since time.Time
}

// trackBrokenBoot records a broken boot and polls the target, which pollBrokenBoots
// repeats until it is known whether the target crashed.
func (c *core) trackBrokenBoot(t fleet.TargetID, bootID string, now time.Time) {
	for _, b := range c.brokenBoots[t] {
		if b.bootID == bootID {
			return
		}
	}
	c.brokenBoots[t] = append(c.brokenBoots[t], brokenBoot{bootID: bootID, since: now})
	c.poller.submit(poll{target: t, addr: c.targets[t].addr})
}

// resolveBrokenBoots applies a load report that was requested at the given time. Runs on a
// boot other than the reported one crashed. Runs on the reported boot survived if the
// report was requested after the break.
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

// pollBrokenBoots polls targets with broken boots again every resolveInterval. It gives up
// after quarantine.DefaultResolveAfter, when the quarantine counts the runs as crashes.
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
