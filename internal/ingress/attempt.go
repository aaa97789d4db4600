package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// Limits of the attempts at one request.
const (
	// maxSends limits the attempts of one request that reach a target, including those that
	// did not run.
	maxSends = 3
	// firstByteFactor and minFirstByteTimeout set the wait for the first byte of a response
	// after which another target is to take the request over: this multiple of the route's
	// first-byte objective, but at least minFirstByteTimeout.
	firstByteFactor     = 2
	minFirstByteTimeout = 300 * time.Millisecond
	// crashCheckTimeout limits the check whether a target has crashed, for which a retry waits. It
	// allows for a few round trips between regions.
	crashCheckTimeout = 150 * time.Millisecond
	// busyRetryAfter is the retry delay sent to a caller if no target ran its request.
	busyRetryAfter = 300 * time.Millisecond
)

// attemptResult is the result of one attempt to run a request on a target.
type attemptResult int

const (
	// answered: the caller has a complete response.
	answered attemptResult = iota
	// notSent: nothing reached a target.
	notSent
	// notRun: the target reported that it did not run the request.
	notRun
	// mayHaveRun: the request may have run, and the caller has no complete response.
	mayHaveRun
)

// serve makes attempts until the caller has a response or no retry is allowed.
func (x *exchange) serve(ctx context.Context) {
	defer x.releaseStandby()
	for retry := false; ; {
		var result attemptResult
		if s := x.takeStandby(); s != nil {
			result = x.attempt(ctx, s.placement, s)
		} else {
			p, err := x.h.options.Scheduler.Admit(ctx, x.job, retry)
			if err != nil {
				x.handleRefusal(ctx, err)
				return
			}
			x.job.Exclude(p.Target.ID)
			result = x.attempt(ctx, p, nil)
		}
		switch result {
		case answered:
			return
		case notSent:
			retry = false
		case notRun:
			x.sends++
			retry = true
		case mayHaveRun:
			x.sends++
			x.runs++
			retry = true
			if x.continueRun(ctx) {
				return
			}
		}
		if x.result.NoRetry = x.noRetryReason(ctx, result); x.result.NoRetry != "" {
			x.fail(ctx)
			return
		}
	}
}

// noRetryReason returns why no attempt may follow one with this result, empty if one may.
func (x *exchange) noRetryReason(ctx context.Context, result attemptResult) string {
	switch {
	case ctx.Err() != nil:
		return noRetryEnded
	case result == mayHaveRun && (!x.route.Repeatable() || x.runs >= x.route.MaxTargets):
		return noRetryTargets
	case result == mayHaveRun && !x.isContinuable():
		return noRetryPosition
	case x.sends >= maxSends:
		return noRetrySends
	}
	return ""
}

// takeStandby returns the second run with which the request goes on, nil if there is none.
func (x *exchange) takeStandby() *standby {
	s := x.standby
	x.standby = nil
	return s
}

// releaseStandby ends a second run that is not needed any more.
func (x *exchange) releaseStandby() {
	if s := x.takeStandby(); s != nil {
		s.release()
	}
}

// handleRefusal ends a request for which the scheduler returned err instead of a target.
func (x *exchange) handleRefusal(ctx context.Context, err error) {
	var refusal *scheduler.Refusal
	if !errors.As(err, &refusal) {
		x.result.Reason = err.Error()
		x.fail(ctx)
		return
	}
	x.recordRefusal(refusal)
	if x.runs > 0 || x.headerWritten || errors.Is(context.Cause(ctx), errStopping) {
		x.fail(ctx)
		return
	}
	x.refuse(http.StatusServiceUnavailable, x.result.Reason, refusal.RetryAfter)
}

// fail ends a request that got no complete response from a target. It responds with 503
// only if the request is known not to have run. If a response has begun, it aborts the
// connection.
func (x *exchange) fail(ctx context.Context) {
	reason := x.result.Reason
	switch {
	case errors.Is(context.Cause(ctx), errRequestTimeout):
		reason = "time_up"
	case errors.Is(context.Cause(ctx), errStopping):
		reason = string(scheduler.ReasonLeaving)
	}
	if x.headerWritten || x.runs > 0 || x.r.Context().Err() != nil {
		x.result.EndedBy = x.enderOf(ctx)
	}
	switch {
	case x.headerWritten, x.r.Context().Err() != nil:
		x.result.Reason = reason
		panic(http.ErrAbortHandler)
	case x.runs == 0:
		x.refuse(http.StatusServiceUnavailable, reason, busyRetryAfter)
	case reason == "time_up":
		x.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		x.refuse(http.StatusBadGateway, reason, 0)
	}
}

// attempt sends the request to one target and relays the response. If s is not nil, it goes on
// with that run of the request, which has been begun on p.
func (x *exchange) attempt(ctx context.Context, p *scheduler.Placement, s *standby) attemptResult {
	x.result.Target, x.result.ExpectedWait = p.Target.ID, p.Wait
	x.result.Cached, x.result.Rank, x.result.Fetch = p.Cached, p.Rank, p.Fetch
	x.result.LoadReported, x.result.LoadAge, x.result.Pace = p.Reported, p.ReportAge, p.Pace
	if p.Backup != nil {
		x.result.Backup = p.Backup
	}
	x.runEvents = 0
	if s == nil && !p.Validity().Usable {
		return x.unsent(p, errTargetLeft)
	}
	if callerGone(x.r.Context()) {
		if s != nil {
			s.release()
		} else {
			p.End(scheduler.Unsent)
		}
		x.result.Reason, x.result.EndedBy = reasonCallerGone, endedByCaller
		panic(http.ErrAbortHandler)
	}
	o := &x.h.options
	if x.result.Waited == 0 {
		x.result.Waited = o.Now().Sub(x.arrived)
	}
	var attemptCtx context.Context
	var cancel context.CancelCauseFunc
	if s != nil {
		attemptCtx, cancel, x.memory = s.ctx, s.cancel, s.memory
	} else {
		attemptCtx, cancel = context.WithCancelCause(ctx)
		x.memory = x.h.answers.part(cancel)
	}
	defer x.memory.release()
	defer cancel(nil)
	x.silence = x.newSilenceWatch(ctx, cancel, p.Target.ID)
	defer x.endWatch()
	x.silence.await(x.firstByteTimeout(p))
	if s == nil {
		resp, err := o.Upstream.Send(attemptCtx, x.upstreamRequest(p, x.body.bytes, x.resumeAfter()))
		return x.endAttempt(ctx, p, resp, err)
	}
	<-s.done
	if s.unsent {
		return x.unsent(p, errTargetLeft)
	}
	return x.endAttempt(ctx, p, s.resp, s.err)
}

// Errors of sendable.
var (
	errTargetLeft = errors.New("target left")
	errCallerGone = errors.New("caller gone")
)

// sendable returns why a request must not be sent to a placement's target any more, nil if it
// may be sent. Opening a connection may take long, and more so while the processor is short.
func (x *exchange) sendable(p *scheduler.Placement) error {
	v := p.Validity()
	switch {
	case !v.Usable:
		return errTargetLeft
	case callerGone(x.r.Context()):
		return errCallerGone
	case x.h.options.Now() >= x.job.Deadline:
		return errRequestTimeout
	}
	x.recordValidity(v)
	return nil
}

// recordValidity records what the last send rested on.
func (x *exchange) recordValidity(v scheduler.Validity) {
	x.sentMu.Lock()
	x.validity = v
	x.sentMu.Unlock()
	if observe := x.h.options.ObserveSend; observe != nil {
		observe(v)
	}
}

// isUnsendable reports whether err is, or wraps, one that sendable returned.
func isUnsendable(err error) bool {
	var failure *upstream.Error
	return errors.As(err, &failure) && !failure.Sent && !failure.DialFailed &&
		(errors.Is(err, errTargetLeft) || errors.Is(err, errCallerGone) || errors.Is(err, errRequestTimeout))
}

// unsent ends a placement to whose target nothing was sent for the given reason. If the caller
// has gone, it aborts the connection.
func (x *exchange) unsent(p *scheduler.Placement, err error) attemptResult {
	p.End(scheduler.Unsent)
	switch {
	case errors.Is(err, errCallerGone):
		x.result.Reason, x.result.EndedBy = reasonCallerGone, endedByCaller
		panic(http.ErrAbortHandler)
	case errors.Is(err, errRequestTimeout):
		x.result.Reason = "time_up"
	default:
		x.result.Reason = "target_left"
	}
	return notSent
}

// endAttempt relays the response to an attempt, or records that there is none.
func (x *exchange) endAttempt(ctx context.Context, p *scheduler.Placement, resp *upstream.Response, err error) attemptResult {
	if err != nil {
		return x.sendFailed(ctx, p, err)
	}
	if err := x.memory.holdHead(resp.Header); err != nil {
		resp.Finish(false)
		return x.markBroken(ctx, p, err)
	}
	return x.relay(ctx, p, resp)
}

// endWatch ends the watch over the current attempt and takes over what it found.
func (x *exchange) endWatch() {
	x.standby = x.silence.stop()
	sends, runs := x.silence.spent()
	x.sends += sends
	x.runs += runs
	if s := x.silence.report(); s.Target != "" {
		x.result.Silence = s
	}
}

// needsNewConn reports whether an attempt at an address must not use a connection that another
// attempt has used, and records the attempt. An address is met again while a target that another
// has replaced is still listed: the id then does not tell the response to this attempt from that
// to the earlier one.
func (x *exchange) needsNewConn(addr string) bool {
	x.sentMu.Lock()
	defer x.sentMu.Unlock()
	needed := x.call.ID == "" || slices.Contains(x.sentTo, addr)
	x.sentTo = append(x.sentTo, addr)
	return needed
}

// logSkipped logs a response of the placement's target that belongs to another request.
func (x *exchange) logSkipped(p *scheduler.Placement, status int) {
	x.h.options.Log.Warn().Str("event", "response_skipped").Str("id", x.call.ID).Str("target", string(p.Target.ID)).
		Int("status", status).Msg("")
}

// resumeAfter returns the id of the event after which the target should resume the stream,
// empty to start from the beginning.
func (x *exchange) resumeAfter() string {
	if x.lastEvent != "" {
		return x.lastEvent
	}
	return x.call.ResumeAfter
}

// sendFailed ends a placement whose attempt got no response, and returns the result.
func (x *exchange) sendFailed(ctx context.Context, p *scheduler.Placement, err error) attemptResult {
	if isUnsendable(err) {
		return x.unsent(p, err)
	}
	x.result.Reason = "target_broken"
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.Sent {
		p.End(dialOutcome(ctx, failure))
		x.result.Reason = "target_unreachable"
		return notSent
	}
	x.result.Cause, x.result.GaveUp, x.failure = err.Error(), isSilence(err), err
	x.endBroken(ctx, p, err)
	return mayHaveRun
}

// dialOutcome returns the outcome of an attempt of which nothing was sent.
func dialOutcome(ctx context.Context, failure *upstream.Error) scheduler.Outcome {
	switch {
	case ctx.Err() != nil:
		return scheduler.Abandoned
	case failure.TimedOut():
		return scheduler.DialTimedOut
	}
	return scheduler.Unreachable
}

// endBroken ends a placement whose run got no complete response. err may be nil.
func (x *exchange) endBroken(ctx context.Context, p *scheduler.Placement, err error) {
	outcome := x.brokenOutcome(ctx)
	p.End(outcome)
	if outcome != scheduler.Broken {
		return
	}
	down := x.checkCrash(ctx, p)
	if p.Backup != nil {
		x.lost = &brokenRun{placement: p, over: down || closedByTarget(err)}
	}
	x.logBrokenRun(p, down, x.runEvents, err)
}

// checkCrash finds out whether the target of a broken run has crashed, before a retry may
// crash the next one. It reports whether the target is known to be down.
func (x *exchange) checkCrash(ctx context.Context, p *scheduler.Placement) bool {
	if !p.NeedsCrashCheck() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if !x.h.options.Upstream.IsDown(ctx, p.Target.Addr) {
		return false
	}
	p.ConfirmCrash()
	return true
}

// brokenOutcome returns the outcome of an attempt that got no complete response.
func (x *exchange) brokenOutcome(ctx context.Context) scheduler.Outcome {
	x.silence.stop()
	switch {
	case ctx.Err() != nil, x.memory.wasEnded():
		// This instance ended the connection, which says nothing about the target.
		return scheduler.Abandoned
	case x.silence.gaveUp():
		return scheduler.Silent
	}
	return scheduler.Broken
}

// relay passes a response on to the caller, or discards it if it cannot be passed on.
func (x *exchange) relay(ctx context.Context, p *scheduler.Placement, resp *upstream.Response) attemptResult {
	info := x.h.options.Codec.DecodeResponse(resp.Status, resp.Header)
	x.result.GaveUp = false
	x.observeLeaving(p, resp.Status, info)
	x.observeLimit(p, resp.Status, info)
	x.observePause(p, info)
	x.observeLoad(p, resp.Status, info)
	switch {
	case isCopyMissing(p, resp):
		return x.noCopy(p, resp)
	case info.NotRun:
		resp.Finish(discardRest(resp))
		p.End(scheduler.Rejected)
		x.result.Reason = "target_refused"
		return notRun
	case !x.isAcceptable(resp, info):
		resp.Finish(false)
		// A target that answers has not crashed.
		p.End(scheduler.Failed)
		x.result.Reason, x.failure = "answer_unsound", nil
		return mayHaveRun
	case x.headerWritten && !x.continuesStream(resp):
		return x.refuseResumed(p, resp, errors.Errorf("resumed response: got status %d and type %q, want %d and %q",
			resp.Status, mediaType(resp), http.StatusOK, x.streamType))
	case x.isStream(resp):
		return x.relayStream(ctx, p, resp)
	}
	return x.relayBuffered(ctx, p, resp)
}

// observeLeaving records that the target says that it leaves. A response from another target says
// nothing.
func (x *exchange) observeLeaving(p *scheduler.Placement, status int, info ResponseInfo) {
	if info.Leaving && status != http.StatusMisdirectedRequest && p.ObserveLeaving() {
		x.h.options.Log.Info().Str("event", "target_leaving").Str("id", x.call.ID).Str("target", string(p.Target.ID)).
			Int64("target_start", p.Target.StartMillis).Msg("")
	}
}

// observeLimit records which limit the target names in a response. A response without one
// ends the limit only if the target ran the request; one from another target says nothing.
func (x *exchange) observeLimit(p *scheduler.Placement, status int, info ResponseInfo) {
	switch {
	case status == http.StatusMisdirectedRequest:
	case info.LimitText != "" && !info.LimitNamed:
		x.h.options.Log.Warn().Str("event", "target_limit_invalid").Str("id", x.call.ID).
			Str("target", string(p.Target.ID)).Str("value", info.LimitText).Msg("")
	case info.LimitNamed || status < http.StatusMultipleChoices:
		p.ObserveLimit(info.LimitPerSecond, info.LimitNamed)
	}
}

// observePause records how long the target wants no requests from this instance.
func (x *exchange) observePause(p *scheduler.Placement, info ResponseInfo) {
	odd := info.PauseText[:min(len(info.PauseText), maxOddText)]
	if odd != "" && x.h.oddPauses.add(string(p.Target.ID)+" "+odd) {
		x.h.options.Log.Warn().Str("event", "target_pause_invalid").Str("id", x.call.ID).
			Str("target", string(p.Target.ID)).Str("value", odd).Msg("")
	}
	if info.Pause > 0 && p.ObservePause(info.Pause) {
		x.h.options.Log.Info().Str("event", "target_pause").Str("id", x.call.ID).Str("target", string(p.Target.ID)).
			Int64("target_start", p.Target.StartMillis).Int64("pause_ms", info.Pause.Milliseconds()).Msg("")
	}
}

// isAcceptable reports whether a response can be passed on as the target's own. It rejects
// statuses that would tell the caller that the request did not run: relay has already
// handled the responses in which the target itself reports that. A response with a status
// below 300 must be signed.
func (x *exchange) isAcceptable(resp *upstream.Response, info ResponseInfo) bool {
	if resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	switch resp.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return resp.Status >= 300 || info.Signed
}
