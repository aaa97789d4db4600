// Package memnet is an in-memory network with fault injection, for tests and
// experiments. It works inside a testing/synctest bubble: every wait is on a
// channel, a condition variable or a timer.
//
// A host is a name, by convention an IP address. Each ordered pair of hosts has one
// link, with a delay, counters and faults. All methods are safe for concurrent use.
package memnet

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptBacklog is the number of connections that can wait for Accept.
	acceptBacklog = 1024
	// firstEphemeralPort is where ephemeral ports start; dialling ends get ports
	// above it.
	firstEphemeralPort = 49152
	// handshakeTimeout bounds a dial over a blocked link, which is retried every
	// handshakeRetry.
	handshakeTimeout = 60 * time.Second
	handshakeRetry   = time.Second
)

// Network is a set of hosts, listeners and links.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[hostPair]*link
	delay     func(from, to string) time.Duration
	nextPort  int
}

// hostPair is an ordered pair of host names.
type hostPair struct{ from, to string }

// New returns a network without listeners, delays or faults.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		links:     make(map[hostPair]*link),
		nextPort:  firstEphemeralPort,
	}
}

// Host is a named host of the network.
type Host struct {
	net  *Network
	name string
}

// Host returns the host with the given name.
func (n *Network) Host(name string) Host { return Host{net: n, name: name} }

// Name returns the host's name.
func (h Host) Name() string { return h.name }

// Listen listens on addr, "HOST:PORT", for the host named in it.
func (n *Network) Listen(addr string) (net.Listener, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, opError("listen", addr, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[addr]; taken {
		return nil, opError("listen", addr, syscall.EADDRINUSE)
	}
	l := &listener{net: n, addr: Addr(addr), queue: make(chan *Conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects from h to addr. It takes one round trip of the links' delays,
// and then fails if nothing listens on addr. It fails at once under a PartitionReject,
// and under a PartitionDrop it waits until the partition heals, ctx ends or
// handshakeTimeout passes.
func (h Host) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	remote, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, opError("dial", addr, err)
	}
	out, in := h.net.link(h.name, remote), h.net.link(remote, h.name)
	if err := handshake(ctx, out, in); err != nil {
		return nil, opError("dial", addr, err)
	}
	l, local := h.net.resolve(h.name, addr)
	if l == nil {
		return nil, opError("dial", addr, syscall.ECONNREFUSED)
	}
	dialer, acceptor := newConns(out, in, local, Addr(addr))
	select {
	case l.queue <- acceptor:
		out.dials.Add(1)
		return dialer, nil
	case <-l.closed:
		err = syscall.ECONNREFUSED
	case <-ctx.Done():
		err = ctx.Err()
	}
	_, _ = dialer.Close(), acceptor.Close()
	return nil, opError("dial", addr, err)
}

// handshake waits for one round trip over the two links, retrying while either is
// blocked.
func handshake(ctx context.Context, out, in *link) error {
	for waited := time.Duration(0); waited < handshakeTimeout; waited += handshakeRetry {
		if out.rejecting.Load() || in.rejecting.Load() {
			return syscall.EHOSTUNREACH
		}
		if !out.blocked.Load() && !in.blocked.Load() {
			return sleep(ctx, out.latency()+in.latency())
		}
		if err := sleep(ctx, handshakeRetry); err != nil {
			return err
		}
	}
	return os.ErrDeadlineExceeded
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// resolve returns the listener at addr, or nil, and a new local address for the
// dialling end.
func (n *Network) resolve(from, addr string) (*listener, Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextPort++
	return n.listeners[addr], Addr(fmt.Sprintf("%s:%d", from, n.nextPort))
}

// link returns the link of an ordered pair of hosts and creates it on first use.
func (n *Network) link(from, to string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := hostPair{from, to}
	l := n.links[key]
	if l == nil {
		l = &link{pipes: make(map[*pipe]struct{})}
		if n.delay != nil {
			l.delay.Store(int64(n.delay(from, to)))
		}
		n.links[key] = l
	}
	return l
}

// Addr is an address of the network, "HOST:PORT".
type Addr string

// Network returns "tcp", since connections behave like TCP connections.
func (Addr) Network() string { return "tcp" }

// String returns "HOST:PORT".
func (a Addr) String() string { return string(a) }

// Host returns the host's name.
func (a Addr) Host() string {
	host, _, _ := net.SplitHostPort(string(a))
	return host
}

// listener implements net.Listener.
type listener struct {
	net    *Network
	addr   Addr
	queue  chan *Conn
	once   sync.Once
	closed chan struct{}
}

// Accept waits for the next connection and returns it.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, opError("accept", string(l.addr), net.ErrClosed)
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, opError("accept", string(l.addr), net.ErrClosed)
	}
}

// Close stops listening and resets the connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, string(l.addr))
		l.net.mu.Unlock()
		close(l.closed)
		l.resetQueued()
	})
	return nil
}

// resetQueued resets and closes the connections in the queue.
func (l *listener) resetQueued() {
	for {
		select {
		case c := <-l.queue:
			c.resetBoth()
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr returns the address listened on.
func (l *listener) Addr() net.Addr { return l.addr }

// opError wraps err in a net.OpError, as package net does.
func opError(op, addr string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: Addr(addr), Err: err}
}
