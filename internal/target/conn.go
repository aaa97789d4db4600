package target

import (
	"context"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// pauseGrace is how long a read goes on after its deadline, so that a process that
// was paused finds what arrived meanwhile.
const pauseGrace = 100 * time.Millisecond

// dialError tells a failed dial from other failures before the first byte.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// trackedConn counts the writes that may have reached the peer and gives every
// read and write a deadline, so that a connection that went silent is closed.
type trackedConn struct {
	net.Conn
	registry *registry
	// silence is the longest wait for a read or write, 0 for none.
	silence time.Duration
	// silent says that a deadline passed.
	silent atomic.Bool

	mu     sync.Mutex
	writes int
	sealed bool
}

// Read reads with a deadline.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.silence == 0 {
		return c.Conn.Read(p)
	}
	n, err := c.readWithin(p, c.silence-pauseGrace)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readWithin(p, pauseGrace)
	}
	c.note(err)
	return n, err
}

// readWithin reads for at most d.
func (c *trackedConn) readWithin(p []byte, d time.Duration) (int, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(d))
	return c.Conn.Read(p)
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
		_ = c.Conn.SetDeadline(time.Now().Add(c.silence - pauseGrace))
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

// note remembers that a deadline passed.
func (c *trackedConn) note(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.silent.Store(true)
	}
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

// registry knows the open connections of a client.
type registry struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// newRegistry returns an empty registry.
func newRegistry() *registry {
	return &registry{conns: make(map[*trackedConn]struct{})}
}

// add registers a new connection.
func (r *registry) add(c *trackedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
}

// remove forgets a closed connection.
func (r *registry) remove(c *trackedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// closeAll closes every connection.
func (r *registry) closeAll() {
	r.mu.Lock()
	all := slices.Collect(maps.Keys(r.conns))
	r.mu.Unlock()
	for _, c := range all {
		c.seal()
	}
}
