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

// Constants of callers' connections.
const (
	// crowdedPart is the part of the connections from which each answer closes its own.
	crowdedPart = 0.5
	// fullPart is the part from which idle connections are closed early, down to
	// relievedPart.
	fullPart     = 0.75
	relievedPart = 0.6
	// idleMargin is added to the configured idle time: callers may reuse a connection
	// until shortly before it.
	idleMargin = time.Second
)

// callerConns knows the open connections of callers and which of them are idle.
type callerConns struct {
	limit int
	now   clock.Source

	mu   sync.Mutex
	open int
	idle map[net.Conn]clock.Instant
	// room is signalled when a connection ends, and when stopped is set.
	room    *sync.Cond
	stopped bool
}

func newCallerConns(limit int, now clock.Source) *callerConns {
	c := &callerConns{limit: limit, now: now, idle: make(map[net.Conn]clock.Instant)}
	c.room = sync.NewCond(&c.mu)
	return c
}

// awaitRoom waits until one more connection may be taken.
func (c *callerConns) awaitRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open >= c.limit && !c.stopped {
		c.room.Wait()
	}
}

// stop ends all waiting for room.
func (c *callerConns) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.room.Broadcast()
}

// boundedListener leaves connections beyond a bound in the kernel's queue: callers there
// try another address after a second, while accepted they would take memory and wait for
// the processor. Its connections are the listener's own, so that their sockets can be
// asked whether the caller has left; netutil.LimitListener hides them.
type boundedListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener. net/http counts a connection before it accepts the
// next.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.conns.awaitRoom()
	return l.Listener.Accept()
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.conns.stop()
	return l.Listener.Close()
}

// track is the ConnState hook of callers' server.
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
		c.room.Signal()
	case http.StateActive:
	}
}

// crowded reports whether connections are to be closed after their answer.
func (c *callerConns) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit > 0 && float64(c.open) > crowdedPart*float64(c.limit)
}

// sweep closes connections that have been idle for longer than idleFor, and the ones
// idle longest if there are too many. It closes them under the mutex that track needs
// first when a request comes, so that none is closed that has been read.
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
	if c.limit == 0 || float64(c.open) <= fullPart*float64(c.limit) {
		return
	}
	surplus := c.open - int(relievedPart*float64(c.limit))
	oldest := make([]net.Conn, 0, len(c.idle))
	for conn := range c.idle {
		oldest = append(oldest, conn)
	}
	slices.SortFunc(oldest, func(a, b net.Conn) int { return cmp.Compare(c.idle[a], c.idle[b]) })
	for _, conn := range oldest[:min(surplus, len(oldest))] {
		c.closeIdle(conn)
	}
}

func (c *callerConns) closeIdle(conn net.Conn) {
	delete(c.idle, conn)
	_ = conn.Close()
}
