package instance

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// planDemand registers what waits here with owners.
func (c *core) planDemand(now time.Time) {
	if !c.demandChanged {
		return
	}
	c.demandChanged = false
	c.spreader.SetSpare(c.options.self, c.owner.Spare(starts{c}, now))
	shared := c.spreader.Plan(c.queue.Demand(now), c.spreadRound)
	alone := c.queue.DemandAlone(now)
	c.registerSelf(shared, alone, now)
	c.registerPeers(c.demandByPeer(shared, alone))
}

func (c *core) registerSelf(shared []dispatch.Assignment, alone []wire.Demand, now time.Time) {
	for _, a := range shared {
		if a.Owner == c.options.self {
			c.owner.SetDemand(c.options.self, a.Demand, c.selfGrant, now)
		}
	}
	c.owner.SetAloneDemand(c.options.self, alone, now)
}

// demandByPeer copies each owner's part, since a plan's memory is used again.
func (c *core) demandByPeer(shared []dispatch.Assignment, alone []wire.Demand) map[fleet.InstanceID][]wire.Demand {
	parts := make(map[fleet.InstanceID][]wire.Demand)
	for _, a := range shared {
		if len(a.Demand) > 0 && a.Owner != c.options.self {
			parts[a.Owner] = slices.Clone(a.Demand)
		}
	}
	for _, d := range alone {
		if owner := c.aloneOwner(d.Workload); owner != "" {
			d.Alone = true
			parts[owner] = append(parts[owner], d)
		}
	}
	return parts
}

// registerPeers replaces what is registered with every peer. O(peers with demand).
func (c *core) registerPeers(parts map[fleet.InstanceID][]wire.Demand) {
	for id := range c.registered {
		if _, still := parts[id]; !still {
			c.register(id, nil)
		}
	}
	for id, demand := range parts {
		c.register(id, demand)
	}
	c.registered = parts
}

func (c *core) register(id fleet.InstanceID, demand []wire.Demand) {
	p := c.peers[id]
	if p == nil {
		return
	}
	changed := !slices.EqualFunc(demand, p.told, sameDemand)
	p.demand = demand
	if changed {
		c.mark(p)
	}
}

// Lengths of queues of which small changes are not told at once.
const (
	longQueue     = 16
	longQueuePart = 4
)

// sameDemand reports whether an owner that was told b would decide by a as well: it
// lets the age of the oldest request grow by itself, and does not come to the end of
// a long queue before the next regular heartbeat.
func sameDemand(a, b wire.Demand) bool {
	older := a.WaitMillis >= b.WaitMillis
	nearly := sameCount(a.Waiting, b.Waiting)
	a.WaitMillis, a.Waiting, a.Estimate = b.WaitMillis, b.Waiting, b.Estimate
	return a == b && nearly && (older || a.Waiting >= longQueue)
}

// sameCount reports whether two lengths are equal, or both long and differ by no more
// than one in longQueuePart.
func sameCount(a, b int) bool {
	least, most := min(a, b), max(a, b)
	return least == most || least >= longQueue && most-least <= most/longQueuePart
}

// aloneOwner is the peer that is asked for a target of a suspect's own when this
// instance owns none that serves it.
func (c *core) aloneOwner(workload fleet.Workload) fleet.InstanceID {
	best := fleet.InstanceID("")
	for _, v := range c.owners.views {
		if !viewServes(v, workload) {
			continue
		}
		if v.Owner == c.options.self {
			return ""
		}
		if best == "" {
			best = v.Owner
		}
	}
	return best
}

func viewServes(v ownedBy, workload fleet.Workload) bool {
	return slices.Contains(v.Workloads, workload)
}
