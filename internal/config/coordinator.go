package config

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// maxStaggerSteps bounds the wait before a fetch from another data centre, in
// multiples of the stagger.
const maxStaggerSteps = 10

// maxFetches is the number of fetches of content that may be under way at once.
const maxFetches = 3

// peerJob is one question to a peer.
type peerJob struct {
	peer    fleet.InstanceID
	request wire.ConfigRequest
}

// peerResult is the answer to a peerJob.
type peerResult struct {
	job   peerJob
	reply wire.ConfigReply
	err   error
}

// runPeerJobs puts questions to peers until the context ends.
func (w *Watcher) runPeerJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-w.jobs:
			result := w.runPeerJob(ctx, job)
			select {
			case <-ctx.Done():
				return
			case w.results <- result:
			}
		}
	}
}

func (w *Watcher) runPeerJob(ctx context.Context, job peerJob) peerResult {
	timeout := w.options.FetchTimeout
	if job.request.VersionOnly {
		timeout = w.options.VersionTimeout
	}
	askCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	w.counters.asks.Add(1)
	reply, err := w.fetcher.FetchConfig(askCtx, job.peer, job.request)
	return peerResult{job: job, reply: reply, err: err}
}

// peerState is what the coordinator knows of one peer.
type peerState struct {
	lastSeen time.Time
	version  uint64
	digest   string
	// inFlight says that a question is under way; none is put before next.
	inFlight  bool
	notBefore time.Time
}

// coordinator decides who reads, whom to ask and when the gate opens. It belongs
// to one goroutine.
type coordinator struct {
	w           *Watcher
	gate        *Gate
	start       time.Time
	order       []fleet.InstanceID
	dataCentres map[fleet.InstanceID]fleet.DataCentreID
	peers       map[fleet.InstanceID]*peerState

	// fetches counts the fetches of content under way, the last of which began at
	// fetchAt; whole says that the next one asks for the whole document, since a
	// patch was damaged. news is the highest version that
	// peers named, first named at newsAt.
	fetches   int
	lastFetch time.Time
	// lastOffer is when a peer's version last came into force or was refused.
	lastOffer   time.Time
	fetchWhole  bool
	wanted      uint64
	wantedSince time.Time
	// lastConflict is the last lastConflict that was logged.
	lastConflict Observation
	state        GateState
}

func newCoordinator(w *Watcher, now time.Time) *coordinator {
	return &coordinator{
		w: w, gate: NewGate(w.options.Gate, now), start: now,
		peers: make(map[fleet.InstanceID]*peerState),
	}
}

// setList takes a new list and forgets peers that are no longer on it.
func (c *coordinator) setList(list fleet.List) {
	c.order = readerOrder(list.Instances, c.w.options.DataCentre)
	c.dataCentres = make(map[fleet.InstanceID]fleet.DataCentreID, len(list.Instances))
	for _, instance := range list.Instances {
		c.dataCentres[instance.ID] = instance.DataCentre
	}
	for id := range c.peers {
		if _, listed := c.dataCentres[id]; !listed {
			delete(c.peers, id)
		}
	}
	c.gate.SetPeers(gatePeers(list.Instances, c.w.options.Self, c.w.options.DataCentre, c.w.options.Readers))
}

// lookupPeer returns what is known of a lookupPeer.
func (c *coordinator) lookupPeer(id fleet.InstanceID) *peerState {
	peer, known := c.peers[id]
	if !known {
		peer = &peerState{}
		c.peers[id] = peer
	}
	return peer
}

// observe takes a heartbeat's word and returns whether it is news.
func (c *coordinator) observe(o Observation, now time.Time) (wanted bool) {
	peer := c.lookupPeer(o.Peer)
	peer.lastSeen = now
	if o.Version != 0 {
		peer.version, peer.digest = o.Version, o.Digest
	}
	c.gate.RecordVersion(o.Version)
	if o.Version > c.wanted {
		c.wanted, c.wantedSince = o.Version, now
	}
	c.logConflict(o)
	return c.w.store.ShouldFetch(o.Version, o.Digest)
}

// logConflict logs that a peer has another document with the version in force,
// once for each version and digest.
func (c *coordinator) logConflict(o Observation) {
	current := c.w.store.Current()
	if current == nil || o.Version != current.Version || o.Digest == current.Digest {
		return
	}
	if c.lastConflict.Version == o.Version && c.lastConflict.Digest == o.Digest {
		return
	}
	c.lastConflict = o
	source := peerSource(o.Peer)
	c.w.recordOutcome(o.Version, source, Conflict, &ConflictError{
		Version: o.Version, Source: source, CurrentDigest: current.Digest, OfferedDigest: o.Digest,
	})
}

// handleResult takes a peer's answer.
func (c *coordinator) handleResult(result peerResult, now time.Time) {
	peer := c.lookupPeer(result.job.peer)
	peer.inFlight = false
	if !result.job.request.VersionOnly {
		c.fetches--
	}
	if result.err != nil {
		// The peer's next heartbeat names its version again.
		peer.version, peer.digest = 0, ""
		peer.notBefore = now.Add(c.w.options.FetchRetryDelay)
		return
	}
	reply := result.reply
	if result.job.request.VersionOnly {
		c.gate.RecordAnswer(result.job.peer, reply.Version, reply.Settled)
		c.observe(Observation{Peer: result.job.peer, Version: reply.Version, Digest: reply.Digest}, now)
		return
	}
	c.offerReply(result.job.peer, reply, peer, now)
}

// offerReply offers the content of a peer's answer to the store.
func (c *coordinator) offerReply(id fleet.InstanceID, reply wire.ConfigReply, peer *peerState, now time.Time) {
	size := len(reply.Text)
	for _, patch := range reply.Patches {
		size += len(patch)
	}
	c.w.counters.fetchedBytes.Add(int64(size))
	outcome, err := c.w.store.OfferReply(reply, peerSource(id))
	c.fetchWhole = errors.Is(err, ErrPatchDamaged)
	if outcome == Applied || outcome == Invalid {
		c.lastOffer = now
	}
	if outcome != Applied {
		peer.notBefore = now.Add(c.w.options.FetchRetryDelay)
	}
	if reply.Version == 0 {
		peer.version, peer.digest = 0, ""
	}
	c.w.recordOutcome(reply.Version, peerSource(id), outcome, err)
}

// step decides what follows from the present state.
func (c *coordinator) step(now time.Time) {
	rank := readerRank(c.order, c.w.options.Self, func(id fleet.InstanceID) bool { return c.unreachable(id, now) })
	c.w.setReader(len(c.order) == 0 || rank < c.w.options.Readers)
	c.fetchHighest(rank, now)
	if c.state.Open() {
		return
	}
	c.requestVersions(now)
	if state := c.gate.Update(now, c.w.store.Version()); state != c.state {
		c.state = state
		c.w.log.Info().Stringer("state", state).Bool("open", state.Open()).Msg("configuration gate")
	}
	if c.state.Open() {
		close(c.w.ready)
	}
}

// unreachable reports whether a peer has not been heard for too long. Before anything
// can have been heard, no peer is unreachable.
func (c *coordinator) unreachable(id fleet.InstanceID, now time.Time) bool {
	lastSeen := c.start
	if peer, known := c.peers[id]; known && peer.lastSeen.After(lastSeen) {
		lastSeen = peer.lastSeen
	}
	return now.Sub(lastSeen) > c.w.options.UnreachableAfter
}

// requestVersions asks the peers that the gate waits for.
func (c *coordinator) requestVersions(now time.Time) {
	for _, id := range c.gate.Unanswered() {
		c.enqueue(peerJob{peer: id, request: wire.ConfigRequest{VersionOnly: true}}, now)
	}
}

// enqueue queues a question unless one to that peer is under way, or it is too early,
// or the queue is full.
func (c *coordinator) enqueue(job peerJob, now time.Time) bool {
	peer := c.lookupPeer(job.peer)
	if peer.inFlight || now.Before(peer.notBefore) {
		return false
	}
	select {
	case c.w.jobs <- job:
		peer.inFlight = true
		return true
	default:
		return false
	}
}

// fetchHighest fetches the highest version that a peer named, within the data centre
// at once and from another one in the readers' order, so that the content crosses
// into the data centre once. While an answer is late it asks another peer too.
func (c *coordinator) fetchHighest(rank int, now time.Time) {
	if c.wanted <= c.w.store.Version() {
		return
	}
	if now.Sub(c.lastOffer) < c.w.options.MinReadInterval {
		return
	}
	if c.fetches >= maxFetches || c.fetches > 0 && now.Sub(c.lastFetch) < c.w.options.HedgeDelay {
		return
	}
	id, found := c.bestPeer(now)
	if !found {
		return
	}
	if c.dataCentres[id] != c.w.options.DataCentre {
		due := c.wantedSince.Add(time.Duration(min(rank, maxStaggerSteps)) * c.w.options.FetchStagger)
		if now.Before(due) {
			return
		}
	}
	request := c.w.store.Request()
	if c.fetchWhole {
		request = wire.ConfigRequest{}
	}
	if c.enqueue(peerJob{peer: id, request: request}, now) {
		c.fetches++
		c.lastFetch = now
	}
}

// bestPeer returns a peer with the highest version that is wanted, one of the own
// data centre before others, and among equals one at random.
func (c *coordinator) bestPeer(now time.Time) (best fleet.InstanceID, found bool) {
	var bestVersion uint64
	bestLocal := false
	ties := 0
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		peer := c.peers[id]
		if peer.inFlight || now.Before(peer.notBefore) || !c.w.store.ShouldFetch(peer.version, peer.digest) {
			continue
		}
		local := c.dataCentres[id] == c.w.options.DataCentre
		better := peer.version > bestVersion || peer.version == bestVersion && local && !bestLocal
		tie := peer.version == bestVersion && local == bestLocal
		if !better && !tie {
			continue
		}
		if better {
			ties = 0
		}
		ties++
		if better || c.w.fetchRand.IntN(ties) == 0 {
			best, bestVersion, bestLocal = id, peer.version, local
		}
	}
	return best, ties > 0
}

func peerSource(id fleet.InstanceID) string { return "peer " + string(id) }
