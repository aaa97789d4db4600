package target

import (
	"fmt"
	"time"
)

// Kind says whether a failed request was executed, as far as this is known.
type Kind int

// The kinds of failure.
const (
	// NotRun: no byte of the request reached the target, or the target itself
	// reported that it did not run the request.
	NotRun Kind = iota + 1
	// Failed: the target reported that it ran the request and failed.
	Failed
	// Unknown: the request may have run.
	Unknown
)

// String returns the name of the kind. For NotRun and Failed it is the value of
// enginewire.HeaderOutcome.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "not_run"
	case Failed:
		return "failed"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Values of Error.Reason that this package sets. For those that targets send, see
// package enginewire.
const (
	ReasonDial             = "dial"
	ReasonUnsent           = "unsent"
	ReasonConnectionBroken = "connection_broken"
	ReasonConnectionSilent = "connection_silent"
	ReasonCanceled         = "canceled"
	ReasonDeadline         = "deadline"
	ReasonMalformedAnswer  = "malformed_answer"
	ReasonChecksum         = "checksum"
	ReasonAnswerTooLarge   = "answer_too_large"
	ReasonAnswerCut        = "answer_cut"
	ReasonUnexpectedStatus = "unexpected_status"
	ReasonInvalidRequest   = "invalid_request"
)

// Error is the error type of all methods of Client and Stream.
type Error struct {
	Kind Kind
	// Reason is a short machine-readable cause.
	Reason string
	// RetryAfter is how long the target asks callers to wait before the next
	// request; 0 if it does not ask.
	RetryAfter time.Duration
	err        error
}

// Error returns the kind, the reason and the cause.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("target: %s: %s", e.Kind, e.Reason)
	}
	return fmt.Sprintf("target: %s: %s: %v", e.Kind, e.Reason, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// FenceError is the cause of an Error when the target refused an order with an
// old fencing number.
type FenceError struct {
	// Sent is the refused number, Highest the highest that the target has seen.
	Sent, Highest uint64
}

// Error returns a message with both numbers.
func (e *FenceError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Sent, e.Highest)
}
