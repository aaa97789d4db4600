package gateway

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

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

// callerConns tracks the open connections of callers, which of them are idle and which
// carry a request. It is safe for concurrent use.
type callerConns struct {
	// limit bounds the open connections; 0 for no bound.
	limit int
	now   clock.Source

	mu   sync.Mutex
	open int
	// idle maps each idle connection to the time at which it became idle.
	idle map[net.Conn]clock.Instant
	// busy maps each connection with an unanswered request to the time at which its header
	// was read.
	busy map[net.Conn]clock.Instant
	// swept holds the connections closed by sweep until net/http has noticed.
	swept map[net.Conn]struct{}
	// closing is set when the server is about to close all connections.
	closing bool
	// onUnanswered is called for each connection from which a request, or a part of its
	// header, was read although sweep or the shutdown closes it. c.mu is not held.
	onUnanswered func(unansweredConn)
	// slotFree is signalled when a connection closes and when stopped is set.
	slotFree *sync.Cond
	stopped  bool
}

func newCallerConns(limit int, now clock.Source) *callerConns {
	c := &callerConns{limit: limit, now: now, idle: make(map[net.Conn]clock.Instant), busy: make(map[net.Conn]clock.Instant), swept: make(map[net.Conn]struct{})}
	c.slotFree = sync.NewCond(&c.mu)
	return c
}

// awaitSlot blocks until one more connection may be accepted or stop is called.
func (c *callerConns) awaitSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open >= c.limit && !c.stopped {
		c.slotFree.Wait()
	}
}

// stop releases all callers of awaitSlot.
func (c *callerConns) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.slotFree.Broadcast()
}

// boundedListener leaves connections beyond a limit in the kernel's accept queue. Callers
// in that queue try another address after a second, whereas accepted connections would
// use memory and wait for the processor. Accept returns the connections of the inner
// listener unwrapped, so that their sockets can be checked for whether the caller has
// disconnected; netutil.LimitListener would hide them.
type boundedListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener. net/http calls callerConns.track for a connection before
// it accepts the next one, so that the limit is never exceeded.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.conns.awaitSlot()
	return l.Listener.Accept()
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.conns.stop()
	return l.Listener.Close()
}

// track is the http.Server.ConnState hook of the callers' server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	if closer := c.record(conn, state); closer != "" && c.onUnanswered != nil {
		c.onUnanswered(unansweredConn{caller: remoteAddr(conn), closer: closer})
	}
}

// record records the state of a connection. If a request was read from it although this
// instance has closed it or is about to, it returns what closes it.
func (c *callerConns) record(conn net.Conn, state http.ConnState) connCloser {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	delete(c.busy, conn)
	switch state {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.idle[conn] = c.now()
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.swept, conn)
		c.slotFree.Signal()
	case http.StateActive:
		c.busy[conn] = c.now()
		if _, swept := c.swept[conn]; swept {
			return closedBySweep
		}
		if c.closing {
			return closedByShutdown
		}
	}
	return ""
}

// connCloser is what closed a connection.
type connCloser string

// What closes a connection with an unanswered request.
const (
	closedBySweep    connCloser = "sweep"
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
// and, if too many connections are open, those that have been idle longest. It closes
// them while holding c.mu: track locks it as soon as a request arrives, so that no
// connection is closed after a request was read from it.
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
	oldest := make([]net.Conn, 0, len(c.idle))
	for conn := range c.idle {
		oldest = append(oldest, conn)
	}
	slices.SortFunc(oldest, func(a, b net.Conn) int { return cmp.Compare(c.idle[a], c.idle[b]) })
	for _, conn := range oldest[:min(surplus, len(oldest))] {
		c.closeIdle(conn)
	}
}

// closeIdle closes an idle connection. c.mu must be held.
func (c *callerConns) closeIdle(conn net.Conn) {
	delete(c.idle, conn)
	c.swept[conn] = struct{}{}
	_ = conn.Close()
}
