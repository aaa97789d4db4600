package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/upstream"
)

// Bounds of the tests below.
const (
	// endlessBytes is how much an endlessConn sends before it ends, so that a client without
	// a limit does not use up the machine.
	endlessBytes = 16 << 20
	// readAhead is how much the client may read from a connection beyond what it needs.
	readAhead = 4 << 10
)

// endlessConn is a connection whose peer answers a request with start and then with
// repetitions of unit. It counts the bytes that are read.
type endlessConn struct {
	start, unit string

	mu     sync.Mutex
	sent   int
	closed bool
}

func (c *endlessConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.sent >= endlessBytes:
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n < len(p) {
		source := c.start
		at := c.sent
		if at >= len(c.start) {
			source = c.unit
			at = (at - len(c.start)) % len(c.unit)
		}
		k := copy(p[n:], source[at:])
		n += k
		c.sent += k
	}
	return n, nil
}

func (c *endlessConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

// state returns how many bytes were read and whether the connection was closed.
func (c *endlessConn) state() (read int, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.closed
}

func (c *endlessConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *endlessConn) LocalAddr() net.Addr              { return nil }
func (c *endlessConn) RemoteAddr() net.Addr             { return nil }
func (c *endlessConn) SetDeadline(time.Time) error      { return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }

// newEndless returns a client whose connections go to one endlessConn.
func newEndless(t *testing.T, start, unit string) (*upstream.Client, *endlessConn) {
	conn := &endlessConn{start: start, unit: unit}
	c := upstream.NewClient(func(context.Context, string, string) (net.Conn, error) { return conn, nil })
	t.Cleanup(c.Close)
	return c, conn
}

// A target that sends without end before its response is complete must not use up the
// instance's memory or processor: it is cut off after a limited number of bytes.
func TestEndlessResponseHeadIsCutOff(t *testing.T) {
	const (
		ok    = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
		other = "HTTP/1.1 200 OK\r\nX-Id: 0\r\n"
		empty = "Content-Length: 0\r\n\r\n"
	)
	tests := []struct {
		name, start, unit string
		maxBytes          int
	}{
		{"bytes that are no answer", "", "\x00\x01", upstream.MaxHeadBytes},
		{"status line", "HTTP/1.1 200 ", "O", upstream.MaxHeadBytes},
		{"one header line", ok + "X-Long: ", "a", upstream.MaxHeadBytes},
		{"folded header line", ok + "X-Long: a\r\n", " a\r\n", upstream.MaxHeadBytes},
		{"name of a header", ok, "a", upstream.MaxHeadBytes},
		{"header lines", ok, "X-A: b\r\n", upstream.MaxHeadBytes},
		{"informational response", "HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", upstream.MaxHeadBytes},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n", upstream.MaxHeadBytes},
		{"large informational responses", "", "HTTP/1.1 103 Early Hints\r\nX-Long: " + strings.Repeat("a", 4000) + "\r\n\r\n", upstream.MaxHeadBytes},
		{"responses to other requests", other + empty, other + empty, upstream.MaxHeadBytes},
		{"body of a response to another request", other + "Content-Length: 1000000000000\r\n\r\n", "a", upstream.MaxHeadBytes + upstream.MaxSkippedBodyBytes},
		{"chunks of a response to another request", other + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", upstream.MaxHeadBytes + upstream.MaxSkippedBodyBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, conn := newEndless(t, test.start, test.unit)
			_, err := c.Send(t.Context(), newRequest("target", "1"))
			var failure *upstream.Error
			if !errors.As(err, &failure) || !failure.Sent {
				t.Errorf("Send error = %v, want one with Sent", err)
			}
			read, closed := conn.state()
			if read > test.maxBytes+readAhead {
				t.Errorf("client read %d bytes before it gave up, want at most %d", read, test.maxBytes+readAhead)
			}
			if !closed {
				t.Error("connection is still open")
			}
		})
	}
}

// The error must say which part of the response went over which bound.
func TestLimitErrorNamesPartAndBound(t *testing.T) {
	for _, test := range []struct{ start, unit, want string }{
		{"HTTP/1.1 200 OK\r\nX-Long: ", "a", "response head: got 16384 bytes without its end, want at most 16384 bytes"},
		{"", "HTTP/1.1 102 Processing\r\n\r\n", "informational responses: got 17, want at most 16"},
		{"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 1000000000000\r\n\r\n", "a",
			"body of a response to another request: got 262144 bytes without its end, want at most 262144 bytes"},
	} {
		c, _ := newEndless(t, test.start, test.unit)
		_, err := c.Send(t.Context(), newRequest("target", "1"))
		var limit *upstream.LimitError
		if !errors.As(err, &limit) || limit.Error() != test.want {
			t.Errorf("Send error = %v, want a LimitError %q", err, test.want)
		}
	}
}

// Between the data of a body, a target can send chunk sizes, chunk extensions and trailers
// without end.
func TestEndlessFramingOfBodyIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	// maxFraming is what net/http accepts: 16 KiB beyond twice the data.
	const maxFraming = 16 << 10
	for _, test := range []struct{ name, start, unit string }{
		{"chunk size", head, "0"},
		{"extension", head + "4;", "a"},
		{"extensions", head, "1;" + strings.Repeat("a", 1000) + "\r\nx\r\n"},
		{"one trailer", head + "0\r\nX-Long: ", "a"},
		{"trailers", head + "0\r\n", "X-A: b\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, conn := newEndless(t, test.start, test.unit)
			resp, err := c.Send(t.Context(), newRequest("target", "1"))
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err == nil || n > maxFraming {
				t.Errorf("read %d bytes of the body and got error %v, want one", n, err)
			}
			resp.Finish(false)
			read, closed := conn.state()
			if want := len(head) + maxFraming + 2*readAhead; read > want {
				t.Errorf("client read %d bytes before it gave up, want at most %d", read, want)
			}
			if !closed {
				t.Error("connection is still open")
			}
		})
	}
}

// A head of the largest size, and a body that is larger, must still be read.
func TestLargestResponseIsRead(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", "\r\nContent-Length: 1048576\r\n\r\n"
	head := start + strings.Repeat("a", upstream.MaxHeadBytes-len(start)-len(end)) + end
	c, _ := newEndless(t, head, "b")
	resp, err := c.Send(t.Context(), newRequest("target", "1"))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(false)
	if err != nil || string(body) != strings.Repeat("b", 1<<20) {
		t.Errorf("read %d bytes of the body, error %v", len(body), err)
	}
}

// A head of many short fields takes many times its size in memory, also where it has no end.
func TestHeadOfManyLinesIsMalformed(t *testing.T) {
	for name, c := range map[string]*endlessConn{
		"first":               {start: "HTTP/1.1 200 OK\r\n", unit: "X-A: b\r\n"},
		"after informational": {start: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n", unit: "X-A: b\r\n"},
		"bare line ends":      {start: "HTTP/1.1 200 OK\n", unit: "A:b\n"},
	} {
		client := upstream.NewClient(func(context.Context, string, string) (net.Conn, error) { return c, nil })
		_, err := client.Send(t.Context(), upstream.Request{Addr: "t", Method: "GET", Target: "/", Host: "h"})
		var limit *upstream.LimitError
		if !errors.As(err, &limit) || !strings.Contains(limit.Error(), "lines") {
			t.Errorf("%s: error %v, want a limit of lines", name, err)
		}
	}
}
