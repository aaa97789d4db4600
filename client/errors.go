package client

import (
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// Kind is what is known about the outcome of a request that got no complete answer.
type Kind int

// Kinds of outcome.
const (
	// NotRun means that the request did not run; it may be sent again.
	NotRun Kind = iota + 1
	// Failed means that a target ran the request and failed.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// String returns the text of k in error messages.
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

// Values of RequestError.Reason set by this package; instances return others.
const (
	reasonDial       = "dial"
	reasonConnection = "connection"
	reasonLocate     = "locate"
)

// RequestError describes why a request got no complete answer.
type RequestError struct {
	Kind   Kind
	Reason string
	// RetryAfter is the time after which to retry; 0 means immediately, and a negative
	// value that the request must not be retried.
	RetryAfter time.Duration
	Err        error

	// noResponse means that the connection failed before any response arrived.
	noResponse bool
}

// Error describes the failure in one line.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Kind, e.Reason, e.Err)
}

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error { return e.Err }

// requestError converts a Connect error into a *RequestError. Without an outcome detail the
// kind is Unknown, except that a failed dial sent nothing and is therefore NotRun. A nil
// err, ErrIncomplete and ErrAnswerTooLong are returned as they are.
func requestError(err error) error {
	if err == nil || isUnsound(err) {
		return err
	}
	if outcome := outcomeDetail(err); outcome != nil {
		return &RequestError{
			Kind:       kindOf(outcome.Kind),
			Reason:     outcome.Reason,
			RetryAfter: time.Duration(outcome.RetryAfterMs) * time.Millisecond,
			Err:        err,
		}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &RequestError{Kind: NotRun, Reason: reasonDial, Err: err}
	}
	return &RequestError{Kind: Unknown, Reason: reasonConnection, Err: err}
}

// isUnsound reports whether err describes an answer rather than a failure to get one.
func isUnsound(err error) bool {
	return errors.Is(err, ErrIncomplete) || errors.Is(err, ErrAnswerTooLong)
}

// connectionBroken reports whether the connection failed rather than the request.
func connectionBroken(err error) bool {
	return outcomeDetail(err) == nil && !isUnsound(err)
}

// outcomeDetail returns the outcome that an instance attached to err, or nil.
func outcomeDetail(err error) *medlarwindv1.Outcome {
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return nil
	}
	for _, detail := range failed.Details() {
		message, err := detail.Value()
		if err != nil {
			continue
		}
		if outcome, ok := message.(*medlarwindv1.Outcome); ok {
			return outcome
		}
	}
	return nil
}

func kindOf(k medlarwindv1.Outcome_Kind) Kind {
	switch k {
	case medlarwindv1.Outcome_KIND_NOT_RUN:
		return NotRun
	case medlarwindv1.Outcome_KIND_FAILED:
		return Failed
	default:
		return Unknown
	}
}
