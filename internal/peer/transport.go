package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Defaults and bounds of a Transport.
const (
	DefaultSilenceTimeout = 2 * time.Second
	DefaultUnlistedGrace  = 10 * time.Second
	// StandbyDelay is how long the instance with the larger id waits for the other
	// to dial.
	StandbyDelay = time.Second
	// MaxHandshakes bounds the connections that have not proved who they are, from
	// listed peers' IP addresses and from all others each.
	MaxHandshakes = 64
	// MaxPendingCalls bounds the calls to one peer that wait for a reply.
	MaxPendingCalls = 4

	// keepAlivesPerSilence is how many frames without a message an idle connection
	// sends for each Silence.
	keepAlivesPerSilence = 3
	// flushBytes is the amount of buffered frames that is written at once.
	flushBytes = 32 << 10
	// maxFormerIncarnations bounds the replaced incarnations remembered for a peer.
	maxFormerIncarnations = 8
	// maxRemotes bounds the table of peers seen.
	maxRemotes = 4096
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Handler receives what peers send. Its methods are called from the goroutines of
// connections and must not block; for one peer they are called one at a time, in
// the order PeerConnected, messages, PeerGone. They may call the Transport's
// methods, FetchConfig and Close excepted.
type Handler interface {
	// PeerHeartbeat takes a heartbeat of the incarnation in from.
	PeerHeartbeat(from wire.Hello, hb *wire.Heartbeat)
	// PeerGrant takes a grant of the incarnation in from.
	PeerGrant(from wire.Hello, g *wire.Grant)
	// PeerConfig answers a request for the configuration.
	PeerConfig(from wire.Hello, r *wire.ConfigRequest) (*wire.ConfigReply, error)
	// PeerConnected says that messages can be sent to this incarnation.
	PeerConnected(from wire.Hello)
	// PeerGone says that the last connection to this incarnation ended.
	PeerGone(from wire.Hello, err error)
}

// Options configure a Transport.
type Options struct {
	Self wire.Hello
	Dial DialFunc
	// TLS comes from LoadTLS or EphemeralCA; nil only in tests.
	TLS     *tls.Config
	Handler Handler
	Log     zerolog.Logger
	// SilenceTimeout is how long a connection may carry no byte in one direction before it
	// is closed. Idle connections send a frame without a message three times as often,
	// so it must be the same throughout the fleet. It also bounds dials and handshakes.
	SilenceTimeout time.Duration
	// UnlistedGrace is how long a peer that is no longer listed stays connected.
	UnlistedGrace time.Duration
	// MaxConns bounds the open connections: further ones are not accepted. 0 for no
	// bound.
	MaxConns int
	// Seed starts the jitter of redials. It should differ between instances.
	Seed uint64
	// Region gives the region of a data centre, for Counters.
	Region func(fleet.DataCentreID) fleet.RegionID
	// Now is the clock, time.Now by default. Deadlines of connections follow from it.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, DefaultSilenceTimeout)
	o.UnlistedGrace = cmp.Or(o.UnlistedGrace, DefaultUnlistedGrace)
	if o.Region == nil {
		o.Region = func(dc fleet.DataCentreID) fleet.RegionID { return fleet.RegionID(dc) }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	return o
}

// remote is what a Transport knows of one peer.
type remote struct {
	// delivery orders the calls to the Handler and guards link.dropped. It is taken
	// before Transport.mu.
	delivery sync.Mutex

	// The fields below are guarded by Transport.mu.

	hello  wire.Hello
	former []fleet.Incarnation
	// links are the open connections to hello.Incarnation, oldest first.
	links []*link
	// changed is closed and replaced when links changes.
	changed chan struct{}
	// ended holds the counts of connections that ended.
	ended Traffic
}

// Transport carries messages to and from peers. It is safe for concurrent use.
type Transport struct {
	options Options
	// strangerLog is the log for what those without a hello cause.
	strangerLog zerolog.Logger
	// running counts redial and write goroutines and handshakes.
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	// peerHandshakes and otherHandshakes have a slot for each handshake.
	peerHandshakes  chan struct{}
	otherHandshakes chan struct{}

	mu        sync.RWMutex
	closed    bool
	listeners map[net.Listener]struct{}
	open      map[*link]struct{}
	remotes   map[fleet.InstanceID]*remote
	wanted    map[fleet.InstanceID]*wanted
	// strangers holds the counts of connections that ended before a hello.
	strangers Traffic
}

// New returns a Transport that neither dials nor accepts yet.
func New(o Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		options:         o.withDefaults(),
		strangerLog:     o.Log.Sample(&zerolog.BurstSampler{Burst: strangerLines, Period: strangerPeriod}),
		ctx:             ctx,
		cancel:          cancel,
		peerHandshakes:  make(chan struct{}, MaxHandshakes),
		otherHandshakes: make(chan struct{}, MaxHandshakes),
		listeners:       make(map[net.Listener]struct{}),
		open:            make(map[*link]struct{}),
		remotes:         make(map[fleet.InstanceID]*remote),
		wanted:          make(map[fleet.InstanceID]*wanted),
	}
}

// SendHeartbeat queues a heartbeat, in place of one that still waits. It never
// blocks. False means that no connection to the peer exists. The heartbeat may not
// be changed afterwards.
func (t *Transport) SendHeartbeat(to fleet.InstanceID, hb *wire.Heartbeat) bool {
	l := t.linkTo(to)
	return l != nil && l.outbox.putHeartbeat(hb)
}

// SendGrant queues a grant. It never blocks. False means that no connection to the
// peer exists or that its queue is full. The grant may not be changed afterwards.
func (t *Transport) SendGrant(to fleet.InstanceID, g *wire.Grant) bool {
	l := t.linkTo(to)
	return l != nil && l.outbox.putGrant(g)
}

// Connected returns the hellos of the connected peers in the order of their ids.
func (t *Transport) Connected() []wire.Hello {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var hellos []wire.Hello
	for _, r := range t.remotes {
		if len(r.links) > 0 {
			hellos = append(hellos, r.hello)
		}
	}
	slices.SortFunc(hellos, func(a, b wire.Hello) int { return cmp.Compare(a.Instance, b.Instance) })
	return hellos
}

// Close stops accepting and dialling, lets every connection send what is queued
// and closes it; when ctx ends first, what is left is cut. It returns when all
// goroutines of the transport have ended.
func (t *Transport) Close(ctx context.Context) error {
	t.beginClose()
	ended := make(chan struct{})
	go func() {
		t.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	t.cutAll(failure(KindClosed, ctx.Err()))
	<-ended
	return failure(KindClosed, ctx.Err())
}

func (t *Transport) beginClose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.cancel()
	for ln := range t.listeners {
		_ = ln.Close()
	}
	for l := range t.open {
		l.drain()
	}
	for _, w := range t.wanted {
		w.stopTimer()
	}
}

func (t *Transport) cutAll(cause error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for l := range t.open {
		l.cut(cause)
	}
}

// linkTo returns the newest connection to a peer, nil if there is none.
func (t *Transport) linkTo(id fleet.InstanceID) *link {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.remotes[id]
	if r == nil || len(r.links) == 0 {
		return nil
	}
	return r.links[len(r.links)-1]
}
