package ingress

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of a caller's connection in a context.
type connKey struct{}

// WithConn is the ConnContext hook of callers' server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerGone reports whether a caller has closed its connection. net/http finds that out
// by a goroutine of its own, which may run only after the request has been sent on if
// both arrived long ago and waited to be read.
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
