package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Thresholds for callers' connections; the fractions are of callerConns.limit.
const (
	// crowdedFraction is the fraction above which each response closes its connection.
	crowdedFraction = 0.5
	// trimAboveFraction is the fraction above which idle connections are closed early, until
	// trimToFraction is left.
	trimAboveFraction = 0.75
	trimToFraction    = 0.6
	// idleMargin is added to the configured idle timeout, because callers may reuse a
	// connection until shortly before that timeout.
	idleMargin = time.Second
)

// drainPollInterval is how often drain closes the connections that have become idle.
const drainPollInterval = 20 * time.Millisecond

// callerConns tracks the open connections of callers, which of them are idle and which
// carry a request. It is safe for concurrent use.
type callerConns struct {
	// limit bounds the open connections; 0 for no bound.
	limit int
	now   clock.Source

	mu   sync.Mutex
	open int
	// fresh holds the connections on which nothing has arrived yet. idle maps each
	// connection between two requests to the time at which the first of them ended.
	fresh map[*callerConn]struct{}
	idle  map[*callerConn]clock.Instant
	// busy maps each connection with an unanswered request to the time at which its header
	// was read.
	busy map[*callerConn]clock.Instant
	// closing is set when the server is about to close all connections.
	closing bool
	// onUnanswered is called for each connection from which a request was read although sweep
	// or the shutdown closes it. c.mu is not held.
	onUnanswered func(unansweredConn)
	// slotFree is signalled when a connection closes and when stopped is set.
	slotFree *sync.Cond
	stopped  bool
}

func newCallerConns(limit int, now clock.Source) *callerConns {
	c := &callerConns{
		limit: limit, now: now, fresh: make(map[*callerConn]struct{}),
		idle: make(map[*callerConn]clock.Instant), busy: make(map[*callerConn]clock.Instant),
	}
	c.slotFree = sync.NewCond(&c.mu)
	return c
}

// callerConn is a connection of a caller. net/http reports a request only once its header
// is complete; callerConn reports its first byte, so that the connection does not count as
// idle while a request arrives.
type callerConn struct {
	net.Conn
	conns *callerConns
	// closed is set once conns has closed the connection. conns.mu guards it.
	closed bool
}

// Read implements net.Conn. It discards what it reads if the connection was closed as idle at
// the same time: the request could not be answered.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.conns.received(c) {
		c.conns.reportUnanswered(c, closedAsIdle)
		return 0, net.ErrClosed
	}
	return n, err
}

// CloseWrite closes the sending side, if the connection has one that can be closed alone.
// net/http does so before it closes a connection with an unread request body, which would
// otherwise be reset.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.New("connection has no half-close")
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.New("connection has no socket")
}

// awaitSlot blocks until one more connection may be accepted or stop is called.
func (c *callerConns) awaitSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.limit > 0 && c.open >= c.limit && !c.stopped {
		c.slotFree.Wait()
	}
}

// add tracks an accepted connection. It returns nil if stop was called.
func (c *callerConns) add(inner net.Conn) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil
	}
	conn := &callerConn{Conn: inner, conns: c}
	c.open++
	c.fresh[conn] = struct{}{}
	return conn
}

// received records that bytes were read from a connection, which therefore is not idle. It
// returns false if the connection was closed before.
func (c *callerConns) received(conn *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.idle, conn)
	return !conn.closed
}

// stop releases all callers of awaitSlot. No connection is tracked afterwards.
func (c *callerConns) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.slotFree.Broadcast()
}

// callerListener leaves connections beyond a limit in the kernel's accept queue. Callers
// in that queue try another address after a second, whereas accepted connections would
// use memory and wait for the processor. Its connections are tracked; unlike those of
// netutil.LimitListener they expose their sockets, so that these can be checked for
// whether the caller has disconnected.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener. Only net/http calls it, for one connection after the
// other, so that the limit is never exceeded.
func (l *callerListener) Accept() (net.Conn, error) {
	l.conns.awaitSlot()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tracked := l.conns.add(conn); tracked != nil {
		return tracked, nil
	}
	_ = conn.Close()
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.conns.stop()
	return l.Listener.Close()
}

// track is the http.Server.ConnState hook of the callers' server.
func (c *callerConns) track(netConn net.Conn, state http.ConnState) {
	conn, ok := netConn.(*callerConn)
	if !ok {
		return
	}
	if closer := c.record(conn, state); closer != "" {
		c.reportUnanswered(conn, closer)
	}
}

// reportUnanswered reports a request that was read from a connection which is being closed.
// c.mu must not be held.
func (c *callerConns) reportUnanswered(conn *callerConn, closer connCloser) {
	if c.onUnanswered != nil {
		c.onUnanswered(unansweredConn{caller: remoteAddr(conn), closer: closer})
	}
}

// record records the state of a connection. If a request was read from it although this
// instance is about to close it, it returns what closes it.
func (c *callerConns) record(conn *callerConn, state http.ConnState) connCloser {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, conn)
	switch state {
	case http.StateIdle:
		c.idle[conn] = c.now()
	case http.StateClosed, http.StateHijacked:
		delete(c.fresh, conn)
		delete(c.idle, conn)
		c.open--
		c.slotFree.Signal()
	case http.StateActive:
		// A pipelined request may have been read together with the one before.
		delete(c.fresh, conn)
		delete(c.idle, conn)
		c.busy[conn] = c.now()
		if conn.closed {
			return closedAsIdle
		}
		if c.closing {
			return closedByShutdown
		}
	case http.StateNew:
		// add has recorded it.
	}
	return ""
}

// connCloser is what closed a connection.
type connCloser string

// What closes a connection with an unanswered request.
const (
	// closedAsIdle is a sweep or a graceful stop, which took the connection for idle.
	closedAsIdle     connCloser = "idle"
	closedByShutdown connCloser = "shutdown"
	// closedByAbort is the request's own handler, which had no complete answer.
	closedByAbort connCloser = "abort"
)

// unansweredConn is a connection that is closed while a request on it is unanswered.
type unansweredConn struct {
	// caller is the caller's address.
	caller string
	closer connCloser
	// since is the time since the request was read.
	since time.Duration
}

// remoteAddr returns the address of a connection's other end.
func remoteAddr(conn net.Conn) string {
	if conn == nil {
		return ""
	}
	return conn.RemoteAddr().String()
}

// connCounts are numbers of connections: open counts all, idle those without a request
// after their first, busy those with an unanswered request.
type connCounts struct{ open, idle, busy int }

// counts returns the current numbers of connections.
func (c *callerConns) counts() connCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connCounts{open: c.open, idle: len(c.idle), busy: len(c.busy)}
}

// beginClose must be called before the server closes all connections. It returns those
// with an unanswered request, the oldest first; onUnanswered is called for connections
// from which a request is read afterwards.
func (c *callerConns) beginClose() (connCounts, []unansweredConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	now := c.now()
	unanswered := make([]unansweredConn, 0, len(c.busy))
	for conn, since := range c.busy {
		unanswered = append(unanswered, unansweredConn{caller: remoteAddr(conn), closer: closedByShutdown, since: now.Sub(since)})
	}
	slices.SortFunc(unanswered, func(a, b unansweredConn) int { return cmp.Compare(b.since, a.since) })
	return connCounts{open: c.open, idle: len(c.idle), busy: len(c.busy)}, unanswered
}

// crowded reports whether connections should be closed after their response.
func (c *callerConns) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit > 0 && float64(c.open) > crowdedFraction*float64(c.limit)
}

// sweep closes connections that have been idle for longer than idleFor (0 for no limit)
// and, if too many connections are open, those that have been idle longest.
func (c *callerConns) sweep(idleFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if idleFor > 0 {
		for conn, since := range c.idle {
			if now.Sub(since) > idleFor+idleMargin {
				c.closeIdle(conn)
			}
		}
	}
	if c.limit == 0 || float64(c.open) <= trimAboveFraction*float64(c.limit) {
		return
	}
	surplus := c.open - int(trimToFraction*float64(c.limit))
	oldest := make([]*callerConn, 0, len(c.idle))
	for conn := range c.idle {
		oldest = append(oldest, conn)
	}
	slices.SortFunc(oldest, func(a, b *callerConn) int { return cmp.Compare(c.idle[a], c.idle[b]) })
	for _, conn := range oldest {
		if surplus <= 0 {
			return
		}
		if c.closeIdle(conn) {
			surplus--
		}
	}
}

// drain closes connections as they become idle, until none is open. It returns the error of
// ctx if ctx ends before.
func (c *callerConns) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for c.closeAllIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeAllIdle closes all connections without a request. It returns the number of
// connections that were open.
func (c *callerConns) closeAllIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		c.closeIdle(conn)
	}
	for conn := range c.fresh {
		c.closeIdle(conn)
	}
	return c.open
}

// closeIdle closes a connection without a request, unless one waits to be read. It reports
// whether it closed the connection. c.mu must be held: received locks it before a request is
// handled, so that no request is handled whose connection was closed.
func (c *callerConns) closeIdle(conn *callerConn) bool {
	if conn.hasUnread() {
		return false
	}
	delete(c.fresh, conn)
	delete(c.idle, conn)
	conn.closed = true
	_ = conn.Close()
	return true
}

// hasUnread reports whether bytes wait to be read in the socket's buffer.
func (c *callerConn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Control, unlike Read, does not wait for the Read that is pending on an idle connection.
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = n > 0 && err == nil
	})
	return unread
}
