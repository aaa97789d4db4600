package limit

import (
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Errors of ReceiveGrant. A refused grant still counts as received.
var (
	// ErrExpired is returned for a grant that arrived too late to be used.
	ErrExpired = errors.New("limit: grant expired")
	// ErrDuplicate is returned for a grant if it or a later one was received before.
	ErrDuplicate = errors.New("limit: grant already superseded")
	// ErrStaleIncarnation is returned for a grant from or for a former incarnation.
	ErrStaleIncarnation = errors.New("limit: grant of a former incarnation")
)

// OwnerOrder lists, for a data centre without a live instance, the data centres whose
// instances own its targets.
type OwnerOrder = membership.OwnerOrder

// Target is a target with its limits, in concurrent requests. A target that was removed
// or is out of service has Limit 0.
type Target struct {
	ID         fleet.TargetID
	DataCentre fleet.DataCentreID
	Limit      int
	ColdLimit  int
}

// Permit allows one request to start on a target. Its holder must call Ledger.Use
// immediately before the start, and Ledger.Done exactly once, used or not.
type Permit struct {
	Target   fleet.TargetID
	BootID   string
	Customer fleet.CustomerID
	Workload fleet.Workload
	// Alone is set if the request must be the only one on the target.
	Alone   bool
	Owner   fleet.InstanceID
	Expires time.Time

	serial uint64
}

// TargetStatus is the ledger's state of one target. All counts are in requests.
type TargetStatus struct {
	Known  bool
	BootID string
	State  fleet.TargetState
	// Limit is the limit in force: the rule's limit, the cold limit or a warm-up step
	// between them.
	Limit int
	// Usable is the part of Limit that this instance may use: its own units and those
	// on loan.
	Usable int
	// Accounted is the work granted by this instance or reported by reachable entries.
	Accounted int
	// Unresolved is an upper bound of the work of lost entries, of former incarnations
	// and of former users of the units.
	Unresolved int
	// Foreign is the work in the target's load report that no known instance accounts for.
	Foreign int
	// Reported is when the last load report was requested, or zero if there was none.
	Reported time.Time
}
