// Package upstream sends HTTP/1.1 requests to targets and tells exactly what became
// of each: whether a byte of it may have reached the target, whether the answer is
// whole, and whose answer it is.
//
// It stands beside net/http's Transport, which sends some requests again by itself;
// a request that must not run twice may not meet that. Messages are parsed by
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
	"time"

	"github.com/pkg/errors"
)

// maxSkipped bounds the answers to other requests that are passed over.
const maxSkipped = 4

// concurrentBody is the size from which a body is written while the answer is read: a
// target may answer first and leave the body unread for a while.
const concurrentBody = 8 << 10

// bodyGrace is how long the rest of a body may take after the answer is whole, before
// the connection is given up.
const bodyGrace = 300 * time.Millisecond

// Error says that there is no answer.
type Error struct {
	// Sent says that a byte of the request may have reached the target, so that it may
	// run or have run.
	Sent bool
	// DialFailed says that no connection came up.
	DialFailed bool
	Err        error
}

// Error returns the cause.
func (e *Error) Error() string {
	switch {
	case e.DialFailed:
		return fmt.Sprintf("connect to target: %v", e.Err)
	case e.Sent:
		return fmt.Sprintf("await answer: %v", e.Err)
	}
	return fmt.Sprintf("send request: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to a target.
type Request struct {
	// Addr is the target's IP:port.
	Addr   string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer with these headers belongs to the request; nil
	// takes any.
	Matches func(http.Header) bool
}

// Client sends requests.
type Client struct{ pool *pool }

// NewClient returns a client that dials with dial.
func NewClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{pool: &pool{dial: dial, idle: make(map[string][]*conn)}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Sweep closes idle connections whose time has passed.
func (c *Client) Sweep() { c.pool.sweep(time.Now()) }

// Response is the head of an answer; its body is read from Body. Finish must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the body's declared length, -1 if it has none.
	Length int64

	ctx      context.Context
	client   *Client
	conn     *conn
	response *http.Response
	written  chan error
	stop     func() bool
}

// Send sends a request and returns the head of its answer. When ctx ends, the
// connection is closed, also while the answer's body is read. The error is an *Error.
func (c *Client) Send(ctx context.Context, r Request) (*Response, error) {
	cn, err := c.pool.get(ctx, r.Addr)
	if err != nil {
		return nil, &Error{DialFailed: true, Err: err}
	}
	a, err := c.exchange(ctx, cn, r)
	if err != nil {
		_ = cn.Close()
		return nil, err
	}
	return a, nil
}

// exchange writes the request and reads the head of the answer.
func (c *Client) exchange(ctx context.Context, cn *conn, r Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	a := &Response{ctx: ctx, client: c, conn: cn}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if err := a.write(r); err != nil {
		a.stop()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	if err := a.readHead(r); err != nil {
		a.stop()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	return a, nil
}

// cause prefers the reason why a context ended to the error that this brought about.
func cause(ctx context.Context, err error) error {
	if ctxErr := context.Cause(ctx); ctxErr != nil {
		return ctxErr
	}
	return err
}

// write sends the request. A large body is written by a goroutine of its own.
func (a *Response) write(r Request) error {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(r.Body) < concurrentBody {
		head.Write(r.Body)
		_, err := a.conn.Write(head.Bytes())
		return err
	}
	a.written = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head.Bytes(), r.Body}
		_, err := buffers.WriteTo(a.conn.Conn)
		a.written <- err
	}()
	return nil
}

// readHead reads heads until the one that belongs to the request.
func (a *Response) readHead(r Request) error {
	for skipped := 0; ; {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if r.Matches == nil || r.Matches(response.Header) {
			a.response, a.Status, a.Header = response, response.StatusCode, response.Header
			a.Body, a.Length = response.Body, response.ContentLength
			return nil
		}
		// A second answer to an earlier request on this connection came late.
		if skipped++; skipped > maxSkipped || response.Close {
			return errors.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
}

// SetReadTimeout bounds the wait for the next bytes of the body; 0 lifts the bound.
func (a *Response) SetReadTimeout(d time.Duration) {
	if d == 0 {
		_ = a.conn.SetReadDeadline(time.Time{})
		return
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(d))
	if a.ctx.Err() != nil {
		// The context may have ended between its own deadline and this one.
		_ = a.conn.SetDeadline(time.Unix(1, 0))
	}
}

// Finish ends the exchange. whole says that the body was read to its end; only then
// may the connection carry another request.
func (a *Response) Finish(whole bool) {
	running := a.stop()
	if !whole || !running || a.response.Close || !a.bodyWritten() {
		_ = a.conn.Close()
		return
	}
	a.conn.expires = time.Now().Add(idleTime(a.Header))
	if err := a.conn.SetDeadline(time.Time{}); err != nil {
		_ = a.conn.Close()
		return
	}
	a.client.pool.put(a.conn)
}

// bodyWritten waits for the end of the request's body.
func (a *Response) bodyWritten() bool {
	if a.written == nil {
		return true
	}
	timer := time.NewTimer(bodyGrace)
	defer timer.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// idleTime returns how long a connection may stay idle, from the Keep-Alive header.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return idleLifetime
}
