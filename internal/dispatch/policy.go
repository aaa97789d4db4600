package dispatch

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Contender is a customer with demand for a workload, as seen by a Policy.
type Contender struct {
	Customer fleet.CustomerID
	Share    int
	// VirtualTime is the customer's virtual time, in cost units per share.
	VirtualTime int64
	// Pending is the estimated cost of grants whose work is not yet in the accounts.
	Pending fleet.Cost
	// OldestEnqueued is when the customer's longest waiting request was queued.
	OldestEnqueued time.Time
	// LastGrant is the ordinal number of the owner's last grant to the customer, 0 if
	// there was none.
	LastGrant int64
}

// Policy orders customers: the one with the least key is served next.
type Policy interface {
	// Key returns the customer's sort key. It must depend only on its argument.
	Key(c Contender) int64
}

// Fair serves the customer with the least virtual time and counts pending grants as
// already served.
type Fair struct{}

// Key returns the virtual time that the customer will have after its pending grants.
func (Fair) Key(c Contender) int64 {
	return c.VirtualTime + int64(c.Pending)/int64(max(1, c.Share))
}

// RoundRobin serves customers in turn, regardless of the cost of their requests.
type RoundRobin struct{}

// Key returns the number of the customer's last grant.
func (RoundRobin) Key(c Contender) int64 { return c.LastGrant }

// FirstComeFirstServed serves the customer whose request has waited longest.
type FirstComeFirstServed struct{}

// Key returns when the oldest request was queued, in nanoseconds since the Unix epoch.
func (FirstComeFirstServed) Key(c Contender) int64 { return c.OldestEnqueued.UnixNano() }

// TargetView is a target as seen by a Score.
type TargetView struct {
	// Free is how many more requests may start under the limit. Limit is the limit in
	// force.
	Free, Limit int
	// Load is the target's load, from 0 (idle) to 1 (full).
	Load  float64
	Ready bool
}

// Score rates a target that has a free start. The target with the greatest score is
// chosen.
type Score func(v TargetView) float64

// DefaultScore prefers ready targets to cold ones, then those with the largest free
// proportion of their limit, then the least loaded.
func DefaultScore(v TargetView) float64 {
	const readyWeight, loadWeight = 10, 0.1
	score := float64(v.Free)/float64(max(1, v.Limit)) - loadWeight*v.Load
	if v.Ready {
		score += readyWeight
	}
	return score
}
