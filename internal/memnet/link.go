package memnet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// link carries the bytes of one ordered pair of hosts.
type link struct {
	delay atomic.Int64
	// blocked holds bytes back; refusing makes dials fail at once.
	blocked, refusing atomic.Bool
	bytes, conns      atomic.Int64

	mu    sync.Mutex
	pipes map[*pipe]struct{}
	// breakAfter is the number of bytes that still pass before the connection
	// that carries the next one breaks; it counts only while breakSet.
	breakAfter int64
	breakSet   bool
}

// latency returns the one-way delay.
func (l *link) latency() time.Duration { return time.Duration(l.delay.Load()) }

// add registers a pipe for faults.
func (l *link) add(p *pipe) {
	l.mu.Lock()
	l.pipes[p] = struct{}{}
	l.mu.Unlock()
}

// remove forgets a pipe that both ends closed.
func (l *link) remove(p *pipe) {
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// all returns the pipes that are not closed.
func (l *link) all() []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	pipes := make([]*pipe, 0, len(l.pipes))
	for p := range l.pipes {
		pipes = append(pipes, p)
	}
	return pipes
}

// count counts n sent bytes and returns how many pass before a break that they
// trigger.
func (l *link) count(n int) (passed int, breaks bool) {
	l.bytes.Add(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.breakSet {
		return n, false
	}
	if int64(n) <= l.breakAfter {
		l.breakAfter -= int64(n)
		return n, false
	}
	passed = int(l.breakAfter)
	l.breakSet = false
	return passed, true
}

// armBreak sets or, with a negative number, clears the break.
func (l *link) armBreak(after int64) {
	l.mu.Lock()
	l.breakAfter = after
	l.breakSet = after >= 0 && after < math.MaxInt64
	l.mu.Unlock()
}
