package instance

import (
	"time"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Timing and size of heartbeats.
const (
	// minLocalInterval and minRemoteInterval are the shortest times between two heartbeats
	// to a peer in this data centre and in another one, when something changed.
	minLocalInterval  = 5 * time.Millisecond
	minRemoteInterval = 20 * time.Millisecond
	// maxCountsInterval is the longest time between two heartbeats when only the counts of
	// waiting requests changed.
	maxCountsInterval = 200 * time.Millisecond
	// remoteIdleInterval is the time between two heartbeats to a peer in another data
	// centre of a large fleet if the two instances share no work. A random part of
	// remoteIdleJitter is added.
	remoteIdleInterval = 2 * time.Second
	remoteIdleJitter   = 200 * time.Millisecond
	// maxServiceEntries bounds the service counters in one heartbeat.
	maxServiceEntries = 512
)

// peerState is the core's state of one peer.
type peerState struct {
	listed    fleet.ListedInstance
	hello     wire.Hello
	connected bool
	leaving   bool
	// lastHeartbeat is when the last heartbeat arrived. silent is set if none arrived for
	// UnreachableAfter and the idle interval.
	lastHeartbeat time.Time
	silent        bool
	spare         []wire.Spare
	// receivedSeq is the highest sequence number of a heartbeat from hello's incarnation.
	receivedSeq uint64
	// demand is the demand registered with this peer as an owner.
	demand []wire.Demand
	// suspects are sent with each heartbeat until the peer has received the heartbeat
	// suspectsSeq.
	suspects    []wire.Suspect
	suspectsSeq uint64
	// receivedDemand and receivedRunning are set if the peer's last heartbeat had demand or
	// running work for this instance, and sentRunning if the last one to the peer had
	// running work.
	receivedDemand, receivedRunning, sentRunning bool
	// idleInterval is the time to the next heartbeat if the two instances share no work.
	idleInterval time.Duration
	// countsDirty is set if counts of waiting requests changed since the last heartbeat,
	// and dirty if anything else did.
	countsDirty bool
	dirty       bool
	lastSent    time.Time
}

// markPeerDirty makes a peer's next heartbeat due as soon as the minimum interval allows.
// For this instance it marks the demand as changed.
func (c *core) markPeerDirty(id fleet.InstanceID) {
	if p := c.peers[id]; p != nil {
		c.markDirty(p)
		return
	}
	if id == c.options.self {
		c.demandChanged = true
	}
}

func (c *core) markAllDirty() {
	for _, p := range c.peers {
		c.markDirty(p)
	}
}

// markConfigChanged makes heartbeats with a new configuration version due: in a large
// fleet only to peers in this data centre, since each data centre has its own readers.
func (c *core) markConfigChanged() {
	for _, p := range c.peers {
		if !c.largeFleet || p.listed.DataCentre == c.options.centre {
			c.markDirty(p)
		}
	}
}

// markDirty makes a peer's next heartbeat due as soon as the minimum interval allows.
func (c *core) markDirty(p *peerState) {
	p.dirty = true
	c.nextHeartbeat = earlier(c.nextHeartbeat, c.heartbeatDue(p))
}

// queueSuspects adds new and changed suspects to the next heartbeat to every peer.
func (c *core) queueSuspects() {
	changed := c.quarantine.Changed()
	if len(changed) == 0 {
		return
	}
	for _, p := range c.peers {
		p.suspects = append(p.suspects, changed...)
		p.suspectsSeq = 0
		c.markDirty(p)
	}
}

// sendHeartbeats sends the heartbeats that are due and sets the timer for the next one.
// It takes O(1) while nothing is due, else O(peers).
func (c *core) sendHeartbeats(now time.Time) {
	if !c.nextHeartbeat.After(now) {
		c.sendDueHeartbeats(now)
	}
	if c.wakeAt != c.nextHeartbeat {
		c.wakeAt = c.nextHeartbeat
		c.wakeTimer.Reset(c.nextHeartbeat.Sub(now))
	}
}

func (c *core) sendDueHeartbeats(now time.Time) {
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
		next = earlier(next, c.heartbeatDue(p))
	}
	c.nextHeartbeat = next
}

func (c *core) heartbeatDue(p *peerState) time.Time {
	if !p.dirty && p.countsDirty {
		return p.lastSent.Add(min(maxCountsInterval, c.heartbeatInterval(p)))
	}
	if !p.dirty {
		return p.lastSent.Add(c.heartbeatInterval(p))
	}
	if p.listed.DataCentre == c.options.centre {
		return p.lastSent.Add(minLocalInterval)
	}
	return p.lastSent.Add(minRemoteInterval)
}

// heartbeatInterval returns the time between two heartbeats to a peer if nothing changed.
func (c *core) heartbeatInterval(p *peerState) time.Duration {
	if !c.largeFleet || p.listed.DataCentre == c.options.centre || p.sharesWork() {
		return c.options.heartbeat
	}
	return p.idleInterval
}

// sharesWork reports whether this instance or the peer has demand or running work at the
// other.
func (p *peerState) sharesWork() bool {
	return len(p.demand) > 0 || p.receivedDemand || p.receivedRunning || p.sentRunning
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *core) sendHeartbeat(id fleet.InstanceID, p *peerState, now time.Time) {
	hb := &wire.Heartbeat{Leaving: c.draining, Demand: p.demand, BrokenTargets: c.brokenFor(id, now)}
	c.ledger.FillHeartbeat(id, hb, now)
	if !c.options.noServiceExchange {
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
	p.countsDirty = false
	p.lastSent = now
	p.sentRunning = len(hb.Running) > 0
	if c.largeFleet {
		p.idleInterval = remoteIdleInterval + time.Duration(c.options.rng.Int64N(int64(remoteIdleJitter)))
	}
	c.transport.SendHeartbeat(id, hb)
}

func (e heartbeatEvent) apply(c *core, now time.Time) {
	p := c.peer(e.from)
	hb := e.heartbeat
	if hb.Incarnation != p.hello.Incarnation || hb.Seq <= p.receivedSeq {
		return
	}
	p.receivedSeq = hb.Seq
	p.lastHeartbeat = now
	p.spare = hb.Spare
	c.planner.SetSpare(e.from.Instance, hb.Spare)
	p.receivedDemand = len(hb.Demand) > 0
	p.receivedRunning = len(hb.Running) > 0
	c.nextHeartbeat = earlier(c.nextHeartbeat, c.heartbeatDue(p))
	c.setLeaving(p, hb.Leaving)
	id := e.from.Instance
	c.ledger.ReceiveHeartbeat(id, hb, now)
	c.accounts.Merge(hb.ServiceCounter, hb.Offsets)
	c.acknowledge(id, p, hb)
	c.setDemand(id, hb, now)
	c.applyBroken(hb.BrokenTargets, now)
	c.quarantine.Merge(hb.Suspects, now)
	c.watcher.Observe(config.Observation{Peer: id, Version: hb.ConfigVersion, Digest: hb.ConfigDigest})
}

// peer returns the state of a sender and resets what depends on its incarnation if that
// has changed.
func (c *core) peer(from wire.Hello) *peerState {
	p := c.peers[from.Instance]
	if p == nil {
		p = &peerState{listed: fleet.ListedInstance{ID: from.Instance, DataCentre: from.DataCentre}}
		c.peers[from.Instance] = p
	}
	if p.hello.Incarnation != from.Incarnation {
		p.hello = from
		p.receivedSeq = 0
		p.suspects = c.quarantine.All()
		c.markDirty(p)
	}
	return p
}

func (c *core) setLeaving(p *peerState, leaving bool) {
	if p.leaving == leaving {
		return
	}
	p.leaving = leaving
	c.recordPeerState(p)
	c.ownedChanged = true
	c.publishEntries()
}

// acknowledge drops the counters and suspects that the peer has received.
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

// splitAlone separates ordinary demand from the demand of suspects that must run alone on
// a target.
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
	c.setConnected(e.from, e.connected)
}

func (c *core) setConnected(hello wire.Hello, connected bool) {
	p := c.peer(hello)
	if p.connected == connected {
		return
	}
	p.connected = connected
	c.markDirty(p)
	c.ownedChanged = true
	c.recordPeerState(p)
	c.updateVisible()
	c.publishEntries()
}

// updateSilent determines which peers are silent. Silent peers come last in responses to
// callers.
func (c *core) updateSilent(now time.Time) {
	changed := false
	for _, p := range c.peers {
		silent := now.Sub(p.lastHeartbeat) > c.options.limits.UnreachableAfter+p.idleInterval
		changed = changed || silent != p.silent
		p.silent = silent
	}
	if changed {
		c.publishEntries()
	}
}

// reconcilePeers reads from the transport which peers are connected, since peerEvents are
// dropped while the core's event channel is full.
func (c *core) reconcilePeers() {
	connected := make(map[fleet.InstanceID]bool, len(c.peers))
	for _, hello := range c.transport.Connected() {
		connected[hello.Instance] = true
		c.setConnected(hello, true)
	}
	for id, p := range c.peers {
		if p.connected && !connected[id] {
			c.setConnected(p.hello, false)
		}
	}
}

// updateVisible passes the connected instances that are not leaving to the quarantine.
func (c *core) updateVisible() {
	visible := []fleet.InstanceID{c.options.self}
	for id, p := range c.peers {
		if p.connected && !p.leaving {
			visible = append(visible, id)
		}
	}
	c.quarantine.SetVisible(visible)
}
