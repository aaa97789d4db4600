package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/rules"
)

// Request describes one request to the Admission.
type Request struct {
	// RequestID names the request in logs.
	RequestID string
	Customer  fleet.CustomerID
	Workload  fleet.Workload
	// PromptTokens is the size of the input; ExpectedTokens the caller's guess of
	// the answer's length, 0 for none.
	PromptTokens   int64
	ExpectedTokens int64
	// Cost is the declared cost of a plain call, in cost units.
	Cost fleet.Cost
	// Fingerprint is a hash of customer, workload and content.
	Fingerprint uint64
	// Prefixes are hashes of growing prefixes of the prompt, shortest first.
	Prefixes []uint64
	// Deadline is when the request must have started.
	Deadline time.Time
	// Attempt counts from 1.
	Attempt int
	// MayHaveRun says that an earlier attempt may have run, so that a refusal would no
	// longer mean that the request did not run.
	MayHaveRun bool
}

// Admission decides when and where a request may start. It is safe for concurrent
// use.
type Admission interface {
	// Admit waits until the request may start on a target, until ctx ends, or until
	// the request is refused. A refusal is always NotRun or, for a request that
	// crashes targets, Failed.
	Admit(ctx context.Context, r *Request) (Lease, *OutcomeError)
}

// Assignment is the target that a lease is for.
type Assignment struct {
	Target fleet.TargetID
	Addr   string
	BootID string
	// Alone says that the request is suspected of crashing targets: it is sent only
	// if the target is up on this very boot.
	Alone bool
}

// EndKind says how work under a lease ended.
type EndKind int

// The ways in which work under a lease ends.
const (
	// EndUnused means that nothing was sent under the lease.
	EndUnused EndKind = iota + 1
	// EndUnreachable means that the target could not be dialled.
	EndUnreachable
	// EndFinished means that the target answered to the end.
	EndFinished
	// EndFailed means that the target said that it failed.
	EndFailed
	// EndBroken means that the connection broke with the work running.
	EndBroken
	// EndCancelled means that the target took the order to stop.
	EndCancelled
	// EndAbandoned means that nobody waits for the work, but that the target may not
	// know yet.
	EndAbandoned
)

// String returns the word used in logs.
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

// Lease is the permission to start one request on one target. Its holder calls
// Begin right before it dials, and End exactly once.
type Lease interface {
	Assignment() Assignment
	// Begin reports whether the lease still holds; if not, nothing may be sent.
	Begin() bool
	// Charge tells how many tokens were read and generated so far.
	Charge(inputTokens, outputTokens int64)
	// End returns the slot.
	End(kind EndKind)
}

// Errors of Directory.Authenticate.
var (
	ErrStarting    = errors.New("entry: no rules are in force yet")
	ErrCredentials = errors.New("entry: no customer has this key")
)

// Directory answers what the entry must know of the fleet. It is safe for
// concurrent use.
type Directory interface {
	// Locate ranks callers' addresses for a customer, with the answer's lifetime.
	Locate(customer fleet.CustomerID) (addresses []string, lifetime time.Duration)
	// Authenticate finds the customer whose key has this SHA-256. It fails with
	// ErrStarting while no rules are in force and with ErrCredentials otherwise.
	Authenticate(keyHash [32]byte) (fleet.CustomerID, error)
	// Model and Call look up the rules in force.
	Model(id fleet.ModelID) (rules.Model, bool)
	Call(key rules.CallKey) (rules.Call, bool)
	// SelfAddress is this instance's callers' address.
	SelfAddress() string
}
