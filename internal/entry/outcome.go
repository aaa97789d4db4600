package entry

import (
	"fmt"
	"time"

	"connectrpc.com/connect"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// Kind says whether a request without a complete answer has run.
type Kind int

// Kinds of outcome.
const (
	// NotRun means that no byte of the request reached a target.
	NotRun Kind = iota + 1
	// Failed means that a target ran the request and failed.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// Reasons sent to callers in Outcome.reason.
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

// OutcomeError is the error type of this package. Every failure that is reported to a
// caller is an OutcomeError.
type OutcomeError struct {
	Kind   Kind
	Reason string
	// RetryAfter is the time to wait before a retry; 0 means do not retry.
	RetryAfter time.Duration
	// Address is the address of another instance that callers can use, if one is
	// known.
	Address string
	Err     error
}

// Error returns kind, reason and the wrapped error, if any.
func (e *OutcomeError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Kind, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the wrapped error, which may be nil.
func (e *OutcomeError) Unwrap() error { return e.Err }

// String returns the text used in logs and error messages.
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

// refuse returns the outcome of a request that did not run.
func refuse(reason string, retryAfter time.Duration) *OutcomeError {
	return &OutcomeError{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// connectError converts an outcome to a Connect error with an Outcome message as its
// detail.
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

// connectCode returns the status code that is closest to the reason, or else to the
// kind.
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
