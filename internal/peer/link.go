package peer

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// link is one connection to a peer.
type link struct {
	t      *Transport
	meter  *meteredConn
	stream *stream
	// rpc must not be used before started is closed.
	rpc     *jsonrpc2.Conn
	started chan struct{}
	outbox  *outbox
	// dialed is the instance that was dialled, empty for an accepted connection.
	dialed fleet.InstanceID
	// certificate is the peer's certificate, nil without TLS.
	certificate *x509.Certificate
	messages    messageCounts

	// hello and peer are set once, by the reading goroutine under Transport.mu.
	hello wire.Hello
	peer  *peerState
	// ready is true after the hello. Only the reading goroutine uses it.
	ready bool

	// dropped is set when the connection was superseded or has ended; its messages
	// are no longer delivered. It is guarded by peer.delivery.
	dropped bool

	// opened is closed when ready is set, to signal it to other goroutines.
	opened chan struct{}
	// pendingCalls counts calls without a reply, except the hello.
	pendingCalls atomic.Int32

	mu    sync.Mutex
	cause error
}

// setCause records why the connection ends. Only the first call has an effect.
func (l *link) setCause(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cause == nil {
		l.cause = cause
	}
}

// abort records the cause and closes the connection at once.
func (l *link) abort(cause error) {
	l.setCause(cause)
	_ = l.stream.Close()
}

// closeCause returns the error that ended the connection, nil if none is recorded.
func (l *link) closeCause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// drain closes the connection after the queued messages are sent, or at once if the
// hello has not arrived.
func (l *link) drain() {
	select {
	case <-l.opened:
		l.outbox.drain()
	default:
		l.abort(newError(KindClosed, nil))
	}
}

// writeLoop is the writing goroutine. It sends queued messages and keep-alives until
// the connection ends, and then closes and unregisters it.
func (l *link) writeLoop() {
	defer l.t.running.Done()
	defer l.t.unregister(l)
	defer func() { _ = l.rpc.Close() }()
	interval := l.t.options.SilenceTimeout / keepAlivesPerTimeout
	idle := time.NewTimer(interval)
	defer idle.Stop()
	for {
		done, err := l.writeQueued()
		if err != nil {
			l.setCause(err)
			return
		}
		if done {
			l.setCause(newError(KindClosed, nil))
			return
		}
		idle.Reset(interval)
		select {
		case <-l.outbox.ready:
		case <-idle.C:
			l.stream.keepAlive()
		case <-l.rpc.DisconnectNotify():
			return
		}
	}
}

// writeQueued sends the messages in the outbox. done is true if the outbox is
// draining and empty.
func (l *link) writeQueued() (done bool, err error) {
	for {
		m, ok, drained := l.outbox.take()
		if !ok {
			return drained, l.stream.flush()
		}
		if err := l.send(m); err != nil {
			return false, err
		}
		if len(l.stream.buffered) > flushBytes {
			if err := l.stream.flush(); err != nil {
				return false, err
			}
		}
	}
}

// send writes one message to the buffer. A message that is too large or cannot be
// encoded is logged and skipped.
func (l *link) send(m outgoing) error {
	err := m.send(context.Background(), l)
	switch KindOf(err) {
	case KindOversize, KindMalformed:
		l.t.options.Log.Error().Err(err).Msg("peer message not sent")
		return nil
	}
	l.messages.sent.Add(1)
	return err
}

// onReceive is called by the reading goroutine for each call and reply before it is
// handled. It may run before startLink has set rpc and therefore waits for started:
// once a hello registers the link, other goroutines use rpc.
func (l *link) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	<-l.started
	l.messages.received.Add(1)
	if response == nil {
		return
	}
	if err := l.handleResponse(request, response); err != nil {
		l.abort(err)
	}
}

// Handle implements jsonrpc2.Handler. The reading goroutine calls it.
func (l *link) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if err := l.dispatch(request); err != nil {
		l.abort(err)
	}
}

// handleResponse handles the reply to a call; request is nil if no call matches.
func (l *link) handleResponse(request *jsonrpc2.Request, response *jsonrpc2.Response) error {
	if request == nil {
		return errorf(KindMethod, "reply matches no pending call")
	}
	if request.Method != wire.MethodHello {
		l.pendingCalls.Add(-1)
		return nil
	}
	if response.Error != nil {
		return newError(KindRemote, response.Error)
	}
	var hello wire.Hello
	if err := decode(*response.Result, &hello); err != nil {
		return err
	}
	return l.acceptHello(hello)
}

// dispatch decodes a message and calls the function that handles its method.
func (l *link) dispatch(request *jsonrpc2.Request) error {
	switch {
	case request.Params == nil:
		return errorf(KindMalformed, "message %q has no parameters", request.Method)
	case request.Method == wire.MethodHello && !request.Notif:
		return l.handleHello(request)
	case request.Method == wire.MethodConfig && !request.Notif && l.ready:
		return l.handleConfig(request)
	case request.Notif:
		return l.handleNotification(request.Method, *request.Params)
	default:
		return errorf(KindMethod, "unexpected call of %q", request.Method)
	}
}

// onNotification counts and handles a notification. The reading goroutine calls it.
func (l *link) onNotification(method string, params []byte) error {
	l.messages.received.Add(1)
	return l.handleNotification(method, params)
}

// handleNotification decodes a notification and delivers it to the Handler.
func (l *link) handleNotification(method string, params []byte) error {
	switch {
	case method == wire.MethodHeartbeat && l.ready:
		return l.handleHeartbeat(params)
	case method == wire.MethodGrant && l.ready:
		return l.handleGrant(params)
	default:
		return errorf(KindMethod, "unexpected notification of %q", method)
	}
}

// handleHello replies to the peer's hello and opens the connection.
func (l *link) handleHello(request *jsonrpc2.Request) error {
	var hello wire.Hello
	if err := decode(*request.Params, &hello); err != nil {
		return err
	}
	if !l.outbox.putControl(reply{id: request.ID, result: l.t.options.Self}) {
		return newError(KindQueueFull, nil)
	}
	return l.acceptHello(hello)
}

// acceptHello checks the peer's hello, registers the connection and allows further
// messages.
func (l *link) acceptHello(hello wire.Hello) error {
	if l.ready {
		return errorf(KindMethod, "hello received twice")
	}
	if err := l.checkHello(hello); err != nil {
		return err
	}
	if err := l.t.register(l, hello); err != nil {
		return err
	}
	l.ready = true
	l.stream.allowLargeMessages()
	close(l.opened)
	return nil
}

// checkHello checks the protocol version and the peer's identity.
func (l *link) checkHello(hello wire.Hello) error {
	if hello.ProtocolVersion != wire.ProtocolVersion {
		return errorf(KindVersion, "peer uses protocol version %d, want %d", hello.ProtocolVersion, wire.ProtocolVersion)
	}
	if hello.Instance == "" || hello.Incarnation == 0 {
		return errorf(KindMalformed, "hello has no instance or no incarnation")
	}
	if hello.Instance == l.t.options.Self.Instance {
		return errorf(KindIdentity, "peer names itself as this instance")
	}
	if l.dialed != "" && hello.Instance != l.dialed {
		return errorf(KindIdentity, "dialled instance %q, got a hello from %q", l.dialed, hello.Instance)
	}
	if l.certificate != nil && !certNamesInstance(l.certificate, hello.Instance) {
		return errorf(KindIdentity, "certificate does not name %q", hello.Instance)
	}
	return nil
}

// handleHeartbeat decodes a heartbeat and delivers it.
func (l *link) handleHeartbeat(params []byte) error {
	hb := new(wire.Heartbeat)
	if err := decode(params, hb); err != nil {
		return err
	}
	if hb.Incarnation != l.hello.Incarnation {
		return errorf(KindIdentity, "heartbeat is from incarnation %v, not from that of the hello", hb.Incarnation)
	}
	l.deliver(func() { l.t.options.Handler.PeerHeartbeat(l.hello, hb) })
	return nil
}

// handleGrant decodes a grant and delivers it.
func (l *link) handleGrant(params []byte) error {
	grant := new(wire.Grant)
	if err := decode(params, grant); err != nil {
		return err
	}
	if grant.Incarnation != l.hello.Incarnation {
		return errorf(KindIdentity, "grant is from incarnation %v, not from that of the hello", grant.Incarnation)
	}
	l.deliver(func() { l.t.options.Handler.PeerGrant(l.hello, grant) })
	return nil
}

// handleConfig replies to a request for the configuration. The reply has no result and
// no error if the connection was dropped.
func (l *link) handleConfig(request *jsonrpc2.Request) error {
	configRequest := new(wire.ConfigRequest)
	if err := decode(*request.Params, configRequest); err != nil {
		return err
	}
	answer := reply{id: request.ID}
	l.deliver(func() {
		result, err := l.t.options.Handler.PeerConfig(l.hello, configRequest)
		if err != nil {
			answer.err = internalError(err)
			return
		}
		answer.result = result
	})
	if !l.outbox.putControl(answer) {
		return newError(KindQueueFull, nil)
	}
	return nil
}

// deliver calls f under the peer's delivery mutex, unless the connection was dropped.
func (l *link) deliver(f func()) {
	l.peer.delivery.Lock()
	defer l.peer.delivery.Unlock()
	if !l.dropped {
		f()
	}
}

// decode decodes JSON text into v, a pointer. Errors are of KindMalformed.
func decode(text []byte, v any) error {
	if err := json.Unmarshal(text, v); err != nil {
		return newError(KindMalformed, err)
	}
	return nil
}
