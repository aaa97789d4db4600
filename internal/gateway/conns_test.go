package gateway

import (
	"net"
	"net/http"
	"syscall"
	"testing"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Whether a caller has left is asked of its socket, immediately before its request is
// sent to a target.
func TestSocketOfCallerCanBeAsked(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &boundedListener{Listener: inner, conns: newCallerConns(1, clock.Monotonic())}
	defer l.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, ok := conn.(syscall.Conn); !ok {
		t.Errorf("a caller's connection is a %T, which has no socket to ask", conn)
	}
}

// A listener that waits for room ends when it is closed.
func TestFullListenerCanBeClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newCallerConns(1, clock.Monotonic())
	conns.track(nil, http.StateNew)
	l := &boundedListener{Listener: inner, conns: conns}
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("a closed listener accepts")
	}
}
