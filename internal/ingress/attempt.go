package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// Constants of the attempts at one request.
const (
	// maxSends bounds how often one request is sent, those that did not run included.
	maxSends = 3
	// firstByteFactor and minTryTime bound the wait for the first byte of an answer that
	// another target could give, as a multiple of the route's objective.
	firstByteFactor     = 2
	minFirstByteTimeout = 300 * time.Millisecond
	// busyRetryAfter is the advised pause after targets refused.
	busyRetryAfter = 300 * time.Millisecond
)

// attemptResult is what one attempt led to.
type attemptResult int

const (
	// answered: the caller has its answer, or has left.
	answered attemptResult = iota
	// notSent: nothing reached a target.
	notSent
	// notRun: the target said that it did not run the request.
	notRun
	// mayHaveRun: the request may have run, and the caller has no whole answer.
	mayHaveRun
)

// serve makes attempts until the caller has an answer.
func (x *exchange) serve(ctx context.Context) {
	for retry := false; ; {
		p, err := x.h.options.Scheduler.Admit(ctx, x.job, retry)
		if err != nil {
			x.handleRefusal(ctx, err)
			return
		}
		result := x.attempt(ctx, p)
		x.job.Exclude(p.Target.ID)
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

// handleRefusal ends a request that the scheduler did not place.
func (x *exchange) handleRefusal(ctx context.Context, err error) {
	var refusal *scheduler.Refusal
	if !errors.As(err, &refusal) {
		x.result.Reason = err.Error()
		x.fail(ctx)
		return
	}
	x.result.Reason, x.result.Waited = string(refusal.Reason), refusal.Waited
	if x.runs > 0 || x.headerWritten {
		x.fail(ctx)
		return
	}
	x.refuse(http.StatusServiceUnavailable, string(refusal.Reason), refusal.RetryAfter)
}

// fail ends a request that got no answer: as not run if that is known, else without
// such a promise.
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

// attempt sends the request to one target and relays the answer.
func (x *exchange) attempt(ctx context.Context, p *scheduler.Placement) attemptResult {
	x.result.Target, x.result.ExpectedWait = p.Target.ID, p.Wait
	x.result.Cached, x.result.Rank = p.Cached, p.Rank
	if !p.Begin() {
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
	attemptCtx, cancel := x.attemptContext(ctx, p)
	defer cancel(nil)
	resp, err := o.Upstream.Send(attemptCtx, upstream.Request{
		Addr:   p.Target.Addr,
		Method: x.r.Method,
		Target: x.r.RequestURI,
		Host:   x.r.Host,
		Header: o.Codec.ForwardHeader(x.r.Header, Forwarding{
			Remaining: remaining, Target: p.Target.ID, Customer: x.customer, ResumeAfter: x.resumeAfter(),
		}),
		Body:    x.body.bytes,
		Matches: func(h http.Header) bool { return o.Codec.IsResponseTo(x.call, h) },
	})
	if err != nil {
		return x.sendFailed(ctx, p, err)
	}
	return x.relay(ctx, p, resp, cancel)
}

// resumeAfter is the id after which a target is to go on.
func (x *exchange) resumeAfter() string {
	if x.lastEvent != "" {
		return x.lastEvent
	}
	return x.call.ResumeAfter
}

// errFirstByteTimeout ends an attempt that another target may do better.
var errFirstByteTimeout = errors.New("the target does not answer in time")

// attemptContext bounds an attempt's wait for its first byte if there may be another. The
// returned function ends the attempt; calling it with a nil cause after the first byte
// does no harm, since the caller stops the timer.
func (x *exchange) attemptContext(ctx context.Context, p *scheduler.Placement) (context.Context, context.CancelCauseFunc) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	if !x.route.Repeatable() || x.runs+1 >= x.route.MaxTargets {
		return attemptCtx, cancel
	}
	timeout := max(firstByteFactor*x.route.FirstByteSLO, minFirstByteTimeout) + p.Wait
	timer := time.AfterFunc(timeout, func() { cancel(errFirstByteTimeout) })
	x.cancelFirstByteTimer = timer.Stop
	return attemptCtx, cancel
}

// sendFailed classifies an attempt without an answer.
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
	x.result.Cause = err.Error()
	if ctx.Err() != nil {
		p.End(scheduler.Abandoned)
	} else {
		p.End(scheduler.Broken)
	}
	return mayHaveRun
}

// relay passes an answer on.
func (x *exchange) relay(ctx context.Context, p *scheduler.Placement, resp *upstream.Response, cancel context.CancelCauseFunc) attemptResult {
	info := x.h.options.Codec.DecodeResponse(resp.Status, resp.Header)
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
		// A run that was to go on answered something else.
		resp.Finish(false)
		p.End(scheduler.Failed)
		x.result.Reason = "resume_refused"
		return mayHaveRun
	}
	return x.relayBuffered(ctx, p, resp)
}

// isAcceptable reports whether an answer can be passed on as the target's own. A
// status that promises that nothing ran must come with the target's word for it.
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
