package ingress

import (
	"net"
	"testing"
)

// A caller whose end of the connection is closed counts as gone. If only its sending side is,
// the instance cannot tell the difference, and must not send its request to a target.
func TestClosedSendingSideCountsAsGone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closers := map[string]func(c *net.TCPConn) error{
		"both sides":   (*net.TCPConn).Close,
		"sending side": (*net.TCPConn).CloseWrite,
	}
	for name, closeConn := range closers {
		t.Run(name, func(t *testing.T) {
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			ctx := WithConn(t.Context(), conn)
			if callerGone(ctx) {
				t.Fatal("an open connection counts as gone")
			}
			if err := closeConn(caller.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			// The read returns once the FIN has arrived.
			if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
				t.Fatalf("read %d bytes and error %v from a closed connection", n, err)
			}
			if !callerGone(ctx) {
				t.Error("a closed connection does not count as gone")
			}
		})
	}
}
