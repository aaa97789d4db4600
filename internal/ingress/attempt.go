package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/catalog"
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
	defer x.withdrawReplacement()
	for retry := false; ; {
		p, err := x.place(ctx, retry)
		if err != nil {
			x.handleRefusal(ctx, err)
			return
		}
		x.job.Exclude(p.Target.ID)
		switch x.attempt(ctx, p) {
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
			if !x.route.Repeatable() || x.runs >= x.route.MaxTargets {
				x.fail(ctx)
				return
			}
		}
		if ctx.Err() != nil || x.sends >= maxSends {
			x.fail(ctx)
			return
		}
	}
}

// place returns the placement for the next attempt.
func (x *exchange) place(ctx context.Context, retry bool) (*scheduler.Placement, error) {
	if p := x.replacement; p != nil {
		x.replacement = nil
		return p, nil
	}
	return x.h.options.Scheduler.Admit(ctx, x.job, retry)
}

// withdrawReplacement releases a replacement that is not needed any more.
func (x *exchange) withdrawReplacement() {
	if x.replacement != nil {
		x.replacement.Withdraw()
		x.replacement = nil
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
	if x.runs > 0 || x.headerWritten {
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
	if errors.Is(context.Cause(ctx), errRequestTimeout) {
		reason = "time_up"
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

// attempt sends the request to one target and relays the response.
func (x *exchange) attempt(ctx context.Context, p *scheduler.Placement) attemptResult {
	x.result.Target, x.result.ExpectedWait = p.Target.ID, p.Wait
	x.result.Cached, x.result.Rank = p.Cached, p.Rank
	x.runEvents = 0
	if !p.Valid() {
		p.End(scheduler.Unsent)
		x.result.Reason = "target_left"
		return notSent
	}
	if callerGone(x.r.Context()) {
		p.End(scheduler.Unsent)
		x.result.Reason = "caller_gone"
		panic(http.ErrAbortHandler)
	}
	o := &x.h.options
	remaining := x.job.Deadline.Sub(o.Now())
	if x.result.Waited == 0 {
		x.result.Waited = o.Now().Sub(x.arrived)
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.silence = x.newSilenceWatch(attemptCtx, cancel)
	defer func() { x.replacement = x.silence.stop() }()
	x.silence.await(x.firstByteTimeout(p))
	// An address is met again while a target that another has replaced is still listed. The id then
	// does not tell the response to this attempt from that to the earlier one.
	newConn := x.call.ID == "" || slices.Contains(x.sentTo, p.Target.Addr)
	x.sentTo = append(x.sentTo, p.Target.Addr)
	resp, err := o.Upstream.Send(attemptCtx, upstream.Request{
		Addr:   p.Target.Addr,
		Method: x.r.Method,
		Target: x.r.RequestURI,
		Host:   x.r.Host,
		Header: o.Codec.ForwardHeader(x.r.Header, Forwarding{
			Remaining: remaining, Target: p.Target.ID, Customer: x.customer, ResumeAfter: x.resumeAfter(),
		}),
		Body:    x.body.bytes,
		NewConn: newConn,
		Match:   func(h http.Header) upstream.Match { return o.Codec.MatchResponse(x.call, h) },
		Skipped: func(status int) { x.logSkipped(p, status) },
	})
	if err != nil {
		return x.sendFailed(ctx, p, err)
	}
	return x.relay(ctx, p, resp)
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
	x.result.Reason = "target_broken"
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.Sent {
		outcome := scheduler.Unreachable
		if ctx.Err() != nil {
			outcome = scheduler.Abandoned
		}
		p.End(outcome)
		x.result.Reason = "target_unreachable"
		return notSent
	}
	x.result.Cause, x.result.GaveUp = err.Error(), isSilence(err)
	x.endBroken(ctx, p, err)
	return mayHaveRun
}

// endBroken ends a placement whose run got no complete response. err may be nil.
func (x *exchange) endBroken(ctx context.Context, p *scheduler.Placement, err error) {
	outcome := x.brokenOutcome(ctx)
	p.End(outcome)
	if outcome != scheduler.Broken {
		return
	}
	down := x.checkCrash(ctx, p)
	x.logBrokenRun(p, down, err)
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
	switch {
	case ctx.Err() != nil:
		return scheduler.Abandoned
	case x.silence.stop() != nil:
		return scheduler.Silent
	}
	return scheduler.Broken
}

// relay passes a response on to the caller, or discards it if it cannot be passed on.
func (x *exchange) relay(ctx context.Context, p *scheduler.Placement, resp *upstream.Response) attemptResult {
	info := x.h.options.Codec.DecodeResponse(resp.Status, resp.Header)
	x.result.GaveUp = false
	x.observeLimit(p, resp.Status, info)
	switch {
	case info.NotRun:
		resp.Finish(discardRest(resp))
		p.End(scheduler.Rejected)
		x.result.Reason = "target_refused"
		return notRun
	case !x.isAcceptable(resp, info):
		resp.Finish(false)
		p.End(scheduler.Broken)
		x.result.Reason = "answer_unsound"
		return mayHaveRun
	case x.route.Kind == catalog.Stream && resp.Status == http.StatusOK:
		return x.relayStream(ctx, p, resp)
	case x.headerWritten:
		// The target did not resume the stream but sent another kind of response.
		resp.Finish(false)
		p.End(scheduler.Failed)
		x.result.Reason = "resume_refused"
		return mayHaveRun
	}
	return x.relayBuffered(ctx, p, resp)
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
