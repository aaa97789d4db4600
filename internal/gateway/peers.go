package gateway

import (
	"context"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// sentTimesKept is the number of heartbeats to a peer whose sending times are kept, so
// that an echo can be matched to its sending time. It covers more than ten seconds.
const sentTimesKept = 64

// fetchTimeout bounds one fetch of records from a peer.
const fetchTimeout = 1500 * time.Millisecond

// peerState is the state of the heartbeat exchange with one incarnation of a peer.
type peerState struct {
	incarnation fleet.Incarnation
	// lastReceivedSeq is the highest sequence number received, lastSentSeq the last one
	// sent. sentAt holds the sending time of sequence number n at n % sentTimesKept.
	lastReceivedSeq, lastSentSeq uint64
	sentAt                       [sentTimesKept]clock.Instant
	// receivedAt is when the last heartbeat was received, 0 if none was.
	receivedAt clock.Instant
	// sentMembers and receivedMembers track the lists of members sent and received.
	sentMembers     roster.SentMembers
	receivedMembers roster.ReceivedMembers
	// sentScope is the scope of the last heartbeat with loads.
	sentScope wire.Scope
	// ahead is set if the peer's last heartbeat reported newer records than this
	// instance's.
	ahead bool
}

// sendHeartbeats sends heartbeats to all connected peers until ctx ends.
func (g *Gateway) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		g.sendRound()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Intervals in heartbeat rounds.
const (
	// membersEvery is the interval at which members that have changed are listed in fleets that
	// are too large to list them in every round.
	membersEvery = 3
	// sumsEvery is the interval at which a relay sends its sums to peers that are idle or have
	// another relay as their first source. It is below the time for which sums are used.
	sumsEvery = 5
)

// sendRound updates the topology from the roster and sends one heartbeat to each
// connected peer.
func (g *Gateway) sendRound() {
	now := g.options.Now()
	common := wire.Heartbeat{
		Incarnation: g.incarnation, Leaving: g.leaving.Load(),
		ConfigVersion: g.configVersion(), ConfigSource: g.isSource(now), KeysRequired: g.keysRequired.Load(),
	}
	if kept, remaining := g.scheduler.KeptEvacuations(); len(kept) > 0 {
		common.KeptEvacuations, common.KeptMillis = kept, remaining.Milliseconds()
	}
	if at, confirmedAt := g.copy.State(); !at.IsZero() && confirmedAt != 0 {
		common.Records = &wire.RecordsState{Era: at.Era(), Revision: at.Revision(), AgeMillis: now.Sub(confirmedAt).Milliseconds() + 1}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if late := now.Sub(g.roundAt) - heartbeatInterval; g.roundAt != 0 && late >= lateFrom {
		g.roster.NoteStall(late, now)
	}
	g.roundAt = now
	g.roster.SetSelf(g.leaving.Load(), !g.isReady(), g.behind.Load())
	alive := g.roster.Alive(now)
	g.updateHandOver(alive, now)
	topology := roster.Plan(fleet.InstanceID(g.options.Settings.PeerAddr), g.options.Settings.DataCentre, alive)
	g.round++
	members := g.roster.WireMembers(now)
	listMembers := len(alive) <= roster.MaxMeshSize || g.round%membersEvery == 0
	g.relay.Store(topology.Relay)
	g.reader.Store(topology.Reader)
	g.hasPeers.Store(len(alive) > 1)
	g.transport.SetPeers(g.roster.Peers(topology, now))
	g.scheduler.SetAlive(alive)
	g.logEvidence(g.scheduler.TakeEvidenceChanges())
	g.logLimits(g.scheduler.TakeLimitChanges())
	g.logOddTimes(g.scheduler.TakeOddTimes())
	g.logIsolation(g.scheduler.TakeIsolationChanges())
	for _, hello := range g.transport.Connected() {
		scope, planned := topology.Scopes[hello.Instance]
		if !planned {
			scope = wire.ScopeNone
		}
		p := g.peerStateOf(hello.Instance, hello.Incarnation)
		hb := common
		p.lastSentSeq++
		// The first heartbeat to a peer always lists all members.
		p.sentMembers.Fill(&hb, p.lastSentSeq, members, listMembers || p.lastSentSeq == 1)
		hb.Standby = topology.Standby[hello.Instance]
		scope = g.scopeInRound(p, hello.Instance, scope, hb.Standby)
		hb.Seq, hb.EchoSeq, hb.EchoIncarnation = p.lastSentSeq, p.lastReceivedSeq, p.incarnation
		p.sentAt[p.lastSentSeq%sentTimesKept] = now
		g.scheduler.FillHeartbeat(&hb, hello.Instance, scope)
		g.transport.SendHeartbeat(hello.Instance, &hb)
	}
}

// scopeInRound returns the scope of the heartbeat to a peer in the current round: wire.ScopeKept
// if the peer is not to get the sums in each round. g.mu must be held.
func (g *Gateway) scopeInRound(p *peerState, id fleet.InstanceID, scope wire.Scope, standby bool) wire.Scope {
	sums := scope == wire.ScopeRest || scope == wire.ScopeDataCentre
	due := (uint64(g.round)+membership.Hash(string(id)))%sumsEvery == 0
	if sums && scope == p.sentScope && !due && (standby || scope == wire.ScopeRest && g.scheduler.IsIdle(id)) {
		return wire.ScopeKept
	}
	p.sentScope = scope
	return scope
}

// peerStateOf returns the state of a peer's incarnation, creating it if necessary. g.mu
// must be held.
func (g *Gateway) peerStateOf(id fleet.InstanceID, incarnation fleet.Incarnation) *peerState {
	p := g.peers[id]
	if p == nil || p.incarnation != incarnation {
		p = &peerState{incarnation: incarnation}
		g.peers[id] = p
	}
	return p
}

// PeerHeartbeat implements peer.Handler.
func (g *Gateway) PeerHeartbeat(from wire.Hello, hb *wire.Heartbeat) {
	if hb.Incarnation != from.Incarnation {
		return
	}
	g.applyHeartbeat(from, hb)
	g.logExchangeChanges(g.scheduler.HandleHeartbeat(from, hb))
}

// applyHeartbeat applies the membership and the state of the records that a heartbeat
// reports. It ignores heartbeats that arrive out of order.
func (g *Gateway) applyHeartbeat(from wire.Hello, hb *wire.Heartbeat) {
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peerStateOf(from.Instance, from.Incarnation)
	if hb.Seq <= p.lastReceivedSeq {
		return
	}
	p.lastReceivedSeq = hb.Seq
	if p.receivedAt != 0 {
		g.metrics.recordDuration(g.metrics.heartbeatGap, now.Sub(p.receivedAt))
	}
	p.receivedAt = now
	if hb.EchoIncarnation == g.incarnation && hb.EchoSeq <= p.lastSentSeq && p.lastSentSeq-hb.EchoSeq < sentTimesKept {
		p.sentMembers.Acknowledge(hb.EchoSeq)
	}
	p.receivedMembers.Merge(g.roster, hb, now)
	g.roster.MarkSeen(from.Instance, from.Incarnation, now)
	reportedAt, dated := p.reportedAfter(hb, g.incarnation)
	if hb.Records != nil {
		g.applyRecordsState(from.Instance, p, hb, reportedAt, dated)
	}
	// A heartbeat that echoes none was created after this instance had started.
	g.noteConfigVersion(from.Instance, hb, max(reportedAt, g.startedAt), now)
}

// reportedAfter returns the sending time of the heartbeat that a peer's heartbeat echoes: it was
// created after that, however late it arrives. dated is false if it echoes none that is kept.
func (p *peerState) reportedAfter(hb *wire.Heartbeat, self fleet.Incarnation) (at clock.Instant, dated bool) {
	if hb.EchoIncarnation != self || hb.EchoSeq == 0 || hb.EchoSeq > p.lastSentSeq || p.lastSentSeq-hb.EchoSeq >= sentTimesKept {
		return 0, false
	}
	return p.sentAt[hb.EchoSeq%sentTimesKept], true
}

// applyRecordsState applies the state of the records that a peer reports, and fetches the
// records if the peer's are newer. A dated report was created after reportedAt, from which the time
// follows at which the peer's position was the newest. g.mu must be held.
func (g *Gateway) applyRecordsState(from fleet.InstanceID, p *peerState, hb *wire.Heartbeat, reportedAt clock.Instant, dated bool) {
	reported := records.NewPosition(hb.Records.Era, hb.Records.Revision)
	if dated {
		g.copy.Confirm(reported, reportedAt.Add(-time.Duration(hb.Records.AgeMillis)*time.Millisecond))
	}
	at, _ := g.copy.State()
	switch {
	case !reported.After(at):
		p.ahead = false
	case !p.ahead && g.reader.Load():
		// This instance's own watch may deliver the change before the next heartbeat.
		p.ahead = true
	case !g.fetching:
		g.fetching = true
		go g.fetchRecords(from)
	}
}

// fetchRecords fetches newer records from a peer and applies them.
func (g *Gateway) fetchRecords(from fleet.InstanceID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	had, _ := g.copy.State()
	began := g.options.Now()
	reply, err := g.transport.FetchConfig(ctx, from, &wire.ConfigRequest{CurrentEra: had.Era(), CurrentVersion: had.Revision()})
	if err == nil {
		err = g.applyConfigReply(had, reply)
	}
	log := g.options.Log.Info().Str("event", "records_from_peer").Str("peer", string(from)).
		Uint64("had_era", had.Era()).Uint64("had", had.Revision()).Int64("took_ms", sinceMillis(g.options.Now, began))
	if err != nil {
		log.Err(err).Msg("")
	} else {
		log.Uint64("era", reply.Era).Uint64("revision", reply.Version).Int("patches", len(reply.Patches)).Msg("")
	}
	g.mu.Lock()
	g.fetching = false
	g.mu.Unlock()
}

// applyConfigReply applies a peer's records to the copy, which was at the position had. The
// peer's next heartbeat confirms how recent they are.
func (g *Gateway) applyConfigReply(had records.Position, reply *wire.ConfigReply) error {
	at := records.NewPosition(reply.Era, reply.Version)
	if !at.After(had) {
		return nil
	}
	if len(reply.Patches) == 0 {
		all, err := records.Decode(reply.Text)
		if err == nil {
			g.copy.Replace(all, at, 0)
		}
		return err
	}
	var changes []records.Change
	for _, patch := range reply.Patches {
		more, err := records.DecodeChanges(patch)
		if err != nil {
			return err
		}
		changes = append(changes, more...)
	}
	g.copy.Apply(had, changes, at, 0)
	return nil
}

// PeerConfig implements peer.Handler. It returns the changes that the peer lacks, or all
// records if those changes are not kept.
func (g *Gateway) PeerConfig(_ wire.Hello, r *wire.ConfigRequest) (*wire.ConfigReply, error) {
	if r.InForce {
		return g.inForceReply(), nil
	}
	from := records.NewPosition(r.CurrentEra, r.CurrentVersion)
	if at, _ := g.copy.State(); !at.After(from) {
		return &wire.ConfigReply{}, nil
	}
	if changes, at, ok := g.copy.Since(from); ok {
		patch, err := records.EncodeChanges(changes)
		if err != nil {
			return nil, err
		}
		return &wire.ConfigReply{Era: at.Era(), Version: at.Revision(), Patches: [][]byte{patch}}, nil
	}
	at, text, err := g.copy.Encode()
	if err != nil {
		return nil, err
	}
	return &wire.ConfigReply{Era: at.Era(), Version: at.Revision(), Text: text}, nil
}

// PeerGrant implements peer.Handler. It does nothing, because gateways send no grants.
func (g *Gateway) PeerGrant(wire.Hello, *wire.Grant) {}

// PeerConnected implements peer.Handler.
func (g *Gateway) PeerConnected(from wire.Hello) {
	g.options.Log.Info().Str("event", "peer_connected").Str("peer", string(from.Instance)).
		Str("incarnation", from.Incarnation.String()).Msg("")
}

// PeerGone implements peer.Handler.
func (g *Gateway) PeerGone(from wire.Hello, err error) {
	g.options.Log.Info().Str("event", "peer_gone").Str("peer", string(from.Instance)).Err(err).Msg("")
}
