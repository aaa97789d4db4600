package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Thresholds for closing idle connections of callers; the fractions are of callerConns.limit.
const (
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

// idleState describes a connection between two requests: since when it is idle and the idle
// timeout in force at that time, 0 for none.
type idleState struct {
	since   clock.Instant
	timeout time.Duration
}

// limit returns how long the connection may stay idle while the timeout in force is current. A
// timeout that was lowered since does not apply: the caller may know only the one before.
func (s idleState) limit(current time.Duration) time.Duration {
	return max(s.timeout, current) + idleMargin
}

// idleReason is why a connection without a request was closed.
type idleReason string

// Reasons for closing a connection without a request.
const (
	idleTooLong idleReason = "limit"
	// idleSurplus is that too many connections are open.
	idleSurplus idleReason = "surplus"
	idleAtStop  idleReason = "stop"
)

// takeClosedIdle returns how many connections without a request were closed since the last call,
// by reason.
func (c *callerConns) takeClosedIdle() map[idleReason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.closedIdle
	c.closedIdle = make(map[idleReason]int)
	return taken
}

// sweep closes connections that have been idle for longer than idleFor (0 for no limit), or
// than the longer timeout in force when they became idle, and, if too many connections are open,
// those that have been idle longest.
func (c *callerConns) sweep(idleFor time.Duration) {
	now := c.now()
	if idleFor > 0 {
		overdue := func(s idleState) bool { return now.Sub(s.since) > s.limit(idleFor) }
		for _, conn := range c.idleWhere(overdue) {
			c.closeIdle(conn, idleTooLong)
		}
	}
	surplus := c.surplus()
	if surplus <= 0 {
		return
	}
	for _, conn := range c.idleWhere(func(s idleState) bool { return s.since < now }) {
		if surplus <= 0 {
			return
		}
		if c.closeIdle(conn, idleSurplus) {
			surplus--
		}
	}
}

// surplus returns how many connections are to be closed because too many are open.
func (c *callerConns) surplus() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == 0 || float64(c.open) <= trimAboveFraction*float64(c.limit) {
		return 0
	}
	return c.open - int(trimToFraction*float64(c.limit))
}

// idleWhere returns the idle connections with a property, the longest idle first.
func (c *callerConns) idleWhere(has func(idleState) bool) []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []*callerConn
	for conn, state := range c.idle {
		if has(state) {
			conns = append(conns, conn)
		}
	}
	slices.SortFunc(conns, func(a, b *callerConn) int { return cmp.Compare(c.idle[a].since, c.idle[b].since) })
	return conns
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
	open := c.open
	conns := slices.AppendSeq(slices.Collect(maps.Keys(c.idle)), maps.Keys(c.fresh))
	c.mu.Unlock()
	for _, conn := range conns {
		c.closeIdle(conn, idleAtStop)
	}
	return open
}

// closeIdle closes a connection without a request, unless bytes of one have arrived. It reports
// whether it closed the connection. c.mu must not be held: others need it for each request, and
// closing many connections takes long.
func (c *callerConns) closeIdle(conn *callerConn, why idleReason) bool {
	if !c.forgetIdle(conn) {
		return false
	}
	// Close waits until no Read uses the socket, and such a Read may wait for conn.mu.
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedIdle[why]++
	return true
}

// forgetIdle marks a connection without a request as closed, unless bytes of one have arrived. It
// reports whether it has marked it.
func (c *callerConns) forgetIdle(conn *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, isIdle := c.idle[conn]
	_, isFresh := c.fresh[conn]
	if !isIdle && !isFresh {
		return false
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.used || conn.hasUnread() {
		return false
	}
	conn.closed, conn.lastIdle = true, state
	delete(c.fresh, conn)
	delete(c.idle, conn)
	return true
}

// hasUnread reports whether bytes wait to be read in the socket's buffer.
func (c *callerConn) hasUnread() bool {
	if c.socket == nil {
		return false
	}
	unread := false
	// Control, unlike Read, does not wait for the Read that is pending on an idle connection.
	_ = c.socket.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = n > 0 && err == nil
	})
	return unread
}
