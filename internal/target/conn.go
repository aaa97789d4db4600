package target

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// trackedConn counts the writes that may have reached the peer and gives every
// read and write a deadline, so that a connection that went silent is closed.
type trackedConn struct {
	net.Conn
	registry *registry
	addr     string
	// silence is the longest wait for a read or write, 0 for none.
	silence time.Duration
	// owner is the exchange that uses the connection, nil while it is idle.
	owner  atomic.Pointer[exchange]
	silent atomic.Bool

	mu     sync.Mutex
	writes int
	sealed bool
}

// Read reads with a deadline.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.silence > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.silence))
	}
	n, err := c.Conn.Read(p)
	c.note(err)
	return n, err
}

// Write writes with a deadline and moves the deadline of the pending read. A write
// that passed on nothing is not counted.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	if c.silence > 0 {
		_ = c.Conn.SetDeadline(time.Now().Add(c.silence))
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	c.note(err)
	return n, err
}

// note remembers that a deadline passed while a request was under way, and drops
// the other idle connections to the same target, which may be silent too.
func (c *trackedConn) note(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.owner.Load() == nil {
		return
	}
	c.silent.Store(true)
	c.registry.dropIdle(c.addr)
}

// count returns the number of writes so far.
func (c *trackedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection, forbids later writes and returns the number of
// writes that may have reached the peer.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.registry.remove(c)
	return c.Conn.Close()
}

// registry knows the open connections of a client, by target address.
type registry struct {
	mu    sync.Mutex
	conns map[string]map[*trackedConn]struct{}
}

// newRegistry returns an empty registry.
func newRegistry() *registry {
	return &registry{conns: make(map[string]map[*trackedConn]struct{})}
}

// add registers a new connection.
func (r *registry) add(c *trackedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.conns[c.addr]
	if set == nil {
		set = make(map[*trackedConn]struct{})
		r.conns[c.addr] = set
	}
	set[c] = struct{}{}
}

// remove forgets a closed connection.
func (r *registry) remove(c *trackedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.conns[c.addr]
	delete(set, c)
	if len(set) == 0 {
		delete(r.conns, c.addr)
	}
}

// dropIdle closes the connections to addr that carry no request.
func (r *registry) dropIdle(addr string) {
	r.mu.Lock()
	var idle []*trackedConn
	for c := range r.conns[addr] {
		if c.owner.Load() == nil {
			idle = append(idle, c)
		}
	}
	r.mu.Unlock()
	for _, c := range idle {
		c.seal()
	}
}

// closeAll closes every connection.
func (r *registry) closeAll() {
	r.mu.Lock()
	var all []*trackedConn
	for _, set := range r.conns {
		for c := range set {
			all = append(all, c)
		}
	}
	r.mu.Unlock()
	for _, c := range all {
		c.seal()
	}
}
