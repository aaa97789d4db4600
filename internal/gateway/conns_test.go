package gateway

import (
	"net"
	"syscall"
	"testing"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Whether a caller has disconnected is read from its socket immediately before its
// request is sent to a target. A listener that wraps its connections must not hide the socket.
func TestCallerConnExposesSocket(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &callerListener{Listener: inner, conns: newCallerConns(1, clock.Monotonic())}
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
	sc, ok := conn.(syscall.Conn)
	if !ok {
		t.Fatalf("a caller's connection is a %T, which does not implement syscall.Conn", conn)
	}
	if _, err := sc.SyscallConn(); err != nil {
		t.Errorf("socket of a caller's connection: %v", err)
	}
}

// Closing a listener must end an Accept that waits because the limit is reached;
// otherwise the server could not shut down.
func TestCloseUnblocksFullListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newCallerConns(1, clock.Monotonic())
	conns.add(nil)
	l := &callerListener{Listener: inner, conns: conns}
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("Accept on a closed listener returned no error")
	}
}
