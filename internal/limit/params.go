package limit

import "time"

// Params are the durations of the protocol. They must be the same on every instance.
type Params struct {
	// LoanTime is how long a loan of units lasts, from the time at which the borrower
	// sent the echoed heartbeat.
	LoanTime time.Duration
	// PermitTime is how long a grant may be used, from the time at which the entry sent
	// the echoed heartbeat.
	PermitTime time.Duration
	// HoldDown is how long an instance waits before it uses units gained by a new list.
	// It must be at least MinHoldDown.
	HoldDown time.Duration
	// ReportLag is the greatest age of the figures in a load report beyond the age that
	// the report states.
	ReportLag time.Duration
	// Margin bounds the clock drift over the other durations and the delay between a
	// permit's use or end and the event on the target.
	Margin time.Duration
	// UnreachableAfter is the time without a heartbeat after which a peer counts as
	// unreachable.
	UnreachableAfter time.Duration
	// RemoteUnreachableAfter replaces UnreachableAfter, if it is longer, for a peer in
	// another data centre of a fleet so large that heartbeats between data centres are
	// slowed down.
	RemoteUnreachableAfter time.Duration
	// CutOffTime is how long units stay usable after the list was last confirmed by the
	// platform or by a peer with the same list.
	CutOffTime time.Duration
}

// DefaultParams returns the parameters for a fleet that sends heartbeats every 250 ms.
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

// MinHoldDown returns the shortest safe hold-down: the instance that is last to read the
// new list acts on the old one for CutOffTime, and its last loan or grant ends
// ReleaseTime later.
func (p Params) MinHoldDown() time.Duration {
	return p.CutOffTime + p.ReleaseTime()
}

// ReleaseTime returns the time after which a loan or grant made earlier can no longer
// start work. In the worst case a grant is made at the last moment of the loan and its
// permit is used at the last moment.
func (p Params) ReleaseTime() time.Duration {
	return p.LoanTime + p.PermitTime + p.Margin
}

// borrowDelay returns how long a peer must have named this instance as the owner of a
// target before its loan is used. The second LoanTime covers a view of the peer that
// changed and changed back between two received heartbeats.
func (p Params) borrowDelay() time.Duration {
	return p.LoanTime + p.ReleaseTime()
}
