package instance

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Constants of heartbeats.
const (
	// nearGap and farGap are the shortest times between two heartbeats to a peer in
	// this data centre and in another one, when something changed.
	nearGap = 5 * time.Millisecond
	farGap  = 20 * time.Millisecond
	// longQueue is a number of waiting requests from which on a change by less than one
	// in longQueuePart is not told at once.
	longQueue     = 16
	longQueuePart = 4
	// maxServiceEntries bounds the service counters in one heartbeat.
	maxServiceEntries = 512
)

// peerState is what the core knows of one peer.
type peerState struct {
	listed    fleet.ListedInstance
	hello     wire.Hello
	connected bool
	leaving   bool
	spare     []wire.Spare
	// received is the highest heartbeat sequence from hello's incarnation.
	received uint64
	// demand is what is to be registered with this peer as an owner, and told what the
	// last heartbeat registered.
	demand []wire.Demand
	told   []wire.Demand
	// suspects wait until the peer has received the heartbeat suspectsSeq.
	suspects    []wire.Suspect
	suspectsSeq uint64
	dirty       bool
	sent        time.Time
}

// markPeer makes a peer's next heartbeat due at once.
func (c *core) markPeer(id fleet.InstanceID) {
	if p := c.peers[id]; p != nil {
		p.dirty = true
		return
	}
	if id == c.options.self {
		c.demandChanged = true
	}
}

func (c *core) markAllPeers() {
	for _, p := range c.peers {
		p.dirty = true
	}
}

// spreadSuspects queues new suspects for every peer.
func (c *core) spreadSuspects() {
	changed := c.quarantine.Changed()
	if len(changed) == 0 {
		return
	}
	for _, p := range c.peers {
		p.suspects = append(p.suspects, changed...)
		p.suspectsSeq = 0
		p.dirty = true
	}
}

// sendHeartbeats sends what is due and sets the timer for what is due next.
func (c *core) sendHeartbeats(now time.Time) {
	next := now.Add(c.options.heartbeat)
	for id, p := range c.peers {
		if !p.connected {
			continue
		}
		due := c.heartbeatDue(p)
		if due.After(now) {
			next = earlier(next, due)
			continue
		}
		c.sendHeartbeat(id, p, now)
	}
	c.wake.Reset(next.Sub(now))
}

func (c *core) heartbeatDue(p *peerState) time.Time {
	if !p.dirty {
		return p.sent.Add(c.options.heartbeat)
	}
	if p.listed.DataCentre == c.options.centre {
		return p.sent.Add(nearGap)
	}
	return p.sent.Add(farGap)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *core) sendHeartbeat(id fleet.InstanceID, p *peerState, now time.Time) {
	hb := &wire.Heartbeat{Leaving: c.draining, Demand: p.demand, Broken: c.brokenFor(id, now)}
	c.ledger.FillHeartbeat(id, hb, now)
	if !c.options.alone {
		c.accounts.FillHeartbeat(id, hb, maxServiceEntries)
	}
	if c.snapshot != nil {
		hb.ConfigVersion = c.snapshot.Version
		hb.ConfigDigest = c.snapshot.Digest
	}
	hb.Spare = c.owner.Spare(starts{c}, now)
	if len(p.suspects) > 0 {
		hb.Suspects = p.suspects
		p.suspectsSeq = hb.Seq
	}
	p.dirty = false
	p.told = p.demand
	p.sent = now
	c.transport.SendHeartbeat(id, hb)
}

func (e heartbeatEvent) apply(c *core, now time.Time) {
	p := c.peer(e.from)
	hb := e.beat
	if hb.Incarnation != p.hello.Incarnation || hb.Seq <= p.received {
		return
	}
	p.received = hb.Seq
	p.spare = hb.Spare
	c.noteLeaving(p, hb.Leaving)
	id := e.from.Instance
	c.ledger.ReceiveHeartbeat(id, hb, now)
	c.accounts.Merge(hb.Service, hb.Offsets)
	c.acknowledge(id, p, hb)
	c.setDemand(id, hb, now)
	c.takeBroken(hb.Broken, now)
	c.quarantine.Merge(hb.Suspects, now)
	c.watcher.Observe(config.Observation{Peer: id, Version: hb.ConfigVersion, Digest: hb.ConfigDigest})
}

// peer returns the state of a sender, which starts afresh with each incarnation.
func (c *core) peer(from wire.Hello) *peerState {
	p := c.peers[from.Instance]
	if p == nil {
		p = &peerState{listed: fleet.ListedInstance{ID: from.Instance, DataCentre: from.DataCentre}}
		c.peers[from.Instance] = p
	}
	if p.hello.Incarnation != from.Incarnation {
		p.hello = from
		p.received = 0
		p.suspects = c.quarantine.All()
		p.dirty = true
	}
	return p
}

func (c *core) noteLeaving(p *peerState, leaving bool) {
	if p.leaving == leaving {
		return
	}
	p.leaving = leaving
	c.notePeer(p)
	c.ownedChanged = true
	c.publishEntries()
}

// acknowledge drops what the peer has received.
func (c *core) acknowledge(id fleet.InstanceID, p *peerState, hb *wire.Heartbeat) {
	if hb.EchoIncarnation != c.options.incarnation {
		c.accounts.Acknowledge(id, hb.Incarnation, 0)
		return
	}
	c.accounts.Acknowledge(id, hb.Incarnation, hb.EchoSeq)
	if p.suspectsSeq != 0 && hb.EchoSeq >= p.suspectsSeq {
		p.suspects = nil
		p.suspectsSeq = 0
	}
}

func (c *core) setDemand(id fleet.InstanceID, hb *wire.Heartbeat, now time.Time) {
	acknowledged := hb.GrantSeq
	if hb.EchoIncarnation != c.options.incarnation {
		acknowledged = 0
	}
	shared, alone := splitAlone(hb.Demand)
	c.owner.SetDemand(id, shared, acknowledged, now)
	c.owner.SetAloneDemand(id, alone, now)
}

// splitAlone parts demand for a share of a target from demand for a whole one.
func splitAlone(demand []wire.Demand) (shared, alone []wire.Demand) {
	for _, d := range demand {
		if d.Alone {
			alone = append(alone, d)
		} else {
			shared = append(shared, d)
		}
	}
	return shared, alone
}

func (e peerEvent) apply(c *core, _ time.Time) {
	p := c.peer(e.from)
	p.connected = e.connected
	p.dirty = true
	c.ownedChanged = true
	c.notePeer(p)
	c.updateVisible()
}

// updateVisible tells the quarantine which instances take part.
func (c *core) updateVisible() {
	visible := []fleet.InstanceID{c.options.self}
	for id, p := range c.peers {
		if p.connected && !p.leaving {
			visible = append(visible, id)
		}
	}
	c.quarantine.SetVisible(visible)
}

// planDemand registers what waits here with owners.
func (c *core) planDemand(now time.Time) {
	if !c.demandChanged {
		return
	}
	c.demandChanged = false
	views := c.ownerViews(now)
	shared := c.spreader.Plan(c.queue.Demand(now), views, c.spreadRound)
	alone := c.queue.DemandAlone(now)
	c.registerSelf(shared, alone, now)
	for id, p := range c.peers {
		demand := c.demandFor(id, shared, alone)
		p.demand = demand
		p.dirty = p.dirty || !sameDemand(demand, p.told)
	}
}

// sameDemand reports whether an owner that was told b would decide by a as well. Waits
// grow by themselves, and an owner does not come to the end of a long queue before
// the next regular heartbeat.
func sameDemand(a, b []wire.Demand) bool {
	return slices.EqualFunc(a, b, func(a, b wire.Demand) bool {
		return a.Customer == b.Customer && a.Workload == b.Workload && a.Alone == b.Alone &&
			sameCount(a.Waiting, b.Waiting)
	})
}

// sameCount reports whether two lengths are equal, or both long and nearly so.
func sameCount(a, b int) bool {
	least, most := min(a, b), max(a, b)
	return least == most || least >= longQueue && most-least <= most/longQueuePart
}

func (c *core) registerSelf(shared []dispatch.Assignment, alone []wire.Demand, now time.Time) {
	for _, a := range shared {
		if a.Owner == c.options.self {
			c.owner.SetDemand(c.options.self, a.Demand, c.selfGrant, now)
		}
	}
	c.owner.SetAloneDemand(c.options.self, alone, now)
}

// demandFor returns a copy of a peer's part, since a plan's memory is used again.
func (c *core) demandFor(id fleet.InstanceID, shared []dispatch.Assignment, alone []wire.Demand) []wire.Demand {
	var demand []wire.Demand
	for _, a := range shared {
		if a.Owner == id {
			demand = append(demand, a.Demand...)
		}
	}
	for _, d := range alone {
		if c.aloneOwner(d.Workload) == id {
			d.Alone = true
			demand = append(demand, d)
		}
	}
	return demand
}

// aloneOwner is the peer that is asked for a target of a suspect's own when this
// instance owns none that serves it.
func (c *core) aloneOwner(workload fleet.Workload) fleet.InstanceID {
	best := fleet.InstanceID("")
	for _, v := range c.views {
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
