// Package gateway joins the parts of an instance that serves callers over plain HTTP
// on a platform that can only be read: ingress, scheduler, the copy of the platform's
// records, the roster of instances, the directory and the peers' connections.
//
// Goroutines: one follows the platform's records, one puts them in force, one sends
// heartbeats, one ticks the scheduler, one serves each listener and one each
// connection. The records' copy, the scheduler and the roster guard their own state;
// the gateway's mutex guards the roster and what was heard from peers.
package gateway

import (
	"context"
	"io"
	stdlog "log"
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
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Times and bounds of a gateway.
const (
	// heartbeatInterval is the time between two heartbeats to a peer; the view of the
	// others' load is that old.
	heartbeatInterval = 200 * time.Millisecond
	// tickInterval is the time between two looks at queued requests when nothing else
	// moves them.
	tickInterval = 20 * time.Millisecond
	// upkeepInterval is the time between two rounds of cheap upkeep.
	upkeepInterval = 500 * time.Millisecond
	// revokeMargin is taken off the bound on keys: a watch may be deaf for a second
	// before it fails, and a request is on its way for a while.
	revokeMargin = 1250 * time.Millisecond
	// headerTimeout bounds the time a caller takes to send a request's header, and
	// idleTimeout how long a connection without requests stays where the configuration
	// states no time.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// bodyPart is the part of the memory limit given to requests' bodies.
	bodyPart = 4
	// peerSilence closes connections to peers that carry nothing for this long.
	peerSilence = 1200 * time.Millisecond
	// peerGrace is how long a connection to a peer that is no longer needed stays.
	peerGrace = 2 * time.Second
	// peerPart is the part of the memory limit for connections to peers, peerMemory what
	// one takes for its compressor, in bytes, and minPeers how many are always accepted.
	peerPart   = 0.4
	peerMemory = 1 << 20
	minPeers   = 24
	// shutdownTimeout bounds the end of connections to peers.
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
	leaving     atomic.Bool
	// relay says that this instance speaks for its data centre, and reader that it reads
	// the platform for it.
	relay, reader atomic.Bool
	// hasPeers says that other instances are alive.
	hasPeers atomic.Bool

	mu     sync.Mutex
	roster *roster.Roster
	heard  map[fleet.InstanceID]*heardPeer
	// round counts the rounds of heartbeats.
	round int
	// began is when the gateway was built; spread, from 0 to 1, tells instances apart.
	began  clock.Instant
	spread float64
	// fetching is set while the records are fetched from a peer.
	fetching bool

	servers []*http.Server
	ready   chan struct{}
}

// New builds a gateway; nothing runs before Run.
func New(o Options) *Gateway {
	if o.Now == nil {
		o.Now = clock.BootTime
	}
	if o.Dial == nil {
		o.Dial = upstream.NewDialer().DialContext
	}
	if o.Listen == nil {
		o.Listen = listenTCP
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	g := &Gateway{
		options:     o,
		incarnation: drawIncarnation(o.Seed),
		copy:        records.NewCopy(),
		metrics:     newMetrics(o.LogDropped),
		heard:       make(map[fleet.InstanceID]*heardPeer),
		ready:       make(chan struct{}),
		began:       o.Now(),
		spread:      rand.New(rand.NewPCG(o.Seed, 1)).Float64(),
	}
	g.build()
	return g
}

func drawIncarnation(seed uint64) fleet.Incarnation {
	rng := rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))
	for {
		if n := rng.Uint64(); n != 0 {
			return fleet.Incarnation(n)
		}
	}
}

func (g *Gateway) build() {
	o := g.options
	s := o.Settings
	self := roster.Member{
		ID: fleet.InstanceID(s.PeerAddr), Incarnation: g.incarnation,
		DataCentre: s.DataCentre, CallerAddr: s.CallerAddr, ProcessorMillis: s.ProcessorMillis, NotReady: true,
	}
	g.roster = roster.New(self, s.Seeds)
	g.scheduler = scheduler.New(scheduler.Options{
		Self: self.ID, DataCentre: s.DataCentre, Regions: s.Regions, Now: o.Now,
		ShareWindow: s.ShareWindow, RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryWindow: s.RetryWindow,
	})
	g.scheduler.SetAlive(g.roster.Alive(o.Now()))
	g.upstream = upstream.NewClient(o.Dial)
	g.callers = newCallerConns(s.MaxCallerConns, o.Now)
	g.handler = ingress.New(ingress.Options{
		Codec: o.Codec, ConfigSource: g, Scheduler: g.scheduler, Upstream: g.upstream, Now: o.Now, Log: o.Log,
		BodyMemory: s.MemoryLimit / bodyPart, Observe: g.metrics.request, TooManyConns: g.callers.crowded,
	})
	g.follower = &records.Follower{
		Copy: g.copy, Reader: o.Reader, Now: o.Now, Log: o.Log,
		Duty: g.readDuty, Outcome: g.noteRead,
	}
	g.transport = peer.New(peer.Options{
		Self: wire.Hello{
			ProtocolVersion: wire.ProtocolVersion, Instance: self.ID, Incarnation: g.incarnation, DataCentre: s.DataCentre,
		},
		Dial: o.Dial, Handler: g, Log: o.Log, Silence: peerSilence, Seed: o.Seed,
		UnlistedGrace: peerGrace, MaxLinks: max(minPeers, int(peerPart*float64(s.MemoryLimit)/peerMemory)),
		Region: func(dc fleet.DataCentreID) fleet.RegionID { return s.Regions[dc] },
	})
}

// Current implements ingress.View.
func (g *Gateway) Current() *catalog.Catalog { return g.catalog.Load() }

// Confirmed implements ingress.View.
func (g *Gateway) Confirmed() bool {
	bound := g.options.Settings.RevokeWithin
	_, at := g.copy.State()
	return bound == 0 || at != 0 && g.options.Now().Sub(at) < bound-revokeMargin
}

// Ready is closed once the listeners are open.
func (g *Gateway) Ready() <-chan struct{} { return g.ready }

// Run serves until ctx ends; Stop before that makes the end a planned one. It opens
// all listeners before it serves any.
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
	group.Go(func() { g.upkeep(ctx) })
	for i, l := range listeners.http {
		server := g.servers[i]
		group.Go(func() { g.serve(server, l) })
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
	g.shutdown()
	group.Wait()
	g.options.Log.Info().Str("event", "stopped").Msg("")
	return nil
}

// serve runs one HTTP server until it is closed.
func (g *Gateway) serve(server *http.Server, l net.Listener) {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.options.Log.Error().Str("event", "listener_failed").Err(err).Msg("")
	}
}

func (g *Gateway) shutdown() {
	for _, server := range g.servers {
		_ = server.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = g.transport.Close(ctx)
	g.upstream.Close()
}

// listeners are the open ports.
type listeners struct {
	http  []net.Listener
	peers net.Listener
}

// listen opens all ports and builds their servers.
func (g *Gateway) listen() (listeners, error) {
	s, o := g.options.Settings, g.options
	ports := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"callers", s.CallerAddr, g.handler},
		{"readiness", s.ReadyAddr, o.Surfaces.Readiness(g.isReady)},
		{"directory", s.DirectoryAddr, o.Surfaces.Directory(g.locate)},
		{"operators", s.OperatorAddr, g.metrics.handler()},
	}
	var l listeners
	var err error
	if l.peers, err = o.Listen(s.PeerAddr); err != nil {
		return l, errors.Wrap(err, "listen for peers")
	}
	for _, port := range ports {
		if port.addr == "" {
			continue
		}
		opened, err := o.Listen(port.addr)
		if err != nil {
			return l, errors.Wrapf(err, "listen for %s", port.name)
		}
		l.http = append(l.http, opened)
		g.servers = append(g.servers, newServer(port.handler))
	}
	if s.MaxCallerConns > 0 {
		l.http[0] = &boundedListener{Listener: l.http[0], conns: g.callers}
	}
	g.servers[0].ConnState = g.callers.track
	g.servers[0].ConnContext = ingress.WithConn
	return l, nil
}

// newServer serves HTTP/1.1.
func newServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
}

func listenTCP(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive, Count: callerKeepAliveCount,
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// callerKeepAlive and callerKeepAliveCount notice callers that are gone without a word.
const (
	callerKeepAlive      = 2 * time.Second
	callerKeepAliveCount = 3
)

// tick lets the scheduler look at what depends on time.
func (g *Gateway) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	rounds := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Absent targets and cold ones change slowly; queued requests do not.
		if rounds++; rounds%ticksPerUpdate == 0 || g.scheduler.Waiting() > 0 {
			g.scheduler.Tick()
		}
	}
}

// ticksPerUpdate is how many ticks pass between two looks when nothing waits.
const ticksPerUpdate = 5

// upkeep does what is not urgent.
func (g *Gateway) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.upstream.Sweep()
			g.callers.sweep(g.idleLimit())
		}
	}
}

// idleLimit is the configured idle time of callers' connections, 0 if there is none.
func (g *Gateway) idleLimit() time.Duration {
	c := g.catalog.Load()
	if c == nil {
		return 0
	}
	return c.Limits.IdleTimeout
}

// Reload takes in changed settings; what cannot change while running is left as it is.
func (g *Gateway) Reload(s Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetSeeds(s.Seeds)
}
