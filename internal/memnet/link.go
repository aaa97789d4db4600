package memnet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// link carries the bytes from one host to another.
type link struct {
	delay atomic.Int64
	// blocked holds bytes back; rejecting also makes dials fail at once.
	blocked, rejecting atomic.Bool
	bytesSent, dials   atomic.Int64

	mu    sync.Mutex
	pipes map[*pipe]struct{}
	// resetAfter is the number of bytes that still pass before the connection that
	// carries the next byte is reset; it applies only while resetArmed.
	resetAfter int64
	resetArmed bool
}

// latency returns the one-way delay.
func (l *link) latency() time.Duration { return time.Duration(l.delay.Load()) }

// add registers a pipe, so that faults reach it.
func (l *link) add(p *pipe) {
	l.mu.Lock()
	l.pipes[p] = struct{}{}
	l.mu.Unlock()
}

// remove removes a pipe that both ends have closed.
func (l *link) remove(p *pipe) {
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// openPipes returns the pipes that at least one end has not closed.
func (l *link) openPipes() []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	pipes := make([]*pipe, 0, len(l.pipes))
	for p := range l.pipes {
		pipes = append(pipes, p)
	}
	return pipes
}

// countSent counts n sent bytes. It returns how many of them pass, and whether the
// connection is to be reset after these.
func (l *link) countSent(n int) (passed int, resets bool) {
	l.bytesSent.Add(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.resetArmed {
		return n, false
	}
	if int64(n) <= l.resetAfter {
		l.resetAfter -= int64(n)
		return n, false
	}
	passed = int(l.resetAfter)
	l.resetArmed = false
	return passed, true
}

// setResetAfter sets the bytes that pass before a reset; a negative number clears it.
func (l *link) setResetAfter(after int64) {
	l.mu.Lock()
	l.resetAfter = after
	l.resetArmed = after >= 0 && after < math.MaxInt64
	l.mu.Unlock()
}
