package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/upstream"
)

// startServer listens on loopback and serves the i-th connection with the i-th function,
// further ones with the last. conns returns the number of connections accepted so far.
func startServer(t *testing.T, serve ...func(conn net.Conn, in *bufio.Reader)) (addr string, conns func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan struct{}, 16)
	go func() {
		for i := 0; ; i++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() {
				defer conn.Close()
				serve[min(i, len(serve)-1)](conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String(), func() int { return len(accepted) }
}

// readRequest reads a request with its body, or returns nil if there is none.
func readRequest(t *testing.T, in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Errorf("read body: %v", err)
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	return r
}

func newClient(t *testing.T) *upstream.Client {
	c := upstream.NewClient(upstream.NewDialer().DialContext)
	t.Cleanup(c.Close)
	return c
}

func newRequest(addr, id string) upstream.Request {
	return upstream.Request{
		Addr: addr, Method: http.MethodPost, Target: "/a%2Fb/?q=1", Host: "h.example",
		Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
		Match: func(h http.Header) upstream.Match { return matchID(h, id) },
	}
}

// matchID matches the id of a response.
func matchID(h http.Header, id string) upstream.Match {
	switch h.Get("X-Id") {
	case "":
		return upstream.Unnamed
	case id:
		return upstream.Own
	}
	return upstream.Other
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestRequestArrivesUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	addr, _ := startServer(t, func(conn net.Conn, in *bufio.Reader) {
		got <- readRequest(t, in)
		_, _ = io.WriteString(conn, responseText("1", "ok"))
	})
	resp, err := newClient(t).Send(t.Context(), newRequest(addr, "1"))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	r := <-got
	sent, _ := io.ReadAll(r.Body)
	if string(body) != "ok" || r.RequestURI != "/a%2Fb/?q=1" || r.Host != "h.example" || string(sent) != "body" {
		t.Errorf("got response %q to request %s %s %q", body, r.RequestURI, r.Host, sent)
	}
}

// A target may send a second, late response to an earlier request where the response to the
// next request is expected. It must not be returned for that request.
func TestAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	addr, conns := startServer(t, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, responseText("1", "a"))
		readRequest(t, in)
		_, _ = io.WriteString(conn, responseText("1", "a")+responseText("2", "b"))
	})
	c := newClient(t)
	for _, want := range []struct{ id, body string }{{"1", "a"}, {"2", "b"}} {
		resp, err := c.Send(t.Context(), newRequest(addr, want.id))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if string(body) != want.body {
			t.Errorf("request %s got response %q", want.id, body)
		}
		resp.Finish(err == nil)
	}
	if conns() != 1 {
		t.Errorf("got %d connections, want one that is reused", conns())
	}
}

// A target may send data that belongs to no request. A connection with such data must not
// be reused, since it would be read as the next response.
func TestConnectionWithUnaskedBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{})
	addr, conns := startServer(t, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, responseText("1", "a")+"HTTP/1.1 200 OK\r\n")
		close(sent)
		_, _ = in.ReadByte()
	}, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, responseText("2", "b"))
	})
	c := newClient(t)
	resp, err := c.Send(t.Context(), newRequest(addr, "1"))
	if err != nil {
		t.Fatal(err)
	}
	<-sent
	_, err = io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	if resp, err = c.Send(t.Context(), newRequest(addr, "2")); err != nil {
		t.Fatal(err)
	}
	resp.Finish(false)
	if conns() != 2 {
		t.Errorf("got %d connections, want a second one", conns())
	}
}

// The error must report whether the request may have run: a request that must not run twice
// is retried only if it cannot have run.
func TestErrorTellsWhatWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	var failure *upstream.Error
	if _, err := newClient(t).Send(t.Context(), newRequest(closed, "1")); !errors.As(err, &failure) || failure.Sent || !failure.DialFailed {
		t.Errorf("closed port: Send error = %v, want one with DialFailed", err)
	}
	addr, conns := startServer(t, func(_ net.Conn, in *bufio.Reader) { readRequest(t, in) })
	if _, err := newClient(t).Send(t.Context(), newRequest(addr, "1")); !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("connection closed after the request: Send error = %v, want one with Sent", err)
	}
	if conns() != 1 {
		t.Errorf("request was sent on %d connections, want one", conns())
	}
	addr, _ = startServer(t, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, "\x00\x01 this is no answer\r\n\r\n")
	})
	if _, err := newClient(t).Send(t.Context(), newRequest(addr, "1")); !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("malformed response: Send error = %v, want one with Sent", err)
	}
}

// A truncated body must give an error, also if the response declares no length.
func TestBrokenBodyIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nshort",
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		addr, _ := startServer(t, func(conn net.Conn, in *bufio.Reader) {
			readRequest(t, in)
			_, _ = io.WriteString(conn, text)
		})
		resp, err := newClient(t).Send(t.Context(), newRequest(addr, "1"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: truncated body was read without an error", name)
		}
		resp.Finish(false)
	}
	addr, _ := startServer(t, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nshort")
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	resp, err := newClient(t).Send(t.Context(), newRequest(addr, "1"))
	if err != nil {
		// The reset may arrive before the headers are read; then there is no response at all.
		return
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("body without length that ended in a reset was read without an error")
	}
	resp.Finish(false)
}

// A target may respond before it has read a long body. The client must not block on
// writing that body.
func TestEarlyResponseToLongBody(t *testing.T) {
	addr, conns := startServer(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, responseText("1", "no"))
		_, _ = io.Copy(io.Discard, r.Body)
		readRequest(t, in)
		_, _ = io.WriteString(conn, responseText("2", "ok"))
	})
	c := newClient(t)
	r := newRequest(addr, "1")
	r.Body = make([]byte, 4<<20)
	resp, err := c.Send(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	if string(body) != "no" {
		t.Errorf("got response body %q", body)
	}
	if resp, err = c.Send(t.Context(), newRequest(addr, "2")); err != nil {
		t.Fatal(err)
	}
	resp.Finish(false)
	if n := conns(); n > 2 {
		t.Errorf("got %d connections, want two at most", n)
	}
}

// When the context ends, the connection must be closed so that the target can stop the
// request.
func TestContextEndClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	got := make(chan struct{})
	addr, _ := startServer(t, func(_ net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		close(got)
		_, err := in.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	if _, err := newClient(t).Send(ctx, newRequest(addr, "1")); !errors.Is(err, context.Canceled) {
		t.Errorf("Send error = %v, want context.Canceled", err)
	}
	timer := time.NewTimer(10 * time.Second)
	defer timer.Stop()
	select {
	case err := <-closed:
		if err == nil {
			t.Error("target received more bytes after the request")
		}
	case <-timer.C:
		t.Error("connection was not closed")
	}
}
