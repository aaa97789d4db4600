package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// serveSocket serves connections on a socket of loopback until the test ends.
func serveSocket(t *testing.T, serve func(conn net.Conn, in *bufio.Reader)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// newSocketClient returns a client of targets on loopback.
func newSocketClient(t *testing.T) *target.Client {
	var d net.Dialer
	c := target.NewClient(d.DialContext, target.Options{})
	t.Cleanup(c.Close)
	return c
}

// A response with a malformed status may come from a run, whatever its outcome header says: it must
// not be taken for a refusal, which is repeated.
func TestMalformedStatusPromisesNothing(t *testing.T) {
	for _, status := range []string{"000 x", "0 x", "99 x", "099 x", "+20 x", "600 x", "999 x", "1000 x", "abc x", ""} {
		for _, outcome := range []string{enginewire.OutcomeNotRun, enginewire.OutcomeFailed} {
			addr := serveSocket(t, func(conn net.Conn, in *bufio.Reader) {
				if r, err := http.ReadRequest(in); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, enginewire.HeaderOutcome, outcome)
				}
			})
			c := newSocketClient(t)
			for _, n := range []int{0, 10, 1 << 20} {
				for _, once := range []bool{true, false} {
					_, err := c.Call(context.Background(), addr, target.CallRequest{Method: "m", Body: make([]byte, n), CallID: "c", Once: once})
					wantError(t, err, target.Unknown, "")
				}
			}
			_, err := c.Generate(context.Background(), addr, target.GenerateRequest{RequestID: "r", Prompt: "p"})
			wantError(t, err, target.Unknown, "")
		}
	}
}
