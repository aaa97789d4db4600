package target

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pausedConn is a connection whose data arrived while the process was paused: the
// first read finds its deadline passed.
type pausedConn struct {
	net.Conn
	reads int
}

func (c *pausedConn) SetReadDeadline(time.Time) error { return nil }

func (c *pausedConn) Read(p []byte) (int, error) {
	c.reads++
	if c.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, "data"), nil
}

// A process that was paused past the deadline does not lose the connection.
func TestReadAfterPause(t *testing.T) {
	c := &trackedConn{Conn: &pausedConn{}, silence: DefaultSilenceTimeout}
	buffer := make([]byte, 8)
	if n, err := c.Read(buffer); n != 4 || err != nil || c.silent.Load() {
		t.Errorf("Read = %d, %v", n, err)
	}
}

// countingConn counts the writes that it takes.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return len(p), nil
}

func (c *countingConn) Close() error { return nil }

// If seal says that nothing was written, nothing is written later either.
func TestSealIsFinal(t *testing.T) {
	const rounds = 2000
	for range rounds {
		raw := &countingConn{}
		c := &trackedConn{Conn: raw, registry: newRegistry()}
		var group sync.WaitGroup
		group.Go(func() { _, _ = c.Write([]byte("request")) })
		sealed := c.seal()
		group.Wait()
		_, err := c.Write([]byte("late"))
		if written := raw.writes.Load(); err == nil || written != int64(sealed) {
			t.Fatalf("%d writes, %d counted, %v", written, sealed, err)
		}
	}
}
