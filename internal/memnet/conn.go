package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is how much a pipe holds before a write waits.
const windowBytes = 256 << 10

// Conn is one end of a connection. It implements net.Conn with the semantics of
// TCP: a write succeeds once buffered, a reset is seen by later calls, and a close
// is seen by the peer after the data before it.
type Conn struct {
	in, out       *pipe
	local, remote Addr
	readLimit     deadline
	writeLimit    deadline
}

// newConns returns the dialling and the accepting end of a connection.
func newConns(out, in *link, local, remote Addr) (near, far *Conn) {
	there, back := newPipe(out), newPipe(in)
	near = &Conn{in: back, out: there, local: local, remote: remote}
	far = &Conn{in: there, out: back, local: remote, remote: local}
	there.reverse, back.reverse = back, there
	out.add(there)
	in.add(back)
	return near, far
}

// Read reads delivered bytes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.in.read(p, &c.readLimit)
	return n, c.wrap("read", err)
}

// Write buffers p, waiting while the window is full.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p, &c.writeLimit)
	return n, c.wrap("write", err)
}

// wrap turns an error of a pipe into the one that package net would return.
func (c *Conn) wrap(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Close closes both directions.
func (c *Conn) Close() error {
	c.out.finish()
	c.in.abandon()
	return nil
}

// breakBoth resets both directions at both ends.
func (c *Conn) breakBoth() {
	c.out.reset()
	c.in.reset()
}

// LocalAddr returns this end's address; its host is an Addr.Host.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the other end's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.readLimit, t)
	c.out.setDeadline(&c.writeLimit, t)
	return nil
}

// SetReadDeadline bounds pending and later reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.readLimit, t)
	return nil
}

// SetWriteDeadline bounds pending and later writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.writeLimit, t)
	return nil
}

// deadline is a point in time with the timer that wakes waiters; the pipe's mutex
// guards it.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// passed reports whether the deadline is over.
func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// segment is a piece of data in flight; end marks the sender's close.
type segment struct {
	data []byte
	due  time.Time
	end  bool
}

// pipe is one direction of a connection.
type pipe struct {
	link    *link
	reverse *pipe

	mu       sync.Mutex
	cond     *sync.Cond
	segments []segment
	buffered int
	// finished: the writer closed. abandoned: the reader closed. broken: reset.
	// breaking: reset once the delivered segments are read. silent: nothing passes
	// any more and neither end learns of it.
	finished, abandoned, broken, breaking, silent bool
}

// newPipe returns an empty pipe over l.
func newPipe(l *link) *pipe {
	p := &pipe{link: l}
	p.cond = sync.NewCond(&p.mu)
	return p
}

// read copies delivered bytes into b.
func (p *pipe) read(b []byte, limit *deadline) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.abandoned:
			return 0, net.ErrClosed
		case limit.passed():
			return 0, os.ErrDeadlineExceeded
		case p.broken:
			return 0, syscall.ECONNRESET
		case p.deliverable():
			return p.take(b)
		case p.breaking && len(p.segments) == 0:
			return 0, syscall.ECONNRESET
		case len(b) == 0:
			return 0, nil
		}
		p.cond.Wait()
	}
}

// deliverable reports whether the first segment has arrived.
func (p *pipe) deliverable() bool {
	if len(p.segments) == 0 || p.silent || p.link.blocked.Load() {
		return false
	}
	return !p.segments[0].due.After(time.Now())
}

// take removes bytes of the first segment.
func (p *pipe) take(b []byte) (int, error) {
	first := &p.segments[0]
	if first.end {
		return 0, io.EOF
	}
	n := copy(b, first.data)
	first.data = first.data[n:]
	p.buffered -= n
	if len(first.data) == 0 {
		p.segments[0] = segment{}
		p.segments = p.segments[1:]
	}
	p.cond.Broadcast()
	return n, nil
}

// write queues b in parts that fit the window.
func (p *pipe) write(b []byte, limit *deadline) (int, error) {
	written := 0
	for written < len(b) {
		n, err := p.queue(b[written:], limit)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// queue waits for room and queues as much of b as fits.
func (p *pipe) queue(b []byte, limit *deadline) (int, error) {
	p.mu.Lock()
	for {
		if err := p.writeError(limit); err != nil {
			p.mu.Unlock()
			return 0, err
		}
		if p.buffered < windowBytes {
			break
		}
		p.cond.Wait()
	}
	n := min(len(b), windowBytes-p.buffered)
	if p.deaf() {
		p.broken = true
		p.mu.Unlock()
		return n, nil
	}
	passed, breaks := p.link.count(n)
	p.push(segment{data: append([]byte(nil), b[:passed]...)})
	p.breaking = p.breaking || breaks
	p.mu.Unlock()
	if breaks {
		p.reverse.reset()
	}
	return n, nil
}

// writeError returns why a write cannot go on.
func (p *pipe) writeError(limit *deadline) error {
	switch {
	case p.finished:
		return net.ErrClosed
	case limit.passed():
		return os.ErrDeadlineExceeded
	case p.broken || p.breaking:
		return syscall.ECONNRESET
	}
	return nil
}

// deaf reports whether the reader closed. The first write after that succeeds and
// is lost, as with TCP; later ones fail.
func (p *pipe) deaf() bool {
	return p.abandoned && !p.silent && !p.link.blocked.Load()
}

// push appends a segment and wakes the reader when it is due.
func (p *pipe) push(s segment) {
	delay := p.link.latency()
	s.due = time.Now().Add(delay)
	if last := len(p.segments) - 1; last >= 0 && p.segments[last].due.After(s.due) {
		s.due = p.segments[last].due
		delay = time.Until(s.due)
	}
	if len(s.data) > 0 || s.end {
		p.segments = append(p.segments, s)
		p.buffered += len(s.data)
	}
	if delay > 0 {
		time.AfterFunc(delay, p.wake)
	}
	p.cond.Broadcast()
}

// wake makes waiters look again.
func (p *pipe) wake() {
	p.mu.Lock()
	p.cond.Broadcast()
	p.mu.Unlock()
}

// finish is the writer's close.
func (p *pipe) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	p.push(segment{end: true})
	if p.abandoned {
		p.link.remove(p)
	}
}

// abandon is the reader's close.
func (p *pipe) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	p.cond.Broadcast()
	if p.finished {
		p.link.remove(p)
	}
}

// reset makes both ends see a broken connection, unless they have lost touch.
func (p *pipe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = !p.silent
	p.cond.Broadcast()
}

// silence stops delivery for good without telling either end.
func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	p.cond.Broadcast()
}

// setDeadline changes d and wakes waiters now and when it passes.
func (p *pipe) setDeadline(d *deadline, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d.at = t
	if d.timer != nil {
		d.timer.Stop()
	}
	if !t.IsZero() {
		p.arm(d, time.Until(t))
	}
	p.cond.Broadcast()
}

// arm starts the deadline's timer, reusing it.
func (p *pipe) arm(d *deadline, wait time.Duration) {
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, p.wake)
		return
	}
	d.timer.Reset(wait)
}
