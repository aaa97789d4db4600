package ingress

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// Times of the watch for silent targets.
const (
	// replaceInterval is the time between two attempts to replace the same silent run.
	replaceInterval = 500 * time.Millisecond
	// maxCheckDelay is the delay of a check from which the process counts as held up. What the
	// target sent may then wait to be read, and the check is repeated after this time.
	maxCheckDelay = 100 * time.Millisecond
)

// errTargetSilent is the cause with which an attempt's context is cancelled once another
// target has delivered in place of one that has sent nothing for too long.
var errTargetSilent = errors.New("target sent nothing in time")

// silenceWatch begins a second run of a request whose target sends nothing for too long. A
// silent target may be sound and go on, so that its run is ended only once the other one has
// delivered what comes next. If the silent one delivers that first, the other one is ended; if
// the other one fails, the silent one goes on.
//
// The methods other than check and replace are called by the exchange's goroutine.
type silenceWatch struct {
	x *exchange
	// ctx is the request's context, abandon cancels that of the attempt.
	ctx     context.Context
	abandon context.CancelCauseFunc
	target  fleet.TargetID

	mu sync.Mutex
	// limit is when the silence becomes too long, 0 while nothing is expected.
	limit clock.Instant
	// since is when the silence began.
	since clock.Instant
	// timer calls check at checkAt, if checkAt is not 0.
	timer   *time.Timer
	checkAt clock.Instant
	// standby is the second run, nil for none. No timer is set meanwhile. Its context ends if
	// the attempt delivers before it.
	standby *standby
	// chosen is set once the attempt was ended in favour of standby.
	chosen  bool
	stopped bool
	// sends and runs count the ended second runs that reached a target, and those of them that
	// may have run there.
	sends, runs int
	// found is the last silence for which a replacement was placed, or sought if none was placed.
	found Silence
}

// newSilenceWatch returns a watch over an attempt at target that is ended with abandon. ctx is
// the request's context.
func (x *exchange) newSilenceWatch(ctx context.Context, abandon context.CancelCauseFunc, target fleet.TargetID) *silenceWatch {
	return &silenceWatch{x: x, ctx: ctx, abandon: abandon, target: target}
}

// await starts the silence: the target is expected to send something within timeout. A
// timeout of 0 means that no second run may be begun.
func (w *silenceWatch) await(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if timeout == 0 || w.stopped || w.chosen {
		return
	}
	now := w.x.h.options.Now()
	w.limit, w.since = now.Add(timeout), now
	// A timer that is due earlier is left alone; check sets it again. Events are frequent,
	// and most of them then do not touch the timer.
	if w.standby == nil && (w.checkAt == 0 || w.checkAt > w.limit) {
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

// received ends the silence because the attempt has delivered. It returns false if the attempt
// was ended before in favour of the second run: what it delivered must not be passed on, since
// the second run delivers the same.
func (w *silenceWatch) received() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.chosen {
		return false
	}
	w.limit = 0
	if w.standby != nil {
		w.standby.cancel(nil)
	}
	return true
}

// check begins a second run if the silence has become too long. If there is no target for it,
// check runs again after replaceInterval.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.x.h.options.Now()
	delay := now.Sub(w.checkAt)
	w.checkAt = 0
	if w.stopped || w.limit == 0 || !w.x.isReplaceable(w.sends, w.runs) {
		return
	}
	if delay > maxCheckDelay {
		w.limit = max(w.limit, now.Add(maxCheckDelay))
	}
	if now < w.limit {
		w.schedule(now)
		return
	}
	found := Silence{Target: w.target, From: w.since.Sub(w.x.arrived), Asked: now.Sub(w.x.arrived), Result: replacementNotPlaced}
	if p := w.x.h.options.Scheduler.Replace(w.x.job); p != nil {
		w.found = found
		w.found.Replacement, w.found.Result = p.Target.ID, replacementUnneeded
		w.replace(p)
		return
	}
	if w.found.Replacement == "" {
		w.found = found
	}
	w.limit = now.Add(replaceInterval)
	w.schedule(now)
}

// replace begins a second run on p and ends the attempt if that run delivers before it. w.mu
// must be held; it is released meanwhile.
func (w *silenceWatch) replace(p *scheduler.Placement) {
	w.x.job.Exclude(p.Target.ID)
	s := w.x.newStandby(w.ctx, p)
	w.standby = s
	w.mu.Unlock()
	s.begin()
	w.mu.Lock()
	defer close(s.done)
	switch {
	case s.adopted:
		// The exchange goes on with it, or releases it.
		return
	case s.delivered && s.ctx.Err() == nil && !w.stopped:
		w.limit, w.chosen = 0, true
		w.setResult(replacementTookOver)
		w.abandon(errTargetSilent)
		return
	}
	became, result := s.outcome()
	go s.discard(became, result)
	w.standby = nil
	w.record(became, result)
}

// setResult records what became of the second run. w.mu must be held.
func (w *silenceWatch) setResult(result ReplacementResult) {
	w.found.Result = result
	w.found.Took = w.x.h.options.Now().Sub(w.x.arrived) - w.found.Asked
}

// record counts a second run that has ended while the attempt goes on, and sets the timer for
// the next one. w.mu must be held.
func (w *silenceWatch) record(became ReplacementResult, result attemptResult) {
	w.setResult(became)
	if result != notSent {
		w.sends++
	}
	if result == mayHaveRun {
		w.runs++
	}
	if w.stopped || w.limit == 0 {
		return
	}
	now := w.x.h.options.Now()
	if result != notSent {
		w.limit = max(w.limit, now.Add(replaceInterval))
	}
	w.schedule(now)
}

// stop ends the watch. It returns the second run with which the request goes on, nil if there
// is none. Further calls return the same.
func (w *silenceWatch) stop() *standby {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	s := w.standby
	if s == nil || !s.adopted && !w.chosen && s.ctx.Err() != nil {
		return nil
	}
	if !s.adopted && !w.chosen {
		w.setResult(replacementFollowed)
	}
	s.adopted = true
	return s
}

// gaveUp reports whether the attempt was ended in favour of a second run.
func (w *silenceWatch) gaveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chosen
}

// spent returns the numbers of second runs that reached a target and of those that may have
// run there, without the one that stop returned.
func (w *silenceWatch) spent() (sends, runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.standby != nil && !w.standby.adopted {
		// It was cancelled, and what it reached is not known yet.
		return w.sends + 1, w.runs + 1
	}
	return w.sends, w.runs
}

// report returns the silence to be logged, the zero value if there was none.
func (w *silenceWatch) report() Silence {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.found
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

// isReplaceable reports whether a second run may be begun beside the current one, if second
// runs have taken this many sends and runs before.
func (x *exchange) isReplaceable(sends, runs int) bool {
	return x.route.Repeatable() && x.isContinuable() &&
		x.runs+runs+1 < x.route.MaxTargets && x.sends+sends+1 < maxSends
}

// firstByteTimeout returns how long the target may take until its first byte before a second
// run is begun, 0 if none may be.
func (x *exchange) firstByteTimeout(p *scheduler.Placement) time.Duration {
	if !x.isReplaceable(0, 0) {
		return 0
	}
	return max(firstByteFactor*x.route.FirstByteSLO, minFirstByteTimeout) + p.Wait
}

// stallTimeout returns the pause between two events after which a second run is begun, 0 if
// none may be.
func (x *exchange) stallTimeout() time.Duration {
	if !x.route.Resumable || !x.isReplaceable(0, 0) {
		return 0
	}
	return max(stallFactor*x.route.GapSLO, minStallTimeout)
}
