package instance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fairness"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/rules"
)

func (e listEvent) apply(c *core, now time.Time) {
	if e.err != nil {
		c.log.Debug().Str("event", "list_failed").Err(e.err).Msg("")
		return
	}
	if e.unchangedVersion != 0 && e.unchangedVersion == c.list.Version {
		e.list = c.list
	}
	if e.list.Version < c.list.Version {
		return
	}
	changed := e.list.Version != c.list.Version
	c.list = e.list
	c.ledger.SetMembers(c.list.Instances, c.ownerOrder(), now)
	if changed {
		c.listChanged(now)
	}
}

func (c *core) listChanged(now time.Time) {
	var others []fleet.ListedInstance
	for _, listed := range c.list.Instances {
		if listed.ID == c.options.self {
			continue
		}
		others = append(others, listed)
		p := c.peers[listed.ID]
		if p == nil {
			p = &peerState{}
			c.peers[listed.ID] = p
		}
		p.listed = listed
	}
	c.removeUnlistedPeers()
	c.largeFleet = membership.LargeFleet(c.list.Instances)
	c.transport.SetPeers(others)
	c.watcher.SetList(c.list)
	c.publishEntries()
	c.updateTargets(now)
	c.log.Info().Str("event", "list").Uint64("version", c.list.Version).
		Int("instances", len(c.list.Instances)).Int("targets", len(c.list.Targets)).Msg("")
}

// removeUnlistedPeers removes the states of peers that are neither on the list nor
// connected.
func (c *core) removeUnlistedPeers() {
	listed := make(map[fleet.InstanceID]bool, len(c.list.Instances))
	for _, l := range c.list.Instances {
		listed[l.ID] = true
	}
	for id, p := range c.peers {
		if listed[id] || p.connected {
			continue
		}
		delete(c.peers, id)
		c.accounts.RemovePeer(id)
		c.owner.RemoveEntry(id)
	}
}

func (e configEvent) apply(c *core, now time.Time) {
	c.recordConfig(e.snapshot)
	former := c.snapshot
	c.snapshot = e.snapshot
	if former == nil || !maps.Equal(former.Rules.Customers, c.snapshot.Rules.Customers) {
		c.updateCustomers()
	}
	if former == nil || !sameTargets(former.Rules, c.snapshot.Rules) {
		c.ledger.SetOwnerOrder(c.ownerOrder(), now)
		c.updateTargets(now)
	}
	c.publishEntries()
	c.removeStaleOrders()
	c.markConfigChanged()
}

func (c *core) updateCustomers() {
	customers := make([]fairness.Customer, 0, len(c.snapshot.Rules.Customers))
	limits := make(map[fleet.CustomerID]int, len(c.snapshot.Rules.Customers))
	for _, customer := range c.snapshot.Rules.Customers {
		limits[customer.ID] = customer.QueueLimit
		customers = append(customers, fairness.Customer{ID: customer.ID, Share: customer.Share})
	}
	slices.SortFunc(customers, func(a, b fairness.Customer) int { return cmp.Compare(a.ID, b.ID) })
	c.accounts.SetCustomers(customers)
	c.queue.SetLimits(limits)
	c.directory.publishConfig(c.snapshot)
}

// sameTargets reports whether two versions of the rules have the same targets and the same
// data centres.
func sameTargets(a, b *rules.Document) bool {
	return maps.Equal(a.DataCentres, b.DataCentres) && maps.EqualFunc(a.Targets, b.Targets, func(x, y rules.Target) bool {
		return x.DataCentre == y.DataCentre && x.Limit == y.Limit && x.ColdLimit == y.ColdLimit &&
			x.Service == y.Service && slices.Equal(x.Models, y.Models)
	})
}

func (settledEvent) apply(c *core, _ time.Time) {
	c.settled = true
	c.log.Info().Str("event", "settled").Msg("")
}

// updateTargets derives the targets from the rules and the list. A target gets work if it
// is in both, it is not leaving, and its data centre is in service.
func (c *core) updateTargets(now time.Time) {
	if c.snapshot == nil {
		return
	}
	clear(c.targets)
	var limits []limit.Target
	for _, listed := range c.list.Targets {
		rule, known := c.snapshot.Rules.Targets[listed.ID]
		if !known {
			continue
		}
		info := targetInfo{addr: listed.Addr, workloads: workloadsOf(rule)}
		info.outOfService = listed.State == fleet.StateLeaving || c.snapshot.Rules.DataCentres[rule.DataCentre].OutOfService
		c.targets[listed.ID] = info
		limits = append(limits, ledgerTarget(rule, info.outOfService))
	}
	c.ledger.SetTargets(limits, now)
	c.owners.stale = true
	c.ownedChanged = true
	c.demandChanged = true
}

func ledgerTarget(rule rules.Target, out bool) limit.Target {
	t := limit.Target{
		ID:         rule.ID,
		DataCentre: rule.DataCentre,
		Limit:      rule.Limit,
		ColdLimit:  rule.ColdLimit,
	}
	if out {
		t.Limit = 0
		t.ColdLimit = 0
	}
	return t
}

func workloadsOf(rule rules.Target) []fleet.Workload {
	if rule.Service != "" {
		return []fleet.Workload{{Service: rule.Service}}
	}
	workloads := make([]fleet.Workload, 0, len(rule.Models))
	for _, model := range rule.Models {
		workloads = append(workloads, fleet.Workload{Model: model})
	}
	return workloads
}

// ownerOrder returns, for each data centre, the data centres whose instances own its
// targets if it has no live instance: those of its region first, each group in rendezvous
// hashing order.
func (c *core) ownerOrder() limit.OwnerOrder {
	order := make(limit.OwnerOrder)
	if c.snapshot == nil {
		return order
	}
	centres := c.snapshot.Rules.DataCentres
	for id, centre := range centres {
		var sameRegion, otherRegions []fleet.InstanceID
		for other := range centres {
			switch {
			case other == id:
			case centres[other].Region == centre.Region:
				sameRegion = append(sameRegion, fleet.InstanceID(other))
			default:
				otherRegions = append(otherRegions, fleet.InstanceID(other))
			}
		}
		for _, group := range [][]fleet.InstanceID{sameRegion, otherRegions} {
			for _, other := range membership.Rank(string(id), group) {
				order[id] = append(order[id], fleet.DataCentreID(other))
			}
		}
	}
	return order
}

// publishEntries passes the instances that callers may be directed to to the directory:
// those that are not stopping, in data centres that are in service.
func (c *core) publishEntries() {
	entries := entryList{unreachable: make(map[fleet.InstanceID]bool)}
	for _, listed := range c.list.Instances {
		if !c.acceptsCallers(listed) {
			continue
		}
		entries.listed = append(entries.listed, listed)
		p := c.peers[listed.ID]
		if listed.ID != c.options.self && (p == nil || !p.connected || p.silent) {
			entries.unreachable[listed.ID] = true
		}
	}
	c.directory.publishEntries(entries)
}

func (c *core) acceptsCallers(listed fleet.ListedInstance) bool {
	if listed.State == fleet.StateLeaving {
		return false
	}
	if c.snapshot != nil && c.snapshot.Rules.DataCentres[listed.DataCentre].OutOfService {
		return false
	}
	if listed.ID == c.options.self {
		return !c.draining
	}
	p := c.peers[listed.ID]
	return p == nil || !p.leaving
}

// addressOf returns the caller address of an instance, or an empty string if it is not
// listed.
func (c *core) addressOf(id fleet.InstanceID) string {
	for _, listed := range c.list.Instances {
		if listed.ID == id {
			return listed.CallerAddr
		}
	}
	return ""
}
