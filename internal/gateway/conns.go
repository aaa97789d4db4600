package gateway

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/httphead"
)

// crowdedFraction is the fraction of callerConns.limit above which each response closes its
// connection.
const crowdedFraction = 0.5

// callerConns tracks the open connections of callers, which of them are idle and which
// carry a request. It is safe for concurrent use.
type callerConns struct {
	// limit bounds the open connections; 0 for no bound.
	limit int
	now   clock.Source

	mu   sync.Mutex
	open int
	// fresh holds the connections on which nothing has arrived yet, idle those between two
	// requests.
	fresh map[*callerConn]struct{}
	idle  map[*callerConn]idleState
	// closedIdle counts the connections without a request that were closed.
	closedIdle map[idleReason]int
	// busy maps each connection with an unanswered request to the time at which its header
	// was read.
	busy map[*callerConn]clock.Instant
	// closing is set when the server is about to close all connections.
	closing bool
	// idleTimeout and headTimeout return the timeouts in force for idle connections and heads,
	// 0 for none. They must not block.
	idleTimeout, headTimeout func() time.Duration
	// onUnanswered is called for each connection from which a request was read although sweep
	// or the shutdown closes it. c.mu is not held.
	onUnanswered func(unansweredConn)
	// headMemory bounds the bytes of all heads that have begun, beyond freeHeadBytes each; 0 for no
	// bound. heads is what they hold.
	headMemory int64
	heads      int64
	// early refuses requests before net/http parses them; nil if that is switched off.
	early *earlyRefuser
	// handOver hands connections over to peers; nil if that is switched off.
	handOver *handOver
	// slotFree is signalled when a connection closes and when stopped is set.
	slotFree *sync.Cond
	stopped  bool
}

func newCallerConns(limit int, now clock.Source) *callerConns {
	c := &callerConns{
		limit: limit, now: now, fresh: make(map[*callerConn]struct{}),
		idle: make(map[*callerConn]idleState), busy: make(map[*callerConn]clock.Instant),
		closedIdle: make(map[idleReason]int), idleTimeout: noTimeout, headTimeout: noTimeout,
	}
	c.slotFree = sync.NewCond(&c.mu)
	return c
}

func noTimeout() time.Duration { return 0 }

// callerConn is a connection of a caller. net/http reports a request only once its header
// is complete; callerConn reports its first byte, so that the connection does not count as
// idle while a request arrives.
type callerConn struct {
	net.Conn
	conns *callerConns
	// socket is the connection's socket, nil if it has none.
	socket syscall.RawConn

	// mu makes taking bytes out of the kernel's buffer and closing the connection as idle
	// exclude each other. It is locked after conns.mu and never while waiting.
	mu sync.Mutex
	// used is set once bytes were read since the connection was last idle, closed once conns
	// has closed the connection.
	used, closed bool
	// lastIdle is the state in which the connection was closed as idle. conns.mu guards it.
	lastIdle idleState

	// head counts the lines of the head that is being read, headBytes its bytes. headHeld is what it
	// holds of conns.headMemory. conns.mu guards them.
	head                httphead.Counter
	headBytes, headHeld int64

	// firstRead is set once readFirst has read something; pending is what it has read beyond what it
	// returned. Only the goroutine that reads uses them.
	firstRead bool
	pending   []byte

	// caller is the caller's address if a peer has handed the connection over, nil otherwise.
	caller net.Addr
}

// RemoteAddr implements net.Conn. It returns the address of the caller, not that of a peer.
func (c *callerConn) RemoteAddr() net.Addr {
	if c.caller != nil {
		return c.caller
	}
	return c.Conn.RemoteAddr()
}

// Read implements net.Conn. It returns nothing from a connection that was closed as idle: the
// request could not be answered.
func (c *callerConn) Read(b []byte) (int, error) {
	switch {
	case len(c.pending) > 0:
		return c.readPending(b)
	case !c.firstRead && c.conns.early != nil:
		return c.readFirst(b)
	}
	n, err := c.receive(func() []byte { return b })
	return c.limitHead(b, n, err)
}

// receive reads from the connection into the buffer that buffer returns. On a socket it is called
// when bytes may have arrived, more than once if they have not.
func (c *callerConn) receive(buffer func() []byte) (int, error) {
	if c.socket == nil {
		n, err := c.Conn.Read(buffer())
		if n > 0 && !c.use() {
			c.conns.reportUnanswered(c, closedAsIdle)
			return 0, net.ErrClosed
		}
		return n, err
	}
	n, err := c.readSocket(buffer)
	if n > 0 {
		c.conns.received(c)
	}
	return n, err
}

// use records that bytes were read. It returns false if the connection was closed before.
func (c *callerConn) use() bool {
	c.mu.Lock()
	c.used = true
	open := !c.closed
	c.mu.Unlock()
	c.conns.received(c)
	return open
}

// readSocket reads what has arrived, or waits for it, unless the connection was closed as idle.
func (c *callerConn) readSocket(buffer func() []byte) (int, error) {
	var n, size int
	var readErr error
	receive := func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			n, readErr = 0, net.ErrClosed
			return true
		}
		b := buffer()
		size = len(b)
		for {
			if n, readErr = unix.Read(int(fd), b); readErr != unix.EINTR {
				break
			}
		}
		c.used = c.used || n > 0
		return readErr != unix.EAGAIN
	}
	err := c.socket.Read(receive)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.awaitsHead() {
		// An instance that is late itself must not cut a head that has arrived.
		received := false
		if c.socket.Control(func(fd uintptr) { received = receive(fd) }) == nil && received {
			err = nil
		}
	}
	switch {
	case err != nil:
		return 0, c.readError(err)
	case readErr != nil:
		return 0, c.readError(readErr)
	case n == 0 && size > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readError returns err as net.TCPConn would: net/http tells errors of reads by their type.
func (c *callerConn) readError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) {
		err = operation.Err
	}
	var number syscall.Errno
	if errors.As(err, &number) {
		err = os.NewSyscallError("read", number)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
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
	conn := &callerConn{Conn: inner, conns: c, head: httphead.Counter{Max: maxHeadLines}}
	conn.head.Begin()
	if sc, ok := inner.(syscall.Conn); ok {
		// Without a socket the connection is closed: Read then returns the error.
		conn.socket, _ = sc.SyscallConn()
	}
	c.open++
	c.fresh[conn] = struct{}{}
	return conn
}

// received records that bytes were read from a connection, which therefore is not idle.
func (c *callerConns) received(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.idle, conn)
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
	if c.onUnanswered == nil {
		return
	}
	u := unansweredConn{caller: remoteAddr(conn), closer: closer}
	c.mu.Lock()
	if state := conn.lastIdle; state != (idleState{}) {
		u.idle, u.idleTimeout = c.now().Sub(state.since), state.timeout
	}
	c.mu.Unlock()
	c.onUnanswered(u)
}

// record records the state of a connection. If a request was read from it although this
// instance is about to close it, it returns what closes it.
func (c *callerConns) record(conn *callerConn, state http.ConnState) connCloser {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, conn)
	switch state {
	case http.StateIdle:
		c.idle[conn] = idleState{since: c.now(), timeout: c.idleTimeout()}
		c.endHead(conn)
		conn.head.Begin()
		conn.mu.Lock()
		conn.used = len(conn.pending) > 0
		conn.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		delete(c.fresh, conn)
		delete(c.idle, conn)
		c.endHead(conn)
		c.open--
		c.slotFree.Signal()
	case http.StateActive:
		// A pipelined request may have been read together with the one before.
		delete(c.fresh, conn)
		delete(c.idle, conn)
		// The head may have been read together with the request before.
		c.endHead(conn)
		conn.head.End()
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
	// idle is the time since a connection that was closed as idle became so, idleTimeout the timeout
	// in force then.
	idle, idleTimeout time.Duration
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
