package entry

import (
	"fmt"
	"time"

	"connectrpc.com/connect"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// Kind says what is known about a request that got no whole answer.
type Kind int

// The kinds of outcome.
const (
	// NotRun means that no byte of the request reached a target.
	NotRun Kind = iota + 1
	// Failed means that a target ran the request and failed.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// Reasons given to callers in Outcome.reason.
const (
	ReasonQueueFull           = "queue_full"
	ReasonInstanceMemory      = "instance_memory"
	ReasonDraining            = "draining"
	ReasonStarting            = "starting"
	ReasonCutOff              = "cut_off"
	ReasonDeadline            = "deadline"
	ReasonCancelled           = "cancelled"
	ReasonNoTarget            = "no_target"
	ReasonUnknownWorkload     = "unknown_workload"
	ReasonTooLarge            = "too_large"
	ReasonSlowBody            = "slow_body"
	ReasonBadRequest          = "bad_request"
	ReasonCredentials         = "credentials"
	ReasonCallIDRequired      = "call_id_required"
	ReasonCallIDOtherInstance = "call_id_of_another_instance"
	ReasonCallIDNotHeld       = "call_id_not_held"
	ReasonCallIDReused        = "call_id_reused"
	ReasonTargetFailed        = "target_failed"
	ReasonConnectionBroken    = "connection_broken"
	ReasonCrashesTargets      = "crashes_targets"
	ReasonAnswerGone          = "answer_gone"
	ReasonAnswerDiverged      = "answer_diverged"
)

// OutcomeError is the entry's error: every failure that a caller sees is one.
type OutcomeError struct {
	Kind   Kind
	Reason string
	// RetryAfter is when to try again; 0 means do not retry.
	RetryAfter time.Duration
	// Address is another instance's callers' address, if one is known.
	Address string
	Err     error
}

// Error describes the outcome in one line.
func (e *OutcomeError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Kind, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error from the layer below.
func (e *OutcomeError) Unwrap() error { return e.Err }

// String returns the words used in logs and error texts.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "not run"
	case Failed:
		return "ran and failed"
	default:
		return "outcome unknown"
	}
}

// refuse builds an outcome for a request that did not run.
func refuse(reason string, retryAfter time.Duration) *OutcomeError {
	return &OutcomeError{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// connectError turns an outcome into the callers' protocol, with the typed detail.
func connectError(e *OutcomeError) error {
	err := connect.NewError(connectCode(e), e)
	detail, detailErr := connect.NewErrorDetail(&medlarwindv1.Outcome{
		Kind:         protoKind(e.Kind),
		Reason:       e.Reason,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Address:      e.Address,
	})
	if detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

func protoKind(k Kind) medlarwindv1.Outcome_Kind {
	switch k {
	case NotRun:
		return medlarwindv1.Outcome_KIND_NOT_RUN
	case Failed:
		return medlarwindv1.Outcome_KIND_FAILED
	default:
		return medlarwindv1.Outcome_KIND_UNKNOWN
	}
}

// connectCode picks the status code nearest to the reason.
func connectCode(e *OutcomeError) connect.Code {
	switch e.Reason {
	case ReasonCredentials:
		return connect.CodeUnauthenticated
	case ReasonQueueFull, ReasonInstanceMemory:
		return connect.CodeResourceExhausted
	case ReasonBadRequest, ReasonTooLarge, ReasonUnknownWorkload, ReasonCallIDReused:
		return connect.CodeInvalidArgument
	case ReasonCallIDRequired:
		return connect.CodeFailedPrecondition
	case ReasonCancelled:
		return connect.CodeCanceled
	case ReasonDeadline, ReasonSlowBody:
		return connect.CodeDeadlineExceeded
	case ReasonAnswerGone:
		return connect.CodeNotFound
	}
	switch e.Kind {
	case NotRun:
		return connect.CodeUnavailable
	case Failed:
		return connect.CodeInternal
	default:
		return connect.CodeUnknown
	}
}
