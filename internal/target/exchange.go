package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// Bounds of what a target may send beside the answer itself.
const (
	maxHeaderBytes  = 16 << 10
	maxReasonLength = 64
	maxRetryAfter   = time.Minute
)

// message is one HTTP request. It has no GetBody, so that the transport cannot
// send it again.
type message struct {
	method string
	addr   string
	path   string
	header http.Header
	body   []byte
	// own gives the message a connection of its own, which carries nothing else.
	own bool
}

// pool holds the transports for one kind of target.
type pool struct {
	shared, single *http.Transport
}

// newPool returns transports that dial with dial. silence is the longest wait on
// a connection that carries a request, 0 for none.
func newPool(dial DialFunc, r *registry, opts Options, silence time.Duration) *pool {
	tracked := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, opts.DialTimeout)
		defer cancel()
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, &dialError{err}
		}
		c := &trackedConn{Conn: raw, registry: r, silence: silence}
		r.add(c)
		return c, nil
	}
	return &pool{
		shared: newTransport(tracked, opts, false),
		single: newTransport(tracked, opts, true),
	}
}

// newTransport returns a transport for HTTP/1.1 without compression. An idle
// connection closes in half the time in which a silent one is noticed, so that the
// pool holds none that was idle when the connections went silent.
func newTransport(dial DialFunc, opts Options, single bool) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      single,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    opts.MaxIdlePerTarget,
		IdleConnTimeout:        opts.SilenceTimeout / 2,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              &protocols,
	}
}

// close closes the idle connections.
func (p *pool) close() {
	p.shared.CloseIdleConnections()
	p.single.CloseIdleConnections()
}

// send sends m and returns the response once its headers are there. A message of
// which nothing could be written on a pooled connection is sent on a new one.
func (p *pool) send(ctx context.Context, m message) (*http.Response, *exchange, error) {
	if m.own {
		return p.try(ctx, p.single, m)
	}
	resp, x, err := p.try(ctx, p.shared, m)
	if err == nil || ctx.Err() != nil || !x.unsentOnReused() {
		return resp, x, err
	}
	return p.try(ctx, p.single, m)
}

// try sends m once over one transport.
func (p *pool) try(ctx context.Context, t *http.Transport, m message) (*http.Response, *exchange, error) {
	x := &exchange{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	url := "http://" + m.addr + m.path
	req, err := http.NewRequestWithContext(ctx, m.method, url, bytes.NewReader(m.body))
	if err != nil {
		return nil, x, &Error{Kind: NotRun, Reason: ReasonInvalidRequest, err: err}
	}
	req.GetBody = nil
	for name, values := range m.header {
		req.Header[name] = values
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, x, x.failure(ctx, err)
	}
	return resp, x, nil
}

// exchange records which connection carried a message and how many writes it had
// seen before.
type exchange struct {
	mu     sync.Mutex
	conn   *trackedConn
	before int
	reused bool
	// sent says that an earlier connection may have carried a byte of the message.
	sent bool
}

// gotConn notes the connection that the transport is about to write to.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.sent = x.sent || x.conn.seal() > x.before
	}
	x.conn, _ = info.Conn.(*trackedConn)
	x.before = x.conn.count()
	x.reused = info.Reused
}

// seal closes the connection and reports whether a byte of the message may have
// reached the target.
func (x *exchange) seal() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return x.sent
	}
	return x.conn.seal() > x.before || x.sent
}

// silent reports whether the connection missed a deadline.
func (x *exchange) silent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil && x.conn.silent.Load()
}

// unsentOnReused reports whether a pooled connection carried nothing of the
// message, which its peer had then closed before.
func (x *exchange) unsentOnReused() bool {
	sent := x.seal()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reused && !sent
}

// failure turns the error of a round trip into an Error.
func (x *exchange) failure(ctx context.Context, err error) *Error {
	sent := x.seal()
	if sent {
		return &Error{Kind: Unknown, Reason: x.breakReason(ctx, err), err: err}
	}
	return &Error{Kind: NotRun, Reason: x.unsentReason(ctx, err), err: err}
}

// unsentReason names why no byte of a message was written.
func (x *exchange) unsentReason(ctx context.Context, err error) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var dial *dialError
	switch {
	case ctx.Err() != nil:
		return contextReason(ctx.Err())
	case errors.As(err, &dial):
		return ReasonDial
	case x.conn == nil:
		return ReasonInvalidRequest
	}
	return ReasonUnsent
}

// breakReason names why an exchange broke after its first byte.
func (x *exchange) breakReason(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return contextReason(ctx.Err())
	case x.silent():
		return ReasonConnectionSilent
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ReasonAnswerCut
	}
	return ReasonConnectionBroken
}

// contextReason names the end of a context.
func contextReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCanceled
}

// refusal turns a response without an answer into an Error. Only the target's own
// header makes it NotRun or Failed; a bare status may come from something between.
func refusal(resp *http.Response) *Error {
	e := &Error{Kind: Unknown, Reason: ReasonUnexpectedStatus, RetryAfter: retryAfter(resp.Header)}
	e.err = errors.Errorf("status %d", resp.StatusCode)
	switch resp.Header.Get(enginewire.HeaderOutcome) {
	case enginewire.OutcomeNotRun:
		e.Kind = NotRun
	case enginewire.OutcomeFailed:
		e.Kind = Failed
	default:
		return e
	}
	if reason := resp.Header.Get(enginewire.HeaderReason); reason != "" {
		e.Reason = reason[:min(len(reason), maxReasonLength)]
	}
	if e.Reason == enginewire.ReasonOldFence {
		highest, _ := strconv.ParseUint(resp.Header.Get(enginewire.HeaderFence), 10, 64)
		e.err = &FenceError{Highest: highest}
	}
	return e
}

// retryAfter parses a Retry-After header in seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// readAll reads a body of at most limit bytes to its end and closes it.
func readAll(ctx context.Context, resp *http.Response, x *exchange, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, &Error{Kind: Unknown, Reason: x.breakReason(ctx, err), err: err}
	}
	if int64(len(body)) > limit {
		return nil, &Error{Kind: Unknown, Reason: ReasonAnswerTooLarge}
	}
	return body, nil
}

// discardRefusal lets the connection of a refused message be used again if little
// is left to read.
func discardRefusal(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxHeaderBytes)
	_ = resp.Body.Close()
}
