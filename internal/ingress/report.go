package ingress

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
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
	// Cause is the underlying error of Reason, empty if there is none.
	Cause  string
	Target fleet.TargetID
	// Cached is the estimated number of prompt tokens in the target's cache. Rank is the
	// target's position in the rendezvous-hashing order for the shared start of the prompt.
	Cached, Rank int
	// Version is the version of the configuration, 0 if there was none.
	Version uint64
	// Waited is the time from arrival to the first send, ExpectedWait the expected wait at
	// the target, FirstByte the time from arrival to the response's headers, Total to its
	// end.
	Waited, ExpectedWait, FirstByte, Total time.Duration
	// RetryAfter is the retry delay sent to the caller, 0 for none.
	RetryAfter time.Duration
	// Sends counts the unsuccessful attempts that reached a target, Runs those of them that
	// may have run, Events the events passed on.
	Sends, Runs, Events int
}

// report completes the request's report, passes it to Observe and logs it.
func (x *exchange) report() {
	o := &x.h.options
	r := &x.result
	r.Total = o.Now().Sub(x.arrived)
	r.Sends, r.Runs = x.sends, x.runs
	if o.Observe != nil {
		o.Observe(*r)
	}
	line := o.Log.Info().Str("event", "request").Str("id", x.call.ID).Int("status", r.Status)
	if r.OwnAnswer {
		line = line.Bool("own", true)
	}
	if r.Reason != "" {
		line = line.Str("reason", r.Reason)
	}
	if r.Cause != "" {
		line = line.Str("cause", r.Cause)
	}
	if x.route != nil {
		line = line.Str("route", x.route.Name)
	}
	if x.customer != "" {
		line = line.Str("customer", string(x.customer))
	}
	line.Str("target", string(r.Target)).Uint64("version", r.Version).
		Int64("budget_ms", x.call.Budget.Milliseconds()).Int("prompt", x.call.Prompt).Int("output", x.call.expectedOutput()).
		Int("cached", r.Cached).Int("rank", r.Rank).
		Int64("waited_ms", r.Waited.Milliseconds()).Int64("expected_ms", r.ExpectedWait.Milliseconds()).
		Int64("first_ms", r.FirstByte.Milliseconds()).Int64("total_ms", r.Total.Milliseconds()).
		Int("sends", r.Sends).Int("runs", r.Runs).Int("events", r.Events).Msg("")
}
