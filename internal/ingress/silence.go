package ingress

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// Times of the watch for silent targets.
const (
	// replaceInterval is the time between two requests to the scheduler to replace the same
	// attempt.
	replaceInterval = 500 * time.Millisecond
	// maxCheckDelay is the delay of a check from which the process counts as held up. What the
	// target sent may then wait to be read, and the check is repeated after this time.
	maxCheckDelay = 100 * time.Millisecond
)

// errTargetSilent is the cause with which an attempt's context is cancelled once another
// target is to take over from one that has sent nothing for too long.
var errTargetSilent = errors.New("target sent nothing in time")

// silenceWatch replaces an attempt whose target sends nothing for too long. The attempt is
// cancelled only after the scheduler has placed the request on another target that can be
// reached: a silent target may still be at work, and without a replacement its response is
// the only one that the caller can get. The methods other than check and replace are called
// by the exchange's goroutine.
type silenceWatch struct {
	x *exchange
	// ctx is the attempt's context, which abandon cancels.
	ctx     context.Context
	abandon context.CancelCauseFunc

	mu sync.Mutex
	// limit is when the silence becomes too long, 0 while nothing is expected.
	limit clock.Instant
	// timer calls check at checkAt, if checkAt is not 0.
	timer   *time.Timer
	checkAt clock.Instant
	// connecting is set while check connects to another target. No timer is set meanwhile.
	connecting bool
	stopped    bool
	// replacement is the placement for which the attempt was cancelled, nil if it was not.
	replacement *scheduler.Placement
}

// newSilenceWatch returns a watch that cancels an attempt, whose context is ctx, with abandon.
func (x *exchange) newSilenceWatch(ctx context.Context, abandon context.CancelCauseFunc) *silenceWatch {
	return &silenceWatch{x: x, ctx: ctx, abandon: abandon}
}

// await starts the silence: the target is expected to send something within timeout. A
// timeout of 0 means that the attempt must not be replaced.
func (w *silenceWatch) await(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if timeout == 0 || w.stopped || w.replacement != nil {
		return
	}
	now := w.x.h.options.Now()
	w.limit = now.Add(timeout)
	// A timer that is due earlier is left alone; check sets it again. Events are frequent,
	// and most of them then do not touch the timer.
	if !w.connecting && (w.checkAt == 0 || w.checkAt > w.limit) {
		w.schedule(now)
	}
}

// schedule sets the timer to the limit. w.mu must be held.
func (w *silenceWatch) schedule(now clock.Instant) {
	w.checkAt = w.limit
	if w.timer == nil {
		w.timer = time.AfterFunc(w.limit.Sub(now), w.check)
		return
	}
	w.timer.Reset(w.limit.Sub(now))
}

// received ends the silence.
func (w *silenceWatch) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = 0
}

// check asks the scheduler for a replacement if the silence has become too long. If there is
// none, the attempt goes on and check runs again after replaceInterval.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.x.h.options.Now()
	delay := now.Sub(w.checkAt)
	w.checkAt = 0
	if w.stopped || w.limit == 0 {
		return
	}
	if delay > maxCheckDelay {
		w.limit = max(w.limit, now.Add(maxCheckDelay))
	}
	if now < w.limit {
		w.schedule(now)
		return
	}
	if p := w.x.h.options.Scheduler.Replace(w.x.job); p != nil {
		w.replace(p)
		return
	}
	w.limit = now.Add(replaceInterval)
	w.schedule(now)
}

// replace cancels the attempt in favour of p if p's target can be reached and the silence
// lasts until then. Otherwise it releases p, and the attempt goes on. w.mu must be held; it is
// released while connecting, so that what arrives meanwhile is passed on.
func (w *silenceWatch) replace(p *scheduler.Placement) {
	limit := w.limit
	w.connecting = true
	w.mu.Unlock()
	err := w.x.h.options.Upstream.Connect(w.ctx, p.Target.Addr)
	w.mu.Lock()
	w.connecting = false
	lasts := !w.stopped && w.limit == limit
	if err == nil && lasts {
		w.limit, w.replacement = 0, p
		w.abandon(errTargetSilent)
		return
	}
	now := w.x.h.options.Now()
	if err != nil && w.ctx.Err() == nil {
		p.End(scheduler.Unreachable)
		if lasts {
			w.x.job.Exclude(p.Target.ID)
			w.limit = now
		}
	}
	p.Withdraw()
	if !w.stopped && w.limit != 0 && w.ctx.Err() == nil {
		w.schedule(now)
	}
}

// stop ends the watch and returns the replacement, nil if there is none.
func (w *silenceWatch) stop() *scheduler.Placement {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.replacement
}

// watchedReader is a response body whose silence starts anew with each read.
type watchedReader struct {
	io.Reader
	silence *silenceWatch
	timeout time.Duration
}

// Read implements io.Reader.
func (r *watchedReader) Read(b []byte) (int, error) {
	r.silence.await(r.timeout)
	return r.Reader.Read(b)
}

// isReplaceable reports whether another attempt may follow the current one if that breaks
// off.
func (x *exchange) isReplaceable() bool {
	return x.route.Repeatable() && x.runs+1 < x.route.MaxTargets && x.sends+1 < maxSends && x.isContinuable()
}

// firstByteTimeout returns how long the target may take until its first byte before the
// attempt is to be replaced, 0 if it must not be.
func (x *exchange) firstByteTimeout(p *scheduler.Placement) time.Duration {
	if !x.isReplaceable() {
		return 0
	}
	return max(firstByteFactor*x.route.FirstByteSLO, minFirstByteTimeout) + p.Wait
}

// stallTimeout returns the pause between two events after which the attempt is to be
// replaced, 0 if it must not be.
func (x *exchange) stallTimeout() time.Duration {
	if !x.route.Resumable || !x.isReplaceable() {
		return 0
	}
	return max(stallFactor*x.route.GapSLO, minStallTimeout)
}
