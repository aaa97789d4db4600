package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts and limits of connections to targets.
const (
	// DialTimeout limits how long opening a connection may take. It allows for several
	// round trips between regions.
	DialTimeout = 400 * time.Millisecond
	// idleUnackedTimeout is how long probes may stay unacknowledged before the kernel closes an
	// idle connection, so that no request is sent to a target that has become unreachable.
	idleUnackedTimeout = 1500 * time.Millisecond
	// requestUnackedTimeout is how long sent bytes may stay unacknowledged while a request is on
	// the connection. A target that is silent may be sound and go on: the run ends with the time of
	// the request, which is shorter.
	requestUnackedTimeout = time.Minute
	// keepAliveIdle and keepAliveInterval are the times after which probes are sent. While a request
	// is on the connection, they find out that the target has forgotten it. How long they may go
	// unanswered follows from the timeouts above; keepAliveCount is the same limit for a kernel
	// that counts probes beside TCP_USER_TIMEOUT.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = int(requestUnackedTimeout / keepAliveInterval)
	// defaultIdleTimeout is how long a connection stays idle if the target's response has
	// no timeout in its Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout in a target's Keep-Alive header, to allow
	// for the time that a request takes to reach the target.
	idleMargin = 1500 * time.Millisecond
	// maxIdlePerTarget limits the idle connections to one target.
	maxIdlePerTarget = 16
	// readBufferSize is the size of a connection's read buffer in bytes; events are far
	// smaller.
	readBufferSize = 4 << 10
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limit limits what reader reads from the connection.
	limit *limitedReader
	// addr is the target's IP:port, the key of the connection in the pool.
	addr string
	// answered reports whether a response has been read from the connection.
	answered bool
	// expires is the time after which the connection must not be reused.
	expires time.Time
}

// pool keeps idle connections by target address, the most recently used last. It is safe
// for concurrent use.
type pool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// NewDialer returns a dialer with keep-alive and TCP_USER_TIMEOUT settings that detect an
// unreachable target quickly.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, idleUnackedTimeout) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, how long sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// watchIdle makes the kernel close the connection soon once the target is unreachable, as it should
// while the connection is idle; or ends that, before a request is sent. Probes are sent all the while.
func (c *conn) watchIdle(idle bool) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	if idle {
		return setUserTimeout(raw, idleUnackedTimeout)
	}
	return setUserTimeout(raw, requestUnackedTimeout)
}

// get returns an idle connection that is still reusable, or opens a new one. It closes
// the idle connections that it finds no longer reusable.
func (p *pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.connect(ctx, addr)
		}
		if c.isReusable(time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
}

// connect opens a new connection.
func (p *pool) connect(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	limit := newLimitedReader(raw)
	return &conn{
		Conn: raw, reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit, addr: addr,
		expires: time.Now().Add(defaultIdleTimeout),
	}, nil
}

// take removes the most recently used idle connection from the pool and returns it. It
// returns nil if there is none.
func (p *pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[addr] = idle[:len(idle)-1]
	if len(idle) == 1 {
		delete(p.idle, addr)
	}
	return c
}

// put adds a connection to the pool for reuse, or closes it if the pool is closed or holds
// enough connections to the target.
func (p *pool) put(c *conn) {
	usable := c.watchIdle(true) == nil
	p.mu.Lock()
	keep := usable && !p.closed && len(p.idle[c.addr]) < maxIdlePerTarget
	if keep {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// sweep closes the idle connections that have expired at now.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for addr, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.After(c.expires) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// close closes all idle connections. Connections that are put later are closed, too.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, idle := range p.idle {
		for _, c := range idle {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// isReusable reports whether an idle connection has not expired, is still open and has no
// unread data. Such data would belong to no request.
func (c *conn) isReusable(now time.Time) bool {
	if c.reader.Buffered() > 0 || now.After(c.expires) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
