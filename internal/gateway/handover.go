package gateway

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/handover"
	"medlarwind.dev/medlarwind/internal/ingress"
	"medlarwind.dev/medlarwind/internal/roster"
)

// Limits of handing connections over.
const (
	// handOverConnectTime bounds the time until a peer has accepted a connection. The instance is late
	// itself, by up to some hundred ms. It is shorter than preambleTime, so that a peer still waits for the
	// preamble that follows.
	handOverConnectTime = time.Second
	// handOverGrace is the time in which an acceptance is read that had arrived when the wait for it
	// ended: with 0.5 s and none, a third to a half of the tries failed for the instance's own lateness.
	handOverGrace = 20 * time.Millisecond
	// handOverMargin is added to the time that the caller waits, so that the peer's own answer to a
	// request that is out of time arrives.
	handOverMargin = 500 * time.Millisecond
	// handOverTries is how many peers are tried for one connection.
	handOverTries = 2
	// maxHandedOver bounds the connections handed over at a time; handedOverDivisor sets a lower bound
	// from the limit on callers' connections, because each takes another descriptor.
	maxHandedOver     = 512
	handedOverDivisor = 4
	// relayBufferBytes is the size of the buffer for what a caller still sends.
	relayBufferBytes = 4 << 10
)

// handOverResult is what became of a connection that was handed over.
type handOverResult string

// Results of connections that were handed over, by what ended them first.
const (
	handOverAnswered handOverResult = "peer_closed_after_answer"
	handOverCut      handOverResult = "peer_closed_without_answer"
	// handOverCallerLeft is also that the caller closed its connection after it had read a whole answer.
	handOverCallerLeft handOverResult = "caller_closed_first"
	// handOverUnsent is that the caller left before anything was sent to the peer.
	handOverUnsent   handOverResult = "caller_left_before"
	handOverTimedOut handOverResult = "timed_out"
	// handOverFailed counts the tries at peers that refused or could not be reached.
	handOverFailed handOverResult = "peer_refused"
)

// handOver hands connections over to peers, and knows what this instance takes. It is safe for concurrent use.
type handOver struct {
	dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	now       clock.Source
	wouldShed func(*ingress.EarlyRequest) bool
	count     func(handOverResult)
	// margin is handOverMargin.
	margin time.Duration

	mu     sync.Mutex
	leases handover.Leases
	offer  handover.Offer
	intake handover.Intake
	// total is how many connections a second this instance takes from all peers, usedAt and used its
	// processor time at the last measurement.
	total  int
	usedAt clock.Instant
	used   time.Duration
	// failures counts the failed tries since the last log line, lastFailure describes the last of them.
	failures    int
	lastFailure handOverFailure
}

// handOverFailure is a try at a peer that refused or could not be reached.
type handOverFailure struct {
	peer handover.Peer
	err  error
	// took is the time of the try, age the time since the peer was last heard from.
	took, age time.Duration
}

// noteFailure counts a failed try that began at a given time.
func (h *handOver) noteFailure(peer handover.Peer, err error, began clock.Instant) {
	h.count(handOverFailed)
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	h.lastFailure = handOverFailure{peer: peer, err: err, took: now.Sub(began), age: now.Sub(peer.HeardAt)}
}

// logHandOver logs the tries that failed since the last call, if any.
func (g *Gateway) logHandOver() {
	h := g.callers.handOver
	if h == nil {
		return
	}
	h.mu.Lock()
	failures, last, open := h.failures, h.lastFailure, h.leases.Open()
	h.failures = 0
	h.mu.Unlock()
	if failures == 0 {
		return
	}
	g.options.Log.Info().Str("event", "hand_over_failed").Int("tries", failures).Int("open", open).Str("peer", string(last.peer.ID)).
		Int("offer_per_s", last.peer.PerSecond).Int64("offer_age_ms", last.age.Milliseconds()).Int64("took_ms", last.took.Milliseconds()).Err(last.err).Msg("")
}

// newHandOver returns nil if hand-over is switched off.
func (g *Gateway) newHandOver() *handOver {
	if !g.options.Settings.Features.Enabled(feature.HandOver) {
		return nil
	}
	maxOpen := maxHandedOver
	if limit := g.options.Settings.MaxCallerConns; limit > 0 {
		maxOpen = min(maxOpen, max(limit/handedOverDivisor, 1))
	}
	return &handOver{
		dial: g.options.HandOverDial, now: g.options.Now, wouldShed: g.handler.WouldShed, count: g.metrics.countHandOver, margin: handOverMargin,
		leases: handover.Leases{MaxOpen: maxOpen},
	}
}

// updateHandOver updates the leases from the members, and what this instance offers. g.mu must be held.
func (g *Gateway) updateHandOver(alive []roster.Member, now clock.Instant) {
	h, s := g.callers.handOver, &g.options.Settings
	if h == nil {
		return
	}
	situation := handover.Situation{
		Processor: float64(s.ProcessorMillis) / 1000, Late: g.scheduler.IsLate() || g.behind.Load(),
		Closed: g.leaving.Load() || !g.isReady() || g.handOverAddr == "",
	}
	var peers []handover.Peer
	for _, m := range alive {
		if m.DataCentre != s.DataCentre || m.ID == fleet.InstanceID(s.PeerAddr) {
			continue
		}
		if m.Behind && !m.Leaving {
			situation.LatePeers++
		}
		if m.TakesPerSecond > 0 && m.HandOverAddr != "" && !m.Leaving && !m.NotReady && !m.Behind {
			peers = append(peers, handover.Peer{ID: m.ID, Addr: m.HandOverAddr, PerSecond: m.TakesPerSecond, HeardAt: m.LastSeen})
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leases.Update(peers, now)
	if g.options.ProcessorTime != nil {
		used := g.options.ProcessorTime()
		if h.usedAt != 0 {
			h.offer.Measure(used-h.used, now.Sub(h.usedAt))
		}
		h.used, h.usedAt = used, now
	}
	total := h.offer.Total(situation, now)
	if total != h.total {
		h.total = total
		g.options.Log.Info().Str("event", "hand_over_offer").Int("per_s", total).Int("late_peers", situation.LatePeers).
			Int64("processor_used_permille", int64(1000*h.offer.Used())).Bool("late", situation.Late).Bool("closed", situation.Closed).Msg("")
	}
	// Without an offer the address would only lengthen heartbeats.
	addr := ""
	if total > 0 {
		addr = g.handOverAddr
	}
	g.roster.SetTakes(handover.PerPeer(total, situation.LatePeers), addr)
}

// take takes one connection from a peer's lease.
func (h *handOver) take(overShare bool, except fleet.InstanceID) (handover.Peer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leases.Take(overShare, except, h.now())
}

// hasPeers reports whether a peer may take a connection.
func (h *handOver) hasPeers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leases.Any(h.now())
}

// end records the end of a connection that was taken; failed says that the peer gets none for a while.
func (h *handOver) end(peer fleet.InstanceID, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leases.Done()
	if failed {
		h.leases.Fail(peer, h.now())
	}
}

// connect opens a connection to a peer and waits until the peer has accepted it. The peer has received
// nothing of a request then.
func (h *handOver) connect(peer handover.Peer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverConnectTime)
	defer cancel()
	conn, err := h.dial(ctx, "tcp", peer.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	_ = conn.SetReadDeadline(time.Now().Add(handOverConnectTime))
	var accepted [1]byte
	_, err = io.ReadFull(conn, accepted[:])
	if isTimeout(err) {
		_ = conn.SetReadDeadline(time.Now().Add(handOverGrace))
		_, err = io.ReadFull(conn, accepted[:])
	}
	if err == nil && accepted[0] != handover.Accepted {
		err = errors.Errorf("peer answered %q", accepted[0])
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "await acceptance")
	}
	return conn, nil
}

// handOver hands the connection over to a peer and returns once it has ended, or returns false if no peer
// takes it: then no peer has received any of its bytes. received is what was read, b a buffer for the answer.
func (c *callerConn) handOver(r *ingress.EarlyRequest, received, b []byte) bool {
	h := c.conns.handOver
	// A connection that came from a peer is never handed over again, so that there are no loops.
	if h == nil || c.caller != nil || !h.hasPeers() {
		return false
	}
	overShare := h.wouldShed(r)
	var except fleet.InstanceID
	for range handOverTries {
		peer, ok := h.take(overShare, except)
		if !ok {
			return false
		}
		began := h.now()
		conn, err := h.connect(peer)
		if err != nil {
			h.end(peer.ID, true)
			h.noteFailure(peer, err, began)
			except = peer.ID
			continue
		}
		if c.hasEnded() {
			_ = conn.Close()
			h.end(peer.ID, false)
			h.count(handOverUnsent)
			return true
		}
		c.conns.beginBusy(c)
		first := handover.AppendPreamble(make([]byte, 0, handover.PreambleBytes+len(received)), addrPort(c.RemoteAddr()))
		result := c.relay(conn, append(first, received...), b, time.Now().Add(r.Wait()+h.margin))
		h.end(peer.ID, result == handOverCut || result == handOverTimedOut)
		h.count(result)
		return true
	}
	return false
}

// relay sends first to the peer and then copies both directions until one side ends or time is up.
func (c *callerConn) relay(peer net.Conn, first, b []byte, until time.Time) handOverResult {
	_ = peer.SetDeadline(until)
	_ = c.Conn.SetDeadline(until)
	callerLeft := false
	sent := make(chan struct{})
	if _, err := peer.Write(first); err != nil {
		_ = peer.Close()
		close(sent)
		return handOverCut
	}
	go func() {
		defer close(sent)
		callerLeft = c.sendRest(peer)
	}()
	result := handOverCut
	for {
		n, err := peer.Read(b)
		if n > 0 {
			result = handOverAnswered
			if _, writeErr := c.Conn.Write(b[:n]); writeErr != nil {
				break
			}
		}
		if result == handOverCut && isTimeout(err) {
			result = handOverTimedOut
		}
		if err != nil {
			break
		}
	}
	_ = peer.Close()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-sent
	if callerLeft {
		return handOverCallerLeft
	}
	return result
}

// sendRest sends what the caller still sends to the peer, until the caller leaves, whereupon it closes the
// connection to the peer, or until the deadline for reading passes. It reports whether the caller left.
func (c *callerConn) sendRest(peer net.Conn) bool {
	buffer := make([]byte, relayBufferBytes)
	writes := true
	for {
		n, err := c.receive(func() []byte { return buffer })
		if n > 0 && writes {
			// A peer that has closed may have sent an answer, which the caller still gets.
			_, writeErr := peer.Write(buffer[:n])
			writes = writeErr == nil
		}
		if isTimeout(err) {
			return false
		}
		if err != nil {
			_ = peer.Close()
			return true
		}
	}
}

// isTimeout reports whether a deadline has passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// hasEnded reports whether the caller has closed its connection, as far as its socket tells. A late instance
// may notice a caller only after that caller has left.
func (c *callerConn) hasEnded() bool {
	ended := false
	if c.socket != nil {
		_ = c.socket.Control(func(fd uintptr) {
			var b [1]byte
			n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			ended = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
		})
	}
	return ended
}

// addrPort returns the address of a connection's other end, the zero value if it has no IP address.
func addrPort(addr net.Addr) netip.AddrPort {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	parsed, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return netip.AddrPortFrom(netip.IPv6Unspecified(), 0)
	}
	return parsed
}

// beginBusy records that the request on a connection is unanswered.
func (c *callerConns) beginBusy(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[conn] = c.now()
}
