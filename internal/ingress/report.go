package ingress

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Report is what became of one request, for the log and the metrics.
type Report struct {
	// Status is what the caller got, 0 if its connection was closed without a head.
	Status int
	// OwnAnswer says that the answer is this instance's, not a target's.
	OwnAnswer bool
	Reason    string
	// Cause is the error below the reason, empty if there is none.
	Cause  string
	Target fleet.TargetID
	// Cached is the number of prompt tokens that the target was believed to hold, Rank
	// its position in the order of the request's home.
	Cached, Rank int
	// Version is the configuration's.
	Version uint64
	// Waited is the time before the first send, ExpectedWait the wait that was expected at
	// the target, FirstByte the time to the answer's head, Total to its end.
	Waited, ExpectedWait, FirstByte, Total time.Duration
	RetryAfter                             time.Duration
	Sends, Runs, Events                    int
}

// report writes the request's log line.
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
