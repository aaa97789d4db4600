package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// acceptRetryDelay is the wait after a failed Accept.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections from ln until the transport or ln is closed. Other
// accept errors are logged and retried. It closes ln before it returns. It returns
// nil after Close and otherwise an error of KindClosed.
func (t *Transport) Serve(ln net.Listener) error {
	if !t.addListener(ln) {
		_ = ln.Close()
		return newError(KindClosed, nil)
	}
	defer t.removeListener(ln)
	for {
		conn, err := ln.Accept()
		switch {
		case t.ctx.Err() != nil:
			closeIfOpen(conn)
			return nil
		case errors.Is(err, net.ErrClosed):
			return newError(KindClosed, err)
		case err != nil:
			t.options.Log.Warn().Err(err).Msg("peer accept failed")
			t.sleep(t.ctx, acceptRetryDelay)
		default:
			t.accept(conn)
		}
	}
}

// closeIfOpen closes conn unless it is nil.
func closeIfOpen(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// addListener records ln so that Close closes it; false after Close.
func (t *Transport) addListener(ln net.Listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.listeners[ln] = struct{}{}
	return true
}

// removeListener removes and closes ln.
func (t *Transport) removeListener(ln net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.listeners, ln)
	_ = ln.Close()
}

// accept starts the handshake of an accepted connection, or closes the connection if
// a limit is reached or the transport is closed.
func (t *Transport) accept(conn net.Conn) {
	if t.atConnLimit() {
		t.logRefused(conn, errorf(KindQueueFull, "limit of %d open connections is reached", t.options.MaxConns))
		_ = conn.Close()
		return
	}
	slots := t.handshakeSlots(conn.RemoteAddr())
	select {
	case slots <- struct{}{}:
	default:
		t.logRefused(conn, errorf(KindQueueFull, "limit of %d concurrent handshakes is reached", MaxHandshakes))
		_ = conn.Close()
		return
	}
	if !t.trackGoroutine() {
		<-slots
		_ = conn.Close()
		return
	}
	go t.handshake(conn, slots)
}

// atConnLimit reports whether Options.MaxConns connections are open.
func (t *Transport) atConnLimit() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.options.MaxConns > 0 && len(t.open) >= t.options.MaxConns
}

// handshake runs in its own goroutine from the accept of a connection until the
// peer's hello. It returns its slot at the end.
func (t *Transport) handshake(conn net.Conn, slots <-chan struct{}) {
	defer t.running.Done()
	defer func() { <-slots }()
	ctx, cancel := context.WithTimeout(t.ctx, t.options.SilenceTimeout)
	defer cancel()
	l, err := t.secure(ctx, conn, "")
	if err != nil {
		t.logRefused(conn, err)
		return
	}
	l.waitHello()
}

// handshakeSlots returns the semaphore for handshakes of connections from addr.
// Addresses of listed peers have their own, so that other hosts cannot use up the
// slots of listed peers.
func (t *Transport) handshakeSlots(addr net.Addr) chan struct{} {
	host := hostOf(addr.String())
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, d := range t.dialers {
		if hostOf(d.addr) == host {
			return t.peerHandshakes
		}
	}
	return t.otherHandshakes
}

// hostOf returns the IP address of an IP:port, or addr itself if it has another
// form.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// trackGoroutine adds a goroutine to t.running, for which Close waits. It returns
// false after Close, and the goroutine must not be started then.
func (t *Transport) trackGoroutine() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.closed {
		return false
	}
	t.running.Add(1)
	return true
}

// secure does the TLS handshake on a new connection, unless TLS is off, and starts
// its goroutines. dialed is the instance that was dialled, empty for an accepted
// connection. It closes conn on errors.
func (t *Transport) secure(ctx context.Context, conn net.Conn, dialed fleet.InstanceID) (*link, error) {
	meter := &meteredConn{Conn: conn, timeout: t.options.SilenceTimeout, now: t.options.Now}
	if t.options.TLS == nil {
		return t.startLink(meter, meter, dialed, nil)
	}
	secured := t.wrapTLS(meter, dialed)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		t.addUnidentified(meter)
		return nil, tlsError(err)
	}
	chain := secured.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		_ = conn.Close()
		return nil, errorf(KindTLS, "peer presented no certificate")
	}
	return t.startLink(secured, meter, dialed, chain[0])
}

// wrapTLS returns the client side of a TLS connection if dialed is set, else the
// server side.
func (t *Transport) wrapTLS(conn net.Conn, dialed fleet.InstanceID) *tls.Conn {
	if dialed == "" {
		return tls.Server(conn, t.options.TLS)
	}
	return tls.Client(conn, clientConfig(t.options.TLS, dialed))
}

// startLink creates the link of a connection, queues the hello if this instance
// dialled, and starts the reading and writing goroutines. It closes conn on errors.
func (t *Transport) startLink(conn net.Conn, meter *meteredConn, dialed fleet.InstanceID, certificate *x509.Certificate) (*link, error) {
	l := &link{
		t:           t,
		meter:       meter,
		outbox:      newOutbox(),
		dialed:      dialed,
		certificate: certificate,
		opened:      make(chan struct{}),
		started:     make(chan struct{}),
	}
	stream, err := newStream(conn, meter)
	if err != nil {
		_ = meter.Close()
		return nil, err
	}
	stream.onNotification, stream.onError = l.onNotification, l.setCause
	l.stream = stream
	if !t.addLink(l) {
		_ = meter.Close()
		return nil, newError(KindClosed, nil)
	}
	if dialed != "" {
		l.outbox.putControl(newCall(wire.MethodHello, t.options.Self))
	}
	logger := jsonrpc2.SetLogger(rpcLogger{t.options.Log})
	l.rpc = jsonrpc2.NewConn(context.Background(), stream, l, jsonrpc2.OnRecv(l.onReceive), logger)
	close(l.started)
	go l.writeLoop()
	return l, nil
}

// addLink adds an open connection and its writing goroutine; false after Close.
func (t *Transport) addLink(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.open[l] = struct{}{}
	t.running.Add(1)
	return true
}

// waitHello waits at most Options.SilenceTimeout for the peer's hello and reports
// whether it was accepted. On a timeout it closes the connection.
func (l *link) waitHello() bool {
	timer := time.NewTimer(l.t.options.SilenceTimeout)
	defer timer.Stop()
	select {
	case <-l.opened:
		return true
	case <-l.rpc.DisconnectNotify():
		return false
	case <-timer.C:
		l.abort(errorf(KindSilent, "no hello received in time"))
		return false
	}
}
