package limit

import (
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Errors of ReceiveGrant. A refused grant still counts as received.
var (
	// ErrExpired says that the grant came too late to be used.
	ErrExpired = errors.New("limit: grant expired")
	// ErrDuplicate says that this grant or a later one was received before.
	ErrDuplicate = errors.New("limit: grant already superseded")
	// ErrStaleIncarnation says that the grant is from, or for, a former incarnation.
	ErrStaleIncarnation = errors.New("limit: grant of a former incarnation")
)

// OwnerOrder names whose instances own the targets of a data centre that has no live
// instance.
type OwnerOrder = membership.OwnerOrder

// Target is one target with its limits, in concurrent requests. A target that was
// removed or is out of service has Limit 0.
type Target struct {
	ID         fleet.TargetID
	DataCentre fleet.DataCentreID
	Limit      int
	ColdLimit  int
}

// Permit allows one start of a request on a target. Its holder must ask Usable at
// the moment of use and must call Done exactly once, used or not.
type Permit struct {
	Target   fleet.TargetID
	BootID   string
	Customer fleet.CustomerID
	Workload fleet.Workload
	// Alone says that the request must be the only one on the target.
	Alone   bool
	Owner   fleet.InstanceID
	Expires time.Time

	serial uint64
}

// TargetStatus describes what the ledger knows of one target. Counts are requests.
type TargetStatus struct {
	Known  bool
	BootID string
	State  fleet.TargetState
	// Limit is the limit in force: the rule's, the cold limit or a step between.
	Limit int
	// Usable is the part of Limit that this instance holds: own escrow and loans.
	Usable int
	// Accounted is the work granted by this instance or named by reachable entries.
	Accounted int
	// Unresolved bounds work of lost entries and of former holders of the escrow.
	Unresolved int
	// Foreign is reported work that no known instance accounts for.
	Foreign int
	// Reported is when the last report was asked for; zero if there was none.
	Reported time.Time
}
