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

// Times and bounds of connections to targets.
const (
	// DialTimeout bounds a new connection: several round trips between regions.
	DialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose sent bytes nobody acknowledges, so that
	// one that went silent is noticed while its request has time left.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval show a silent connection while an answer is
	// awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// idleLifetime closes idle connections to targets that state no limit.
	idleLifetime = 4 * time.Second
	// idleMargin is taken off the limit that a target states, for the time a request
	// takes to reach it.
	idleMargin = 1500 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 16
	// readBuffer is the buffer of a connection, in bytes; events are far smaller.
	readBuffer = 4 << 10
)

// conn is a connection to a target that carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// addr is the key in the pool.
	addr string
	// reused says that the connection carried an exchange before.
	reused bool
	// expires is when the connection may no longer be reused.
	expires time.Time
}

// pool keeps idle connections, newest last.
type pool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// NewDialer returns a dialer whose connections show their silence.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return limitUnacked(raw) },
	}
}

// limitUnacked sets how long sent bytes may stay unacknowledged.
func limitUnacked(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// get returns an idle connection that is still open and silent, or a new one.
func (p *pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.connect(ctx, addr)
		}
		if c.isFresh(time.Now()) {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *pool) connect(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), addr: addr}, nil
}

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

// put keeps a connection for reuse.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	keep := !p.closed && len(p.idle[c.addr]) < maxIdlePerTarget
	if keep {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// sweep closes the idle connections that have expired.
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

// isFresh reports whether nothing has arrived on an idle connection, neither its end
// nor bytes that belong to no request.
func (c *conn) isFresh(now time.Time) bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
