package peer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Limits of the exponential backoff between failed dials of one peer. Each delay is
// multiplied by a random factor from 0.5 to 1.5.
const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// dialer controls the redial goroutine of a listed peer.
type dialer struct {
	cancel context.CancelFunc
	// addr and expiry are guarded by Transport.mu.
	addr string
	// expiry is the timer of the grace period, nil while the peer is listed.
	expiry *time.Timer
}

// stopTimer cancels the end of the grace period. Transport.mu must be held.
func (d *dialer) stopTimer() {
	if d.expiry != nil {
		d.expiry.Stop()
		d.expiry = nil
	}
}

// SetPeers sets the instances to connect to, whatever their state. This instance
// itself is ignored. Connections to a peer that is no longer listed are closed after
// Options.UnlistedGrace, except those that the peer dialled.
func (t *Transport) SetPeers(ps []fleet.ListedInstance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	listed := make(map[fleet.InstanceID]bool, len(ps))
	for _, p := range ps {
		if p.ID == t.options.Self.Instance {
			continue
		}
		listed[p.ID] = true
		t.ensureDialer(p.ID, p.PeerAddr)
	}
	for id, d := range t.dialers {
		if !listed[id] && d.expiry == nil {
			d.expiry = time.AfterFunc(t.options.UnlistedGrace, func() { t.expire(id, d) })
		}
	}
}

// ensureDialer starts the redial goroutine of a peer, or updates the address of the
// running one. Transport.mu must be held.
func (t *Transport) ensureDialer(id fleet.InstanceID, addr string) {
	if d := t.dialers[id]; d != nil {
		d.addr = addr
		d.stopTimer()
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	d := &dialer{cancel: cancel, addr: addr}
	t.dialers[id] = d
	p := t.ensurePeer(id)
	t.running.Add(1)
	go t.redial(ctx, id, p, d)
}

// expire stops dialling a peer whose grace period has ended.
func (t *Transport) expire(id fleet.InstanceID, d *dialer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dialers[id] != d || d.expiry == nil {
		return
	}
	delete(t.dialers, id)
	d.cancel()
}

// abortDialed closes the connections to a peer that this instance dialled. It does
// nothing after Close, which first sends queued messages.
func (t *Transport) abortDialed(p *peerState) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.closed {
		return
	}
	for _, l := range p.links {
		if l.dialed != "" {
			l.abort(newError(KindUnlisted, nil))
		}
	}
}

// redial runs in a goroutine and dials one peer whenever no connection to it exists. A
// connection that lasts less than Options.SilenceTimeout counts as one failure.
func (t *Transport) redial(ctx context.Context, id fleet.InstanceID, p *peerState, d *dialer) {
	defer t.running.Done()
	defer t.abortDialed(p)
	rnd := t.jitterFor(id)
	failures := 0
	for t.waitDisconnected(ctx, p) {
		t.sleep(ctx, t.redialDelay(id, failures, rnd))
		if ctx.Err() != nil || t.linkTo(id) != nil {
			continue
		}
		started := t.options.Now()
		if err := t.dial(ctx, id, d); err != nil {
			failures++
			t.logDialFailed(id, failures, err)
			continue
		}
		if !t.waitDisconnected(ctx, p) {
			return
		}
		failures = 0
		if t.options.Now().Sub(started) < t.options.SilenceTimeout {
			failures = 1
		}
	}
}

// dial connects to a peer and waits for its hello. Connecting and waiting each take
// at most Options.SilenceTimeout.
func (t *Transport) dial(ctx context.Context, id fleet.InstanceID, d *dialer) error {
	t.mu.RLock()
	addr := d.addr
	t.mu.RUnlock()
	ctx, cancel := context.WithTimeout(ctx, t.options.SilenceTimeout)
	defer cancel()
	conn, err := t.options.Dial(ctx, "tcp", addr)
	if err != nil {
		return &Error{Kind: KindDial, Peer: id, Cause: err}
	}
	l, err := t.secure(ctx, conn, id)
	if err != nil {
		return err
	}
	if !l.waitHello() {
		return l.closeCause()
	}
	return nil
}

// waitDisconnected waits until no connection to the peer exists. It returns false if
// ctx ends first.
func (t *Transport) waitDisconnected(ctx context.Context, p *peerState) bool {
	for ctx.Err() == nil {
		t.mu.RLock()
		links, changed := len(p.links), p.changed
		t.mu.RUnlock()
		if links == 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// redialDelay returns the delay before the next dial after a number of successive
// failures. Without failures the instance with the smaller id dials at once.
func (t *Transport) redialDelay(id fleet.InstanceID, failures int, rnd *rand.Rand) time.Duration {
	factor := 0.5 + rnd.Float64()
	if failures > 0 {
		delay := min(minRedialDelay<<min(failures-1, 16), maxRedialDelay)
		return time.Duration(factor * float64(delay))
	}
	if t.options.Self.Instance < id {
		return 0
	}
	return time.Duration(factor * float64(StandbyDelay))
}

// jitterFor returns the random source for the delays of one peer, seeded with
// Options.Seed and the peer's id.
func (t *Transport) jitterFor(id fleet.InstanceID) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return rand.New(rand.NewPCG(t.options.Seed, h.Sum64()))
}

// sleep waits for d or until ctx ends.
func (t *Transport) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
