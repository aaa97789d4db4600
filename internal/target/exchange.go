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

// Bounds of what a target may send besides the answer itself.
const (
	maxHeaderBytes  = 16 << 10
	maxReasonLength = 64
	maxRetryAfter   = time.Minute
)

// The least and the greatest status of a response.
const minStatus, maxStatus = 200, 599

// message is one HTTP request. It is sent without GetBody, so that the transport
// cannot resend it.
type message struct {
	method string
	addr   string
	path   string
	header http.Header
	body   []byte
	// dedicated sends the message on a connection that carries nothing else.
	dedicated bool
}

// pool holds the transports for one kind of target: pooled reuses connections,
// unpooled opens one for each message.
type pool struct {
	pooled, unpooled *http.Transport
}

// newPool returns transports that dial with dial. silenceTimeout is the longest wait
// on a connection that carries a request; 0 means no limit.
func newPool(dial DialFunc, r *registry, opts Options, silenceTimeout time.Duration) *pool {
	tracked := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, opts.DialTimeout)
		defer cancel()
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, &dialError{err}
		}
		c := &trackedConn{Conn: raw, registry: r, silenceTimeout: silenceTimeout}
		r.add(c)
		return c, nil
	}
	return &pool{
		pooled:   newTransport(tracked, opts, false),
		unpooled: newTransport(tracked, opts, true),
	}
}

// newTransport returns a transport for HTTP/1.1 without compression. Idle
// connections are closed after half of SilenceTimeout. So when requests on silent
// connections time out, the pool no longer holds connections that were idle when the
// silence began.
func newTransport(dial DialFunc, opts Options, unpooled bool) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    opts.MaxIdlePerTarget,
		IdleConnTimeout:        opts.SilenceTimeout / 2,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              &protocols,
	}
}

// close closes the idle connections only.
func (p *pool) close() {
	p.pooled.CloseIdleConnections()
	p.unpooled.CloseIdleConnections()
}

// send sends m and returns the response once its headers have arrived. If a pooled
// connection accepted no byte of m, send retries once on a new connection.
func (p *pool) send(ctx context.Context, m message) (*http.Response, *exchange, error) {
	if m.dedicated {
		return p.sendOnce(ctx, p.unpooled, m)
	}
	resp, x, err := p.sendOnce(ctx, p.pooled, m)
	if err == nil || ctx.Err() != nil || !x.unsentOnReused() {
		return resp, x, err
	}
	return p.sendOnce(ctx, p.unpooled, m)
}

// sendOnce sends m on transport t without a retry.
func (p *pool) sendOnce(ctx context.Context, t *http.Transport, m message) (*http.Response, *exchange, error) {
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

// exchange records which connection carried a message and how many writes that
// connection had seen before it. It is safe for concurrent use.
type exchange struct {
	mu           sync.Mutex
	conn         *trackedConn
	writesBefore int
	reused       bool
	// sentEarlier is set if an earlier connection may have carried a byte of the
	// message.
	sentEarlier bool
}

// gotConn records the connection that the transport is about to write to, and seals
// the one recorded before.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.sentEarlier = x.sentEarlier || x.conn.seal() > x.writesBefore
	}
	x.conn, _ = info.Conn.(*trackedConn)
	x.writesBefore = x.conn.writeCount()
	x.reused = info.Reused
}

// seal closes the connection and reports whether a byte of the message may have
// reached the target.
func (x *exchange) seal() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return x.sentEarlier
	}
	return x.conn.seal() > x.writesBefore || x.sentEarlier
}

// timedOut reports whether a read or write on the connection missed its deadline.
func (x *exchange) timedOut() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil && x.conn.timedOut.Load()
}

// unsentOnReused seals the connection and reports whether it was a pooled one that
// carried no byte of the message, because the peer had already closed it.
func (x *exchange) unsentOnReused() bool {
	sent := x.seal()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reused && !sent
}

// failure seals the connection and converts the error of a round trip to an *Error.
func (x *exchange) failure(ctx context.Context, err error) *Error {
	sent := x.seal()
	if sent {
		return &Error{Kind: Unknown, Reason: x.breakReason(ctx, err), err: err}
	}
	return &Error{Kind: NotRun, Reason: x.unsentReason(ctx, err), err: err}
}

// unsentReason returns the reason why no byte of the message was written.
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

// breakReason returns the reason why an exchange failed after its first byte.
func (x *exchange) breakReason(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return contextReason(ctx.Err())
	case x.timedOut():
		return ReasonConnectionSilent
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ReasonAnswerCut
	}
	return ReasonConnectionBroken
}

// contextReason returns the reason for a context error.
func contextReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCanceled
}

// refusal converts a response other than 200 to an *Error. It is NotRun or Failed
// only if the target's outcome header says so; a status without this header may come
// from an intermediary such as a proxy. A status outside minStatus to maxStatus, which
// net/http reads, too, is malformed: the header may belong to another response.
func refusal(resp *http.Response) *Error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &Error{Kind: Unknown, Reason: ReasonMalformedAnswer, err: errors.Errorf("status %03d", resp.StatusCode)}
	}
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

// retryAfter returns the value of a Retry-After header in seconds, at most
// maxRetryAfter, and 0 if the header is missing or malformed.
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

// endsWithConn reports whether the body of resp ends with its connection. Its end alone does not show
// that it is complete: if the connection is reset while the request is being written, the transport
// drops the error of the write and the body ends as an ordinary one does.
func endsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// discardRefusal reads at most maxHeaderBytes of the body for at most drainTimeout and closes
// it, so that the connection can be reused if little was left to read.
func discardRefusal(resp *http.Response) {
	timer := time.AfterFunc(drainTimeout, func() { _ = resp.Body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxHeaderBytes)
	_ = resp.Body.Close()
}
