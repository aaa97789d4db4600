package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/upstream"
)

// refusalText is a refusal that names no request.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"

// sendAndFinish sends r and returns the status and body of the response.
func sendAndFinish(t *testing.T, c *upstream.Client, r upstream.Request) (int, string) {
	t.Helper()
	resp, err := c.Send(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	return resp.Status, string(body)
}

// earlierText is a response to request 0 that names it.
var earlierText = responseText("0", "a")

// A response that names no request is believed only as the first on its connection, apart from
// informational ones. The connection is then not reused.
func TestRepeatedRefusalIsSkipped(t *testing.T) {
	own := responseText("1", "b")
	tests := map[string]struct {
		// prepare is called before the first request.
		prepare func(c *upstream.Client, addr string)
		// earlier is the response to request 0, empty if only request 1 is sent, whose response
		// is text.
		earlier, text string
		// newConn is set in request 1.
		newConn bool
		status  int
		conns   int
	}{
		"unnamed, new connection":               {text: refusalText, status: 503, conns: 1},
		"unnamed, after an informational one":   {text: "HTTP/1.1 103 Early Hints\r\n\r\n" + refusalText, status: 503, conns: 1},
		"unnamed, after one to another request": {text: earlierText + refusalText + own, status: 200, conns: 1},
		"unnamed, reused connection":            {earlier: earlierText, text: refusalText + own, status: 200, conns: 1},
		"named, reused connection":              {earlier: earlierText, text: earlierText + own, status: 200, conns: 1},
		"unnamed, after an unnamed one":         {earlier: refusalText, text: refusalText, status: 503, conns: 2},
		"unnamed, connection of its own":        {earlier: earlierText, text: refusalText, newConn: true, status: 503, conns: 2},
		"unnamed, connected before": {
			prepare: func(c *upstream.Client, addr string) { _ = c.Connect(t.Context(), addr) }, text: refusalText, status: 503, conns: 1,
		},
		"unnamed, connected by crash check": {
			prepare: func(c *upstream.Client, addr string) { c.IsDown(t.Context(), addr) }, text: refusalText, status: 503, conns: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr, conns := startServer(t, func(conn net.Conn, in *bufio.Reader) {
				for r := readRequest(t, in); r != nil; r = readRequest(t, in) {
					text := test.text
					if r.Header.Get("X-Id") == "0" {
						text = test.earlier
					}
					_, _ = io.WriteString(conn, text)
				}
			})
			c := newClient(t)
			if test.prepare != nil {
				test.prepare(c, addr)
			}
			if test.earlier != "" {
				sendAndFinish(t, c, newRequest(addr, "0"))
			}
			r := newRequest(addr, "1")
			r.NewConn = test.newConn
			if status, _ := sendAndFinish(t, c, r); status != test.status || conns() != test.conns {
				t.Errorf("status %d on %d connections, want %d on %d", status, conns(), test.status, test.conns)
			}
		})
	}
}

// A target refuses a request before it has read its long body, reads on, and writes the refusal
// once more where the response to the next request is due.
func TestRepeatedEarlyRefusalOfLongBodyIsSkipped(t *testing.T) {
	for name, refusal := range map[string]string{
		"named": strings.Replace(refusalText, "\r\n", "\r\nX-Id: 0\r\n", 1), "unnamed": refusalText,
	} {
		addr, _ := startServer(t, func(conn net.Conn, in *bufio.Reader) {
			for repeated := ""; ; repeated = refusal {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if r.Header.Get("X-Id") == "0" {
					_, _ = io.WriteString(conn, refusal)
					_, _ = io.Copy(io.Discard, r.Body)
					continue
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, repeated+responseText("1", "ok"))
			}
		})
		c := newClient(t)
		long := newRequest(addr, "0")
		long.Body = make([]byte, 1<<20)
		if status, body := sendAndFinish(t, c, long); status != http.StatusServiceUnavailable || body != "full" {
			t.Errorf("%s: long body: status %d, body %q; want the refusal", name, status, body)
		}
		if status, body := sendAndFinish(t, c, newRequest(addr, "1")); status != http.StatusOK || body != "ok" {
			t.Errorf("%s: next request: status %d, body %q; want its own response", name, status, body)
		}
	}
}

// A repeated refusal that closes the connection leaves the next request without a response. That
// must be an error which says that the request may have run.
func TestRepeatedRefusalThatClosesIsNoRefusal(t *testing.T) {
	addr, _ := startServer(t, func(conn net.Conn, in *bufio.Reader) {
		closing := strings.Replace(refusalText, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
		for _, text := range []string{earlierText, closing} {
			if readRequest(t, in) != nil {
				_, _ = io.WriteString(conn, text)
			}
		}
	})
	c := newClient(t)
	sendAndFinish(t, c, newRequest(addr, "0"))
	_, err := c.Send(t.Context(), newRequest(addr, "1"))
	var failure *upstream.Error
	if !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("Send error = %v, want one with Sent", err)
	}
}
