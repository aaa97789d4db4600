package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/handover"
)

// Limits of connections that peers hand over.
const (
	// preambleTime bounds the time from accepting a connection to its preamble, maxPreambles the
	// connections for which one is awaited. The instances that send them are late: with 128, 60 of 700
	// connections a second were refused.
	preambleTime = 3 * time.Second
	maxPreambles = 512
	// acceptRetryDelay is the time after an accept that failed.
	acceptRetryDelay = 10 * time.Millisecond
)

// handOverListener accepts the connections that peers hand over, with the addresses of their callers.
type handOverListener struct {
	net.Listener
	conns *callerConns
	// admits reports whether one more connection is taken over. refused counts one that is not, begun one
	// whose preamble has arrived.
	admits         func() bool
	refused, begun func()
	slots          chan struct{}
	taken          chan net.Conn
	closed         chan struct{}
	once           sync.Once
}

func newHandOverListener(inner net.Listener, conns *callerConns, admits func() bool, refused, begun func()) *handOverListener {
	slots := maxPreambles
	if conns.limit > 0 {
		slots = min(slots, conns.limit/handedOverDivisor+1)
	}
	return &handOverListener{
		Listener: inner, conns: conns, admits: admits, refused: refused, begun: begun, slots: make(chan struct{}, slots),
		taken: make(chan net.Conn), closed: make(chan struct{}),
	}
}

// run accepts connections until the listener is closed. It never waits for a connection.
func (l *handOverListener) run() {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			_ = l.Close()
			return
		}
		if err != nil {
			// The process may have no descriptor left for the moment.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !l.admits() {
			l.refused()
			_ = conn.Close()
			continue
		}
		select {
		case l.slots <- struct{}{}:
			go l.greet(conn)
		default:
			l.refused()
			_ = conn.Close()
		}
	}
}

// greet accepts a connection towards the peer and reads its preamble, and no byte more.
func (l *handOverListener) greet(conn net.Conn) {
	defer func() { <-l.slots }()
	_ = conn.SetDeadline(time.Now().Add(preambleTime))
	var preamble [handover.PreambleBytes]byte
	_, err := conn.Write([]byte{handover.Accepted})
	if err == nil {
		_, err = io.ReadFull(conn, preamble[:])
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	caller, err := handover.ParsePreamble(preamble[:])
	tracked := l.conns.add(conn)
	if err != nil || tracked == nil {
		_ = conn.Close()
		if tracked != nil {
			l.conns.drop(tracked)
		}
		return
	}
	l.begun()
	tracked.caller = net.TCPAddrFromAddrPort(caller)
	_ = conn.SetDeadline(time.Time{})
	select {
	case l.taken <- tracked:
	case <-l.closed:
		_ = conn.Close()
		l.conns.drop(tracked)
	}
}

// Accept implements net.Listener.
func (l *handOverListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.taken:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handOverListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// drop forgets a connection that no server gets.
func (c *callerConns) drop(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	c.open--
	c.slotFree.Signal()
}

// admitsHandOver reports whether this instance takes over one more connection.
func (g *Gateway) admitsHandOver() bool {
	h := g.callers.handOver
	if g.leaving.Load() || g.scheduler.IsLate() || g.callers.crowded() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.intake.Allow(h.total, h.now())
}

// listenForHandOver opens the port for connections that peers hand over. The instance works without it:
// another process may use the port.
func (g *Gateway) listenForHandOver() net.Listener {
	addr := g.options.Settings.HandOverAddr
	if g.callers.handOver == nil || addr == "" {
		return nil
	}
	inner, err := g.options.Listen(addr)
	if err != nil {
		g.options.Log.Warn().Str("event", "hand_over_port_failed").Str("addr", addr).Err(err).Msg("")
		return nil
	}
	g.handOverListener = newHandOverListener(inner, g.callers, g.admitsHandOver,
		func() { g.metrics.handOverRefused.Add(1) }, func() { g.metrics.handOverTaken.Add(1) })
	g.mu.Lock()
	g.handOverAddr = addr
	g.mu.Unlock()
	return g.handOverListener
}

// newHandOverServer returns the server of connections that peers hand over.
func (g *Gateway) newHandOverServer() *http.Server {
	server := newServer(g.handler)
	server.ConnState, server.ConnContext, server.IdleTimeout = g.callers.track, withCallerConn, 0
	// The instance that hands a connection over copies bytes and cannot tell a second request.
	server.SetKeepAlivesEnabled(false)
	return server
}
