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
	if e.same != 0 && e.same == c.list.Version {
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
	c.forgetUnlisted()
	c.wide = membership.LargeFleet(c.list.Instances)
	c.transport.SetPeers(others)
	c.watcher.SetList(c.list)
	c.publishEntries()
	c.updateTargets(now)
	c.log.Info().Str("event", "list").Uint64("version", c.list.Version).
		Int("instances", len(c.list.Instances)).Int("targets", len(c.list.Targets)).Msg("")
}

// forgetUnlisted drops the states of instances that the list no longer names and
// that are not connected.
func (c *core) forgetUnlisted() {
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
	c.noteConfig(e.snapshot)
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
	c.forgetOrders()
	c.markConfig()
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

// sameTargets reports whether two versions of the rules give the same targets in the
// same data centres.
func sameTargets(a, b *rules.Document) bool {
	return maps.Equal(a.DataCentres, b.DataCentres) && maps.EqualFunc(a.Targets, b.Targets, func(x, y rules.Target) bool {
		return x.DataCentre == y.DataCentre && x.Limit == y.Limit && x.ColdLimit == y.ColdLimit &&
			x.Service == y.Service && slices.Equal(x.Models, y.Models)
	})
}

func (askedEvent) apply(c *core, _ time.Time) {
	c.settled = true
	c.log.Info().Str("event", "settled").Msg("")
}

// updateTargets joins the rules with the list: a target gets work if both name it,
// it is not leaving, and its data centre is in service.
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
		info.out = listed.State == fleet.StateLeaving || c.snapshot.Rules.DataCentres[rule.DataCentre].OutOfService
		c.targets[listed.ID] = info
		limits = append(limits, ledgerTarget(rule, info.out))
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

// ownerOrder names, for each data centre, those whose instances own its targets
// when it has no live instance: its region's first, each group in rendezvous order.
func (c *core) ownerOrder() limit.OwnerOrder {
	order := make(limit.OwnerOrder)
	if c.snapshot == nil {
		return order
	}
	centres := c.snapshot.Rules.DataCentres
	for id, centre := range centres {
		var near, far []fleet.InstanceID
		for other := range centres {
			switch {
			case other == id:
			case centres[other].Region == centre.Region:
				near = append(near, fleet.InstanceID(other))
			default:
				far = append(far, fleet.InstanceID(other))
			}
		}
		for _, group := range [][]fleet.InstanceID{near, far} {
			for _, other := range membership.Rank(string(id), group) {
				order[id] = append(order[id], fleet.DataCentreID(other))
			}
		}
	}
	return order
}

// publishEntries tells the directory which instances callers may be sent to: live
// ones that are not stopping, in data centres that are in service.
func (c *core) publishEntries() {
	entries := entryList{unheard: make(map[fleet.InstanceID]bool)}
	for _, listed := range c.list.Instances {
		if !c.takesCallers(listed) {
			continue
		}
		entries.listed = append(entries.listed, listed)
		p := c.peers[listed.ID]
		if listed.ID != c.options.self && (p == nil || !p.connected || p.silent) {
			entries.unheard[listed.ID] = true
		}
	}
	c.directory.publishEntries(entries)
}

func (c *core) takesCallers(listed fleet.ListedInstance) bool {
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

// addressOf is the callers' address of an instance, empty if it is not listed.
func (c *core) addressOf(id fleet.InstanceID) string {
	for _, listed := range c.list.Instances {
		if listed.ID == id {
			return listed.CallerAddr
		}
	}
	return ""
}
