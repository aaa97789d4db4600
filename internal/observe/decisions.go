package observe

import (
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// DecisionLog writes the decision log: one JSON line for each decision, with the
// member "event" naming its kind. The fields are described one by one in
// docs/operators/log.md. It is safe for concurrent use.
type DecisionLog struct {
	log zerolog.Logger
}

// NewDecisionLog returns a decision log that writes to log. Time stamps and the
// instance's name are the logger's own fields.
func NewDecisionLog(log zerolog.Logger) *DecisionLog {
	return &DecisionLog{log: log}
}

// Reason says why a decision was made, in a short fixed word. Reasons of refusals and
// of ends are those of package entry.
type Reason string

// Reasons of grants, starts and retries.
const (
	ReasonLeastService  Reason = "least_service"
	ReasonSuspectAlone  Reason = "suspect_alone"
	ReasonOldest        Reason = "oldest"
	ReasonPermitExpired Reason = "permit_expired"
)

// Outcome says what became of a request.
type Outcome string

// The outcomes. OutcomeNotRun is said only of a request that certainly did not run.
const (
	OutcomeOK      Outcome = "ok"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeFailed  Outcome = "failed"
	OutcomeUnknown Outcome = "unknown"
	OutcomeCut     Outcome = "cut"
)

// Request names the request that a decision is about.
type Request struct {
	ID       string
	Customer fleet.CustomerID
	Workload fleet.Workload
	// Attempt counts from 1.
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

// Alternative is a candidate that a decision passed over, with the figures that
// were compared. Empty fields are left out.
type Alternative struct {
	Customer fleet.CustomerID
	Target   fleet.TargetID
	// VirtualTime is in cost units for one share.
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
