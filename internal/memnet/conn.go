package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is the number of bytes that a pipe buffers before writes block.
const windowBytes = 256 << 10

// Conn is one end of a connection. It implements net.Conn with the semantics of
// TCP: a write succeeds once its data is buffered, calls after a reset fail, and the
// peer reads the data sent before a close and then io.EOF.
type Conn struct {
	in, out       *pipe
	local, remote Addr
	readDeadline  deadline
	writeDeadline deadline
}

// newConns returns the dialling and the accepting end of a connection over the links
// out and in, as seen from the dialling end.
func newConns(out, in *link, local, remote Addr) (dialer, acceptor *Conn) {
	outgoing, incoming := newPipe(out), newPipe(in)
	dialer = &Conn{in: incoming, out: outgoing, local: local, remote: remote}
	acceptor = &Conn{in: outgoing, out: incoming, local: remote, remote: local}
	outgoing.reverse, incoming.reverse = incoming, outgoing
	out.add(outgoing)
	in.add(incoming)
	return dialer, acceptor
}

// Read reads bytes that have arrived; it blocks until there are some.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.in.read(p, &c.readDeadline)
	return n, c.wrapError("read", err)
}

// Write buffers p; it blocks while the window is full.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p, &c.writeDeadline)
	return n, c.wrapError("write", err)
}

// wrapError wraps an error of a pipe in a net.OpError, as package net does.
func (c *Conn) wrapError(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Close closes both directions of this end.
func (c *Conn) Close() error {
	c.out.closeWrite()
	c.in.closeRead()
	return nil
}

// resetBoth resets both directions, at both ends.
func (c *Conn) resetBoth() {
	c.out.reset()
	c.in.reset()
}

// LocalAddr returns this end's address; its host is an Addr.Host.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the other end's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read and the write deadline.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.readDeadline, t)
	c.out.setDeadline(&c.writeDeadline, t)
	return nil
}

// SetReadDeadline sets the deadline of pending and later reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.readDeadline, t)
	return nil
}

// SetWriteDeadline sets the deadline of pending and later writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.writeDeadline, t)
	return nil
}

// deadline is a point in time with a timer that wakes blocked calls. It is guarded by
// the pipe's mutex.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// expired reports whether the deadline is set and has passed.
func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// segment is a piece of data in flight, readable from arrival on; end marks the
// sender's close.
type segment struct {
	data    []byte
	arrival time.Time
	end     bool
}

// pipe is one direction of a connection; reverse is the other direction.
type pipe struct {
	link    *link
	reverse *pipe

	mu       sync.Mutex
	cond     *sync.Cond
	segments []segment
	buffered int
	// writeClosed and readClosed: the writer or the reader closed its end. wasReset: the
	// pipe was reset. resetPending: the reader sees the reset after it has read the
	// queued segments. blackholed: nothing is delivered any more, without an error at
	// either end.
	writeClosed, readClosed, wasReset, resetPending, blackholed bool
}

// newPipe returns an empty pipe over l; the caller sets reverse.
func newPipe(l *link) *pipe {
	p := &pipe{link: l}
	p.cond = sync.NewCond(&p.mu)
	return p
}

// read copies bytes that have arrived into b; it blocks until there are some, an error
// or the deadline.
func (p *pipe) read(b []byte, dl *deadline) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.readClosed:
			return 0, net.ErrClosed
		case dl.expired():
			return 0, os.ErrDeadlineExceeded
		case p.wasReset:
			return 0, syscall.ECONNRESET
		case p.deliverable():
			return p.consume(b)
		case p.resetPending && len(p.segments) == 0:
			return 0, syscall.ECONNRESET
		case len(b) == 0:
			return 0, nil
		}
		p.cond.Wait()
	}
}

// deliverable reports whether the first segment can be read. p.mu must be held.
func (p *pipe) deliverable() bool {
	if len(p.segments) == 0 || p.blackholed || p.link.blocked.Load() {
		return false
	}
	return !p.segments[0].arrival.After(time.Now())
}

// consume moves bytes of the first segment into b. p.mu must be held.
func (p *pipe) consume(b []byte) (int, error) {
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

// write enqueues b in pieces that fit the window.
func (p *pipe) write(b []byte, dl *deadline) (int, error) {
	written := 0
	for written < len(b) {
		n, err := p.enqueue(b[written:], dl)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// enqueue waits for room in the window and queues as much of b as fits.
func (p *pipe) enqueue(b []byte, dl *deadline) (int, error) {
	p.mu.Lock()
	for {
		if err := p.writeError(dl); err != nil {
			p.mu.Unlock()
			return 0, err
		}
		if p.discardsWrites() {
			p.wasReset = true
			p.mu.Unlock()
			return len(b), nil
		}
		if p.buffered < windowBytes {
			break
		}
		p.cond.Wait()
	}
	n := min(len(b), windowBytes-p.buffered)
	passed, resets := p.link.countSent(n)
	p.push(segment{data: append([]byte(nil), b[:passed]...)})
	p.resetPending = p.resetPending || resets
	p.mu.Unlock()
	if resets {
		p.reverse.reset()
	}
	return n, nil
}

// writeError returns the error that a write has to return, or nil. p.mu must be held.
func (p *pipe) writeError(dl *deadline) error {
	switch {
	case p.writeClosed:
		return net.ErrClosed
	case dl.expired():
		return os.ErrDeadlineExceeded
	case p.wasReset || p.resetPending:
		return syscall.ECONNRESET
	}
	return nil
}

// discardsWrites reports whether the reader has closed and the link is not blocked. The
// first write after that succeeds but is lost, as with TCP; later ones fail. p.mu must
// be held.
func (p *pipe) discardsWrites() bool {
	return p.readClosed && !p.blackholed && !p.link.blocked.Load()
}

// push appends a segment and wakes the reader when it arrives, which is never before the
// segments ahead of it. p.mu must be held.
func (p *pipe) push(s segment) {
	delay := p.link.latency()
	s.arrival = time.Now().Add(delay)
	if last := len(p.segments) - 1; last >= 0 && p.segments[last].arrival.After(s.arrival) {
		s.arrival = p.segments[last].arrival
		delay = time.Until(s.arrival)
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

// wake makes blocked calls check the state again.
func (p *pipe) wake() {
	p.mu.Lock()
	p.cond.Broadcast()
	p.mu.Unlock()
}

// closeWrite closes the writer's end: the reader gets io.EOF after the queued data.
func (p *pipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeClosed {
		return
	}
	p.writeClosed = true
	p.push(segment{end: true})
	if p.readClosed {
		p.link.remove(p)
	}
}

// closeRead closes the reader's end.
func (p *pipe) closeRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readClosed = true
	p.cond.Broadcast()
	if p.writeClosed {
		p.link.remove(p)
	}
}

// reset makes later calls at both ends fail with ECONNRESET, unless the pipe is
// blackholed: then neither end can learn of it.
func (p *pipe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wasReset = !p.blackholed
	p.cond.Broadcast()
}

// blackhole stops delivery for good, without an error at either end.
func (p *pipe) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = true
	p.cond.Broadcast()
}

// setDeadline changes d and wakes blocked calls now and when it expires.
func (p *pipe) setDeadline(d *deadline, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d.at = t
	if d.timer != nil {
		d.timer.Stop()
	}
	if !t.IsZero() {
		p.startTimer(d, time.Until(t))
	}
	p.cond.Broadcast()
}

// startTimer starts or restarts the deadline's timer. p.mu must be held.
func (p *pipe) startTimer(d *deadline, wait time.Duration) {
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, p.wake)
		return
	}
	d.timer.Reset(wait)
}
