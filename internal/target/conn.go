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

// pauseGrace is the time for which a read is retried after its deadline, so that a
// process that was paused still reads data that arrived during the pause.
const pauseGrace = 100 * time.Millisecond

// dialError distinguishes a failed dial from other failures before the first byte.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// trackedConn counts the writes that may have reached the peer. It sets a deadline
// for every read and write, so that a connection without traffic is closed.
type trackedConn struct {
	net.Conn
	registry *registry
	// silenceTimeout is the longest wait for a read or write; 0 means no limit.
	silenceTimeout time.Duration
	// timedOut is set once a deadline has passed.
	timedOut atomic.Bool

	mu     sync.Mutex
	writes int
	sealed bool
}

// Read reads with a deadline of silenceTimeout.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.silenceTimeout == 0 {
		return c.Conn.Read(p)
	}
	n, err := c.readWithin(p, c.silenceTimeout-pauseGrace)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readWithin(p, pauseGrace)
	}
	c.recordTimeout(err)
	return n, err
}

// readWithin reads with a deadline d from now.
func (c *trackedConn) readWithin(p []byte, d time.Duration) (int, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(d))
	return c.Conn.Read(p)
}

// Write writes with a deadline of silenceTimeout and extends the deadline of the
// pending read. A write that fails without writing a byte is not counted. After
// seal it fails with net.ErrClosed.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	if c.silenceTimeout > 0 {
		_ = c.Conn.SetDeadline(time.Now().Add(c.silenceTimeout - pauseGrace))
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	c.recordTimeout(err)
	return n, err
}

// recordTimeout sets timedOut if err is a missed deadline.
func (c *trackedConn) recordTimeout(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut.Store(true)
	}
}

// writeCount returns the number of writes so far.
func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection, makes later writes fail and returns the number of
// writes that may have reached the peer.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}

// Close closes the connection and removes it from the registry.
func (c *trackedConn) Close() error {
	c.registry.remove(c)
	return c.Conn.Close()
}

// registry holds the open connections of a client. It is safe for concurrent use.
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

// remove deletes a closed connection.
func (r *registry) remove(c *trackedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// closeAll seals every open connection.
func (r *registry) closeAll() {
	r.mu.Lock()
	all := slices.Collect(maps.Keys(r.conns))
	r.mu.Unlock()
	for _, c := range all {
		c.seal()
	}
}
