package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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

// pipeConn returns a connection and discards its other end.
func pipeConn() net.Conn {
	conn, _ := net.Pipe()
	return conn
}

// A request can arrive on an idle connection while it is being closed, by a sweep or at
// the end of the process. Its caller gets no answer, so it must be reported.
func TestRequestOnClosingConnectionIsReported(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newCallerConns(8, func() clock.Instant { return now })
	var reported []connCloser
	c.onUnanswered = func(u unansweredConn) { reported = append(reported, u.closer) }
	swept, kept, busy := c.add(pipeConn()), c.add(pipeConn()), c.add(pipeConn())
	for _, conn := range []*callerConn{swept, kept, busy} {
		c.track(conn, http.StateNew)
		c.received(conn)
		c.track(conn, http.StateActive)
		if conn != busy {
			c.track(conn, http.StateIdle)
		}
		if conn == swept {
			now = now.Add(time.Minute)
		}
	}
	c.sweep(time.Second)
	// The kernel had the request before the connection was closed.
	swept.Conn = readyConn{swept.Conn}
	if n, err := swept.Read(make([]byte, 8)); n != 0 || err == nil || !slices.Equal(reported, []connCloser{closedAsIdle}) {
		t.Errorf("read %d bytes, error %v, reported %v for a request on a swept connection, want %s", n, err, reported, closedAsIdle)
	}
	c.track(swept, http.StateClosed)
	now = now.Add(300 * time.Millisecond)
	counts, unanswered := c.beginClose()
	want := unansweredConn{caller: remoteAddr(busy), closer: closedByShutdown, since: 300 * time.Millisecond}
	if (counts != connCounts{open: 2, idle: 1, busy: 1}) || !slices.Equal(unanswered, []unansweredConn{want}) {
		t.Errorf("counts %+v, unanswered %+v, want one idle connection and one with a request", counts, unanswered)
	}
	c.track(kept, http.StateActive)
	if !slices.Equal(reported, []connCloser{closedAsIdle, closedByShutdown}) {
		t.Errorf("reported %v, want also the request that was read at the shutdown", reported)
	}
	c.track(kept, http.StateClosed)
	c.track(busy, http.StateClosed)
	if counts := c.counts(); counts != (connCounts{}) || len(c.fresh) > 0 {
		t.Errorf("counts %+v and %d fresh connections after all are closed", counts, len(c.fresh))
	}
}

// readyConn is a connection from which a byte can always be read.
type readyConn struct{ net.Conn }

func (readyConn) Read(b []byte) (int, error) { return copy(b, "P"), nil }

// A pipelined request is read together with the one before. While it is served, its
// connection must not count as idle, or a sweep closes it.
func TestConnectionWithPipelinedRequestIsNotIdle(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newCallerConns(8, func() clock.Instant { return now })
	conn := c.add(pipeConn())
	c.received(conn)
	for _, state := range []http.ConnState{http.StateActive, http.StateIdle, http.StateActive} {
		c.track(conn, state)
	}
	now = now.Add(time.Minute)
	c.sweep(time.Second)
	if conn.closed {
		t.Error("a connection with an unanswered request was closed as idle")
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

// acceptedWhileClosing is a listener whose Accept returns a connection after close was called.
type acceptedWhileClosing struct {
	net.Listener
	close func()
	conn  net.Conn
}

func (l *acceptedWhileClosing) Accept() (net.Conn, error) {
	l.close()
	return l.conn, nil
}

// A connection that is accepted while the listener is closed is not served: the graceful stop
// may already have found that none is open.
func TestConnAcceptedWhileListenerClosesIsClosed(t *testing.T) {
	accepted, caller := net.Pipe()
	defer caller.Close()
	conns := newCallerConns(8, clock.Monotonic())
	inner := &acceptedWhileClosing{close: conns.stop, conn: accepted}
	l := &callerListener{Listener: inner, conns: conns}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept error = %v, want %v", err, net.ErrClosed)
	}
	if n := conns.counts().open; n != 0 {
		t.Errorf("%d connections are open", n)
	}
}

// A request may have been taken out of the kernel's buffer and wait for a lock when its connection is
// about to be closed as idle. Its caller would get no answer although nothing is sent to a target.
func TestConnIsNotClosedWhileItsRequestIsRead(t *testing.T) {
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
			conns := newCallerConns(1, func() clock.Instant { return now })
			l := &callerListener{Listener: inner, conns: conns}
			defer l.Close()
			caller, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			conns.track(accepted, http.StateIdle)
			now = now.Add(10 * time.Second)

			conns.mu.Lock()
			closed, read := make(chan struct{}), make(chan string)
			go func() {
				defer close(closed)
				closeIdle(conns)
			}()
			// The closer waits for the lock first.
			time.Sleep(20 * time.Millisecond)
			go func() {
				b := make([]byte, 8)
				n, err := accepted.Read(b)
				read <- fmt.Sprint(string(b[:n]), " ", err)
			}()
			if _, err := io.WriteString(caller, "GET"); err != nil {
				t.Fatal(err)
			}
			for accepted.(*callerConn).hasUnread() {
				time.Sleep(time.Millisecond)
			}
			// The reader waits for it behind the closer.
			time.Sleep(20 * time.Millisecond)
			conns.mu.Unlock()
			<-closed
			if got := <-read; got != "GET <nil>" {
				t.Errorf("read %q, want the request", got)
			}
			if _, err := io.WriteString(accepted, "answer"); err != nil {
				t.Errorf("write of the answer: %v", err)
			}
		})
	}
}

// A request that arrives after a connection was marked as closed must not be read: it could not be
// answered.
func TestRequestIsNotReadFromConnMarkedAsClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newCallerConns(1, clock.Monotonic())
	l := &callerListener{Listener: inner, conns: conns}
	defer l.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := accepted.(*callerConn)
	if !conns.forgetIdle(conn) {
		t.Fatal("a connection without a request is not closed")
	}
	if _, err := io.WriteString(caller, "GET"); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 8)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes and error %v, want none and %v", n, err, net.ErrClosed)
	}
	if !conn.hasUnread() {
		t.Error("the request was taken out of the kernel's buffer")
	}
}
