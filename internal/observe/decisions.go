package observe

import (
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// DecisionLog writes the decision log: one JSON line for each decision, with its kind
// in the field "event". docs/operators/log.md describes every field. It is safe for
// concurrent use.
type DecisionLog struct {
	log zerolog.Logger
}

// NewDecisionLog returns a decision log that writes to log. The logger itself has to
// add the time stamp and the name of the instance.
func NewDecisionLog(log zerolog.Logger) *DecisionLog {
	return &DecisionLog{log: log}
}

// Reason is a short fixed code for why a decision was made. Package entry defines the
// reasons for refusing and for ending a request.
type Reason string

// Reasons for grants, starts and retries.
const (
	ReasonLeastService  Reason = "least_service"
	ReasonSuspectAlone  Reason = "suspect_alone"
	ReasonOldest        Reason = "oldest"
	ReasonPermitExpired Reason = "permit_expired"
)

// Outcome is the result of a request.
type Outcome string

// Outcomes of requests. OutcomeNotRun is used only if the request certainly did not
// run.
const (
	OutcomeOK      Outcome = "ok"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeFailed  Outcome = "failed"
	OutcomeUnknown Outcome = "unknown"
	OutcomeCut     Outcome = "cut"
)

// Request identifies the request that a decision is about.
type Request struct {
	ID       string
	Customer fleet.CustomerID
	Workload fleet.Workload
	// Attempt is the number of the attempt, starting at 1.
	Attempt int
}

func (r *Request) append(e *zerolog.Event) *zerolog.Event {
	e.Str("request", r.ID).Str("customer", string(r.Customer))
	return appendWorkload(e, r.Workload).Int("attempt", r.Attempt)
}

func appendWorkload(e *zerolog.Event, w fleet.Workload) *zerolog.Event {
	if w.Service != "" {
		return e.Str("service", string(w.Service))
	}
	return e.Str("model", string(w.Model))
}

func appendWait(e *zerolog.Event, wait time.Duration) *zerolog.Event {
	return e.Int64("wait_ms", wait.Milliseconds())
}

// Alternative is a customer or target that was considered but not chosen, with the
// values that were compared. The values of an empty Customer or Target are omitted
// from the log.
type Alternative struct {
	Customer fleet.CustomerID
	Target   fleet.TargetID
	// VirtualTime is in cost units per share.
	VirtualTime fleet.Cost
	Running     int
	Limit       int
}

func appendAlternatives(e *zerolog.Event, alternatives []Alternative) *zerolog.Event {
	if len(alternatives) == 0 {
		return e
	}
	array := zerolog.Arr()
	for i := range alternatives {
		array.Dict(alternatives[i].dict())
	}
	return e.Array("alternatives", array)
}

func (a *Alternative) dict() *zerolog.Event {
	d := zerolog.Dict()
	if a.Customer != "" {
		d.Str("customer", string(a.Customer)).Int64("virtual_time", int64(a.VirtualTime))
	}
	if a.Target != "" {
		d.Str("target", string(a.Target)).Int("running", a.Running).Int("limit", a.Limit)
	}
	return d
}

func (d *DecisionLog) event(name string) *zerolog.Event {
	return d.log.Info().Str("event", name)
}
