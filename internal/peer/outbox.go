package peer

import (
	"context"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"medlarwind.dev/medlarwind/internal/wire"
)

// Bounds of a connection's outbox, in messages.
const (
	MaxQueuedGrants  = 256
	MaxQueuedControl = 16
)

// outgoing is one message in an outbox.
type outgoing interface {
	// send writes the message to the connection's buffer.
	send(ctx context.Context, l *link) error
}

// notification is a message without a reply.
type notification struct {
	method string
	params any
}

func (n notification) send(_ context.Context, l *link) error {
	return l.stream.writeNotification(n.method, n.params)
}

// call is a message with a reply. What becomes of it goes to sent, which has room.
type call struct {
	method string
	params any
	sent   chan sentCall
}

// sentCall is a call on its way, or why it could not be sent.
type sentCall struct {
	waiter jsonrpc2.Waiter
	err    error
}

func newCall(method string, params any) call {
	return call{method: method, params: params, sent: make(chan sentCall, 1)}
}

func (c call) send(ctx context.Context, l *link) error {
	waiter, err := l.rpc.DispatchCall(ctx, c.method, c.params)
	c.sent <- sentCall{waiter: waiter, err: err}
	return err
}

// reply answers a call by the peer.
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

func internalError(err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// outbox is the bounded queue of one connection: calls and replies first, then
// grants in order, then the newest heartbeat. Its put methods never block. It is
// safe for concurrent use.
type outbox struct {
	// ready has one slot, filled whenever something was put.
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

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// putControl queues a call or a reply; false if there is no room.
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

// putGrant queues a grant; false if there is no room.
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

// putHeartbeat queues a heartbeat in place of an older one.
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

// take removes the next message; false if there is none. drained is true when
// there is none and none will follow.
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

// drain refuses further messages; those queued still go out.
func (o *outbox) drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
	o.signal()
}
