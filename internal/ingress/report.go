package ingress

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/quarantine"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// Report is the result of one request, for the log and the metrics.
type Report struct {
	// Status is the status sent to the caller, 0 if its connection was closed without one.
	Status int
	// OwnAnswer reports whether the response came from this instance, not from a target.
	OwnAnswer bool
	// Reason says why the request was refused or its last unsuccessful attempt failed, empty
	// if neither happened.
	Reason string
	// Aborted reports whether the handler closed the caller's connection, as far as it knows
	// not left by the caller, because it had no complete answer.
	Aborted bool
	// EndedBy is who ended a request without a complete answer or a refusal, empty for all others.
	EndedBy Ender
	// RetryRefused says why the scheduler refused to retry a request that was sent before,
	// empty if it did not. Reason then says why the last attempt failed.
	RetryRefused string
	// GaveUp reports whether the last unsuccessful attempt that may have run was ended by
	// this instance, because its target sent nothing for too long.
	GaveUp bool
	// Silence is the last silence for which a replacement was placed, or sought if none was placed.
	Silence Silence
	// NoRetry says why no attempt followed the last one although the caller has no complete
	// response, empty if the scheduler was asked for another.
	NoRetry string
	// Refusal is the scheduler's refusal that ended the request, nil if there was none.
	Refusal *scheduler.Refusal
	// Cause is the underlying error of Reason, empty if there is none.
	Cause  string
	Target fleet.TargetID
	// Cached is the estimated number of prompt tokens in the target's cache. Rank is the
	// target's position in the rendezvous-hashing order for the shared start of the prompt.
	Cached, Rank int
	// Fetch is what the target was to fetch from another one, nil for nothing.
	Fetch *scheduler.Fetch
	// Backup is the copy of the first run on another target, nil for none. Continuation says what became of
	// the run after it broke, empty if it has no copy or did not break.
	Backup       *scheduler.Backup
	Continuation Continuation
	// Version is the version of the configuration, 0 if there was none.
	Version uint64
	// Waited is the time from arrival to the first send, ExpectedWait the expected wait at
	// the target, FirstByte the time from arrival to the response's headers, Total to its
	// end.
	Waited, ExpectedWait, FirstByte, Total time.Duration
	// LoadReported is set if the choice of the last target rested on its own report of its load. LoadAge is the age
	// of that report, Pace the estimated pace as a factor.
	LoadReported bool
	LoadAge      time.Duration
	Pace         float64
	// RetryAfter is the retry delay sent to the caller, 0 for none.
	RetryAfter time.Duration
	// Sends counts the unsuccessful attempts that reached a target, Runs those of them that
	// may have run, Events the events passed on.
	Sends, Runs, Events int
	// Validity is what the last attempt that was sent rested on.
	Validity scheduler.Validity
}

// Silence describes a target that sent nothing for too long, and its replacement.
type Silence struct {
	// Target is the silent target, empty if there was none.
	Target fleet.TargetID
	// From is the time from the request's arrival to the start of the silence, Asked that to
	// the last request for a replacement.
	From, Asked time.Duration
	// Replacement is the target that was to take over, empty if none was free.
	Replacement fleet.TargetID
	Result      ReplacementResult
	// Took is the time from Asked to Result, 0 if the result was not known when the attempt ended.
	Took time.Duration
}

// ReplacementResult is what became of the replacement of a silent target.
type ReplacementResult string

// Results of a replacement.
const (
	// replacementNotPlaced: no other target could take the request.
	replacementNotPlaced ReplacementResult = "not_placed"
	// replacementUnreachable: no connection to it could be opened.
	replacementUnreachable ReplacementResult = "unreachable"
	// replacementLeft: it had to leave, or the caller left, before the request was sent.
	replacementLeft ReplacementResult = "left"
	// replacementRefused: it did not run the request.
	replacementRefused ReplacementResult = "refused"
	// replacementBroken: its run broke off before it had delivered.
	replacementBroken ReplacementResult = "broken"
	// replacementUnsound: its response could not be passed on.
	replacementUnsound ReplacementResult = "unsound"
	// replacementFailed: it answered with an error of its own.
	replacementFailed ReplacementResult = "failed"
	// replacementUnneeded: the silent run delivered or the request ended before.
	replacementUnneeded ReplacementResult = "unneeded"
	// replacementTookOver: it delivered first, and the silent run was ended.
	replacementTookOver ReplacementResult = "took_over"
	// replacementFollowed: the silent run ended by itself, and the request went on with it.
	replacementFollowed ReplacementResult = "followed"
)

// Reasons for which no attempt follows an unsuccessful one.
const (
	// noRetryTargets: the request may run on no further target.
	noRetryTargets = "targets_used"
	// noRetryPosition: no other run can continue the response from where it is.
	noRetryPosition = "position_unknown"
	// noRetrySends: maxSends attempts reached a target.
	noRetrySends = "sends_used"
	// noRetryEnded: the caller left or the request's time is up.
	noRetryEnded = "request_ended"
)

// recordRefusal records that the scheduler refused the request or its retry.
func (x *exchange) recordRefusal(refusal *scheduler.Refusal) {
	x.result.Refusal = refusal
	if x.sends > 0 {
		x.result.RetryRefused = string(refusal.Reason)
		return
	}
	x.result.Reason, x.result.Waited = string(refusal.Reason), refusal.Waited
}

// isSilence reports whether an attempt failed with err because its target sent nothing for
// too long, and not because the target or the connection failed.
func isSilence(err error) bool {
	return errors.Is(err, errTargetSilent) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Reasons for aborting the connection of a caller that has left or sends no more.
const (
	reasonCallerGone     = string(scheduler.ReasonCallerGone)
	reasonBodyIncomplete = "body_incomplete"
)

// report completes the request's report, passes it to Observe and logs it. It must be
// deferred.
func (x *exchange) report() {
	abort := recover()
	if abort != nil {
		x.result.Aborted = x.r.Context().Err() == nil && x.result.Reason != reasonCallerGone && x.result.Reason != reasonBodyIncomplete
	}
	o := &x.h.options
	r := &x.result
	r.Total = o.Now().Sub(x.arrived)
	r.Sends, r.Runs = x.sends, x.runs
	x.sentMu.Lock()
	r.Validity = x.validity
	x.sentMu.Unlock()
	if o.Observe != nil {
		o.Observe(*r)
	}
	line := o.Log.Info().Str("event", "request").Str("id", x.call.ID).Int("status", r.Status)
	if r.OwnAnswer {
		line = line.Bool("own", true)
	}
	if r.Aborted {
		line = line.Bool("aborted", true)
	}
	if r.Reason != "" {
		line = line.Str("reason", r.Reason)
	}
	if r.Cause != "" {
		line = line.Str("cause", r.Cause)
	}
	if r.EndedBy != "" {
		line = line.Str("ended_by", string(r.EndedBy))
	}
	if r.EndedBy != "" && x.route != nil {
		line = line.Int64("route_timeout_ms", x.route.Timeout.Milliseconds())
	}
	if r.RetryRefused != "" {
		line = line.Str("retry_refused", r.RetryRefused).Int64("retry_waited_ms", r.Refusal.Waited.Milliseconds())
	}
	if r.RetryRefused != "" && r.GaveUp {
		line = line.Bool("gave_up", true)
	}
	if r.NoRetry != "" {
		line = line.Str("no_retry", r.NoRetry)
	}
	if s := &r.Silence; s.Target != "" {
		line = line.Str("silent_target", string(s.Target)).Int64("silent_from_ms", s.From.Milliseconds()).
			Int64("silent_asked_ms", s.Asked.Milliseconds()).Str("replacement", string(s.Replacement)).
			Str("replacement_result", string(s.Result)).Int64("replacement_ms", s.Took.Milliseconds())
	}
	if r.Validity.Usable {
		line = line.Int64("listing_age_ms", r.Validity.ListingAge.Milliseconds())
	}
	if r.Validity.Absent > 0 {
		line = line.Int64("target_absent_ms", r.Validity.Absent.Milliseconds())
	}
	if r.RetryAfter > 0 {
		line = line.Int64("retry_after_ms", r.RetryAfter.Milliseconds())
	}
	if r.Refusal != nil {
		line = appendInputs(line, r.Refusal)
		if r.Refusal.Reason == scheduler.ReasonCrashesTargets {
			line = x.appendSuspect(line, &r.Refusal.Inputs.Suspect)
		}
	}
	if x.route != nil {
		line = line.Str("route", x.route.Name)
	}
	if f := r.Fetch; f != nil {
		line = line.Str("fetch_source", string(f.Source.ID)).Int("fetch_tokens", f.Tokens).Int64("fetch_belief_age_ms", f.Age.Milliseconds())
	}
	line = appendBackup(line, r)
	if x.customer != "" {
		line = line.Str("customer", string(x.customer))
	}
	if r.LoadReported {
		line = line.Float64("pace", r.Pace).Int64("load_age_ms", r.LoadAge.Milliseconds())
	}
	line.Str("target", string(r.Target)).Uint64("version", r.Version).
		Int64("budget_ms", x.call.Budget.Milliseconds()).Int("prompt", x.call.Prompt).Int("output", x.call.expectedOutput()).
		Int("cached", r.Cached).Int("rank", r.Rank).
		Int64("waited_ms", r.Waited.Milliseconds()).Int64("expected_ms", r.ExpectedWait.Milliseconds()).
		Int64("first_ms", r.FirstByte.Milliseconds()).Int64("total_ms", r.Total.Milliseconds()).
		Int("sends", r.Sends).Int("runs", r.Runs).Int("events", r.Events).Msg("")
	if abort != nil {
		panic(abort)
	}
}

// appendSuspect adds the trait for which the request is refused to a log line.
func (x *exchange) appendSuspect(line *zerolog.Event, j *quarantine.Judgement) *zerolog.Event {
	if j.Part >= 0 && j.Part < len(x.call.Parts) {
		line = line.Str("suspect_part", x.call.Parts[j.Part].ID)
	}
	return line.Str("suspect_trait", quarantine.FormatTrait(j.Trait)).Int("suspect_crashes", j.Crashes).
		Int64("trial_in_ms", j.TrialIn.Milliseconds())
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 8

// logBrokenRun logs a run whose connection to the target broke, with the shared parts of its
// prompt. down says that the target is known to be down, events is the number of events that
// the run contributed. err may be nil.
func (x *exchange) logBrokenRun(p *scheduler.Placement, down bool, events int, err error) {
	parts := zerolog.Arr()
	shared := x.call.Parts[:max(len(x.call.Parts)-1, 0)]
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		parts = parts.Str(part.ID)
	}
	x.h.options.Log.Info().Str("event", "run_broken").Str("id", x.call.ID).Str("route", x.route.Name).
		Str("customer", string(x.customer)).Str("target", string(p.Target.ID)).Int64("target_start", p.Target.StartMillis).
		Bool("target_down", down).Int("events", events).Array("parts", parts).Int("shared_parts", len(shared)).Err(err).Msg("")
}

// appendInputs adds the inputs of a refusal to a log line, without those that do not apply.
func appendInputs(line *zerolog.Event, refusal *scheduler.Refusal) *zerolog.Event {
	in := &refusal.Inputs
	if in.Metered {
		line = line.Int64("used", int64(in.Used)).Int("reports", in.Reports).Int64("reports_age_ms", in.OldestReport.Milliseconds())
	}
	if in.Limited {
		line = line.Int64("nominal", int64(in.Nominal)).Int64("effective", int64(in.Effective))
		if in.Lead > 0 {
			line = line.Int64("lead", int64(in.Lead))
		}
	}
	if in.Decisions > 0 {
		line = line.Int("decisions", in.Decisions).Int64("decided_ago_ms", in.LastDecision.Milliseconds())
	}
	if in.Preferred != "" {
		line = line.Str("preferred", string(in.Preferred)).Int64("preferred_wait_ms", in.PreferredWait.Milliseconds()).
			Int64("wait_limit_ms", in.WaitLimit.Milliseconds()).Int64("shortest_wait_ms", in.ShortestWait.Milliseconds()).
			Int("slot_limit", in.SlotLimit).
			Int("preferred_running", in.PreferredRunning).Int("preferred_slots", in.PreferredSlots)
	}
	if in.LateTargets > 0 {
		line = line.Int("late_targets", in.LateTargets)
	}
	if in.HeldTargets > 0 {
		line = line.Int("held_targets", in.HeldTargets).Int64("held_for_ms", in.HeldFor.Milliseconds())
	}
	if refusal.Reason == scheduler.ReasonInstanceBusy {
		line = line.Int64("processor_delay_ms", in.ProcessorDelay.Milliseconds())
	}
	if refusal.Reason == scheduler.ReasonRetryBudget {
		line = line.Int64("retries", int64(in.Retries)).Int64("retries_allowed", int64(in.RetriesAllowed))
	}
	return line
}
