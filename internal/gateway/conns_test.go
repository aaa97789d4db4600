package gateway

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

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

// A connection on which a request waits in the kernel's buffer must not be closed as idle: its
// caller would lose the request although the instance is able to serve it.
func TestSweepSparesConnWithUnreadRequest(t *testing.T) {
	closers := map[string]func(c *callerConns){
		"idle timeout":    func(c *callerConns) { c.limit = 0; c.sweep(time.Second) },
		"too many":        func(c *callerConns) { c.sweep(0) },
		"end of the stop": func(c *callerConns) { c.closeAllIdle() },
	}
	for name, closeIdle := range closers {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var now clock.Instant
			conns := newCallerConns(2, func() clock.Instant { return now })
			l := &callerListener{Listener: inner, conns: conns}
			defer l.Close()
			var accepted []net.Conn
			for i := range 2 {
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
				conns.track(conn, http.StateIdle)
				accepted = append(accepted, conn)
				now = now.Add(10 * time.Second)
				if i == 0 {
					if _, err := io.WriteString(caller, "GET"); err != nil {
						t.Fatal(err)
					}
					awaitUnread(t, conn)
				}
			}
			closeIdle(conns)
			got := make([]byte, 3)
			if _, err := io.ReadFull(accepted[0], got); err != nil || string(got) != "GET" {
				t.Errorf("connection with an unread request: read %q and error %v", got, err)
			}
			_ = accepted[1].SetReadDeadline(time.Now())
			if _, err := accepted[1].Read(got); !errors.Is(err, net.ErrClosed) {
				t.Errorf("connection without a request: error %v, want it closed", err)
			}
		})
	}
}

// awaitUnread waits until bytes have arrived on a connection, without reading them.
func awaitUnread(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n > 0 || err != unix.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
}
