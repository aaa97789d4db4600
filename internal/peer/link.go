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
	// rpc is set before started is closed.
	rpc     *jsonrpc2.Conn
	started chan struct{}
	outbox  *outbox
	// dialed is the instance that was dialled, empty on an accepted connection.
	dialed fleet.InstanceID
	// certificate is the peer's, nil without TLS.
	certificate *x509.Certificate
	messages    messageCounts

	// hello and peer are set once, by the reading goroutine under Transport.mu.
	hello wire.Hello
	peer  *remote
	// ready belongs to the reading goroutine.
	ready bool

	// dropped is guarded by the peer's delivery mutex.
	dropped bool

	// opened is closed when ready is set, for other goroutines.
	opened chan struct{}
	// unanswered counts calls without a reply, the hello apart.
	unanswered atomic.Int32

	mu    sync.Mutex
	cause error
}

// fail notes why the connection ends; the first cause counts.
func (l *link) fail(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cause == nil {
		l.cause = cause
	}
}

// cut notes the cause and closes the connection.
func (l *link) cut(cause error) {
	l.fail(cause)
	_ = l.stream.Close()
}

// failureCause returns why the connection ended.
func (l *link) failureCause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// drain ends the connection once what is queued was sent, at once before the hello.
func (l *link) drain() {
	select {
	case <-l.opened:
		l.outbox.drain()
	default:
		l.cut(failure(KindClosed, nil))
	}
}

// writeLoop is the writing goroutine. It ends with the connection.
func (l *link) writeLoop() {
	defer l.t.running.Done()
	defer l.t.unregister(l)
	defer func() { _ = l.rpc.Close() }()
	interval := l.t.options.SilenceTimeout / keepAlivesPerSilence
	idle := time.NewTimer(interval)
	defer idle.Stop()
	for {
		done, err := l.writeQueued()
		if err != nil {
			l.fail(err)
			return
		}
		if done {
			l.fail(failure(KindClosed, nil))
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

// writeQueued sends what the outbox holds; done means that nothing will follow.
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

// send sends one message. One that cannot be encoded is logged and left out.
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

// received is told of each message before it is handled; the reading goroutine
// calls it. It may run before start has set rpc, which whoever finds the link by what
// the message says relies on.
func (l *link) received(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	<-l.started
	l.messages.received.Add(1)
	if response == nil {
		return
	}
	if err := l.handleResponse(request, response); err != nil {
		l.cut(err)
	}
}

// Handle implements jsonrpc2.Handler; the reading goroutine calls it.
func (l *link) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if err := l.dispatch(request); err != nil {
		l.cut(err)
	}
}

func (l *link) handleResponse(request *jsonrpc2.Request, response *jsonrpc2.Response) error {
	if request == nil {
		return failuref(KindMethod, "reply to no call")
	}
	if request.Method != wire.MethodHello {
		l.unanswered.Add(-1)
		return nil
	}
	if response.Error != nil {
		return failure(KindRemote, response.Error)
	}
	var hello wire.Hello
	if err := decode(*response.Result, &hello); err != nil {
		return err
	}
	return l.open(hello)
}

// dispatch decodes a message and hands it on.
func (l *link) dispatch(request *jsonrpc2.Request) error {
	switch {
	case request.Params == nil:
		return failuref(KindMalformed, "%q without parameters", request.Method)
	case request.Method == wire.MethodHello && !request.Notif:
		return l.handleHello(request)
	case request.Method == wire.MethodConfig && !request.Notif && l.ready:
		return l.handleConfig(request)
	case request.Notif:
		return l.notify(request.Method, *request.Params)
	default:
		return failuref(KindMethod, "unexpected call of %q", request.Method)
	}
}

// notified counts and handles a notification; the reading goroutine calls it.
func (l *link) notified(method string, params []byte) error {
	l.messages.received.Add(1)
	return l.notify(method, params)
}

// notify decodes a notification and hands it on.
func (l *link) notify(method string, params []byte) error {
	switch {
	case method == wire.MethodHeartbeat && l.ready:
		return l.handleHeartbeat(params)
	case method == wire.MethodGrant && l.ready:
		return l.handleGrant(params)
	default:
		return failuref(KindMethod, "unexpected notification of %q", method)
	}
}

func (l *link) handleHello(request *jsonrpc2.Request) error {
	var hello wire.Hello
	if err := decode(*request.Params, &hello); err != nil {
		return err
	}
	if !l.outbox.putControl(reply{id: request.ID, result: l.t.options.Self}) {
		return failure(KindQueueFull, nil)
	}
	return l.open(hello)
}

// open checks the peer's hello and makes the connection usable.
func (l *link) open(hello wire.Hello) error {
	if l.ready {
		return failuref(KindMethod, "second hello")
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

func (l *link) checkHello(hello wire.Hello) error {
	if hello.ProtocolVersion != wire.ProtocolVersion {
		return failuref(KindVersion, "protocol %d, not %d", hello.ProtocolVersion, wire.ProtocolVersion)
	}
	if hello.Instance == "" || hello.Incarnation == 0 {
		return failuref(KindMalformed, "hello without instance or incarnation")
	}
	if hello.Instance == l.t.options.Self.Instance {
		return failuref(KindIdentity, "peer names itself as this instance")
	}
	if l.dialed != "" && hello.Instance != l.dialed {
		return failuref(KindIdentity, "dialled %q, answered by %q", l.dialed, hello.Instance)
	}
	if l.certificate != nil && !names(l.certificate, hello.Instance) {
		return failuref(KindIdentity, "certificate does not name %q", hello.Instance)
	}
	return nil
}

func (l *link) handleHeartbeat(params []byte) error {
	hb := new(wire.Heartbeat)
	if err := decode(params, hb); err != nil {
		return err
	}
	if hb.Incarnation != l.hello.Incarnation {
		return failuref(KindIdentity, "heartbeat of incarnation %v", hb.Incarnation)
	}
	l.deliver(func() { l.t.options.Handler.PeerHeartbeat(l.hello, hb) })
	return nil
}

func (l *link) handleGrant(params []byte) error {
	grant := new(wire.Grant)
	if err := decode(params, grant); err != nil {
		return err
	}
	if grant.Incarnation != l.hello.Incarnation {
		return failuref(KindIdentity, "grant of incarnation %v", grant.Incarnation)
	}
	l.deliver(func() { l.t.options.Handler.PeerGrant(l.hello, grant) })
	return nil
}

func (l *link) handleConfig(request *jsonrpc2.Request) error {
	asked := new(wire.ConfigRequest)
	if err := decode(*request.Params, asked); err != nil {
		return err
	}
	answer := reply{id: request.ID}
	l.deliver(func() {
		result, err := l.t.options.Handler.PeerConfig(l.hello, asked)
		if err != nil {
			answer.err = internalError(err)
			return
		}
		answer.result = result
	})
	if !l.outbox.putControl(answer) {
		return failure(KindQueueFull, nil)
	}
	return nil
}

// deliver calls f unless a newer connection has taken over.
func (l *link) deliver(f func()) {
	l.peer.delivery.Lock()
	defer l.peer.delivery.Unlock()
	if !l.dropped {
		f()
	}
}

// decode decodes one message into v, a pointer.
func decode(text []byte, v any) error {
	if err := json.Unmarshal(text, v); err != nil {
		return failure(KindMalformed, err)
	}
	return nil
}
