package gateway

import (
	"context"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// sentMemory is the number of heartbeats to a peer whose sending times are kept, so
// that an echo can be dated: over ten seconds.
const sentMemory = 64

// fetchTimeout bounds one fetch of the records from a peer.
const fetchTimeout = 1500 * time.Millisecond

// heardPeer is what is known of the exchange with one peer.
type heardPeer struct {
	incarnation fleet.Incarnation
	// seq is the highest heartbeat heard, sentSeq the last one sent.
	seq, sentSeq uint64
	sentAt       [sentMemory]clock.Instant
	// behind says that the last heartbeat told of newer records than this instance's.
	behind bool
}

// sendHeartbeats tells all connected peers this instance's state.
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

// membersEvery is how many heartbeats pass between two that tell of all members, where
// the fleet is too large to do so each time.
const membersEvery = 3

// sendRound renews the view of the fleet and sends one heartbeat to each peer.
func (g *Gateway) sendRound() {
	now := g.options.Now()
	state := wire.Heartbeat{Incarnation: g.incarnation, Leaving: g.leaving.Load()}
	if revision, at := g.copy.State(); revision > 0 && at != 0 {
		state.Records = &wire.RecordsState{Revision: revision, AgeMillis: now.Sub(at).Milliseconds() + 1}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetSelf(g.leaving.Load(), !g.isReady())
	alive := g.roster.Alive(now)
	topology := roster.Plan(fleet.InstanceID(g.options.Settings.PeerAddr), g.options.Settings.DataCentre, alive)
	if g.round++; len(alive) <= roster.MaxMeshSize || g.round%membersEvery == 0 {
		state.Members = g.roster.WireMembers(now)
	}
	g.relay.Store(topology.Relay)
	g.reader.Store(topology.Reader)
	g.hasPeers.Store(len(alive) > 1)
	g.transport.SetPeers(g.roster.Peers(topology, now))
	g.scheduler.SetAlive(alive)
	for _, hello := range g.transport.Connected() {
		scope, planned := topology.Scopes[hello.Instance]
		if !planned {
			scope = wire.ScopeNone
		}
		p := g.peerOf(hello.Instance, hello.Incarnation)
		hb := state
		if p.sentSeq == 0 {
			// A newcomer learns the fleet at once.
			hb.Members = g.roster.WireMembers(now)
		}
		p.sentSeq++
		hb.Seq, hb.EchoSeq, hb.EchoIncarnation = p.sentSeq, p.seq, p.incarnation
		p.sentAt[p.sentSeq%sentMemory] = now
		g.scheduler.Describe(&hb, hello.Instance, scope)
		g.transport.SendHeartbeat(hello.Instance, &hb)
	}
}

// peerOf returns the exchange with a peer's incarnation. The mutex is held.
func (g *Gateway) peerOf(id fleet.InstanceID, incarnation fleet.Incarnation) *heardPeer {
	p := g.heard[id]
	if p == nil || p.incarnation != incarnation {
		p = &heardPeer{incarnation: incarnation}
		g.heard[id] = p
	}
	return p
}

// PeerHeartbeat implements peer.Handler.
func (g *Gateway) PeerHeartbeat(from wire.Hello, hb *wire.Heartbeat) {
	if hb.Incarnation != from.Incarnation {
		return
	}
	g.hearMembers(from, hb)
	g.scheduler.Hear(from, hb)
}

// hearMembers takes in the membership and the state of the records.
func (g *Gateway) hearMembers(from wire.Hello, hb *wire.Heartbeat) {
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peerOf(from.Instance, from.Incarnation)
	if hb.Seq <= p.seq {
		return
	}
	p.seq = hb.Seq
	g.roster.Merge(hb.Members, now)
	g.roster.MarkSeen(from.Instance, from.Incarnation, now)
	if hb.Records != nil {
		g.hearRecords(from.Instance, p, hb, now)
	}
}

// hearRecords dates a peer's knowledge of the records by the heartbeat that it echoes:
// it was formed after that one was sent, however late the answer arrives.
func (g *Gateway) hearRecords(from fleet.InstanceID, p *heardPeer, hb *wire.Heartbeat, now clock.Instant) {
	if hb.EchoIncarnation == g.incarnation && hb.EchoSeq > 0 && hb.EchoSeq <= p.sentSeq && p.sentSeq-hb.EchoSeq < sentMemory {
		formed := p.sentAt[hb.EchoSeq%sentMemory]
		g.copy.Confirm(hb.Records.Revision, formed.Add(-time.Duration(hb.Records.AgeMillis)*time.Millisecond))
	}
	revision, _ := g.copy.State()
	switch {
	case hb.Records.Revision <= revision:
		p.behind = false
	case !p.behind && g.reader.Load():
		// The platform may be about to tell this instance as well.
		p.behind = true
	case !g.fetching:
		g.fetching = true
		go g.fetchRecords(from)
	}
}

// fetchRecords takes over the records of a peer.
func (g *Gateway) fetchRecords(from fleet.InstanceID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	revision, _ := g.copy.State()
	reply, err := g.transport.FetchConfig(ctx, from, &wire.ConfigRequest{CurrentVersion: revision})
	if err == nil && reply.Version > revision {
		err = g.takeOver(revision, reply)
	}
	log := g.options.Log.Info().Str("event", "records_from_peer").Str("peer", string(from)).Uint64("had", revision)
	if err != nil {
		log.Err(err).Msg("")
	} else {
		log.Uint64("revision", reply.Version).Int("patches", len(reply.Patches)).Msg("")
	}
	g.mu.Lock()
	g.fetching = false
	g.mu.Unlock()
}

// takeOver puts a peer's records in the copy. How old the peer's knowledge is comes with
// its next heartbeat.
func (g *Gateway) takeOver(revision uint64, reply *wire.ConfigReply) error {
	if len(reply.Patches) == 0 {
		all, err := records.Decode(reply.Text)
		if err == nil {
			g.copy.Replace(all, reply.Version, 0)
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
	g.copy.Apply(revision, changes, reply.Version, 0)
	return nil
}

// PeerConfig implements peer.Handler: the changes that the peer lacks, or everything if
// they are no longer known.
func (g *Gateway) PeerConfig(_ wire.Hello, r *wire.ConfigRequest) (*wire.ConfigReply, error) {
	revision, _ := g.copy.State()
	if revision <= r.CurrentVersion {
		return &wire.ConfigReply{}, nil
	}
	if changes, revision, ok := g.copy.Since(r.CurrentVersion); ok {
		patch, err := records.EncodeChanges(changes)
		if err != nil {
			return nil, err
		}
		return &wire.ConfigReply{Version: revision, Patches: [][]byte{patch}}, nil
	}
	revision, text, err := g.copy.Encode()
	if err != nil {
		return nil, err
	}
	return &wire.ConfigReply{Version: revision, Text: text}, nil
}

// PeerGrant implements peer.Handler; instances of a gateway send no grants.
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
