package target

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pausedConn simulates a connection whose data arrived while the process was paused:
// the first read fails because its deadline has passed, the second returns data.
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

// If a process is paused until after a read deadline, the first read fails although
// data has arrived. The connection must not count as timed out then.
func TestReadAfterPause(t *testing.T) {
	c := &trackedConn{Conn: &pausedConn{}, silenceTimeout: DefaultSilenceTimeout}
	buffer := make([]byte, 8)
	if n, err := c.Read(buffer); n != 4 || err != nil || c.timedOut.Load() {
		t.Errorf("Read = %d, %v", n, err)
	}
}

// countingConn counts the writes that it accepts.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return len(p), nil
}

func (c *countingConn) Close() error { return nil }

// A write that races with seal must either be counted by it or fail, and every later
// write must fail. Otherwise a request reported as not run could still be sent.
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
			t.Fatalf("%d writes reached the connection, seal counted %d, later write: %v", written, sealed, err)
		}
	}
}
