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

// script serves connections of a listener on loopback by a function each.
func script(t *testing.T, serve ...func(conn net.Conn, in *bufio.Reader)) (addr string, conns func() int) {
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

func get(addr, id string) upstream.Request {
	return upstream.Request{
		Addr: addr, Method: http.MethodPost, Target: "/a%2Fb/?q=1", Host: "h.example",
		Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestRequestArrivesUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	addr, _ := script(t, func(conn net.Conn, in *bufio.Reader) {
		got <- readRequest(t, in)
		_, _ = io.WriteString(conn, answer("1", "ok"))
	})
	a, err := newClient(t).Send(t.Context(), get(addr, "1"))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a.Body)
	a.Finish(err == nil)
	r := <-got
	sent, _ := io.ReadAll(r.Body)
	if string(body) != "ok" || r.RequestURI != "/a%2Fb/?q=1" || r.Host != "h.example" || string(sent) != "body" {
		t.Errorf("answer %q to %s %s %q", body, r.RequestURI, r.Host, sent)
	}
}

// A second answer to an earlier request may stand where the next one is expected.
func TestAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	addr, conns := script(t, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, answer("1", "a"))
		readRequest(t, in)
		_, _ = io.WriteString(conn, answer("1", "a")+answer("2", "b"))
	})
	c := newClient(t)
	for _, want := range []struct{ id, body string }{{"1", "a"}, {"2", "b"}} {
		a, err := c.Send(t.Context(), get(addr, want.id))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a.Body)
		if string(body) != want.body {
			t.Errorf("request %s got %q", want.id, body)
		}
		a.Finish(err == nil)
	}
	if conns() != 1 {
		t.Errorf("%d connections, want one reused", conns())
	}
}

// Bytes that came unasked belong to no request; their connection is not used again.
func TestConnectionWithUnaskedBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{})
	addr, conns := script(t, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, answer("1", "a")+"HTTP/1.1 200 OK\r\n")
		close(sent)
		_, _ = in.ReadByte()
	}, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, answer("2", "b"))
	})
	c := newClient(t)
	a, err := c.Send(t.Context(), get(addr, "1"))
	if err != nil {
		t.Fatal(err)
	}
	<-sent
	_, err = io.ReadAll(a.Body)
	a.Finish(err == nil)
	if a, err = c.Send(t.Context(), get(addr, "2")); err != nil {
		t.Fatal(err)
	}
	a.Finish(false)
	if conns() != 2 {
		t.Errorf("%d connections, want a second one", conns())
	}
}

// The error tells whether the request may have run.
func TestErrorTellsWhatWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	var failure *upstream.Error
	if _, err := newClient(t).Send(t.Context(), get(closed, "1")); !errors.As(err, &failure) || failure.Sent || !failure.DialFailed {
		t.Errorf("a closed port: %v", err)
	}
	addr, conns := script(t, func(_ net.Conn, in *bufio.Reader) { readRequest(t, in) })
	if _, err := newClient(t).Send(t.Context(), get(addr, "1")); !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("a connection closed after the request: %v", err)
	}
	if conns() != 1 {
		t.Errorf("the request was sent on %d connections", conns())
	}
	addr, _ = script(t, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, "\x00\x01 this is no answer\r\n\r\n")
	})
	if _, err := newClient(t).Send(t.Context(), get(addr, "1")); !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("nonsense: %v", err)
	}
}

// A broken answer is told from a whole one, also without a length.
func TestBrokenBodyIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nshort",
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		addr, _ := script(t, func(conn net.Conn, in *bufio.Reader) {
			readRequest(t, in)
			_, _ = io.WriteString(conn, text)
		})
		a, err := newClient(t).Send(t.Context(), get(addr, "1"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(a.Body); err == nil {
			t.Errorf("%s: a cut body reads as whole", name)
		}
		a.Finish(false)
	}
	addr, _ := script(t, func(conn net.Conn, in *bufio.Reader) {
		readRequest(t, in)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nshort")
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	a, err := newClient(t).Send(t.Context(), get(addr, "1"))
	if err != nil {
		// The reset may overtake the head; then there is no answer at all.
		return
	}
	if _, err := io.ReadAll(a.Body); err == nil {
		t.Error("a body without length that ends in a reset reads as whole")
	}
	a.Finish(false)
}

// An answer may come before the target has read a long body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	addr, conns := script(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer("1", "no"))
		_, _ = io.Copy(io.Discard, r.Body)
		readRequest(t, in)
		_, _ = io.WriteString(conn, answer("2", "ok"))
	})
	c := newClient(t)
	r := get(addr, "1")
	r.Body = make([]byte, 4<<20)
	a, err := c.Send(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a.Body)
	a.Finish(err == nil)
	if string(body) != "no" {
		t.Errorf("answer %q", body)
	}
	if a, err = c.Send(t.Context(), get(addr, "2")); err != nil {
		t.Fatal(err)
	}
	a.Finish(false)
	if n := conns(); n > 2 {
		t.Errorf("%d connections", n)
	}
}

// When the context ends, the target learns it by the end of the connection.
func TestContextEndClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	got := make(chan struct{})
	addr, _ := script(t, func(_ net.Conn, in *bufio.Reader) {
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
	if _, err := newClient(t).Send(ctx, get(addr, "1")); !errors.Is(err, context.Canceled) {
		t.Errorf("Send = %v", err)
	}
	timer := time.NewTimer(10 * time.Second)
	defer timer.Stop()
	select {
	case err := <-closed:
		if err == nil {
			t.Error("more bytes came")
		}
	case <-timer.C:
		t.Error("the connection stays open")
	}
}
