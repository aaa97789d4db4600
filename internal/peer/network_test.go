package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

var errNoListener = errors.New("connection refused")

// network joins listeners and dialers in memory. Each end's direction can be muted:
// what is written is lost.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*conn
	refused   int
}

type listener struct {
	addr    string
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
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
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// conn is one end of a connection in memory; from names the writer.
type conn struct {
	net.Conn
	from, to string
	mu       sync.Mutex
	muted    bool
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	muted := c.muted
	c.mu.Unlock()
	if muted {
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
	l := &listener{addr: addr, backlog: make(chan net.Conn, 16), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

func (n *network) dialer(from string) DialFunc {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		l := n.listeners[addr]
		if l == nil {
			n.refused++
			return nil, errNoListener
		}
		a, b := net.Pipe()
		near, far := &conn{Conn: a, from: from, to: addr}, &conn{Conn: b, from: addr, to: from}
		n.conns = append(n.conns, near, far)
		select {
		case <-l.closed:
			return nil, errNoListener
		default:
			l.backlog <- far
			return near, nil
		}
	}
}

// mute loses what from writes on the connections that exist now.
func (n *network) mute(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.muted = c.muted || c.from == from
		c.mu.Unlock()
	}
}

// refusals returns how many dials found no listener.
func (n *network) refusals() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused
}

// recorder is a Handler that keeps what it is told.
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
		return &wire.ConfigReply{Version: q.Have + 1, Text: []byte("rules")}, nil
	}
	return r.config(q)
}

func (r *recorder) PeerConnected(from wire.Hello) {
	r.note("+"+string(from.Instance)+"/"+from.Incarnation.String()[15:], nil)
}

func (r *recorder) PeerGone(from wire.Hello, err error) {
	r.note("-"+string(from.Instance)+"/"+from.Incarnation.String()[15:], err)
}

func (r *recorder) note(event string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	if err != nil {
		r.gone = append(r.gone, err)
	}
}

// node is a transport in a network with what its handler was told.
type node struct {
	*Transport
	*recorder
	hello wire.Hello
	log   *logBuffer
}

// logBuffer keeps log lines.
type logBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text = append(b.text, p...)
	return len(p), nil
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.text)
}

// start runs an instance that listens on an address equal to its id. Without a ca
// it uses no TLS.
func (n *network) start(t testing.TB, id string, incarnation fleet.Incarnation, ca *EphemeralCA) *node {
	t.Helper()
	hello := wire.Hello{
		Protocol:    wire.Protocol,
		Instance:    fleet.InstanceID(id),
		Incarnation: incarnation,
		DataCentre:  "dc1",
	}
	node := &node{recorder: &recorder{}, hello: hello, log: &logBuffer{}}
	o := Options{Self: hello, Dial: n.dialer(id), Handler: node.recorder, Log: zerolog.New(node.log), Seed: 1}
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
	return node
}

// stop closes a transport within a second.
func (n *node) stop(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.Close(ctx); err != nil {
		t.Errorf("close of %s: %v", n.hello.Instance, err)
	}
}

func listed(ids ...string) []fleet.ListedInstance {
	var ps []fleet.ListedInstance
	for _, id := range ids {
		ps = append(ps, fleet.ListedInstance{ID: fleet.InstanceID(id), PeerAddr: id, State: fleet.StateLive})
	}
	return ps
}

// pass lets virtual time go by and all that happens in it end.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
