package gateway

import (
	"time"

	"github.com/pkg/errors"
)

// Limits of the heads of callers' requests.
const (
	// maxHeadLines limits the lines of a head. A field takes many times the size of a short line in
	// memory.
	maxHeadLines = 256
	// freeHeadBytes is the part of a head that does not count towards callerConns.headMemory, in
	// bytes. Ordinary heads are smaller.
	freeHeadBytes = 8 << 10
	// headMargin is added to the configured time for a head, which callers may use up.
	headMargin = time.Second
)

// errHeadMemory ends the reading of a long head while others use up the memory for heads.
var errHeadMemory = errors.New("no memory left for the head of a request")

// SetReadDeadline implements net.Conn. While a head is due, net/http sets only the deadline of that
// head, by its fixed timeout. The configured one replaces it, for the first head of a connection
// from its first byte on: see limitHead.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.conns.mu.Lock()
	isDue := c.head.IsOpen()
	_, isFresh := c.conns.fresh[c]
	c.conns.mu.Unlock()
	if timeout := c.conns.headTimeout(); timeout > 0 && !t.IsZero() && isDue {
		configured := time.Now().Add(timeout + headMargin)
		if !isFresh || configured.After(t) {
			t = configured
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// awaitsHead reports whether the head of the next request has not been read.
func (c *callerConn) awaitsHead() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.head.IsOpen()
}

// limitHead applies the limits of heads to what a read returned: n bytes of b, and err. It returns
// the bytes that may be used.
func (c *callerConn) limitHead(b []byte, n int, err error) (int, error) {
	if n <= 0 {
		return n, err
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.head.IsOpen() {
		return n, err
	}
	within, lineErr := c.head.Scan(b[:n])
	if lineErr != nil {
		return within, lineErr
	}
	isFirst := c.headBytes == 0
	if !c.conns.holdHead(c, int64(n)) {
		return 0, errHeadMemory
	}
	if timeout := c.conns.headTimeout(); timeout > 0 && isFirst && c.head.IsOpen() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(timeout + headMargin))
	}
	return n, err
}

// holdHead reserves memory for n more bytes of a head. c.mu must be held.
func (c *callerConns) holdHead(conn *callerConn, n int64) bool {
	conn.headBytes += n
	more := max(conn.headBytes-freeHeadBytes, 0) - conn.headHeld
	if c.headMemory > 0 && more > 0 && c.heads+more > c.headMemory {
		return false
	}
	c.heads += more
	conn.headHeld += more
	return true
}

// endHead returns the memory for the head of a request that has been read. c.mu must be held.
func (c *callerConns) endHead(conn *callerConn) {
	c.heads -= conn.headHeld
	conn.headBytes, conn.headHeld = 0, 0
}
