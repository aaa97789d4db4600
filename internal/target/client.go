// Package target is the client for model engines and plain services over HTTP/1.1.
// Package enginewire defines the protocol.
//
// A Client is safe for concurrent use and owns its connections: pooled ones for
// repeatable requests, and a dedicated one for each call that must run at most
// once. A message is sent at most once on at most one connection. The only
// exception is a message of which a pooled connection accepted no byte: it is
// retried once on a new connection. Every failure is an *Error that says whether
// the request can have run.
//
// On connections to engines every read and write has a deadline, since an engine
// without output sends blank lines as keep-alives. A missed deadline closes the
// connection. Idle connections are closed after half that time, so that the next
// request dials a new one. A Stream must be used by one goroutine only.
package target

import (
	"context"
	"net/http"
	"time"
)

// Options are the timeouts and size limits of a Client. Zero fields take the
// default.
type Options struct {
	// DialTimeout bounds one dial.
	DialTimeout time.Duration
	// SilenceTimeout is the longest time without a byte on a connection to an
	// engine. It must exceed twice the engines' keep-alive interval and also one
	// second.
	SilenceTimeout time.Duration
	// CallTimeout bounds a plain call that has no deadline.
	CallTimeout time.Duration
	// ControlTimeout bounds load reports, cancels, cache events and orders.
	ControlTimeout time.Duration
	// TransferTimeout bounds a KV cache export or import.
	TransferTimeout time.Duration
	// MaxLineBytes bounds one line of an answer stream.
	MaxLineBytes int
	// MaxHeldFrames bounds the frames that wait for an earlier missing one.
	MaxHeldFrames int
	// MaxBodyBytes bounds the answer of a plain call or a control request.
	MaxBodyBytes int64
	// MaxKVBytes bounds an exported KV cache.
	MaxKVBytes int64
	// MaxIdlePerTarget bounds the idle connections for each target.
	MaxIdlePerTarget int
}

// Defaults of Options.
const (
	DefaultDialTimeout      = 2 * time.Second
	DefaultSilenceTimeout   = 5 * time.Second
	DefaultCallTimeout      = 60 * time.Second
	DefaultControlTimeout   = 2 * time.Second
	DefaultTransferTimeout  = 30 * time.Second
	DefaultMaxLineBytes     = 64 << 10
	DefaultMaxHeldFrames    = 32
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxKVBytes       = 64 << 20
	DefaultMaxIdlePerTarget = 32
)

// withDefaults returns o with zero fields set to their defaults.
func (o Options) withDefaults() Options {
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.SilenceTimeout = orDefault(o.SilenceTimeout, DefaultSilenceTimeout)
	o.CallTimeout = orDefault(o.CallTimeout, DefaultCallTimeout)
	o.ControlTimeout = orDefault(o.ControlTimeout, DefaultControlTimeout)
	o.TransferTimeout = orDefault(o.TransferTimeout, DefaultTransferTimeout)
	o.MaxLineBytes = orDefault(o.MaxLineBytes, DefaultMaxLineBytes)
	o.MaxHeldFrames = orDefault(o.MaxHeldFrames, DefaultMaxHeldFrames)
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.MaxKVBytes = orDefault(o.MaxKVBytes, DefaultMaxKVBytes)
	o.MaxIdlePerTarget = orDefault(o.MaxIdlePerTarget, DefaultMaxIdlePerTarget)
	return o
}

// orDefault returns v, or fallback if v is zero.
func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Client sends the requests of one instance to targets. It is safe for concurrent
// use.
type Client struct {
	opts     Options
	registry *registry
	engines  *pool
	services *pool
}

// NewClient returns a client that opens its connections with dial.
func NewClient(dial DialFunc, opts Options) *Client {
	opts = opts.withDefaults()
	r := newRegistry()
	return &Client{
		opts:     opts,
		registry: r,
		engines:  newPool(dial, r, opts, opts.SilenceTimeout),
		services: newPool(dial, r, opts, 0),
	}
}

// Close closes every connection, including those with requests in progress.
func (c *Client) Close() {
	c.engines.close()
	c.services.close()
	c.registry.closeAll()
}

// control sends a control request to an engine and returns the response body.
func (c *Client) control(ctx context.Context, m message) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	return c.exchangeBody(ctx, c.engines, m, c.opts.MaxBodyBytes)
}

// exchangeBody sends m and returns the body of a 200 response. It fails if the
// status differs, the body exceeds limit bytes, or nothing but the connection shows its end.
func (c *Client) exchangeBody(ctx context.Context, p *pool, m message, limit int64) ([]byte, error) {
	resp, x, err := p.send(ctx, m)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer discardRefusal(resp)
		return nil, refusal(resp)
	}
	body, err := readAll(ctx, resp, x, limit)
	if err == nil && endsWithConn(resp) {
		return nil, &Error{Kind: Unknown, Reason: ReasonAnswerCut}
	}
	return body, err
}
