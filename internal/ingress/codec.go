package ingress

import (
	"net/http"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// Call is what a caller's headers say of its request.
type Call struct {
	// ID is the caller's id of this request; a second try has another.
	ID string
	// Budget is how long the caller waits, 0 if it does not say.
	Budget time.Duration
	// Key is the caller's secret.
	Key string
	// Prompt and MaxOutput are the tokens of a generation: those of the prompt and the
	// most that are generated. Both are 0 for other calls.
	Prompt, MaxOutput int
	// OutputHint is the caller's estimate of the tokens generated, 0 if it gives none.
	OutputHint int
	Parts      []scheduler.Part
	// ResumeAfter is the id of the last event that the caller has, empty for none.
	ResumeAfter string
}

// defaultOutputFraction is the part of the most output tokens that is expected of a call
// without an estimate: lengths vary widely and few calls use their limit.
const defaultOutputFraction = 0.35

// expectedOutput is the number of tokens that a call is expected to generate.
func (c *Call) expectedOutput() int {
	if c.OutputHint > 0 {
		return min(c.OutputHint, c.MaxOutput)
	}
	return int(defaultOutputFraction * float64(c.MaxOutput))
}

// Forwarding is what this instance adds to a request that it sends to a target.
type Forwarding struct {
	// Remaining is the time until the caller or the route gives up.
	Remaining time.Duration
	// Target is the only one that may run the request.
	Target fleet.TargetID
	// Customer is empty for anonymous routes.
	Customer fleet.CustomerID
	// ResumeAfter is the id of the last event that was passed on, empty for none.
	ResumeAfter string
}

// ResponseInfo is what a target's headers say beside the answer.
type ResponseInfo struct {
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Signed says that the answer bears the target's signature.
	Signed bool
	// ColdRemaining is how long the target stays cold, as far as it says.
	ColdRemaining time.Duration
}

// Codec translates between the headers of callers and targets and the types above. It
// is safe for concurrent use.
type Codec interface {
	// DecodeCall reads a caller's headers.
	DecodeCall(h http.Header) (Call, error)
	// ForwardHeader returns the headers for a target: the caller's without those that
	// concern one connection or that only this system may set, and what f adds.
	ForwardHeader(h http.Header, f Forwarding) http.Header
	// ResponseHeader returns the headers for the caller: the target's without those that
	// concern one connection.
	ResponseHeader(h http.Header) http.Header
	// DecodeResponse reads a target's headers.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// IsResponseTo reports whether an answer with these headers belongs to a call.
	IsResponseTo(call Call, h http.Header) bool
	// SetRefusalHeader adds to an answer of this instance's own what the caller needs.
	SetRefusalHeader(h http.Header, call Call, retryAfter time.Duration)
}
