package instance

import (
	"net"
	"net/netip"
	"sync"
)

// Limits on open caller connections.
const (
	// maxCallerConns bounds the connections of one instance.
	maxCallerConns = 4096
	// maxConnsPerIP bounds the connections from one remote IP.
	maxConnsPerIP = 1024
)

// connLimiter is a listener that closes connections beyond its limits as soon as they
// are accepted. It is safe for concurrent use. Each accept takes O(1).
type connLimiter struct {
	net.Listener
	total int
	perIP int

	mu       sync.Mutex
	openByIP map[string]int
	open     int
}

// limitConns wraps a listener and bounds its open connections, in total and per remote
// IP.
func limitConns(l net.Listener, total, perIP int) *connLimiter {
	return &connLimiter{Listener: l, total: total, perIP: perIP, openByIP: make(map[string]int)}
}

// Accept implements net.Listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := remoteIP(conn)
		if l.acquire(ip) {
			return &countedConn{Conn: conn, release: sync.OnceFunc(func() { l.release(ip) })}, nil
		}
		conn.Close()
	}
}

func (l *connLimiter) acquire(ip string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.total || l.openByIP[ip] >= l.perIP {
		return false
	}
	l.open++
	l.openByIP[ip]++
	return true
}

func (l *connLimiter) release(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.openByIP[ip]--
	if l.openByIP[ip] == 0 {
		delete(l.openByIP, ip)
	}
}

func remoteIP(conn net.Conn) string {
	text := conn.RemoteAddr().String()
	if addr, err := netip.ParseAddrPort(text); err == nil {
		return addr.Addr().Unmap().String()
	}
	return text
}

// countedConn is a connection that stops counting against the limits when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
