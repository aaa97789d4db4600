package instance

import (
	"time"

	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// pollInterval is the time between two load polls of one owned target.
const pollInterval = 500 * time.Millisecond

// refreshOwned passes the targets that this instance owns to dispatch.Owner and requests
// the load reports that are due. It takes O(peers + owned targets), and O(targets) if an
// owner may have changed.
func (c *core) refreshOwned(now time.Time) {
	c.ownedChanged = false
	c.refreshOwners(now)
	targets := make([]dispatch.Target, 0, len(c.owners.owned))
	for _, id := range c.owners.owned {
		info := c.targets[id]
		t := c.dispatchTarget(id, info)
		targets = append(targets, t)
		c.metrics.SetTarget(id, c.ledger.State(id).Accounted, t.Limit)
		c.pollDue(id, info, now)
	}
	c.owner.SetTargets(targets)
}

func (c *core) dispatchTarget(id fleet.TargetID, info targetInfo) dispatch.Target {
	state := c.ledger.State(id)
	load := 0.0
	if state.Limit > 0 {
		load = float64(state.Accounted+state.Unresolved) / float64(state.Limit)
	}
	return dispatch.Target{
		ID:        id,
		Workloads: info.workloads,
		Limit:     state.Limit,
		Load:      load,
		Ready:     state.State == fleet.TargetReady,
	}
}

func (c *core) pollDue(id fleet.TargetID, info targetInfo, now time.Time) {
	if now.Sub(c.lastPoll[id]) < pollInterval {
		return
	}
	c.lastPoll[id] = now
	c.poller.submit(poll{target: id, addr: info.addr})
}

func (e reportEvent) apply(c *core, now time.Time) {
	if e.err != nil {
		c.suspend(e.target, e.requested)
		c.log.Debug().Str("event", "poll_failed").Str("target", string(e.target)).Err(e.err).Msg("")
		return
	}
	if !e.requested.Before(c.suspended[e.target]) {
		delete(c.suspended, e.target)
	}
	c.resolveBrokenBoots(e.target, e.report.BootID, e.requested, now)
	before := c.ledger.State(e.target)
	c.ledger.Report(e.target, e.report, e.requested, e.received)
	after := c.ledger.State(e.target)
	c.ownedChanged = true
	if before.BootID == after.BootID && before.State == after.State {
		return
	}
	c.recordTargetState(e, before, after)
}

func (c *core) proximityOf(owner fleet.InstanceID) (dispatch.Proximity, time.Duration) {
	centre := c.options.centre
	if p := c.peers[owner]; p != nil {
		centre = p.listed.DataCentre
	}
	switch c.directory.distance(centre) {
	case 0:
		return dispatch.SameDataCentre, 0
	case 1:
		return dispatch.SameRegion, time.Millisecond
	default:
		return dispatch.OtherRegion, 30 * time.Millisecond
	}
}

// crossesRegion reports whether an instance is in another region.
func (c *core) crossesRegion(id fleet.InstanceID) bool {
	proximity, _ := c.proximityOf(id)
	return proximity == dispatch.OtherRegion
}

// isLocal reports whether an instance is in this data centre.
func (c *core) isLocal(id fleet.InstanceID) bool {
	proximity, _ := c.proximityOf(id)
	return proximity == dispatch.SameDataCentre
}

// grant grants the starts that are possible on owned targets, at most grantBatch.
func (c *core) grant(now time.Time) {
	if !c.settled {
		return
	}
	for range grantBatch {
		d, ok := c.owner.NextAlone(starts{c}, occupancy{c}, now)
		if !ok {
			d, ok = c.owner.Next(starts{c}, now)
		}
		if !ok || !c.grantOne(d, now) {
			return
		}
	}
}

// grantOne counts the start of a decision and sends the grant. It returns false if no
// further grant should be tried in this round.
func (c *core) grantOne(d dispatch.Decision, now time.Time) bool {
	g, ok := c.ledger.Grant(d.Target, d.Entry, d.Customer, d.Workload, now)
	if !ok {
		// No heartbeat of the entry arrived recently; the next one registers it again.
		c.owner.RemoveEntry(d.Entry)
		return d.Entry != c.options.self
	}
	g.Alone = d.Alone
	c.owner.Granted(d, g.Seq)
	c.recordGranted(d, &g)
	if d.Entry != c.options.self {
		c.transport.SendGrant(d.Entry, &g)
		return true
	}
	c.selfGrantSeq = g.Seq
	c.demandChanged = true
	permit, err := c.ledger.GrantSelf(&g, now)
	if err != nil {
		return false
	}
	c.usePermit(permit, g.Seq, now)
	return true
}

func (e grantEvent) apply(c *core, now time.Time) {
	permit, err := c.ledger.ReceiveGrant(e.from.Instance, e.grant, now)
	c.markPeerDirty(e.from.Instance)
	if err != nil {
		c.log.Info().Str("event", "grant_refused").Str("owner", string(e.from.Instance)).Err(err).Msg("")
		return
	}
	c.usePermit(permit, e.grant.Seq, now)
}

// occupancy reports how many requests run on a target. A request that must run alone
// needs a target with none.
type occupancy struct{ core *core }

// Running implements dispatch.Occupancy.
func (o occupancy) Running(t fleet.TargetID, _ time.Time) int {
	state := o.core.ledger.State(t)
	return state.Accounted + state.Unresolved + state.Foreign
}

// starts reports how many requests may start on an owned target: none while the target
// is suspended.
type starts struct{ core *core }

// Available implements dispatch.Limiter.
func (s starts) Available(t fleet.TargetID, now time.Time) int {
	if _, suspended := s.core.suspended[t]; suspended {
		return 0
	}
	return s.core.ledger.Available(t, now)
}

// suspend stops starts on a target until a load report arrives that was requested at or
// after since.
func (c *core) suspend(t fleet.TargetID, since time.Time) {
	if c.suspended[t].Before(since) {
		c.suspended[t] = since
	}
}

// markBroken handles a connection to a target that broke or could not be made. If this
// instance owns the target, it suspends the target and polls it at once. Otherwise it
// reports the target to the owner with the next heartbeat.
func (c *core) markBroken(t fleet.TargetID, now time.Time) {
	c.ledger.MarkBroken(t, now)
	owner, ok := c.ledger.Owner(t, now)
	if !ok || owner != c.options.self {
		c.broken[t] = now
		c.markPeerDirty(owner)
		return
	}
	c.suspend(t, now)
	c.lastPoll[t] = now
	c.poller.submit(poll{target: t, addr: c.targets[t].addr})
}

// brokenFor returns the targets of an owner whose connections broke within
// wire.BrokenRetention.
func (c *core) brokenFor(owner fleet.InstanceID, now time.Time) []fleet.TargetID {
	var broken []fleet.TargetID
	for t, since := range c.broken {
		if now.Sub(since) > wire.BrokenRetention {
			delete(c.broken, t)
			continue
		}
		if current, ok := c.ledger.Owner(t, now); ok && current == owner {
			broken = append(broken, t)
		}
	}
	return broken
}

// applyBroken handles targets that an entry reported as broken. Repeated reports of a
// target within wire.BrokenRetention are ignored.
func (c *core) applyBroken(targets []fleet.TargetID, now time.Time) {
	for _, t := range targets {
		if now.Sub(c.reportedBroken[t]) <= wire.BrokenRetention {
			continue
		}
		c.reportedBroken[t] = now
		c.markBroken(t, now)
	}
}
