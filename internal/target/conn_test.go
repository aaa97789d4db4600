package target

import (
	"net"
	"os"
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
