package gateway

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/earlyrefusal"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/ingress"
)

// Limits of early refusals.
const (
	// earlyReadBytes is how much of a new connection is read at once while the processor is late. The
	// head and the body of most requests fit, so that a refusal takes one read and one write.
	earlyReadBytes = 16 << 10
	// maxDrainTime bounds the time for which the rest of a refused body is read. It is shorter than a
	// graceful stop.
	maxDrainTime = 4 * time.Second
	// maxEarlyLogged limits the customers in one log line.
	maxEarlyLogged = 5
)

// earlyBuffers holds buffers of earlyReadBytes. One is taken only for bytes that have arrived.
var earlyBuffers = sync.Pool{New: func() any { return new([earlyReadBytes]byte) }}

// earlyRefuser decides on the first bytes of callers' connections. It is safe for concurrent use.
type earlyRefuser struct {
	// isLate reports whether the processor is late, read returns the request that a connection has
	// received, or why net/http gets it, and refuse a refusal, which it may build in buffer. refuse
	// is nil if early refusals are switched off. None of them may block.
	isLate func() bool
	read   func(received []byte) (*ingress.EarlyRequest, earlyrefusal.Verdict)
	refuse func(r *ingress.EarlyRequest, buffer []byte) (ingress.EarlyRefusal, bool)
	// count counts a connection, and drained what was read of a refused body after the refusal; complete
	// is false if that was cut short.
	count   func(earlyrefusal.Verdict)
	drained func(n int64, complete bool)

	mu    sync.Mutex
	tally earlyrefusal.Tally
}

// newEarlyRefuser returns nil if early refusals and hand-over are switched off.
func (g *Gateway) newEarlyRefuser() *earlyRefuser {
	features := g.options.Settings.Features
	if !features.Enabled(feature.EarlyRefusals) && !features.Enabled(feature.HandOver) {
		return nil
	}
	e := &earlyRefuser{
		isLate: g.scheduler.IsLate, read: g.handler.ReadEarly,
		count: g.metrics.countEarly, drained: g.metrics.recordDrain,
	}
	if features.Enabled(feature.EarlyRefusals) {
		e.refuse = g.handler.RefuseEarly
	}
	return e
}

// note counts a refusal for the next log line.
func (e *earlyRefuser) note(r *ingress.EarlyRefusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tally.Add(r.Customer, r.Inputs)
}

// take returns the refusals since the last call.
func (e *earlyRefuser) take() earlyrefusal.Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.tally
	e.tally = earlyrefusal.Tally{}
	return t
}

// readsEarly reports whether the first bytes of connections are read before net/http gets them.
func (c *callerConns) readsEarly() bool {
	return c.early.isLate() && (c.early.refuse != nil || c.handOver != nil && c.handOver.hasPeers())
}

// readFirst reads the first bytes of a connection into b, as Read does. While the processor is late, it
// reads more than fits into b and may refuse the request or hand it over: net/http then finds the connection
// ended before it has sent anything, and closes it. It runs in the connection's own goroutine, so that
// accepting connections never waits for it.
func (c *callerConn) readFirst(b []byte) (int, error) {
	early := c.conns.early
	var pooled *[earlyReadBytes]byte
	into := b
	n, err := c.receive(func() []byte {
		if c.socket != nil && pooled == nil && c.conns.readsEarly() {
			pooled = earlyBuffers.Get().(*[earlyReadBytes]byte)
			into = pooled[:]
		}
		return into
	})
	if pooled != nil {
		defer earlyBuffers.Put(pooled)
	}
	if n <= 0 {
		return n, err
	}
	c.firstRead = true
	if pooled == nil && !c.conns.readsEarly() {
		return c.limitHead(b, n, err)
	}
	request, verdict := early.read(into[:n])
	if request != nil && c.handOver(request, into[:n], b) {
		early.count(earlyrefusal.HandedOver)
		return 0, io.EOF
	}
	if request != nil && early.refuse != nil {
		if refusal, ok := early.refuse(request, into); ok {
			early.count(earlyrefusal.Refused)
			early.note(&refusal)
			c.refuse(early, refusal, b)
			return 0, io.EOF
		}
	}
	early.count(verdict)
	if pooled != nil {
		fits := copy(b, into[:n])
		c.pending = bytes.Clone(into[fits:n])
		n = fits
	}
	return c.limitHead(b, n, err)
}

// refuse sends an early refusal. It then reads the rest of the body into b, because closing a connection with
// unread bytes resets it, which may destroy the refusal.
func (c *callerConn) refuse(early *earlyRefuser, r ingress.EarlyRefusal, b []byte) {
	if _, err := c.Conn.Write(r.Response); err != nil || r.UnreadBytes == 0 {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(min(r.Wait, maxDrainTime)))
	rest := r.UnreadBytes
	for rest > 0 {
		n, err := c.receive(func() []byte { return b[:min(int64(len(b)), rest)] })
		rest -= int64(max(n, 0))
		if err != nil {
			break
		}
	}
	early.drained(r.UnreadBytes-rest, rest == 0)
}

// readPending returns bytes that readFirst has read beyond those that it returned.
func (c *callerConn) readPending(b []byte) (int, error) {
	n := copy(b, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	if n > 0 {
		c.conns.received(c)
	}
	return c.limitHead(b, n, nil)
}

// logEarlyRefusals logs the early refusals since the last call, if any.
func (g *Gateway) logEarlyRefusals() {
	if g.callers.early == nil {
		return
	}
	tally := g.callers.early.take()
	if tally.Refused == 0 {
		return
	}
	largest, customers := tally.Largest(maxEarlyLogged)
	list := zerolog.Arr()
	for _, e := range largest {
		list = list.Dict(zerolog.Dict().Str("customer", string(e.Customer)).Int("refused", e.Refused).
			Int64("delay_ms", e.Last.Delay.Milliseconds()).Int64("used", int64(e.Last.Used)).Int64("nominal", int64(e.Last.Nominal)).
			Int("reports", e.Last.Reports).Int64("reports_age_ms", e.Last.OldestReport.Milliseconds()).
			Int64("retry_after_ms", e.Last.RetryAfter.Milliseconds()))
	}
	g.options.Log.Info().Str("event", "early_refusals").Int("refused", tally.Refused).Int("customers", customers).
		Int("conns_open", g.callers.counts().open).Array("largest", list).Msg("")
}
