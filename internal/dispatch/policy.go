package dispatch

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Contender is a customer with demand for a workload, as a Policy sees it.
type Contender struct {
	Customer fleet.CustomerID
	Share    int
	// VirtualTime is the account's, in cost units for one share.
	VirtualTime int64
	// Pending is the estimated cost of grants whose work is not yet accounted.
	Pending fleet.Cost
	// OldestEnqueued is when its longest waiting request was queued.
	OldestEnqueued time.Time
	// LastGrant numbers its last grant by this owner, 0 for none.
	LastGrant int64
}

// Policy orders customers: the one with the least key is served next.
type Policy interface {
	// Key must be a function of its argument only.
	Key(c Contender) int64
}

// Fair serves the customer with the least virtual time, with pending grants
// counted as if they were served.
type Fair struct{}

// Key returns the virtual time after the pending grants.
func (Fair) Key(c Contender) int64 {
	return c.VirtualTime + int64(c.Pending)/int64(max(1, c.Share))
}

// RoundRobin serves customers in turn, whatever their requests cost.
type RoundRobin struct{}

// Key returns the number of the customer's last turn.
func (RoundRobin) Key(c Contender) int64 { return c.LastGrant }

// FirstComeFirstServed serves the customer whose request has waited longest.
type FirstComeFirstServed struct{}

// Key returns the time at which the oldest request was queued.
func (FirstComeFirstServed) Key(c Contender) int64 { return c.OldestEnqueued.UnixNano() }

// TargetView is a target as a Score sees it.
type TargetView struct {
	// Free is how many further starts the limit allows; Limit is the limit in force.
	Free, Limit int
	// Load is the target's own measure of load, 0 idle to 1 full.
	Load  float64
	Ready bool
}

// Score rates a target with a free start; the greatest is chosen.
type Score func(v TargetView) float64

// DefaultScore prefers ready targets to cold ones, then the most free in
// proportion, then the least loaded.
func DefaultScore(v TargetView) float64 {
	const readyWeight, loadWeight = 10, 0.1
	score := float64(v.Free)/float64(max(1, v.Limit)) - loadWeight*v.Load
	if v.Ready {
		score += readyWeight
	}
	return score
}
