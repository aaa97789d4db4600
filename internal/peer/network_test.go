package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

var errNoListener = errors.New("connection refused")

// network connects dialers to listeners in memory. Each direction of a connection can
// be muted, which discards all bytes written.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*conn
	// refused counts dials of addresses without a listener.
	refused atomic.Int64
}

type listener struct {
	addr    string
	backlog chan net.Conn
	closed  chan struct{}
	close   func()
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.close()
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// conn is one end of an in-memory connection. from is the id of its owner and to that
// of the other end.
type conn struct {
	net.Conn
	from, to string
	muted    atomic.Bool
}

func (c *conn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) RemoteAddr() net.Addr { return address(c.to) }

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener)}
}

func (n *network) listen(addr string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	closed := make(chan struct{})
	l := &listener{addr, make(chan net.Conn, 16), closed, sync.OnceFunc(func() { close(closed) })}
	n.listeners[addr] = l
	return l
}

func (n *network) dialer(from string) DialFunc {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		l := n.listeners[addr]
		if l == nil {
			n.refused.Add(1)
			return nil, errNoListener
		}
		a, b := net.Pipe()
		dialed, accepted := &conn{Conn: a, from: from, to: addr}, &conn{Conn: b, from: addr, to: from}
		n.conns = append(n.conns, dialed, accepted)
		select {
		case <-l.closed:
			return nil, errNoListener
		default:
			l.backlog <- accepted
			return dialed, nil
		}
	}
}

// mute discards all that from writes from now on on its existing connections.
func (n *network) mute(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.muted.Store(c.muted.Load() || c.from == from)
	}
}

// recorder is a Handler that records its calls.
type recorder struct {
	mu         sync.Mutex
	heartbeats []*wire.Heartbeat
	grants     []*wire.Grant
	events     []string
	gone       []error
	config     func(*wire.ConfigRequest) (*wire.ConfigReply, error)
}

func (r *recorder) PeerHeartbeat(_ wire.Hello, hb *wire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats = append(r.heartbeats, hb)
}

func (r *recorder) PeerGrant(_ wire.Hello, g *wire.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants = append(r.grants, g)
}

func (r *recorder) PeerConfig(_ wire.Hello, q *wire.ConfigRequest) (*wire.ConfigReply, error) {
	if r.config == nil {
		return &wire.ConfigReply{Version: q.CurrentVersion + 1, Text: []byte("rules")}, nil
	}
	return r.config(q)
}

func (r *recorder) PeerConnected(from wire.Hello) {
	r.record("+"+string(from.Instance)+"/"+from.Incarnation.String()[15:], nil)
}

func (r *recorder) PeerGone(from wire.Hello, err error) {
	r.record("-"+string(from.Instance)+"/"+from.Incarnation.String()[15:], err)
}

func (r *recorder) record(event string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	if err != nil {
		r.gone = append(r.gone, err)
	}
}

// node is a transport in a network with its handler and its log.
type node struct {
	*Transport
	*recorder
	hello wire.Hello
	log   *bytes.Buffer
}

// start starts an instance that listens on an address equal to its id. Without a ca it
// uses no TLS.
func (n *network) start(t testing.TB, id string, incarnation fleet.Incarnation, ca *EphemeralCA) *node {
	t.Helper()
	hello := wire.Hello{
		ProtocolVersion: wire.ProtocolVersion,
		Instance:        fleet.InstanceID(id),
		Incarnation:     incarnation,
		DataCentre:      "dc1",
	}
	node := &node{recorder: &recorder{}, hello: hello, log: new(bytes.Buffer)}
	o := Options{Self: hello, Dial: n.dialer(id), Handler: node.recorder, Log: zerolog.New(zerolog.SyncWriter(node.log)), Seed: 1}
	if ca != nil {
		config, err := ca.Issue(hello.Instance)
		if err != nil {
			t.Fatal(err)
		}
		o.TLS = config
	}
	node.Transport = New(o)
	l := n.listen(id)
	go func() { _ = node.Serve(l) }()
	t.Cleanup(func() { node.stop(t) })
	return node
}

// stop closes the transport, which must take less than a second.
func (n *node) stop(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.Close(ctx); err != nil {
		t.Errorf("close of %s: %v", n.hello.Instance, err)
	}
}

func newCA(t testing.TB) *EphemeralCA {
	t.Helper()
	ca, err := NewEphemeralCA()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func listed(ids ...string) []fleet.ListedInstance {
	var ps []fleet.ListedInstance
	for _, id := range ids {
		ps = append(ps, fleet.ListedInstance{ID: fleet.InstanceID(id), PeerAddr: id, State: fleet.StateLive})
	}
	return ps
}

// advance advances the virtual clock by d and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
