package instance

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// planDemand registers the demand of the waiting requests with owners.
func (c *core) planDemand(now time.Time) {
	if !c.demandChanged {
		return
	}
	c.demandChanged = false
	c.planner.SetSpare(c.options.self, c.owner.Spare(starts{c}, now))
	shared := c.planner.Plan(c.queue.Demand(now), c.planRound)
	alone := c.queue.DemandAlone(now)
	c.registerSelf(shared, alone, now)
	c.registerPeers(c.demandByPeer(shared, alone))
}

func (c *core) registerSelf(shared []dispatch.Assignment, alone []wire.Demand, now time.Time) {
	for _, a := range shared {
		if a.Owner == c.options.self {
			c.owner.SetDemand(c.options.self, a.Demand, c.selfGrantSeq, now)
		}
	}
	var own []wire.Demand
	for _, d := range alone {
		if c.aloneOwner(d) == c.options.self {
			own = append(own, d)
		}
	}
	c.owner.SetAloneDemand(c.options.self, own, now)
}

// demandByPeer returns each peer's part of a plan. It copies the demand because the
// planner reuses the plan's memory.
func (c *core) demandByPeer(shared []dispatch.Assignment, alone []wire.Demand) map[fleet.InstanceID][]wire.Demand {
	parts := make(map[fleet.InstanceID][]wire.Demand)
	for _, a := range shared {
		if len(a.Demand) > 0 && a.Owner != c.options.self {
			parts[a.Owner] = slices.Clone(a.Demand)
		}
	}
	for _, d := range alone {
		if owner := c.aloneOwner(d); owner != "" && owner != c.options.self {
			d.Alone = true
			parts[owner] = append(parts[owner], d)
		}
	}
	return parts
}

// registerPeers replaces the demand registered with every peer. It takes O(peers with
// demand).
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
	former := p.demand
	p.demand = demand
	switch {
	case !slices.EqualFunc(demand, former, sameWork):
		c.markDirty(p)
	case !slices.EqualFunc(demand, former, equivalentDemand):
		p.countsDirty = true
		c.nextHeartbeat = earlier(c.nextHeartbeat, c.heartbeatDue(p))
	}
}

// sameWork reports whether both demands are of the same customer for the same workload.
// An owner with registered demand keeps granting it until the demand is updated, and
// each grant is answered by a heartbeat. So only the first and the last waiting request
// must be reported to the owner at once.
func sameWork(a, b wire.Demand) bool {
	return a.Customer == b.Customer && a.Workload == b.Workload && a.Alone == b.Alone
}

// equivalentDemand reports whether an owner that has demand b registered would decide
// the same with a. A longer wait makes no difference, since the owner increases the age
// of the oldest request itself.
func equivalentDemand(a, b wire.Demand) bool {
	older := a.WaitMillis >= b.WaitMillis
	a.WaitMillis = b.WaitMillis
	return a == b && older
}

// aloneTurn is how long a suspect that must run alone is registered with one owner
// before the next owner is tried.
const aloneTurn = 2 * time.Second

// aloneOwner returns the owner with which a suspect that must run alone is registered:
// this instance first, then the owners in its data centre, in its region, and elsewhere,
// each for aloneTurn, since all targets of one owner may be gone. It is empty if no owner
// serves the workload.
func (c *core) aloneOwner(d wire.Demand) fleet.InstanceID {
	var serving []fleet.InstanceID
	for _, v := range c.owners.views {
		if ownerServes(v, d.Workload) {
			serving = append(serving, v.Owner)
		}
	}
	if len(serving) == 0 {
		return ""
	}
	slices.SortStableFunc(serving, func(a, b fleet.InstanceID) int {
		return cmp.Compare(c.remoteness(a), c.remoteness(b))
	})
	turn := time.Duration(d.WaitMillis) * time.Millisecond / aloneTurn
	return serving[int(turn)%len(serving)]
}

// remoteness ranks owners by distance: this instance, its data centre, its region, other
// regions.
func (c *core) remoteness(owner fleet.InstanceID) int {
	if owner == c.options.self {
		return -1
	}
	proximity, _ := c.proximityOf(owner)
	return int(proximity)
}

func ownerServes(v ownerWorkloads, workload fleet.Workload) bool {
	return slices.Contains(v.Workloads, workload)
}
