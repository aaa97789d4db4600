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

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections from ln until the transport is closed or ln fails for
// good. It closes ln and returns nil after Close.
func (t *Transport) Serve(ln net.Listener) error {
	if !t.addListener(ln) {
		_ = ln.Close()
		return failure(KindClosed, nil)
	}
	defer t.removeListener(ln)
	for {
		conn, err := ln.Accept()
		switch {
		case t.ctx.Err() != nil:
			closeIfOpen(conn)
			return nil
		case errors.Is(err, net.ErrClosed):
			return failure(KindClosed, err)
		case err != nil:
			t.options.Log.Warn().Err(err).Msg("peer accept failed")
			t.sleep(t.ctx, acceptRetryDelay)
		default:
			t.accept(conn)
		}
	}
}

func closeIfOpen(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

func (t *Transport) addListener(ln net.Listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.listeners[ln] = struct{}{}
	return true
}

func (t *Transport) removeListener(ln net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.listeners, ln)
	_ = ln.Close()
}

// accept starts the handshake of an accepted connection.
func (t *Transport) accept(conn net.Conn) {
	if t.full() {
		t.logRefused(conn, failuref(KindQueueFull, "%d connections", t.options.MaxConns))
		_ = conn.Close()
		return
	}
	slots := t.handshakeSlots(conn.RemoteAddr())
	select {
	case slots <- struct{}{}:
	default:
		t.logRefused(conn, failuref(KindQueueFull, "%d handshakes", MaxHandshakes))
		_ = conn.Close()
		return
	}
	if !t.begin() {
		<-slots
		_ = conn.Close()
		return
	}
	go t.handshake(conn, slots)
}

// full reports whether no further connection is accepted.
func (t *Transport) full() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.options.MaxConns > 0 && len(t.open) >= t.options.MaxConns
}

// handshake is the goroutine of an accepted connection until the peer's hello.
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
	l.waitOpened()
}

// handshakeSlots returns the bound that holds for connections from addr. Listed
// peers have one of their own, so that others cannot keep them out.
func (t *Transport) handshakeSlots(addr net.Addr) chan struct{} {
	host := hostOf(addr.String())
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, w := range t.wanted {
		if hostOf(w.addr) == host {
			return t.peerHandshakes
		}
	}
	return t.otherHandshakes
}

// hostOf returns the IP address of an IP:port.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// begin counts a goroutine; false after Close.
func (t *Transport) begin() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.closed {
		return false
	}
	t.running.Add(1)
	return true
}

// secure does the TLS handshake on a new connection and starts its goroutines.
// dialed is empty on an accepted one. It closes conn on errors.
func (t *Transport) secure(ctx context.Context, conn net.Conn, dialed fleet.InstanceID) (*link, error) {
	meter := &meteredConn{Conn: conn, silence: t.options.SilenceTimeout, now: t.options.Now}
	if t.options.TLS == nil {
		return t.start(meter, meter, dialed, nil)
	}
	secured := t.wrapTLS(meter, dialed)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		t.countStranger(meter)
		return nil, tlsFailure(err)
	}
	chain := secured.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		_ = conn.Close()
		return nil, failuref(KindTLS, "no certificate")
	}
	return t.start(secured, meter, dialed, chain[0])
}

func (t *Transport) wrapTLS(conn net.Conn, dialed fleet.InstanceID) *tls.Conn {
	if dialed == "" {
		return tls.Server(conn, t.options.TLS)
	}
	return tls.Client(conn, clientConfig(t.options.TLS, dialed))
}

// start makes a link of a connection and runs its goroutines.
func (t *Transport) start(conn net.Conn, meter *meteredConn, dialed fleet.InstanceID, certificate *x509.Certificate) (*link, error) {
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
	stream.notified, stream.onError = l.notified, l.fail
	l.stream = stream
	if !t.addLink(l) {
		_ = meter.Close()
		return nil, failure(KindClosed, nil)
	}
	if dialed != "" {
		l.outbox.putControl(newCall(wire.MethodHello, t.options.Self))
	}
	logger := jsonrpc2.SetLogger(rpcLogger{t.options.Log})
	l.rpc = jsonrpc2.NewConn(context.Background(), stream, l, jsonrpc2.OnRecv(l.received), logger)
	close(l.started)
	go l.writeLoop()
	return l, nil
}

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

// waitOpened waits for the hello, at most Silence, and reports whether it came.
func (l *link) waitOpened() bool {
	timer := time.NewTimer(l.t.options.SilenceTimeout)
	defer timer.Stop()
	select {
	case <-l.opened:
		return true
	case <-l.rpc.DisconnectNotify():
		return false
	case <-timer.C:
		l.cut(failuref(KindSilent, "no hello"))
		return false
	}
}
