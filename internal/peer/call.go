package peer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// FetchConfig requests the configuration from a peer and waits for the reply until
// ctx ends. The error is of KindNotConnected without a connection to the peer, of
// KindQueueFull if too many calls wait, and of KindRemote if the peer replied with
// an error.
func (t *Transport) FetchConfig(ctx context.Context, to fleet.InstanceID, r *wire.ConfigRequest) (*wire.ConfigReply, error) {
	l := t.linkTo(to)
	if l == nil {
		return nil, &Error{Kind: KindNotConnected, Peer: to}
	}
	result := new(wire.ConfigReply)
	if err := l.call(ctx, wire.MethodConfig, r, result); err != nil {
		return nil, &Error{Kind: callKind(err), Peer: to, Cause: err}
	}
	return result, nil
}

// call queues a call, waits until it is sent and then for its reply, which it decodes
// into result.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	if l.pendingCalls.Add(1) > MaxPendingCalls {
		l.pendingCalls.Add(-1)
		return errorf(KindQueueFull, "limit of %d pending calls is reached", MaxPendingCalls)
	}
	c := newCall(method, params)
	if !l.outbox.putControl(c) {
		l.pendingCalls.Add(-1)
		return newError(KindQueueFull, nil)
	}
	select {
	case sent := <-c.sent:
		if sent.err != nil {
			l.pendingCalls.Add(-1)
			return sent.err
		}
		return sent.waiter.Wait(ctx, result)
	case <-ctx.Done():
		return ctx.Err()
	case <-l.rpc.DisconnectNotify():
		return jsonrpc2.ErrClosed
	}
}

// callKind returns the kind of an error of call.
func callKind(err error) Kind {
	var remoteError *jsonrpc2.Error
	switch {
	case KindOf(err) != "":
		return KindOf(err)
	case errors.As(err, &remoteError):
		return KindRemote
	case errors.Is(err, jsonrpc2.ErrClosed):
		return KindDisconnected
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return KindSilent
	default:
		return KindMalformed
	}
}
