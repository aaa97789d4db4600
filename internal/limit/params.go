package limit

import "time"

// Params are the durations that every instance of the fleet must agree on.
type Params struct {
	// LoanTime is how long a loan of escrow lasts, from the borrower's send time.
	LoanTime time.Duration
	// PermitTime is how long a grant may be used, from the entry's send time.
	PermitTime time.Duration
	// HoldDown is how long an instance waits before it uses escrow gained by a new
	// list. It must be at least MinHoldDown.
	HoldDown time.Duration
	// ReportLag is how far a load report may lag behind the truth, beyond the age
	// that it states.
	ReportLag time.Duration
	// Margin covers the drift of clocks over the other durations.
	Margin time.Duration
	// UnreachableAfter is the silence after which a peer is taken to be unreachable.
	UnreachableAfter time.Duration
	// RemoteUnreachableAfter is the same for a peer in another data centre of a wide fleet, if it
	// is longer than DeadPeer.
	RemoteUnreachableAfter time.Duration
	// CutOffTime is how long escrow stays usable after the list was last confirmed by
	// the platform or by a peer with the same list.
	CutOffTime time.Duration
}

// DefaultParams returns the durations for a fleet with heartbeats every 250 ms.
func DefaultParams() Params {
	p := Params{
		LoanTime:               2 * time.Second,
		PermitTime:             time.Second,
		ReportLag:              2 * time.Second,
		Margin:                 250 * time.Millisecond,
		UnreachableAfter:       1500 * time.Millisecond,
		RemoteUnreachableAfter: 7 * time.Second,
		CutOffTime:             3 * time.Second,
	}
	p.HoldDown = p.MinHoldDown()
	return p
}

// MinHoldDown is the shortest safe hold-down: the slowest reader acts on the old
// list for CutOff, and what it lent or granted last ends one Release later.
func (p Params) MinHoldDown() time.Duration {
	return p.CutOffTime + p.ReleaseTime()
}

// ReleaseTime is the time after which nothing lent or granted earlier can still start
// work: a loan taken at its last moment for a permit used at its last moment.
func (p Params) ReleaseTime() time.Duration {
	return p.LoanTime + p.PermitTime + p.Margin
}

// borrowDelay is how long a peer must have named this instance as a target's
// owner before its loan counts. The second LoanTime covers a change of the peer's
// view that was reverted before this instance could hear of it.
func (p Params) borrowDelay() time.Duration {
	return p.LoanTime + p.ReleaseTime()
}
