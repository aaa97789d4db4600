package observe

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Admitted says that an entry queued a request.
type Admitted struct {
	Request
	// Queued is the customer's queue length, the request included.
	Queued int
	// Estimate is the expected cost.
	Estimate fleet.Cost
}

// Admitted logs an Admitted.
func (d *DecisionLog) Admitted(a *Admitted) {
	e := a.append(d.event("admitted"))
	e.Int("queued", a.Queued)
	e.Int64("estimate", int64(a.Estimate)).Send()
}

// Refused says that a request was refused.
type Refused struct {
	Request
	Reason  Reason
	Outcome Outcome
	// Wait is how long the request was queued, 0 if it was not.
	Wait time.Duration
	// RetryAfter is what the caller was told, 0 for nothing.
	RetryAfter time.Duration
}

// Refused logs a Refused.
func (d *DecisionLog) Refused(r *Refused) {
	e := r.append(d.event("refused"))
	e.Str("reason", string(r.Reason)).Str("outcome", string(r.Outcome))
	appendWait(e, r.Wait)
	e.Int64("retry_after_ms", r.RetryAfter.Milliseconds()).Send()
}

// Granted says that an owner chose the next customer for a target.
type Granted struct {
	Customer fleet.CustomerID
	Workload fleet.Workload
	Target   fleet.TargetID
	Entry    fleet.InstanceID
	Owner    fleet.InstanceID
	// Grant is the grant's sequence number.
	Grant  uint64
	Reason Reason
	// VirtualTime is the customer's, in cost units for one share.
	VirtualTime fleet.Cost
	// Wait is that of the customer's oldest request, as the entry told it.
	Wait time.Duration
	// Running and Limit are the target's, this grant included.
	Running     int
	Limit       int
	CrossRegion bool
	// Alternatives are the next candidates.
	Alternatives []Alternative
}

// Granted logs a Granted.
func (d *DecisionLog) Granted(g *Granted) {
	e := d.event("granted").Str("customer", string(g.Customer))
	appendWorkload(e, g.Workload)
	e.Str("target", string(g.Target))
	e.Str("entry", string(g.Entry)).Str("owner", string(g.Owner)).Uint64("grant", g.Grant)
	e.Str("reason", string(g.Reason))
	e.Int64("virtual_time", int64(g.VirtualTime))
	appendWait(e, g.Wait)
	e.Int("running", g.Running).Int("limit", g.Limit)
	e.Bool("cross_region", g.CrossRegion)
	appendAlternatives(e, g.Alternatives).Send()
}

// Started says that an entry used a grant for one of the customer's requests.
type Started struct {
	Request
	Target fleet.TargetID
	Entry  fleet.InstanceID
	Owner  fleet.InstanceID
	Grant  uint64
	Reason Reason
	// Wait is the time from admission to now.
	Wait time.Duration
	// Queued is how many requests of the customer could have used the grant.
	Queued      int
	CrossRegion bool
}

// Started logs a Started.
func (d *DecisionLog) Started(s *Started) {
	e := s.append(d.event("started"))
	e.Str("target", string(s.Target))
	e.Str("entry", string(s.Entry)).Str("owner", string(s.Owner)).Uint64("grant", s.Grant)
	e.Str("reason", string(s.Reason))
	appendWait(e, s.Wait)
	e.Int("queued", s.Queued)
	e.Bool("cross_region", s.CrossRegion).Send()
}

// Finished says that a request came to its end.
type Finished struct {
	Request
	Target  fleet.TargetID
	Outcome Outcome
	Reason  Reason
	// Duration is from the start; FirstToken is 0 if none came.
	Duration         time.Duration
	TimeToFirstToken time.Duration
	InputTokens      int64
	OutputTokens     int64
	Cost             fleet.Cost
	// Bytes is the length of the answer.
	Bytes int64
}

// Finished logs a Finished.
func (d *DecisionLog) Finished(f *Finished) {
	e := f.append(d.event("finished"))
	e.Str("target", string(f.Target))
	e.Str("outcome", string(f.Outcome)).Str("reason", string(f.Reason))
	e.Int64("duration_ms", f.Duration.Milliseconds())
	e.Int64("first_token_ms", f.TimeToFirstToken.Milliseconds())
	e.Int64("input_tokens", f.InputTokens).Int64("output_tokens", f.OutputTokens)
	e.Int64("cost", int64(f.Cost)).Int64("bytes", f.Bytes).Send()
}

// Retried says that an attempt ended without an answer and another may follow.
type Retried struct {
	Request
	Target fleet.TargetID
	Reason Reason
}

// Retried logs a Retried.
func (d *DecisionLog) Retried(r *Retried) {
	e := r.append(d.event("retried"))
	e.Str("target", string(r.Target)).Str("reason", string(r.Reason)).Send()
}

// Unknown says that a caller was told that the outcome is unknown.
type Unknown struct {
	Request
	Target fleet.TargetID
	Reason Reason
}

// Unknown logs an Unknown.
func (d *DecisionLog) Unknown(u *Unknown) {
	e := u.append(d.event("unknown"))
	e.Str("target", string(u.Target)).Str("reason", string(u.Reason)).Send()
}
