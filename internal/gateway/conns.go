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

// callerConns tracks the open connections of callers and which of them are idle. It is
// safe for concurrent use.
type callerConns struct {
	// limit bounds the open connections; 0 for no bound.
	limit int
	now   clock.Source

	mu   sync.Mutex
	open int
	// idle maps each idle connection to the time at which it became idle.
	idle map[net.Conn]clock.Instant
	// slotFree is signalled when a connection closes and when stopped is set.
	slotFree *sync.Cond
	stopped  bool
}

func newCallerConns(limit int, now clock.Source) *callerConns {
	c := &callerConns{limit: limit, now: now, idle: make(map[net.Conn]clock.Instant)}
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
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	switch state {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.idle[conn] = c.now()
	case http.StateClosed, http.StateHijacked:
		c.open--
		c.slotFree.Signal()
	case http.StateActive:
	}
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
	_ = conn.Close()
}
