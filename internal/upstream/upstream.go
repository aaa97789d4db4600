// Package upstream sends HTTP/1.1 requests to targets and reports the exact outcome of
// each: whether a byte of the request may have reached the target, whether the response
// is complete, and whether it belongs to the request.
//
// It is used in place of net/http's Transport, which retries some requests on its own;
// that must not happen to a request that may run only once. Messages are parsed by
// net/http. A Client is safe for concurrent use.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// maxSkippedResponses limits how many responses to other requests are skipped while the
// response to a request is awaited.
const maxSkippedResponses = 4

// minConcurrentBody is the size in bytes from which a request body is written while the
// response is read: a target may respond first and leave the body unread for a while.
const minConcurrentBody = 8 << 10

// bodyWriteGrace is how long writing the rest of a request body may take after the response
// is complete, before the connection is closed.
const bodyWriteGrace = 300 * time.Millisecond

// Error is returned for a request that got no response.
type Error struct {
	// Sent reports whether a byte of the request may have reached the target. If so, the
	// request may have run or may still be running.
	Sent bool
	// DialFailed reports whether no connection could be opened.
	DialFailed bool
	// Err is the underlying error.
	Err error
}

// Error returns the failed step and the underlying error.
func (e *Error) Error() string {
	switch {
	case e.DialFailed:
		return fmt.Sprintf("connect to target: %v", e.Err)
	case e.Sent:
		return fmt.Sprintf("await response: %v", e.Err)
	}
	return fmt.Sprintf("send request: %v", e.Err)
}

// TimedOut reports whether no connection was opened in time.
func (e *Error) TimedOut() bool {
	var network net.Error
	return e.DialFailed && errors.As(e.Err, &network) && network.Timeout()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Request is an HTTP request to a target.
type Request struct {
	// Addr is the target's IP:port.
	Addr   string
	Method string
	// Target is the HTTP request target (path and query) exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConn makes the request the first on its connection, for one whose response cannot be
	// told from those to others.
	NewConn bool
	// Ready is called when the connection is open, immediately before the request is written,
	// if it is not nil. With an error the request is not sent.
	Ready func() error
	// Match says whether a response with these headers belongs to the request. If it is nil,
	// every response is Own.
	Match func(http.Header) Match
	// Skipped is called with the status of each response that is skipped because it belongs to
	// another request, if it is not nil.
	Skipped func(status int)
}

// Match says to which request a response belongs.
type Match int

const (
	// Other: to another request.
	Other Match = iota
	// Unnamed: the response does not say. It is that to the request only if it is the first on
	// its connection, which is not reused then: a target may write the response once more, and
	// the next request could not tell it from its own.
	Unnamed
	// Own: to the request itself.
	Own
)

// Client sends requests and reuses connections. It is safe for concurrent use.
type Client struct{ pool *pool }

// NewClient returns a client that opens connections with dial.
func NewClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{pool: &pool{dial: dial, idle: make(map[string][]*conn)}}
}

// Close closes the idle connections and stops their reuse.
func (c *Client) Close() { c.pool.close() }

// Sweep closes the idle connections that have expired.
func (c *Client) Sweep() { c.pool.sweep(time.Now()) }

// Connect opens a connection to a target for a request that is about to be sent, unless there
// is an idle one. The error is an *Error.
func (c *Client) Connect(ctx context.Context, addr string) error {
	cn, err := c.pool.get(ctx, addr)
	if err != nil {
		return &Error{DialFailed: true, Err: err}
	}
	c.pool.put(cn)
	return nil
}

// IsDown reports whether a target refuses new connections, which means that its process has
// ended. A target that does not answer may be unreachable only. It opens a connection, which
// is kept for a later request.
func (c *Client) IsDown(ctx context.Context, addr string) bool {
	cn, err := c.pool.connect(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.pool.put(cn)
	return false
}

// Response is the status and headers of a response, whose body is read from Body. Finish
// must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the declared length of the body in bytes, -1 if it is unknown.
	Length int64
	// EndsWithConn reports whether the body ends with the connection, so that its end alone
	// does not show whether it is complete.
	EndsWithConn bool

	ctx      context.Context
	client   *Client
	conn     *conn
	response *http.Response
	// match is Own or Unnamed.
	match Match
	// bodyWriteDone receives the result of writing a large request body; nil if the body
	// was written together with the headers, or if awaitBodyWritten has set bodyUnwritten.
	bodyWriteDone chan error
	// bodyUnwritten reports whether the request body was not written completely.
	bodyUnwritten bool
	// stopCancel stops the function that interrupts the connection when ctx ends. It
	// returns false if that function has already been started.
	stopCancel func() bool
}

// Send sends a request and returns the status and headers of its response. When ctx ends,
// the connection is interrupted and closed, also while the body is read. The error is an
// *Error.
func (c *Client) Send(ctx context.Context, r Request) (*Response, error) {
	open := c.pool.get
	if r.NewConn {
		open = c.pool.connect
	}
	cn, err := open(ctx, r.Addr)
	if err != nil {
		return nil, &Error{DialFailed: true, Err: err}
	}
	if r.Ready != nil {
		if err := r.Ready(); err != nil {
			c.pool.put(cn)
			return nil, &Error{Err: err}
		}
	}
	resp, err := c.exchange(ctx, cn, r)
	if err != nil {
		_ = cn.Close()
		return nil, err
	}
	return resp, nil
}

// exchange writes the request and reads the headers of the response.
func (c *Client) exchange(ctx context.Context, cn *conn, r Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	if err := cn.watchIdle(false); err != nil {
		return nil, &Error{Err: err}
	}
	resp := &Response{ctx: ctx, client: c, conn: cn}
	resp.stopCancel = context.AfterFunc(ctx, func() {
		_ = cn.SetDeadline(time.Unix(1, 0))
		// The end of the connection ends the run. The goroutine that reads it may wait long for a late processor.
		_ = cn.Close()
	})
	if err := resp.writeRequest(r); err != nil {
		resp.stopCancel()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	if err := resp.readHeader(r); err != nil {
		resp.stopCancel()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	return resp, nil
}

// cause returns the cause of ctx if ctx has ended, because err is then only a consequence
// of that. Otherwise it returns err.
func cause(ctx context.Context, err error) error {
	if ctxErr := context.Cause(ctx); ctxErr != nil {
		return ctxErr
	}
	return err
}

// writeRequest writes the request. A large body is written by a separate goroutine.
func (resp *Response) writeRequest(r Request) error {
	var header bytes.Buffer
	header.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&header); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		header.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	header.WriteString("\r\n")
	if len(r.Body) < minConcurrentBody {
		header.Write(r.Body)
		_, err := resp.conn.Write(header.Bytes())
		return err
	}
	resp.bodyWriteDone = make(chan error, 1)
	go func() {
		buffers := net.Buffers{header.Bytes(), r.Body}
		_, err := buffers.WriteTo(resp.conn.Conn)
		resp.bodyWriteDone <- err
	}()
	return nil
}

// readHeader reads the headers of the response that belongs to the request. It skips up to
// maxInformational informational responses and up to maxSkippedResponses responses to other
// requests.
func (resp *Response) readHeader(r Request) error {
	limit := resp.conn.limit
	defer limit.removeLimit()
	limit.setLimit(partHead, maxHeadBytes)
	for informational, skipped := 0, 0; ; {
		response, err := resp.readOneHeader(r.Method)
		if err != nil {
			return err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			if informational++; informational > maxInformational {
				return newCountError("informational responses", informational, maxInformational)
			}
			continue
		}
		if resp.match = r.matchResponse(response.Header, resp.conn); resp.match != Other {
			resp.response, resp.Status, resp.Header = response, response.StatusCode, response.Header
			resp.Body, resp.Length = response.Body, response.ContentLength
			resp.EndsWithConn = response.ContentLength < 0 && len(response.TransferEncoding) == 0
			if resp.EndsWithConn {
				resp.Body = &unframedBody{in: response.Body, resp: resp}
			}
			resp.setReadDeadline(time.Time{})
			return nil
		}
		// This is a second response to an earlier request on this connection.
		if r.Skipped != nil {
			r.Skipped(response.StatusCode)
		}
		if skipped++; skipped > maxSkippedResponses || response.Close {
			return errors.New("response belongs to another request")
		}
		limit.setLimit(partSkippedBody, maxSkippedBodyBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return asHeadTimeout(partSkippedBody, err)
		}
		limit.setLimit(partHead, maxHeadBytes)
	}
}

// matchResponse returns Own or Unnamed if a response read from cn belongs to the request.
func (r *Request) matchResponse(h http.Header, cn *conn) Match {
	first := !cn.answered
	cn.answered = true
	if r.Match == nil {
		return Own
	}
	m := r.Match(h)
	if m == Unnamed && !first {
		return Other
	}
	return m
}

// readOneHeader waits for the next response and reads its headers. The read deadline that it
// sets remains, for a body that is skipped.
func (resp *Response) readOneHeader(method string) (*http.Response, error) {
	resp.setReadDeadline(time.Time{})
	if _, err := resp.conn.reader.Peek(1); errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	resp.setReadDeadline(time.Now().Add(headTimeout))
	buffered, err := resp.conn.reader.Peek(resp.conn.reader.Buffered())
	if err == nil {
		err = resp.conn.limit.beginHead(buffered)
	}
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(resp.conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, asHeadTimeout(partHead, err)
	}
	return response, checkStatus(response.StatusCode)
}

// The least and the greatest status of a response, informational ones included. net/http reads
// any three digits, also with a sign, and panics if a status below 100 is written to a caller.
const minStatus, maxStatus = 100, 599

// checkStatus returns an error for a status that no response may have. What such a response says
// of the request is unknown.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Errorf("response status: got %03d, want %d to %d", status, minStatus, maxStatus)
	}
	return nil
}

// SetReadTimeout limits the wait for the next bytes of the body to d from now; 0 removes
// the limit.
func (resp *Response) SetReadTimeout(d time.Duration) {
	if d == 0 {
		resp.setReadDeadline(time.Time{})
		return
	}
	resp.setReadDeadline(time.Now().Add(d))
}

// setReadDeadline sets the deadline of reads, none for the zero time, unless ctx has ended.
func (resp *Response) setReadDeadline(deadline time.Time) {
	_ = resp.conn.SetReadDeadline(deadline)
	if resp.ctx.Err() != nil {
		// The context may have ended just before, and the deadline set here has then replaced
		// the one that interrupts the connection.
		_ = resp.conn.SetDeadline(time.Unix(1, 0))
	}
}

// Finish releases the connection. complete says that the body was read to its end; only
// then can the connection be reused for another request.
func (resp *Response) Finish(complete bool) {
	uninterrupted := resp.stopCancel()
	if !complete || !uninterrupted || resp.response.Close || resp.match != Own || !resp.awaitBodyWritten() {
		_ = resp.conn.Close()
		return
	}
	resp.conn.expires = time.Now().Add(idleTimeout(resp.Header))
	if err := resp.conn.SetDeadline(time.Time{}); err != nil {
		_ = resp.conn.Close()
		return
	}
	resp.client.pool.put(resp.conn)
}

// awaitBodyWritten waits up to bodyWriteGrace until the request body is written. It
// reports whether it was written completely.
func (resp *Response) awaitBodyWritten() bool {
	if resp.bodyWriteDone == nil {
		return !resp.bodyUnwritten
	}
	timer := time.NewTimer(bodyWriteGrace)
	defer timer.Stop()
	select {
	case err := <-resp.bodyWriteDone:
		resp.bodyUnwritten = err != nil
	case <-timer.C:
		resp.bodyUnwritten = true
	}
	resp.bodyWriteDone = nil
	return !resp.bodyUnwritten
}

// unframedBody is a response body that ends with its connection. If the connection is reset while
// the request body is being written, the kernel returns the error to the write, and the read sees an
// ordinary end. Such a body is not complete.
type unframedBody struct {
	in   io.Reader
	resp *Response
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	if err == io.EOF && !b.resp.awaitBodyWritten() {
		err = errors.Wrap(io.ErrUnexpectedEOF, "response without length ended before the request was written")
	}
	return n, err
}

// idleTimeout returns how long a connection may stay idle according to the Keep-Alive
// header of a response.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
