package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/clock"
)

// A long head holds memory until its request has been read or its connection is closed; ordinary
// heads are read while none is left.
func TestLongHeadsShareMemory(t *testing.T) {
	conns := newCallerConns(0, func() clock.Instant { return 1 })
	conns.headMemory = 10 << 10
	open := func() *callerConn {
		inner, _ := net.Pipe()
		return conns.add(inner)
	}
	read := func(c *callerConn, n int) error {
		_, err := c.limitHead([]byte(strings.Repeat("a", n)), n, nil)
		return err
	}
	long, second, ordinary := open(), open(), open()
	if err := read(long, freeHeadBytes+8<<10); err != nil {
		t.Fatal(err)
	}
	if err := read(second, freeHeadBytes+4<<10); !errors.Is(err, errHeadMemory) {
		t.Errorf("a second long head: %v, want %v", err, errHeadMemory)
	}
	if err := read(ordinary, freeHeadBytes); err != nil {
		t.Errorf("an ordinary head: %v", err)
	}
	conns.record(second, http.StateClosed)
	conns.record(long, http.StateActive)
	if conns.heads != 0 {
		t.Errorf("%d bytes are held after the heads have ended", conns.heads)
	}
	// Bytes of the body hold none. The next head counts anew.
	long.head.Begin()
	if _, err := long.limitHead([]byte("a\r\n\r\n"), 5, nil); err != nil {
		t.Fatal(err)
	}
	if err := read(long, 1<<20); err != nil || conns.heads != 0 {
		t.Errorf("a body: %v, %d bytes held", err, conns.heads)
	}
	conns.record(long, http.StateIdle)
	if err := read(long, freeHeadBytes+1); err != nil || conns.heads != 1 {
		t.Errorf("the next head: %v, %d bytes held, want 1", err, conns.heads)
	}
}

// An instance that reads late finds the deadline of a head in the past. A head that has arrived is
// read nevertheless, one that has not ends.
func TestHeadThatHasArrivedIsReadAfterDeadline(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &callerListener{Listener: inner, conns: newCallerConns(8, clock.Monotonic())}
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
	const head = "GET / HTTP/1.1\r\n\r\n"
	_, _ = io.WriteString(caller, head)
	awaitUnread(t, conn)
	_ = conn.SetReadDeadline(time.Now().Add(-time.Second))
	b := make([]byte, 64)
	if n, err := conn.Read(b); string(b[:n]) != head || err != nil {
		t.Errorf("read %q and error %v, want the head", b[:n], err)
	}
	if n, err := conn.Read(b); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes and error %v, want a timeout", n, err)
	}
}
