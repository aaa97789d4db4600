// Package gateway assembles an instance that serves callers over plain HTTP on a
// platform to which it has read access only: ingress, scheduler, the copy of the
// platform's records, the roster of instances, the directory and the connections to
// peers.
//
// There is one goroutine each for following the platform's records, applying them,
// sending heartbeats, ticking the scheduler and maintenance, one for each listener and
// one for each connection. The copy of the records and the scheduler do their own
// locking; the gateway's mutex guards the roster and the state of peers.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/ingress"
	"medlarwind.dev/medlarwind/internal/locate"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Times and limits of a gateway.
const (
	// heartbeatInterval is the time between two heartbeats to a peer, and therefore also
	// the usual age of the load that peers report.
	heartbeatInterval = 200 * time.Millisecond
	// tickInterval is the interval at which queued requests are checked while no other event
	// triggers a check.
	tickInterval = 20 * time.Millisecond
	// maintenanceInterval is the time between two runs of the cheap cleanup in maintain.
	maintenanceInterval = 500 * time.Millisecond
	// shareLogInterval is the time between two log lines on the shares of customers.
	shareLogInterval = time.Second
	// revokeMargin is subtracted from Settings.RevokeWithin, because a watch may receive
	// nothing for a second before it fails, and a request takes time to reach its target.
	revokeMargin = 1250 * time.Millisecond
	// changeMargin is subtracted from Settings.ChangeWithin for the time that a request takes from
	// the last check to its target.
	changeMargin = 400 * time.Millisecond
	// headerTimeout bounds the time that a caller takes to send a request's header if the
	// configuration sets no timeout.
	// idleTimeout is how long a caller's connection without requests stays open if the
	// configuration sets no timeout, and any other connection.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// bodyMemoryDivisor sets the memory for request bodies: the memory limit divided by it.
	bodyMemoryDivisor = 4
	// answerMemoryDivisor sets the memory for what targets have sent in the same way.
	answerMemoryDivisor = 16
	// headMemoryDivisor sets the memory for long heads of requests in the same way.
	headMemoryDivisor = 32
	// peerSilenceTimeout is how long a connection to a peer may carry no data before it is
	// closed.
	peerSilenceTimeout = 1200 * time.Millisecond
	// peerGrace is how long a connection to a peer stays open after it is no longer needed.
	peerGrace = 2 * time.Second
	// peerMemoryFraction is the fraction of the memory limit for connections to peers,
	// memoryPerPeer the memory in bytes that the compressor of one connection takes, and
	// minPeers the number of connections that are always accepted.
	peerMemoryFraction = 0.4
	memoryPerPeer      = 1 << 20
	minPeers           = 24
	// shutdownTimeout bounds the time for closing the connections to peers.
	shutdownTimeout = 300 * time.Millisecond
)

// Gateway is one running instance.
type Gateway struct {
	options     Options
	incarnation fleet.Incarnation
	copy        *records.Copy
	follower    *records.Follower
	scheduler   *scheduler.Scheduler
	upstream    *upstream.Client
	handler     *ingress.Handler
	transport   *peer.Transport
	metrics     *metrics
	callers     *callerConns
	catalog     atomic.Pointer[catalog.Catalog]
	// comparison is what this instance knows of its peers' configuration. newerVersion is a version
	// that a peer has in force and that the platform's records lack, outdatedUntil the
	// clock.Instant until which that counts.
	comparison    *comparison
	newerVersion  atomic.Uint64
	outdatedUntil atomic.Int64
	// keysRequired is set once a configuration that lists customers has been in force, here or at
	// a peer. It is never reset: a later one that lists none revokes all keys, but does not let in
	// whoever leaves the key out.
	keysRequired atomic.Bool
	// configMu guards changes of catalog, configText, its undecoded content, and olderVersion, the
	// last older version that the platform showed.
	configMu     sync.Mutex
	configText   []byte
	olderVersion uint64
	// applied is the content of copy that is in force.
	applied *records.Applied
	// lateness is when this instance last waited long for its processor.
	lateness lateness
	// leaving is set once a graceful stop has begun.
	leaving atomic.Bool
	// relay is set while this instance exchanges heartbeats with other data centres for its
	// own, and reader while it reads the platform for its data centre.
	relay, reader atomic.Bool
	// hasPeers is set while other instances are alive.
	hasPeers atomic.Bool
	// behind is set while the instance gets less processor time than its work needs.
	behind atomic.Bool

	// mu guards roster, peers, round, roundAt and fetching.
	mu     sync.Mutex
	roster *roster.Roster
	peers  map[fleet.InstanceID]*peerState
	// round counts the rounds of heartbeats sent, roundAt is the time of the last one.
	round   int
	roundAt clock.Instant
	// startedAt is when the gateway was built. readJitter, from 0 to 1, differs between
	// instances and scales nonRelayReadJitter.
	startedAt  clock.Instant
	readJitter float64
	// fetching is set while a goroutine fetches the records from a peer.
	fetching bool

	servers []*http.Server
	// callerListener is the listener of the first server. It may be read once ready is closed.
	callerListener net.Listener
	// handOverListener is nil without a port for hand-over; handOverAddr, which mu guards, is empty then.
	handOverListener *handOverListener
	handOverAddr     string
	// ready is closed once the listeners are open.
	ready chan struct{}
}

// New returns a gateway with defaults for the options that are not set. It starts no
// goroutine and opens no port; Run does.
func New(o Options) *Gateway {
	if o.Now == nil {
		o.Now = clock.BootTime
	}
	if o.Dial == nil {
		o.Dial = upstream.NewDialer().DialContext
	}
	if o.HandOverDial == nil {
		o.HandOverDial = o.Dial
	}
	if o.Listen == nil {
		o.Listen = listenTCP
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	g := &Gateway{
		options:     o,
		incarnation: newIncarnation(o.Seed),
		copy:        records.NewCopy(),
		metrics:     newMetrics(o.LogDropped),
		peers:       make(map[fleet.InstanceID]*peerState),
		ready:       make(chan struct{}),
		startedAt:   o.Now(),
		readJitter:  rand.New(rand.NewPCG(o.Seed, 1)).Float64(),
	}
	g.applied = records.NewApplied(g.copy)
	g.comparison = newComparison(g.startedAt, o.Settings.FirstStart, fleet.InstanceID(o.Settings.PeerAddr), o.Settings.Seeds)
	g.lateness.lastTick.Store(int64(g.startedAt))
	g.build()
	return g
}

// newIncarnation returns a random incarnation, never 0.
func newIncarnation(seed uint64) fleet.Incarnation {
	rng := rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))
	for {
		if n := rng.Uint64(); n != 0 {
			return fleet.Incarnation(n)
		}
	}
}

// build creates the parts of the gateway from its options.
func (g *Gateway) build() {
	o := g.options
	s := o.Settings
	self := roster.Member{
		ID: fleet.InstanceID(s.PeerAddr), Incarnation: g.incarnation,
		DataCentre: s.DataCentre, CallerAddr: s.CallerAddr, ProcessorMillis: s.ProcessorMillis, NotReady: true,
	}
	g.roster = roster.New(self, s.Seeds)
	g.scheduler = scheduler.New(scheduler.Options{
		Self: self.ID, Incarnation: g.incarnation, DataCentre: s.DataCentre, Regions: s.Regions, Now: o.Now,
		ShareWindow: s.ShareWindow, RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryWindow: s.RetryWindow,
		ListingConfirmedAt: g.listingConfirmedAt, ListingMaxAge: listingMaxAge(s.ChangeWithin), Features: s.Features,
	})
	g.metrics.prefixes = g.scheduler.PrefixCounters
	g.metrics.backups = g.scheduler.BackupCounters
	g.scheduler.SetAlive(g.roster.Alive(o.Now()))
	g.metrics.loads = g.scheduler.LoadState
	g.metrics.isolation = g.scheduler.IsolationCounters
	g.upstream = upstream.NewClient(o.Dial)
	g.callers = newCallerConns(s.MaxCallerConns, o.Now)
	g.callers.onUnanswered = g.noteUnanswered
	g.callers.idleTimeout, g.callers.headTimeout = g.callerIdleTimeout, g.callerHeadTimeout
	g.callers.headMemory = s.MemoryLimit / headMemoryDivisor
	g.handler = ingress.New(ingress.Options{
		Codec: o.Codec, ConfigSource: g, Scheduler: g.scheduler, Upstream: g.upstream, Now: o.Now, Log: o.Log,
		BodyMemory: s.MemoryLimit / bodyMemoryDivisor, AnswerMemory: s.MemoryLimit / answerMemoryDivisor,
		Observe: g.metrics.recordRequest, ObserveSend: g.metrics.recordSend, TooManyConns: g.callers.crowded,
	})
	g.callers.early, g.callers.handOver = g.newEarlyRefuser(), g.newHandOver()
	g.follower = &records.Follower{
		Copy: g.copy, Reader: o.Reader, Now: o.Now, Log: o.Log,
		Role: g.readDuty, OnResult: g.recordRead,
	}
	g.transport = peer.New(peer.Options{
		Self: wire.Hello{
			ProtocolVersion: wire.ProtocolVersion, Instance: self.ID, Incarnation: g.incarnation, DataCentre: s.DataCentre,
		},
		Dial: o.Dial, Handler: g, Log: o.Log, SilenceTimeout: peerSilenceTimeout, Seed: o.Seed,
		UnlistedGrace: peerGrace, MaxConns: max(minPeers, int(peerMemoryFraction*float64(s.MemoryLimit)/memoryPerPeer)),
		Region: func(dc fleet.DataCentreID) fleet.RegionID { return s.Regions[dc] },
	})
}

// Current implements ingress.ConfigSource.
func (g *Gateway) Current() *catalog.Catalog { return g.catalog.Load() }

// Confirmed implements ingress.ConfigSource. It reports whether the records are recent
// enough that a revoked key stops working in time, and no peer has a newer configuration that
// they lack.
func (g *Gateway) Confirmed() bool {
	return !g.mayBeOutdated() && !g.haveLapsed(g.options.Now())
}

// haveLapsed reports whether the records in force are too old to rely on their keys.
func (g *Gateway) haveLapsed(now clock.Instant) bool {
	bound := g.options.Settings.RevokeWithin
	_, at := g.applied.State()
	return bound != 0 && (at == 0 || now.Sub(at) >= bound-revokeMargin)
}

// KeysRequired implements ingress.ConfigSource. An instance that has just started cannot know what
// was in force before and requires keys until it has heard from a peer.
func (g *Gateway) KeysRequired() bool {
	return g.keysRequired.Load() || g.comparison.isNeeded(g.options.Now())
}

// listingMaxAge returns the age from which the list of targets no longer shows which of them get
// work, if a change must take effect within a given time; 0 for no bound.
func listingMaxAge(changeWithin time.Duration) time.Duration {
	if changeWithin == 0 {
		return 0
	}
	return max(changeWithin-changeMargin, changeWithin/2)
}

// Ready returns a channel that is closed once the listeners are open.
func (g *Gateway) Ready() <-chan struct{} { return g.ready }

// Run opens all listeners, then serves until ctx ends, and returns an error if a listener
// cannot be opened. Call Stop before ctx ends for a graceful stop.
func (g *Gateway) Run(ctx context.Context) error {
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { g.follower.Run(ctx) })
	group.Go(func() { g.applyRecords(ctx) })
	group.Go(func() { g.sendHeartbeats(ctx) })
	group.Go(func() { g.tick(ctx) })
	group.Go(func() { g.maintain(ctx) })
	for i, l := range listeners.http {
		server := g.servers[i]
		group.Go(func() { g.serve(server, l) })
	}
	if l := g.handOverListener; l != nil {
		group.Go(l.run)
	}
	group.Go(func() {
		if err := g.transport.Serve(listeners.peers); err != nil {
			g.options.Log.Error().Str("event", "peer_listener_failed").Err(err).Msg("")
		}
	})
	close(g.ready)
	g.options.Log.Info().Str("event", "started").Str("data_centre", string(g.options.Settings.DataCentre)).
		Str("peer_addr", g.options.Settings.PeerAddr).Str("incarnation", g.incarnation.String()).Msg("")
	<-ctx.Done()
	conns := g.shutdown()
	group.Wait()
	g.options.Log.Info().Str("event", "stopped").
		Int("conns_open", conns.open).Int("conns_idle", conns.idle).Int("conns_busy", conns.busy).Msg("")
	return nil
}

// serve runs one HTTP server until it is closed.
func (g *Gateway) serve(server *http.Server, l net.Listener) {
	err := server.Serve(l)
	closed := errors.Is(err, http.ErrServerClosed) || g.leaving.Load() && errors.Is(err, net.ErrClosed)
	if !closed {
		g.options.Log.Error().Str("event", "listener_failed").Err(err).Msg("")
	}
}

// shutdown closes the servers and all connections to peers and targets. It returns the
// numbers of callers' connections that this closed.
func (g *Gateway) shutdown() connCounts {
	conns, unanswered := g.callers.beginClose()
	ids := g.handler.Unanswered()
	for _, server := range g.servers {
		_ = server.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = g.transport.Close(ctx)
	g.upstream.Close()
	for _, c := range unanswered[:min(len(unanswered), maxUnansweredLines)] {
		g.logUnanswered(c, ids[c.caller])
	}
	g.metrics.addUnanswered(closedByShutdown, len(unanswered))
	return conns
}

// tick runs the scheduler's time-dependent work until ctx ends.
func (g *Gateway) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticks, last := 0, g.options.Now()
	var lag locate.Lag
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := g.options.Now()
		g.noteLag(&lag, now.Sub(last))
		last = now
		// Absent and cold targets change slowly, so that fewer ticks suffice while no request
		// is queued.
		if ticks++; ticks%idleTicksPerUpdate == 0 || g.scheduler.QueueLength() > 0 {
			g.scheduler.Tick()
		}
	}
}

// noteLag adds the time between two ticks to lag. When the instance begins to fall behind or no
// longer does, callers must learn it from the directory.
func (g *Gateway) noteLag(lag *locate.Lag, elapsed time.Duration) {
	waited := time.Duration(0)
	if g.options.SchedulingDelay != nil {
		waited = g.options.SchedulingDelay()
	}
	g.lateness.note(g.options.Now(), max(elapsed-tickInterval, waited))
	behind := lag.Add(elapsed, tickInterval, waited)
	g.scheduler.SetProcessor(scheduler.ProcessorState{Delay: lag.Delay(), Behind: behind})
	if g.behind.Swap(behind) == behind {
		return
	}
	g.metrics.setBehind(behind)
	g.options.Log.Warn().Str("event", "instance_behind").Bool("behind", behind).Int64("delay_ms", lag.Delay().Milliseconds()).
		Int64("active", g.handler.Active()).Int("queued", g.scheduler.QueueLength()).Msg("")
}

// idleTicksPerUpdate is the number of ticks for each update of the scheduler while no
// request is queued.
const idleTicksPerUpdate = 5

// maintain closes idle connections to targets and from callers, and logs the shares of
// customers, until ctx ends.
func (g *Gateway) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	shareTicker := time.NewTicker(shareLogInterval)
	defer shareTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-shareTicker.C:
			g.logShares()
			g.logLoads()
			g.logRecordsAge()
			g.logClosedIdle()
			g.logEarlyRefusals()
			g.logHandOver()
		case <-ticker.C:
			g.upstream.Sweep()
			g.callers.sweep(g.callerIdleTimeout())
		}
	}
}

// Reload applies the seeds of s. All other settings need a restart to change.
func (g *Gateway) Reload(s Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetSeeds(s.Seeds)
}
