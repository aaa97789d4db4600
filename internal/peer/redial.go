package peer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Pauses between dials of one peer. Each is multiplied by a random factor from 0.5
// to 1.5.
const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// wanted is a listed peer with its redial goroutine.
type wanted struct {
	cancel context.CancelFunc
	// addr and expiry are guarded by Transport.mu.
	addr string
	// expiry runs while the peer is unlisted but within its grace.
	expiry *time.Timer
}

func (w *wanted) stopTimer() {
	if w.expiry != nil {
		w.expiry.Stop()
		w.expiry = nil
	}
}

// SetPeers says which instances to be connected to, whatever their state; this
// instance itself is ignored. A peer that is left out is dropped after
// Options.UnlistedGrace, unless the peer itself dialled the connection.
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
		t.want(p.ID, p.PeerAddr)
	}
	for id, w := range t.wanted {
		if !listed[id] && w.expiry == nil {
			w.expiry = time.AfterFunc(t.options.UnlistedGrace, func() { t.expire(id, w) })
		}
	}
}

// want starts or keeps the redial goroutine of a peer. Transport.mu is held.
func (t *Transport) want(id fleet.InstanceID, addr string) {
	if w := t.wanted[id]; w != nil {
		w.addr = addr
		w.stopTimer()
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	w := &wanted{cancel: cancel, addr: addr}
	t.wanted[id] = w
	r := t.remoteOf(id)
	t.running.Add(1)
	go t.redial(ctx, id, r, w)
}

// expire drops a peer whose grace ended.
func (t *Transport) expire(id fleet.InstanceID, w *wanted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wanted[id] != w || w.expiry == nil {
		return
	}
	delete(t.wanted, id)
	w.cancel()
}

// cutDialed closes the connections that this instance dialled, unless the whole
// transport closes, which sends first what is queued.
func (t *Transport) cutDialed(r *remote) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.closed {
		return
	}
	for _, l := range r.links {
		if l.dialed != "" {
			l.cut(failure(KindUnlisted, nil))
		}
	}
}

// redial is the goroutine that dials one peer whenever no connection to it exists.
func (t *Transport) redial(ctx context.Context, id fleet.InstanceID, r *remote, w *wanted) {
	defer t.running.Done()
	defer t.cutDialed(r)
	rnd := t.jitterFor(id)
	failures := 0
	for t.waitDisconnected(ctx, r) {
		t.sleep(ctx, t.redialDelay(id, failures, rnd))
		if ctx.Err() != nil || t.linkTo(id) != nil {
			continue
		}
		began := t.options.Now()
		if err := t.dial(ctx, id, w); err != nil {
			failures++
			t.logDialFailed(id, failures, err)
			continue
		}
		if !t.waitDisconnected(ctx, r) {
			return
		}
		failures = 0
		if t.options.Now().Sub(began) < t.options.SilenceTimeout {
			failures = 1
		}
	}
}

// dial connects to a peer and waits for its hello.
func (t *Transport) dial(ctx context.Context, id fleet.InstanceID, w *wanted) error {
	t.mu.RLock()
	addr := w.addr
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
	if !l.waitOpened() {
		return l.failureCause()
	}
	return nil
}

// waitDisconnected waits until no connection to the peer exists; false when ctx
// ends.
func (t *Transport) waitDisconnected(ctx context.Context, r *remote) bool {
	for ctx.Err() == nil {
		t.mu.RLock()
		links, changed := len(r.links), r.changed
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

// redialDelay returns the pause before the next dial.
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

// jitterFor returns the source of random factors for one peer.
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
