package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/upstream"
)

// A response whose status is not one of 200 to 599 is malformed: net/http parses some of them and
// panics when they are written to a caller. It must be an error of a request that was sent, on new
// and reused connections, with short and long bodies.
func TestMalformedStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000 x", "0 x", "99 x", "099 x", "+20 x", "600 x", "999 x", "1000 x", "abc x", "", " "} {
		for _, n := range []int{0, 10, 1 << 20} {
			for _, reused := range []bool{false, true} {
				addr, conns := startServer(t, func(conn net.Conn, in *bufio.Reader) {
					if reused {
						readRequest(t, in)
						_, _ = io.WriteString(conn, responseText("1", "a"))
					}
					if readRequest(t, in) != nil {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n", status)
					}
				})
				c := newClient(t)
				if reused {
					resp, err := c.Send(t.Context(), newRequest(addr, "1"))
					if err != nil {
						t.Fatal(err)
					}
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Finish(err == nil)
				}
				r := newRequest(addr, "2")
				r.Body = make([]byte, n)
				resp, err := c.Send(t.Context(), r)
				var failure *upstream.Error
				if !errors.As(err, &failure) || !failure.Sent {
					t.Errorf("status %q, %d bytes, reused %t: got %+v, error %v, want an error after it was sent", status, n, reused, resp, err)
				}
				if conns() != 1 {
					t.Errorf("status %q: sent on %d connections, want 1", status, conns())
				}
			}
		}
	}
}
