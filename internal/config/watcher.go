package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Source is the platform's configuration service.
type Source interface {
	// Config waits until there is a version higher than after and returns it with its
	// value, which is plain or gzip-compressed text. It may return earlier with a
	// version that is not higher than after. It returns when ctx is done.
	Config(ctx context.Context, after uint64) (version uint64, value []byte, err error)
}

// PeerFetcher requests the configuration of another instance.
type PeerFetcher interface {
	FetchConfig(ctx context.Context, peer fleet.InstanceID, request wire.ConfigRequest) (wire.ConfigReply, error)
}

// Options holds the identity, the timeouts and the callback of a Watcher.
type Options struct {
	Self       fleet.InstanceID
	DataCentre fleet.DataCentreID
	// Readers is the number of instances in each data centre that watch the
	// configuration service.
	Readers int
	// WatchTimeout bounds one read of the configuration service by a reader, which
	// waits for a new version.
	WatchTimeout time.Duration
	// MinReadInterval is the least time between two reads by one instance, and
	// between two versions that it takes from peers, so that bursts of changes are
	// coalesced.
	MinReadInterval time.Duration
	// FallbackInterval is the mean time between two reads by an instance that is not
	// a reader. FallbackTimeout bounds such a read.
	FallbackInterval time.Duration
	FallbackTimeout  time.Duration
	// BackoffMin and BackoffMax bound the exponential backoff after failed reads.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// UnreachableAfter is the time without contact after which a peer no longer
	// counts as a reader.
	UnreachableAfter time.Duration
	// FetchStagger is the additional time that each instance in the readers' order
	// waits, compared with its predecessor, before it fetches a version from another
	// data centre.
	FetchStagger time.Duration
	// HedgeDelay is how long a fetch of content may take before another peer is
	// asked as well.
	HedgeDelay time.Duration
	// VersionTimeout bounds a request for a peer's version and FetchTimeout a request
	// for content. FetchRetryDelay is the wait before the next request to a peer after
	// a failed one.
	VersionTimeout  time.Duration
	FetchTimeout    time.Duration
	FetchRetryDelay time.Duration
	Gate            GateConfig
	// OnRefused is called for each version that was rejected. It may be nil. It is
	// called from the watcher's goroutines and must be safe for concurrent use.
	OnRefused func(Refusal)
}

// Refusal describes a version that was rejected.
type Refusal struct {
	Version uint64
	Source  string
	// Outcome is Conflict or Invalid.
	Outcome Outcome
	Err     error
}

// DefaultOptions returns the default options, with the identity left empty.
func DefaultOptions() Options {
	return Options{
		Readers:          2,
		WatchTimeout:     10 * time.Second,
		MinReadInterval:  1500 * time.Millisecond,
		FallbackInterval: 30 * time.Second,
		FallbackTimeout:  time.Second,
		BackoffMin:       250 * time.Millisecond,
		BackoffMax:       5 * time.Second,
		UnreachableAfter: 2 * time.Second,
		FetchStagger:     200 * time.Millisecond,
		HedgeDelay:       500 * time.Millisecond,
		VersionTimeout:   time.Second,
		FetchTimeout:     2 * time.Second,
		FetchRetryDelay:  250 * time.Millisecond,
		Gate:             GateConfig{StartWait: 3 * time.Second, MaxWait: 15 * time.Second},
	}
}

// Channel capacities, the number of workers that send requests to peers, and the
// interval of the coordinator's steps.
const (
	observationCapacity = 256
	peerJobCapacity     = 64
	peerWorkers         = 32
	stepInterval        = 100 * time.Millisecond
)

// Observation is the configuration version that a peer's heartbeat reports.
type Observation struct {
	Peer fleet.InstanceID
	// Version is 0 if the heartbeat leaves it out. The observation then only shows
	// that the peer is alive, and the version reported before still holds.
	Version uint64
	Digest  string
}

// Stats holds a Watcher's counters since its start.
type Stats struct {
	// Reads counts calls to the configuration service, and ReadErrors those that
	// failed.
	Reads      int64
	ReadErrors int64
	// PeerRequests counts requests to peers, and FetchedBytes the bytes of content
	// received from them.
	PeerRequests int64
	FetchedBytes int64
	// Applied, Conflicts and Invalid count offered versions by outcome.
	Applied   int64
	Conflicts int64
	Invalid   int64
	// Dropped counts observations that found their channel full.
	Dropped int64
}

// Watcher keeps a Store up to date from the configuration service and from peers.
// Its methods may be called from any goroutine.
type Watcher struct {
	options Options
	store   *Store
	source  Source
	fetcher PeerFetcher
	log     zerolog.Logger

	lists        chan fleet.List
	observations chan Observation
	wakeup       chan struct{}
	jobs         chan peerJob
	results      chan peerResult
	ready        chan struct{}

	reader atomic.Bool
	// roleChanged wakes the watch goroutine after reader has become true.
	roleChanged chan struct{}

	counters struct {
		reads, readErrors, peerRequests, fetchedBytes, applied, conflicts, invalid, dropped atomic.Int64
	}

	// highestInvalid is the highest version from the configuration service that was
	// invalid. It and watchRand are used by the watch goroutine only, fetchRand by the
	// coordinator only.
	highestInvalid uint64
	watchRand      *rand.Rand
	fetchRand      *rand.Rand
}

// NewWatcher returns a watcher that does nothing until Run is called. random only
// seeds the watcher's own generators and is not used after NewWatcher returns.
func NewWatcher(options Options, store *Store, source Source, fetcher PeerFetcher, random *rand.Rand, log zerolog.Logger) *Watcher {
	return &Watcher{
		options: options, store: store, source: source, fetcher: fetcher, log: log,
		lists:        make(chan fleet.List, 1),
		observations: make(chan Observation, observationCapacity),
		wakeup:       make(chan struct{}, 1),
		jobs:         make(chan peerJob, peerJobCapacity),
		results:      make(chan peerResult, peerJobCapacity),
		ready:        make(chan struct{}),
		roleChanged:  make(chan struct{}, 1),
		watchRand:    rand.New(rand.NewPCG(random.Uint64(), 1)),
		fetchRand:    rand.New(rand.NewPCG(random.Uint64(), 2)),
	}
}

// SetList passes the latest list to the coordinator and replaces one that it has not
// read yet. It does not block.
func (w *Watcher) SetList(list fleet.List) {
	for {
		select {
		case w.lists <- list:
			return
		default:
		}
		select {
		case <-w.lists:
		default:
		}
	}
}

// Observe passes an observation to the coordinator and must be called for every
// heartbeat of a peer. It does not block: if the channel is full, the observation is
// dropped and counted.
func (w *Watcher) Observe(observation Observation) {
	select {
	case w.observations <- observation:
	default:
		w.counters.dropped.Add(1)
	}
}

// Ready returns a channel that is closed once this instance may take new work.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Settled reports whether this instance may take new work.
func (w *Watcher) Settled() bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

// Stats returns the current counters.
func (w *Watcher) Stats() Stats {
	c := &w.counters
	return Stats{
		Reads: c.reads.Load(), ReadErrors: c.readErrors.Load(),
		PeerRequests: c.peerRequests.Load(), FetchedBytes: c.fetchedBytes.Load(),
		Applied: c.applied.Load(), Conflicts: c.conflicts.Load(), Invalid: c.invalid.Load(),
		Dropped: c.dropped.Load(),
	}
}

// Run runs the watcher until ctx is done, and returns after its goroutines have
// ended.
func (w *Watcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { w.watch(ctx) })
	for range peerWorkers {
		group.Go(func() { w.runPeerJobs(ctx) })
	}
	w.coordinate(ctx)
	group.Wait()
}

// coordinate runs the coordinator: it passes on lists, observations and results. It
// runs a step after each of them, except observations of versions that should not be
// fetched, and at least every stepInterval.
func (w *Watcher) coordinate(ctx context.Context) {
	c := newCoordinator(w, time.Now())
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-w.lists:
			c.setList(list)
		case observation := <-w.observations:
			if !c.observe(observation, time.Now()) {
				continue
			}
		case result := <-w.results:
			c.handleResult(result, time.Now())
		case <-w.wakeup:
		case <-ticker.C:
		}
		c.step(time.Now())
	}
}

// recordOutcome counts and logs the outcome of an offered version, and calls
// OnRefused for a rejected one.
func (w *Watcher) recordOutcome(version uint64, source string, outcome Outcome, err error) {
	event := w.log.Debug()
	switch {
	case outcome == Applied:
		w.counters.applied.Add(1)
		event = w.log.Info().Str("digest", w.store.Current().Digest)
	case outcome == Conflict:
		w.counters.conflicts.Add(1)
		event = w.log.Error()
	case outcome == Invalid:
		w.counters.invalid.Add(1)
		event = w.log.Error()
	}
	if w.options.OnRefused != nil && (outcome == Conflict || outcome == Invalid) {
		w.options.OnRefused(Refusal{Version: version, Source: source, Outcome: outcome, Err: err})
	}
	event.Uint64("version", version).Str("source", source).
		Stringer("outcome", outcome).Err(err).Msg("configuration offered")
}
