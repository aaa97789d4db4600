package ingress

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// WithConn stores a connection in its context. It is the ConnContext hook of the HTTP
// server for callers.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerGone reports whether the caller has closed its connection. net/http detects that in
// a background goroutine. If the request and the close were both waiting to be read, that
// goroutine may run only after the request has been forwarded.
func callerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err == unix.ECONNRESET
	})
	return gone || err != nil
}
