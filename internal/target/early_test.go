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
)

// An answer without a length that ends before the call was written may have been cut: net/http
// returns its end and drops the error of the write. It must not pass for the answer of the call.
func TestEarlyAnswerResetDuringCallIsNotComplete(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("reset=%t once=%t", reset, once), func(t *testing.T) {
				addr := serveSocket(t, func(conn net.Conn, in *bufio.Reader) {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					} else {
						_ = conn.(*net.TCPConn).CloseWrite()
					}
				})
				c := newSocketClient(t)
				complete := 0
				for range 40 {
					body, err := c.Call(context.Background(), addr, target.CallRequest{Method: "m", Body: make([]byte, 16<<20), CallID: "c", Once: once})
					if err == nil {
						complete++
						continue
					}
					if kindOf(err) != target.Unknown {
						t.Errorf("got %q, error %v, want kind %v", body, err, target.Unknown)
					}
				}
				if complete > 0 {
					t.Errorf("%d of 40 answers looked complete", complete)
				}
			})
		}
	}
}
