package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// Continuation is what became of a broken run that had a copy on another target.
type Continuation string

// Results of a run that had a copy. Besides, the results of scheduler.Placement.Continue other than
// scheduler.ContinuePlaced are used.
const (
	// continuationWhole: the target of the copy delivered the rest.
	continuationWhole Continuation = "whole"
	// continuationNotDown: the first target is not known to have ended the run.
	continuationNotDown Continuation = "not_known_down"
	// continuationPosition: the caller has no event after which the run could go on.
	continuationPosition Continuation = "position_unknown"
	// continuationOtherRun: another run of the request has begun or may have.
	continuationOtherRun Continuation = "other_run"
	// continuationNoCopy: the target has no copy and has not run the request.
	continuationNoCopy Continuation = "no_copy"
	// continuationUnsent: nothing reached the target.
	continuationUnsent Continuation = "unsent"
	// continuationBroken: the rest broke off, or did not continue the stream.
	continuationBroken Continuation = "broken"
	// continuationAborted: the caller left or the request's time was up.
	continuationAborted Continuation = "request_ended"
)

// brokenRun is a run that ended without its end and that has a copy.
type brokenRun struct {
	placement *scheduler.Placement
	// over reports whether the target is known not to run it any more: it has crashed, or it has closed
	// the stream.
	over bool
}

// closedByTarget reports whether a response ended because the target closed its connection. A
// connection that was reset may have been cut on the way while the target goes on.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errTruncatedEvent)
}

// continueRun lets the run that has just broken go on from its copy, if it has one. It is the same run
// there, also on a route whose requests may not be repeated. It reports whether the caller has the whole
// answer; otherwise the request is in the state in which the first run left it, with the events that were added.
func (x *exchange) continueRun(ctx context.Context) bool {
	lost := x.lost
	x.lost = nil
	if lost == nil {
		return false
	}
	switch {
	case ctx.Err() != nil:
		x.result.Continuation = continuationAborted
	case !lost.over:
		x.result.Continuation = continuationNotDown
	case x.standby != nil || x.runs != 1:
		x.result.Continuation = continuationOtherRun
	case !x.streaming || x.lastEvent == "" || !x.position.isKnown():
		x.result.Continuation = continuationPosition
	default:
		return x.continueOn(ctx, lost.placement)
	}
	return false
}

// continueOn lets a broken run go on from its copy.
func (x *exchange) continueOn(ctx context.Context, broken *scheduler.Placement) bool {
	p, result := broken.Continue()
	if p == nil {
		x.result.Continuation = Continuation(result)
		return false
	}
	reason, cause, failure, gaveUp := x.result.Reason, x.result.Cause, x.failure, x.result.GaveUp
	// attempt panics if the caller has left.
	x.result.Continuation = continuationAborted
	became := x.attempt(ctx, p, nil)
	switch became {
	case answered:
		x.result.Continuation = continuationWhole
		return true
	case notRun:
		x.result.Continuation = continuationNoCopy
	case notSent:
		x.result.Continuation = continuationUnsent
	case mayHaveRun:
		x.result.Continuation = continuationBroken
	}
	if became == mayHaveRun {
		x.job.Exclude(p.Target.ID)
	} else {
		x.result.Reason, x.result.Cause, x.failure, x.result.GaveUp = reason, cause, failure, gaveUp
	}
	return false
}

// noCopy ends a continuation whose target has no copy of the run. That is no failure of the target,
// which may get the request again.
func (x *exchange) noCopy(p *scheduler.Placement, resp *upstream.Response) attemptResult {
	resp.Finish(discardRest(resp))
	p.End(scheduler.Unsent)
	return notRun
}

// isCopyMissing reports whether a response says that its target has no copy of the run, which it has then
// not run.
func isCopyMissing(p *scheduler.Placement, resp *upstream.Response) bool {
	return p.Continues() && resp.Status == http.StatusServiceUnavailable
}

// continued names the run that a placement continues, the zero value if it continues none.
func (x *exchange) continued(p *scheduler.Placement) Continued {
	if !p.Continues() {
		return Continued{}
	}
	return Continued{Addr: p.Target.Addr, ID: x.call.ID}
}

// appendBackup adds the copy of a run, with the inputs of its decision, to a log line.
func appendBackup(line *zerolog.Event, r *Report) *zerolog.Event {
	b := r.Backup
	if b == nil {
		return line
	}
	line = line.Str("backup_target", string(b.Target.ID)).Int("backup_tokens", b.Tokens).Float64("backup_chance", b.Chance).
		Int64("backup_crash_age_ms", b.CrashAge.Milliseconds()).Int64("backup_saves_ms", b.Saves.Milliseconds()).
		Int64("backup_costs_ms", b.Costs.Milliseconds())
	if r.Continuation != "" {
		line = line.Str("continuation", string(r.Continuation))
	}
	return line
}

// checkDirect returns an error if e may leave a gap behind a single event, from which it is not known by how
// much the ids rise. A copy goes on directly behind the last event.
func (p *streamPosition) checkDirect(e event) error {
	if !e.hasContent || p.events != 1 {
		return nil
	}
	if id, err := strconv.ParseUint(string(e.id), 10, 64); err != nil || id != p.last+1 {
		return errors.Errorf("id of continued event: got %.*q, want %d", maxQuotedBytes, e.id, p.last+1)
	}
	return nil
}
