package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/rules"
)

// AdmissionRequest describes one request that asks Admission for a lease.
type AdmissionRequest struct {
	// RequestID identifies the request in logs.
	RequestID string
	Customer  fleet.CustomerID
	Workload  fleet.Workload
	// PromptTokens is the estimated size of the input. ExpectedTokens is the
	// caller's estimate of the answer's length; 0 means none was given.
	PromptTokens   int64
	ExpectedTokens int64
	// Cost is the declared cost of a plain call, in cost units.
	Cost fleet.Cost
	// Fingerprint is a hash of customer, workload, method and content. It is the same
	// for the same request on every instance.
	Fingerprint uint64
	// Prefixes holds the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
	// Attempt is the number of the attempt, counted from 1.
	Attempt int
	// MayHaveRun is set if an earlier attempt may have run. A refusal then no longer
	// means that the request did not run.
	MayHaveRun bool
}

// Admission decides when and on which target a request may start. Implementations
// must be safe for concurrent use.
type Admission interface {
	// Admit blocks until the request may start on a target, the request is refused
	// or ctx ends. The outcome of a refusal is NotRun or, for a request that crashes
	// targets, Failed.
	Admit(ctx context.Context, r *AdmissionRequest) (Lease, *OutcomeError)
}

// Assignment identifies the target on which a lease permits a request to run.
type Assignment struct {
	Target fleet.TargetID
	Addr   string
	BootID string
	// Alone is set if the request is suspected of crashing targets. Such a request is
	// sent only if the target is up and its boot id still equals BootID.
	Alone bool
}

// EndKind is the way in which a lease ended.
type EndKind int

// Kinds of lease end.
const (
	// EndUnused means that nothing was sent under the lease.
	EndUnused EndKind = iota + 1
	// EndUnreachable means that no connection to the target could be made.
	EndUnreachable
	// EndFinished means that the target sent its whole answer.
	EndFinished
	// EndFailed means that the target reported a failure.
	EndFailed
	// EndBroken means that the connection broke while the request ran.
	EndBroken
	// EndCancelled means that the target confirmed the cancellation.
	EndCancelled
	// EndAbandoned means that the request was given up without a confirmation from
	// the target, which may still be running it.
	EndAbandoned
)

// String returns the name used in logs.
func (k EndKind) String() string {
	switch k {
	case EndUnused:
		return "unused"
	case EndUnreachable:
		return "unreachable"
	case EndFinished:
		return "finished"
	case EndFailed:
		return "failed"
	case EndBroken:
		return "broken"
	case EndCancelled:
		return "cancelled"
	default:
		return "abandoned"
	}
}

// Lease is the permission to start one request on one target. Its holder must call
// Begin immediately before it sends the request, and End exactly once.
type Lease interface {
	Assignment() Assignment
	// Begin marks the request as started and reports whether the lease is still
	// valid. If it is not, nothing may be sent.
	Begin() bool
	// Charge records the total input and output tokens processed so far.
	Charge(inputTokens, outputTokens int64)
	// End releases the slot.
	End(kind EndKind)
}

// Errors returned by Directory.Authenticate.
var (
	ErrStarting    = errors.New("entry: no rules are in force yet")
	ErrCredentials = errors.New("entry: no customer has this key")
)

// Directory gives the entry read access to the state of the fleet. Implementations
// must be safe for concurrent use.
type Directory interface {
	// Locate returns the addresses of instances that the customer's callers should
	// use, best first, and how long the result may be cached.
	Locate(customer fleet.CustomerID) (addresses []string, lifetime time.Duration)
	// Authenticate returns the customer whose key has this SHA-256 hash. The error is
	// ErrStarting while no rules are in force, and ErrCredentials if no customer has
	// this key.
	Authenticate(keyHash [32]byte) (fleet.CustomerID, error)
	// Model and Call return the rule in force for a model or a call, and whether
	// there is one.
	Model(id fleet.ModelID) (rules.Model, bool)
	Call(key rules.CallKey) (rules.Call, bool)
	// SelfAddress returns the address of this instance for callers.
	SelfAddress() string
}
