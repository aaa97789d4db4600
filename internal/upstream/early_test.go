package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// earlyEnds are ways to end a connection whose upload is still being written.
var earlyEnds = map[string]func(conn *net.TCPConn){
	// The upload was not read, so that the kernel resets the connection.
	"closed": func(conn *net.TCPConn) {},
	"reset":  func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
	"reset after a pause": func(conn *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
	},
	// A process that ends closes its connections in the same way once it has read all that arrived.
	"ended, then reset": func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
	},
	"drained, then closed": func(conn *net.TCPConn) {
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1<<20))
	},
}

// An answer without a length ends with its connection. If that is reset while the request body is
// still being written, the answer may have been cut: its body must end with an error. The write may
// take the error of the connection, and the read then sees an ordinary end.
func TestEarlyAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	for name, end := range earlyEnds {
		for _, size := range []int{64 << 10, 16 << 20} {
			if size < 1<<20 && strings.Contains(name, "then") {
				// All of the upload arrives before the answer ends.
				continue
			}
			t.Run(fmt.Sprint(name, "/", size), func(t *testing.T) {
				addr, _ := startServer(t, func(conn net.Conn, in *bufio.Reader) {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
					end(conn.(*net.TCPConn))
				})
				c := newClient(t)
				complete := 0
				const rounds = 15 // startServer counts up to 16 connections
				for range rounds {
					r := newRequest(addr, "1")
					r.Body = make([]byte, size)
					resp, err := c.Send(t.Context(), r)
					if err != nil {
						continue
					}
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Finish(err == nil)
					if err == nil {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d answers looked complete", complete, rounds)
				}
			})
		}
	}
}
