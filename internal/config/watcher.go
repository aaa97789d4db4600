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
	// Config waits until there is a version above after and returns it with its
	// value, text or gzip. It may return earlier with a version that is not above
	// after. It ends with the context.
	Config(ctx context.Context, after uint64) (version uint64, value []byte, err error)
}

// PeerFetcher asks another instance for its configuration.
type PeerFetcher interface {
	FetchConfig(ctx context.Context, peer fleet.InstanceID, request wire.ConfigRequest) (wire.ConfigReply, error)
}

// Options are the identity and the times of a Watcher.
type Options struct {
	Self       fleet.InstanceID
	DataCentre fleet.DataCentreID
	// Readers is the number of instances of a data centre that watch the
	// configuration service.
	Readers int
	// WatchTimeout is how long one watch may wait.
	WatchTimeout time.Duration
	// MinReadInterval is the least time between two reads of one instance, and between two
	// versions that it takes from peers: changes that bunch are one.
	MinReadInterval time.Duration
	// FallbackInterval is the mean time between two reads of an instance that is no
	// reader; such a read waits no longer than FallbackWait.
	FallbackInterval time.Duration
	FallbackTimeout  time.Duration
	// BackoffMin and BackoffMax bound the wait after failed reads, which doubles.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// UnreachableAfter is the silence after which a peer no longer counts as a reader.
	UnreachableAfter time.Duration
	// FetchStagger is how much longer each next instance in the readers' order
	// waits before it fetches a version from another data centre.
	FetchStagger time.Duration
	// HedgeDelay is how long a peer may take to answer with content before another
	// one is asked as well.
	HedgeDelay time.Duration
	// VersionTimeout bounds one question for a peer's version, FetchTimeout one for
	// content, and FetchRetry is the wait after one that failed.
	VersionTimeout  time.Duration
	FetchTimeout    time.Duration
	FetchRetryDelay time.Duration
	Gate            GateConfig
	// OnRefused is told of each version that was not taken; may be nil. It is called
	// from the watcher's goroutines.
	OnRefused func(Refusal)
}

// Refusal is a version that was not taken.
type Refusal struct {
	Version uint64
	Source  string
	// Outcome is Conflict or Invalid.
	Outcome Outcome
	Err     error
}

// DefaultOptions returns the options without identity.
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

// Capacities and the period of the coordinator.
const (
	observationCapacity = 256
	peerJobCapacity     = 64
	peerWorkers         = 32
	stepInterval        = 100 * time.Millisecond
)

// Observation is the configuration that a peer's heartbeat names.
type Observation struct {
	Peer fleet.InstanceID
	// Version is 0 if the heartbeat leaves it out; it then only shows that the peer
	// lives, and the version named before still counts.
	Version uint64
	Digest  string
}

// Stats counts what a Watcher did since its start.
type Stats struct {
	// Reads counts calls of the configuration service, and ReadErrors those that
	// failed.
	Reads      int64
	ReadErrors int64
	// PeerRequests counts questions to peers, and FetchedBytes the content they brought.
	PeerRequests int64
	FetchedBytes int64
	// Applied, Conflicts and Invalid count versions by their outcome.
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
	// roleChanged wakes the watch after reader has become true.
	roleChanged chan struct{}

	counters struct {
		reads, readErrors, asks, fetchedBytes, applied, conflicts, invalid, dropped atomic.Int64
	}

	// highestInvalid is the highest version of the service that was invalid. It and
	// watchRand belong to the watch; fetchRand belongs to the coordinator.
	highestInvalid uint64
	watchRand      *rand.Rand
	fetchRand      *rand.Rand
}

// NewWatcher returns a watcher that does nothing until Run. The random source is
// read here only.
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

// SetList gives the latest list. It does not block.
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

// Observe takes what a peer's heartbeat says, and is to be called for each one. It does not block; an observation
// that finds the channel full is dropped and counted.
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

// Stats returns the counts since the start.
func (w *Watcher) Stats() Stats {
	c := &w.counters
	return Stats{
		Reads: c.reads.Load(), ReadErrors: c.readErrors.Load(),
		PeerRequests: c.asks.Load(), FetchedBytes: c.fetchedBytes.Load(),
		Applied: c.applied.Load(), Conflicts: c.conflicts.Load(), Invalid: c.invalid.Load(),
		Dropped: c.dropped.Load(),
	}
}

// Run works until the context ends, and returns after its goroutines have ended.
func (w *Watcher) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { w.watch(ctx) })
	for range peerWorkers {
		group.Go(func() { w.runPeerJobs(ctx) })
	}
	w.coordinate(ctx)
	group.Wait()
}

// coordinate owns the coordinator and hands it what arrives.
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

// recordOutcome counts and logs what became of a version.
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
