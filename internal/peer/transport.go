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

// Defaults and limits of a Transport.
const (
	DefaultSilenceTimeout = 2 * time.Second
	DefaultUnlistedGrace  = 10 * time.Second
	// StandbyDelay is how long the instance with the larger id waits for the other one
	// to dial. It is multiplied by a random factor from 0.5 to 1.5.
	StandbyDelay = time.Second
	// MaxHandshakes bounds the accepted connections whose peer has not yet sent its
	// hello, separately for IP addresses of listed peers and for all others.
	MaxHandshakes = 64
	// MaxPendingCalls bounds the calls on one connection that wait for a reply.
	MaxPendingCalls = 4

	// keepAlivesPerTimeout is the number of keep-alive frames that an idle connection
	// sends in each Options.SilenceTimeout.
	keepAlivesPerTimeout = 3
	// flushBytes is the buffered length above which frames are written before the
	// outbox is empty.
	flushBytes = 32 << 10
	// maxFormerIncarnations bounds the replaced incarnations recorded for each peer.
	maxFormerIncarnations = 8
	// maxPeers is the size of the table of peers from which idle entries are evicted.
	maxPeers = 4096
)

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Handler receives the messages of peers. Its methods are called from the goroutines
// of connections and must not block. For each peer they are called one at a time, in
// the order PeerConnected, messages, PeerGone. They may call all methods of the
// Transport except FetchConfig and Close.
type Handler interface {
	// PeerHeartbeat handles a heartbeat of the incarnation in from.
	PeerHeartbeat(from wire.Hello, hb *wire.Heartbeat)
	// PeerGrant handles a grant of the incarnation in from.
	PeerGrant(from wire.Hello, g *wire.Grant)
	// PeerConfig returns the reply to a request for the configuration.
	PeerConfig(from wire.Hello, r *wire.ConfigRequest) (*wire.ConfigReply, error)
	// PeerConnected is called when messages can be sent to the incarnation in from.
	PeerConnected(from wire.Hello)
	// PeerGone is called when the last connection to the incarnation in from has ended
	// with err.
	PeerGone(from wire.Hello, err error)
}

// Options configure a Transport.
type Options struct {
	Self wire.Hello
	Dial DialFunc
	// TLS comes from LoadTLS or EphemeralCA. It is nil only in tests.
	TLS     *tls.Config
	Handler Handler
	Log     zerolog.Logger
	// SilenceTimeout is the time without any byte in one direction after which a
	// connection is closed. Idle connections send three keep-alive frames in this time,
	// so it must be the same in the whole fleet. It also bounds dials and handshakes.
	SilenceTimeout time.Duration
	// UnlistedGrace is how long connections to a peer stay open after it was removed
	// from the list.
	UnlistedGrace time.Duration
	// MaxConns is the number of open connections at which Serve accepts no further
	// ones. 0 means no limit.
	MaxConns int
	// Seed seeds the jitter of redials. It should differ between instances.
	Seed uint64
	// Region returns the region of a data centre, for Counters.
	Region func(fleet.DataCentreID) fleet.RegionID
	// Now is the clock, time.Now by default. The deadlines of connections are computed
	// from it.
	Now func() time.Time
}

// withDefaults returns o with defaults in place of unset fields.
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

// peerState is the entry of one peer in the table of a Transport.
type peerState struct {
	// delivery orders the calls to the Handler and guards link.dropped. It must be
	// locked before Transport.mu.
	delivery sync.Mutex

	// The fields below are guarded by Transport.mu.

	hello              wire.Hello
	formerIncarnations []fleet.Incarnation
	// links are the open connections to hello.Incarnation, oldest first.
	links []*link
	// changed is closed and replaced whenever links changes.
	changed chan struct{}
	// closedTraffic is the sum over connections that have ended.
	closedTraffic Traffic
}

// Transport sends messages to peers and receives theirs. It is safe for concurrent use.
type Transport struct {
	options Options
	// unidentifiedLog is the rate-limited log for connections without a hello.
	unidentifiedLog zerolog.Logger
	// running counts redial, write and handshake goroutines.
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	// peerHandshakes and otherHandshakes are semaphores for running handshakes, with
	// listed peers' addresses and all others.
	peerHandshakes  chan struct{}
	otherHandshakes chan struct{}

	mu        sync.RWMutex
	closed    bool
	listeners map[net.Listener]struct{}
	open      map[*link]struct{}
	peers     map[fleet.InstanceID]*peerState
	dialers   map[fleet.InstanceID]*dialer
	// unidentified is the traffic of connections that ended before a hello and of
	// evicted peers.
	unidentified Traffic
}

// New returns a Transport. SetPeers makes it dial and Serve makes it accept.
func New(o Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		options:         o.withDefaults(),
		unidentifiedLog: o.Log.Sample(&zerolog.BurstSampler{Burst: unidentifiedLogLines, Period: unidentifiedLogPeriod}),
		ctx:             ctx,
		cancel:          cancel,
		peerHandshakes:  make(chan struct{}, MaxHandshakes),
		otherHandshakes: make(chan struct{}, MaxHandshakes),
		listeners:       make(map[net.Listener]struct{}),
		open:            make(map[*link]struct{}),
		peers:           make(map[fleet.InstanceID]*peerState),
		dialers:         make(map[fleet.InstanceID]*dialer),
	}
}

// SendHeartbeat queues a heartbeat and replaces one that is still queued. It never
// blocks. It returns false if no connection to the peer exists or the connection is
// closing. The heartbeat must not be changed afterwards.
func (t *Transport) SendHeartbeat(to fleet.InstanceID, hb *wire.Heartbeat) bool {
	l := t.linkTo(to)
	return l != nil && l.outbox.putHeartbeat(hb)
}

// SendGrant queues a grant. It never blocks. It returns false if no connection to the
// peer exists, the connection is closing or its queue is full. The grant must not be
// changed afterwards.
func (t *Transport) SendGrant(to fleet.InstanceID, g *wire.Grant) bool {
	l := t.linkTo(to)
	return l != nil && l.outbox.putGrant(g)
}

// Connected returns the hellos of the connected peers, sorted by instance id.
func (t *Transport) Connected() []wire.Hello {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var hellos []wire.Hello
	for _, p := range t.peers {
		if len(p.links) > 0 {
			hellos = append(hellos, p.hello)
		}
	}
	slices.SortFunc(hellos, func(a, b wire.Hello) int { return cmp.Compare(a.Instance, b.Instance) })
	return hellos
}

// Close stops accepting and dialling, and closes each connection after its queued
// messages are sent. If ctx ends first, it closes the remaining connections at once
// and returns an error of KindClosed. It returns when all goroutines of the transport
// have ended.
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
	t.abortAll(newError(KindClosed, ctx.Err()))
	<-ended
	return newError(KindClosed, ctx.Err())
}

// beginClose closes the listeners and drains the connections.
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
	for _, d := range t.dialers {
		d.stopTimer()
	}
}

// abortAll closes all connections at once.
func (t *Transport) abortAll(cause error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for l := range t.open {
		l.abort(cause)
	}
}

// linkTo returns the newest connection to a peer, nil if there is none.
func (t *Transport) linkTo(id fleet.InstanceID) *link {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.peers[id]
	if p == nil || len(p.links) == 0 {
		return nil
	}
	return p.links[len(p.links)-1]
}
