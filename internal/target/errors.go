package target

import (
	"fmt"
	"time"
)

// Kind says what is known about a request that did not end well.
type Kind int

// The kinds of failure.
const (
	// NotRun: no byte of the request reached the target, or the target itself said
	// that it did not run the request.
	NotRun Kind = iota + 1
	// Failed: the target said that it ran the request and failed.
	Failed
	// Unknown: the request may have run.
	Unknown
)

// String returns the name of the kind as targets write it.
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

// Reasons that this package gives; targets give others, see package enginewire.
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

// Error is the failure of every method of Client and Stream.
type Error struct {
	Kind Kind
	// Reason is a short machine-readable cause.
	Reason string
	// RetryAfter is how long the target asks to be left alone, 0 if it does not.
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
	// Sent is the refused number, Highest the largest that the target has seen.
	Sent, Highest uint64
}

// Error returns both numbers.
func (e *FenceError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Sent, e.Highest)
}
