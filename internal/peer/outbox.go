package peer

import (
	"context"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"medlarwind.dev/medlarwind/internal/wire"
)

// Limits on the outbox of a connection, in messages.
const (
	MaxQueuedGrants  = 256
	MaxQueuedControl = 16
)

// outgoing is one message in an outbox.
type outgoing interface {
	// send encodes the message into the write buffer of l.
	send(ctx context.Context, l *link) error
}

// notification is a message that gets no reply.
type notification struct {
	method string
	params any
}

func (n notification) send(_ context.Context, l *link) error {
	return l.stream.writeNotification(n.method, n.params)
}

// call is a message that gets a reply. The result of sending it goes to the channel
// sent, which has a buffer of one.
type call struct {
	method string
	params any
	sent   chan sentCall
}

// sentCall is the result of sending a call: a waiter for the reply, or an error.
type sentCall struct {
	waiter jsonrpc2.Waiter
	err    error
}

// newCall returns a call that is not yet queued.
func newCall(method string, params any) call {
	return call{method: method, params: params, sent: make(chan sentCall, 1)}
}

func (c call) send(ctx context.Context, l *link) error {
	waiter, err := l.rpc.DispatchCall(ctx, c.method, c.params)
	c.sent <- sentCall{waiter: waiter, err: err}
	return err
}

// reply is the reply to a call by the peer, with either a result or an error.
type reply struct {
	id     jsonrpc2.ID
	result any
	err    *jsonrpc2.Error
}

func (r reply) send(ctx context.Context, l *link) error {
	if r.err != nil {
		return l.rpc.ReplyWithError(ctx, r.id, r.err)
	}
	err := l.rpc.Reply(ctx, r.id, r.result)
	if KindOf(err) == KindOversize {
		return l.rpc.ReplyWithError(ctx, r.id, internalError(err))
	}
	return err
}

// internalError returns the JSON-RPC error that reports err to the peer.
func internalError(err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// outbox is the bounded send queue of one connection. Calls and replies are sent
// first, then grants in order, then the newest heartbeat. Its methods never block. It
// is safe for concurrent use.
type outbox struct {
	// ready has a buffer of one and receives a value whenever the outbox changes.
	ready chan struct{}

	mu        sync.Mutex
	control   []outgoing
	grants    []*wire.Grant
	heartbeat *wire.Heartbeat
	draining  bool
}

func newOutbox() *outbox {
	return &outbox{ready: make(chan struct{}, 1)}
}

// signal wakes the writing goroutine.
func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// putControl queues a call or a reply. It returns false if the outbox is full or
// draining.
func (o *outbox) putControl(m outgoing) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining || len(o.control) >= MaxQueuedControl {
		return false
	}
	o.control = append(o.control, m)
	o.signal()
	return true
}

// putGrant queues a grant. It returns false if the outbox is full or draining.
func (o *outbox) putGrant(g *wire.Grant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining || len(o.grants) >= MaxQueuedGrants {
		return false
	}
	o.grants = append(o.grants, g)
	o.signal()
	return true
}

// putHeartbeat queues a heartbeat and replaces an older one that is still queued. It
// returns false if the outbox is draining.
func (o *outbox) putHeartbeat(hb *wire.Heartbeat) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.heartbeat = hb
	o.signal()
	return true
}

// take removes and returns the next message; ok is false if there is none. drained is
// true if there is none and the outbox is draining.
func (o *outbox) take() (m outgoing, ok, drained bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case len(o.control) > 0:
		m = o.control[0]
		o.control = append(o.control[:0], o.control[1:]...)
	case len(o.grants) > 0:
		m = notification{method: wire.MethodGrant, params: o.grants[0]}
		o.grants = append(o.grants[:0], o.grants[1:]...)
	case o.heartbeat != nil:
		m = notification{method: wire.MethodHeartbeat, params: o.heartbeat}
		o.heartbeat = nil
	default:
		return nil, false, o.draining
	}
	return m, true, false
}

// drain makes the outbox refuse further messages. Queued messages are still sent.
func (o *outbox) drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
	o.signal()
}
