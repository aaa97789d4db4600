package observe

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Admitted records that an entry instance queued a request.
type Admitted struct {
	Request
	// Queued is the length of the entry instance's queue, including this request.
	Queued int
	// Estimate is the expected cost of the request.
	Estimate fleet.Cost
}

// Admitted logs that a request was queued.
func (d *DecisionLog) Admitted(a *Admitted) {
	e := a.append(d.event("admitted"))
	e.Int("queued", a.Queued)
	e.Int64("estimate", int64(a.Estimate)).Send()
}

// Refused records that a request was refused.
type Refused struct {
	Request
	Reason  Reason
	Outcome Outcome
	// Wait is the time that the request spent in the queue, 0 if it was not queued.
	Wait time.Duration
	// RetryAfter is the retry delay sent to the caller, 0 if none was sent.
	RetryAfter time.Duration
}

// Refused logs that a request was refused.
func (d *DecisionLog) Refused(r *Refused) {
	e := r.append(d.event("refused"))
	e.Str("reason", string(r.Reason)).Str("outcome", string(r.Outcome))
	appendWait(e, r.Wait)
	e.Int64("retry_after_ms", r.RetryAfter.Milliseconds()).Send()
}

// Granted records that an owner chose the next customer for a target.
type Granted struct {
	Customer fleet.CustomerID
	Workload fleet.Workload
	Target   fleet.TargetID
	Entry    fleet.InstanceID
	Owner    fleet.InstanceID
	// Grant is the grant's sequence number.
	Grant  uint64
	Reason Reason
	// VirtualTime is the customer's virtual time, in cost units per share.
	VirtualTime fleet.Cost
	// Wait is the waiting time of the customer's oldest request, as reported by the
	// entry instance.
	Wait time.Duration
	// Running is the number of requests accounted to the target, including this
	// grant; Limit is the target's limit.
	Running     int
	Limit       int
	CrossRegion bool
	// Alternatives are the next best candidates.
	Alternatives []Alternative
}

// Granted logs that a customer got a grant.
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

// Started records that an entry instance used a grant for one of the customer's requests.
type Started struct {
	Request
	Target fleet.TargetID
	Entry  fleet.InstanceID
	Owner  fleet.InstanceID
	Grant  uint64
	Reason Reason
	// Wait is the time from admission to the start.
	Wait time.Duration
	// Queued is the number of requests left in the entry instance's queue.
	Queued      int
	CrossRegion bool
}

// Started logs that a request started.
func (d *DecisionLog) Started(s *Started) {
	e := s.append(d.event("started"))
	e.Str("target", string(s.Target))
	e.Str("entry", string(s.Entry)).Str("owner", string(s.Owner)).Uint64("grant", s.Grant)
	e.Str("reason", string(s.Reason))
	appendWait(e, s.Wait)
	e.Int("queued", s.Queued)
	e.Bool("cross_region", s.CrossRegion).Send()
}

// Finished records that a request ended.
type Finished struct {
	Request
	Target  fleet.TargetID
	Outcome Outcome
	Reason  Reason
	// Duration and TimeToFirstToken count from the start of the request;
	// TimeToFirstToken is 0 if no token arrived.
	Duration         time.Duration
	TimeToFirstToken time.Duration
	InputTokens      int64
	OutputTokens     int64
	Cost             fleet.Cost
	// Bytes is the length of the answer in bytes.
	Bytes int64
}

// Finished logs that a request ended.
func (d *DecisionLog) Finished(f *Finished) {
	e := f.append(d.event("finished"))
	e.Str("target", string(f.Target))
	e.Str("outcome", string(f.Outcome)).Str("reason", string(f.Reason))
	e.Int64("duration_ms", f.Duration.Milliseconds())
	e.Int64("first_token_ms", f.TimeToFirstToken.Milliseconds())
	e.Int64("input_tokens", f.InputTokens).Int64("output_tokens", f.OutputTokens)
	e.Int64("cost", int64(f.Cost)).Int64("bytes", f.Bytes).Send()
}

// Retried records that an attempt ended without an answer and may be followed by
// another one.
type Retried struct {
	Request
	Target fleet.TargetID
	Reason Reason
}

// Retried logs an attempt that may be followed by another one.
func (d *DecisionLog) Retried(r *Retried) {
	e := r.append(d.event("retried"))
	e.Str("target", string(r.Target)).Str("reason", string(r.Reason)).Send()
}

// Unknown records that the caller got an error saying that the outcome is unknown.
type Unknown struct {
	Request
	Target fleet.TargetID
	Reason Reason
}

// Unknown logs that the outcome of a request is unknown.
func (d *DecisionLog) Unknown(u *Unknown) {
	e := u.append(d.event("unknown"))
	e.Str("target", string(u.Target)).Str("reason", string(u.Reason)).Send()
}
