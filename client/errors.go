package client

import (
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// Kind says what is known about a request that got no whole answer.
type Kind int

// The kinds of outcome.
const (
	// NotRun means that the request did not run; it may be sent again.
	NotRun Kind = iota + 1
	// Failed means that a target ran the request and failed.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// String returns the words used in messages.
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

// Reasons that this package gives; instances give others.
const (
	reasonDial       = "dial"
	reasonConnection = "connection"
	reasonLocate     = "locate"
)

// RequestError is why a request got no whole answer.
type RequestError struct {
	Kind   Kind
	Reason string
	// RetryAfter is when to try again; 0 means at once.
	RetryAfter time.Duration
	Err        error

	// noResponse says that the connection failed before anything came back.
	noResponse bool
}

// Error describes the failure in one line.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Kind, e.Reason, e.Err)
}

// Unwrap returns the error from the layer below.
func (e *RequestError) Unwrap() error { return e.Err }

// requestError turns a connect error into a RequestError. Without a typed detail
// nothing is known, but that a dial which failed sent nothing.
func requestError(err error) error {
	if err == nil || errors.Is(err, ErrIncomplete) {
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

// connectionBroken reports whether the connection failed, rather than the request.
func connectionBroken(err error) bool {
	return outcomeDetail(err) == nil && !errors.Is(err, ErrIncomplete)
}

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
