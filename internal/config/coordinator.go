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

// maxStaggered bounds the wait before a fetch from another data centre, in
// multiples of the stagger.
const maxStaggered = 10

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

// askPeers puts questions to peers until the context ends.
func (w *Watcher) askPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-w.jobs:
			result := w.ask(ctx, job)
			select {
			case <-ctx.Done():
				return
			case w.results <- result:
			}
		}
	}
}

func (w *Watcher) ask(ctx context.Context, job peerJob) peerResult {
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

// peerView is what the coordinator knows of one peer.
type peerView struct {
	heard   time.Time
	version uint64
	digest  string
	// asking says that a question is under way; none is put before next.
	asking bool
	next   time.Time
}

// coordinator decides who reads, whom to ask and when the gate opens. It belongs
// to one goroutine.
type coordinator struct {
	w     *Watcher
	gate  *Gate
	start time.Time
	order []fleet.InstanceID
	dcs   map[fleet.InstanceID]fleet.DataCentreID
	peers map[fleet.InstanceID]*peerView

	// fetching counts the fetches of content under way, the last of which began at
	// fetchAt; whole says that the next one asks for the whole document, since a
	// patch was damaged. news is the highest version that
	// peers named, first named at newsAt.
	fetching int
	fetchAt  time.Time
	// takenAt is when a peer's version last came into force or was refused.
	takenAt time.Time
	whole   bool
	news    uint64
	newsAt  time.Time
	// conflict is the last conflict that was logged.
	conflict Observation
	state    GateState
}

func newCoordinator(w *Watcher, now time.Time) *coordinator {
	return &coordinator{
		w: w, gate: NewGate(w.options.Gate, now), start: now,
		peers: make(map[fleet.InstanceID]*peerView),
	}
}

// setList takes a new list and forgets peers that are no longer on it.
func (c *coordinator) setList(list fleet.List) {
	c.order = readerOrder(list.Instances, c.w.options.DataCentre)
	c.dcs = make(map[fleet.InstanceID]fleet.DataCentreID, len(list.Instances))
	for _, instance := range list.Instances {
		c.dcs[instance.ID] = instance.DataCentre
	}
	for id := range c.peers {
		if _, listed := c.dcs[id]; !listed {
			delete(c.peers, id)
		}
	}
	c.gate.SetPeers(gatePeers(list.Instances, c.w.options.Self, c.w.options.DataCentre, c.w.options.Readers))
}

// view returns what is known of a peer.
func (c *coordinator) view(id fleet.InstanceID) *peerView {
	peer, known := c.peers[id]
	if !known {
		peer = &peerView{}
		c.peers[id] = peer
	}
	return peer
}

// observe takes a heartbeat's word and returns whether it is news.
func (c *coordinator) observe(o Observation, now time.Time) (news bool) {
	peer := c.view(o.Peer)
	peer.heard = now
	if o.Version != 0 {
		peer.version, peer.digest = o.Version, o.Digest
	}
	c.gate.RecordVersion(o.Version)
	if o.Version > c.news {
		c.news, c.newsAt = o.Version, now
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
	if c.conflict.Version == o.Version && c.conflict.Digest == o.Digest {
		return
	}
	c.conflict = o
	source := peerSource(o.Peer)
	c.w.offered(o.Version, source, Conflict, &ConflictError{
		Version: o.Version, Source: source, CurrentDigest: current.Digest, OfferedDigest: o.Digest,
	})
}

// finish takes a peer's answer.
func (c *coordinator) finish(result peerResult, now time.Time) {
	peer := c.view(result.job.peer)
	peer.asking = false
	if !result.job.request.VersionOnly {
		c.fetching--
	}
	if result.err != nil {
		// The peer's next heartbeat names its version again.
		peer.version, peer.digest = 0, ""
		peer.next = now.Add(c.w.options.FetchRetryDelay)
		return
	}
	reply := result.reply
	if result.job.request.VersionOnly {
		c.gate.RecordAnswer(result.job.peer, reply.Version, reply.Settled)
		c.observe(Observation{Peer: result.job.peer, Version: reply.Version, Digest: reply.Digest}, now)
		return
	}
	c.take(result.job.peer, reply, peer, now)
}

// take offers the content of a peer's answer to the store.
func (c *coordinator) take(id fleet.InstanceID, reply wire.ConfigReply, peer *peerView, now time.Time) {
	size := len(reply.Text)
	for _, patch := range reply.Patches {
		size += len(patch)
	}
	c.w.counters.fetchedBytes.Add(int64(size))
	outcome, err := c.w.store.OfferReply(reply, peerSource(id))
	c.whole = errors.Is(err, ErrPatchDamaged)
	if outcome == Applied || outcome == Invalid {
		c.takenAt = now
	}
	if outcome != Applied {
		peer.next = now.Add(c.w.options.FetchRetryDelay)
	}
	if reply.Version == 0 {
		peer.version, peer.digest = 0, ""
	}
	c.w.offered(reply.Version, peerSource(id), outcome, err)
}

// step decides what follows from the present state.
func (c *coordinator) step(now time.Time) {
	rank := readerRank(c.order, c.w.options.Self, func(id fleet.InstanceID) bool { return c.silent(id, now) })
	c.w.setReader(len(c.order) == 0 || rank < c.w.options.Readers)
	c.planFetch(rank, now)
	if c.state.Open() {
		return
	}
	c.askUnanswered(now)
	if state := c.gate.Update(now, c.w.store.Version()); state != c.state {
		c.state = state
		c.w.log.Info().Stringer("state", state).Bool("open", state.Open()).Msg("configuration gate")
	}
	if c.state.Open() {
		close(c.w.ready)
	}
}

// silent reports whether a peer has not been heard for too long. Before anything
// can have been heard, no peer is silent.
func (c *coordinator) silent(id fleet.InstanceID, now time.Time) bool {
	heard := c.start
	if peer, known := c.peers[id]; known && peer.heard.After(heard) {
		heard = peer.heard
	}
	return now.Sub(heard) > c.w.options.UnreachableAfter
}

// askUnanswered asks the peers that the gate waits for.
func (c *coordinator) askUnanswered(now time.Time) {
	for _, id := range c.gate.Unanswered() {
		c.put(peerJob{peer: id, request: wire.ConfigRequest{VersionOnly: true}}, now)
	}
}

// put queues a question unless one to that peer is under way, or it is too early,
// or the queue is full.
func (c *coordinator) put(job peerJob, now time.Time) bool {
	peer := c.view(job.peer)
	if peer.asking || now.Before(peer.next) {
		return false
	}
	select {
	case c.w.jobs <- job:
		peer.asking = true
		return true
	default:
		return false
	}
}

// planFetch fetches the highest version that a peer named, within the data centre
// at once and from another one in the readers' order, so that the content crosses
// into the data centre once. While an answer is late it asks another peer too.
func (c *coordinator) planFetch(rank int, now time.Time) {
	if c.news <= c.w.store.Version() {
		return
	}
	if now.Sub(c.takenAt) < c.w.options.MinReadInterval {
		return
	}
	if c.fetching >= maxFetches || c.fetching > 0 && now.Sub(c.fetchAt) < c.w.options.HedgeDelay {
		return
	}
	id, known := c.bestPeer(now)
	if !known {
		return
	}
	if c.dcs[id] != c.w.options.DataCentre {
		due := c.newsAt.Add(time.Duration(min(rank, maxStaggered)) * c.w.options.FetchStagger)
		if now.Before(due) {
			return
		}
	}
	request := c.w.store.Request()
	if c.whole {
		request = wire.ConfigRequest{}
	}
	if c.put(peerJob{peer: id, request: request}, now) {
		c.fetching++
		c.fetchAt = now
	}
}

// bestPeer returns a peer with the highest version that is wanted, one of the own
// data centre before others, and among equals one at random.
func (c *coordinator) bestPeer(now time.Time) (best fleet.InstanceID, known bool) {
	var bestVersion uint64
	bestOwn := false
	equals := 0
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		peer := c.peers[id]
		if peer.asking || now.Before(peer.next) || !c.w.store.ShouldFetch(peer.version, peer.digest) {
			continue
		}
		own := c.dcs[id] == c.w.options.DataCentre
		better := peer.version > bestVersion || peer.version == bestVersion && own && !bestOwn
		equal := peer.version == bestVersion && own == bestOwn
		if !better && !equal {
			continue
		}
		if better {
			equals = 0
		}
		equals++
		if better || c.w.fetchRand.IntN(equals) == 0 {
			best, bestVersion, bestOwn = id, peer.version, own
		}
	}
	return best, equals > 0
}

func peerSource(id fleet.InstanceID) string { return "peer " + string(id) }
