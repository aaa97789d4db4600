package instance

import (
	"time"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Constants of heartbeats.
const (
	// nearGap and farGap are the shortest times between two heartbeats to a peer in
	// this data centre and in another one, when something changed.
	nearGap = 5 * time.Millisecond
	farGap  = 20 * time.Millisecond
	// staleGap is the longest time from one heartbeat to the next when the counts of
	// waiting requests changed.
	staleGap = 200 * time.Millisecond
	// farInterval and farJitter bound the time between two heartbeats to a peer in
	// another data centre of a wide fleet with which there is no work in common.
	farInterval = 2 * time.Second
	farJitter   = 200 * time.Millisecond
	// maxServiceEntries bounds the service counters in one heartbeat.
	maxServiceEntries = 512
)

// peerState is what the core knows of one peer.
type peerState struct {
	listed    fleet.ListedInstance
	hello     wire.Hello
	connected bool
	leaving   bool
	// heard is when the last heartbeat came; silent says that none came for the
	// dead-peer time-out.
	heard  time.Time
	silent bool
	spare  []wire.Spare
	// received is the highest heartbeat sequence from hello's incarnation.
	received uint64
	// demand is what is registered with this peer as an owner.
	demand []wire.Demand
	// suspects wait until the peer has received the heartbeat suspectsSeq.
	suspects    []wire.Suspect
	suspectsSeq uint64
	// asks and runs say that the peer's last heartbeat had demand or running work for
	// this instance, and serves that the last one to it had running work.
	asks, runs, serves bool
	// pause is the time to the next heartbeat when there is no work in common.
	pause time.Duration
	// stale says that counts of waiting requests have changed, dirty that more has.
	stale bool
	dirty bool
	sent  time.Time
}

// markPeer makes a peer's next heartbeat due at once.
func (c *core) markPeer(id fleet.InstanceID) {
	if p := c.peers[id]; p != nil {
		c.mark(p)
		return
	}
	if id == c.options.self {
		c.demandChanged = true
	}
}

func (c *core) markAllPeers() {
	for _, p := range c.peers {
		c.mark(p)
	}
}

// markConfig tells peers of a new configuration: in a wide fleet those of the data
// centre, since each data centre has readers of its own.
func (c *core) markConfig() {
	for _, p := range c.peers {
		if !c.wide || p.listed.DataCentre == c.options.centre {
			c.mark(p)
		}
	}
}

// mark makes a peer's next heartbeat due as soon as the gap allows.
func (c *core) mark(p *peerState) {
	p.dirty = true
	c.nextBeat = earlier(c.nextBeat, c.heartbeatDue(p))
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
		c.mark(p)
	}
}

// sendHeartbeats sends what is due and sets the timer for what is due next. O(1)
// while nothing is due, else O(peers).
func (c *core) sendHeartbeats(now time.Time) {
	if !c.nextBeat.After(now) {
		c.sendDue(now)
	}
	if c.wakeAt != c.nextBeat {
		c.wakeAt = c.nextBeat
		c.wake.Reset(c.nextBeat.Sub(now))
	}
}

func (c *core) sendDue(now time.Time) {
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
	c.nextBeat = next
}

func (c *core) heartbeatDue(p *peerState) time.Time {
	if !p.dirty && p.stale {
		return p.sent.Add(min(staleGap, c.interval(p)))
	}
	if !p.dirty {
		return p.sent.Add(c.interval(p))
	}
	if p.listed.DataCentre == c.options.centre {
		return p.sent.Add(nearGap)
	}
	return p.sent.Add(farGap)
}

// interval is the time between two heartbeats to a peer without a change.
func (c *core) interval(p *peerState) time.Duration {
	if !c.wide || p.listed.DataCentre == c.options.centre || p.busy() {
		return c.options.heartbeat
	}
	return p.pause
}

// busy reports whether there are demand, grants or work in common.
func (p *peerState) busy() bool {
	return len(p.demand) > 0 || p.asks || p.runs || p.serves
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
	p.stale = false
	p.sent = now
	p.serves = len(hb.Running) > 0
	if c.wide {
		p.pause = farInterval + time.Duration(c.options.rng.Int64N(int64(farJitter)))
	}
	c.transport.SendHeartbeat(id, hb)
}

func (e heartbeatEvent) apply(c *core, now time.Time) {
	p := c.peer(e.from)
	hb := e.beat
	if hb.Incarnation != p.hello.Incarnation || hb.Seq <= p.received {
		return
	}
	p.received = hb.Seq
	p.heard = now
	p.spare = hb.Spare
	c.spreader.SetSpare(e.from.Instance, hb.Spare)
	p.asks = len(hb.Demand) > 0
	p.runs = len(hb.Running) > 0
	c.nextBeat = earlier(c.nextBeat, c.heartbeatDue(p))
	c.noteLeaving(p, hb.Leaving)
	id := e.from.Instance
	c.ledger.ReceiveHeartbeat(id, hb, now)
	c.accounts.Merge(hb.ServiceCounter, hb.Offsets)
	c.acknowledge(id, p, hb)
	c.setDemand(id, hb, now)
	c.takeBroken(hb.BrokenTargets, now)
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
		c.mark(p)
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
	c.setConnected(e.from, e.connected)
}

func (c *core) setConnected(hello wire.Hello, connected bool) {
	p := c.peer(hello)
	if p.connected == connected {
		return
	}
	p.connected = connected
	c.mark(p)
	c.ownedChanged = true
	c.notePeer(p)
	c.updateVisible()
	c.publishEntries()
}

// noticeSilence names peers that do not answer last to callers.
func (c *core) noticeSilence(now time.Time) {
	changed := false
	for _, p := range c.peers {
		silent := now.Sub(p.heard) > c.options.limits.UnreachableAfter+p.pause
		changed = changed || silent != p.silent
		p.silent = silent
	}
	if changed {
		c.publishEntries()
	}
}

// reconcilePeers takes over which peers are connected, since an event that says so is
// lost when the core's channel is full.
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
