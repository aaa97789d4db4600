package ingress

import (
	"net/http"
	"time"

	"medlarwind.dev/medlarwind/internal/earlyrefusal"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// Call holds what the caller's headers say about its request.
type Call struct {
	// ID is the caller's id of this request; a caller's retry has a new id.
	ID string
	// Budget is how long the caller still waits for the response, 0 if not stated.
	Budget time.Duration
	// Key is the caller's secret key.
	Key string
	// Prompt is the number of prompt tokens of a generation, MaxOutput the limit of
	// generated tokens. Both are 0 for other calls.
	Prompt, MaxOutput int
	// OutputHint is the caller's estimate of the generated tokens, 0 for none.
	OutputHint int
	// Parts are the pieces of the prompt that other requests may share.
	Parts []scheduler.Part
	// ResumeAfter is the id of the last event that the caller received, empty for none.
	ResumeAfter string
}

// defaultOutputFraction is the fraction of MaxOutput that is expected of a call without an
// estimate: output lengths vary widely and few calls reach their limit.
const defaultOutputFraction = 0.35

// expectedOutput returns the number of tokens that a call is expected to generate.
func (c *Call) expectedOutput() int {
	if c.OutputHint > 0 {
		return min(c.OutputHint, c.MaxOutput)
	}
	return int(defaultOutputFraction * float64(c.MaxOutput))
}

// Forwarding holds what this instance adds to the headers of a request to a target.
type Forwarding struct {
	// Remaining is the time left until the request's deadline, which follows from the
	// timeouts of the caller and the route.
	Remaining time.Duration
	// Target is the only target that may run the request.
	Target fleet.TargetID
	// Customer is empty for anonymous routes.
	Customer fleet.CustomerID
	// ResumeAfter is the id of the event after which to resume the stream, empty for none.
	ResumeAfter string
	// FetchFrom is the address of a target from which this one fetches the parts of the prompt that
	// it lacks, empty for none.
	FetchFrom string
	// CopyTo is the address of a target to which this one copies the run's memory as it grows, empty for
	// none.
	CopyTo string
	// Continues is the run that goes on from its copy, the zero value for a run that begins.
	Continues Continued
}

// Continued names a run by the address of the target that holds its copy and the caller's id of it.
type Continued struct{ Addr, ID string }

// ResponseInfo holds what the target's headers say about its response.
type ResponseInfo struct {
	// NotRun reports that the target did not run the request and never will.
	NotRun bool
	// Signed reports whether the response carries the target's signature.
	Signed bool
	// ColdRemaining is how long the target stays cold, 0 if it does not say.
	ColdRemaining time.Duration
	// Leaving reports that the target says that it wants no more requests.
	Leaving bool
	// LimitNamed reports whether the target names a limit, LimitPerSecond is the number of
	// requests a second that it takes from all instances. LimitText is the limit as received,
	// empty if there is none; it is set also for one that cannot be read.
	LimitNamed     bool
	LimitPerSecond float64
	LimitText      string
	// Pause is how long the target wants no requests from this instance, 0 if it does not say.
	// PauseText is what it said if that cannot be read.
	Pause     time.Duration
	PauseText string
	// Load is what the target says of its load, nil if it says nothing or nothing that can be read.
	// LoadText is what it said if that cannot be read.
	Load     *loadreport.Report
	LoadText string
}

// Codec translates between the headers of callers and targets and the types Call,
// Forwarding and ResponseInfo. It must be safe for concurrent use.
type Codec interface {
	// DecodeCall decodes a caller's headers.
	DecodeCall(h http.Header) (Call, error)
	// DecodeFields decodes the fields of a head that net/http has not parsed. It returns false if
	// DecodeCall would fail, or if a field that it uses is repeated.
	DecodeFields(fields []earlyrefusal.Field) (Call, bool)
	// ForwardHeader returns the headers for a target: the caller's without those that apply
	// to a single connection or that only this system may set, plus those for f.
	ForwardHeader(h http.Header, f Forwarding) http.Header
	// ResponseHeader returns the headers for the caller: the target's without those that
	// apply to a single connection.
	ResponseHeader(h http.Header) http.Header
	// DecodeResponse decodes a target's status and headers.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// MatchResponse says whether a response with the headers h belongs to call.
	MatchResponse(call Call, h http.Header) upstream.Match
	// SetRefusalHeader sets in h the headers of a refusal by this instance. retryAfter is 0
	// for none.
	SetRefusalHeader(h http.Header, call Call, retryAfter time.Duration)
	// AppendRefusal appends the same headers to b as lines of a head.
	AppendRefusal(b []byte, call Call, retryAfter time.Duration) []byte
}
