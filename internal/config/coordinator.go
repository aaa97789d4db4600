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
// multiples of Options.FetchStagger.
const maxStaggerSteps = 10

// maxFetches is the maximum number of concurrent fetches of content.
const maxFetches = 3

// peerJob is one request to a peer.
type peerJob struct {
	peer    fleet.InstanceID
	request wire.ConfigRequest
}

// peerResult is the result of a peerJob.
type peerResult struct {
	job   peerJob
	reply wire.ConfigReply
	err   error
}

// runPeerJobs sends queued requests to peers until ctx is done.
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

// runPeerJob sends one request to a peer and waits for the reply, the timeout or
// the end of ctx.
func (w *Watcher) runPeerJob(ctx context.Context, job peerJob) peerResult {
	timeout := w.options.FetchTimeout
	if job.request.VersionOnly {
		timeout = w.options.VersionTimeout
	}
	jobCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	w.counters.peerRequests.Add(1)
	reply, err := w.fetcher.FetchConfig(jobCtx, job.peer, job.request)
	return peerResult{job: job, reply: reply, err: err}
}

// peerState is the coordinator's state for one peer.
type peerState struct {
	lastSeen time.Time
	version  uint64
	digest   string
	// inFlight is set while a request to the peer is queued or running. The next
	// request is not queued before notBefore.
	inFlight  bool
	notBefore time.Time
}

// coordinator decides whether this instance watches the configuration service,
// which peers receive requests and when the gate opens. It is confined to one
// goroutine.
type coordinator struct {
	w           *Watcher
	gate        *Gate
	start       time.Time
	order       []fleet.InstanceID
	dataCentres map[fleet.InstanceID]fleet.DataCentreID
	peers       map[fleet.InstanceID]*peerState

	// fetches is the number of content fetches in flight, and lastFetch is when the
	// latest was queued. fetchWhole makes the next one request the whole document,
	// because a patch was damaged. wanted is the highest version that peers reported,
	// and wantedSince is when it was first reported.
	fetches   int
	lastFetch time.Time
	// lastOffer is when a peer's version last came into force or was found invalid.
	lastOffer   time.Time
	fetchWhole  bool
	wanted      uint64
	wantedSince time.Time
	// lastConflict is the latest conflict that was logged.
	lastConflict Observation
	state        GateState
}

func newCoordinator(w *Watcher, now time.Time) *coordinator {
	return &coordinator{
		w: w, gate: NewGate(w.options.Gate, now), start: now,
		peers: make(map[fleet.InstanceID]*peerState),
	}
}

// setList applies a new list and removes the state of peers that are no longer on
// it.
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

// lookupPeer returns the state of a peer, which it creates if there is none.
func (c *coordinator) lookupPeer(id fleet.InstanceID) *peerState {
	peer, known := c.peers[id]
	if !known {
		peer = &peerState{}
		c.peers[id] = peer
	}
	return peer
}

// observe records the version that a peer reported and returns whether this
// version should be fetched.
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

// logConflict logs that a peer has a different document under the version in
// force, once for each version and digest.
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

// handleResult processes the result of a request to a peer.
func (c *coordinator) handleResult(result peerResult, now time.Time) {
	peer := c.lookupPeer(result.job.peer)
	peer.inFlight = false
	if !result.job.request.VersionOnly {
		c.fetches--
	}
	if result.err != nil {
		// The peer's next heartbeat reports its version again.
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

// offerReply offers the content of a peer's reply to the store.
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

// step updates the reader role, starts the requests that are due and opens the
// gate once its conditions are met.
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
		c.w.log.Info().Stringer("state", state).Bool("open", state.Open()).Msg("configuration gate changed state")
	}
	if c.state.Open() {
		close(c.w.ready)
	}
}

// unreachable reports whether nothing has been received from a peer for longer
// than Options.UnreachableAfter. The time is counted from the coordinator's start at
// the earliest.
func (c *coordinator) unreachable(id fleet.InstanceID, now time.Time) bool {
	lastSeen := c.start
	if peer, known := c.peers[id]; known && peer.lastSeen.After(lastSeen) {
		lastSeen = peer.lastSeen
	}
	return now.Sub(lastSeen) > c.w.options.UnreachableAfter
}

// requestVersions requests the versions of the peers that the gate waits for.
func (c *coordinator) requestVersions(now time.Time) {
	for _, id := range c.gate.Unanswered() {
		c.enqueue(peerJob{peer: id, request: wire.ConfigRequest{VersionOnly: true}}, now)
	}
}

// enqueue queues a request and returns true, unless one to that peer is in flight,
// its retry delay has not passed, or the queue is full.
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

// fetchHighest fetches the highest version that a peer reported. It fetches from a
// peer in the same data centre at once. Fetches from another data centre are
// staggered in the readers' order, so that the content is transferred into the data
// centre only once. If a reply takes longer than Options.HedgeDelay, another peer is
// asked as well.
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

// bestPeer returns a peer with the highest version that should be fetched. It
// prefers peers of the local data centre and breaks ties at random.
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

// peerSource returns the source of versions that come from a peer.
func peerSource(id fleet.InstanceID) string { return "peer " + string(id) }
