package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
)

// A customer that asks for many times its share sends a thousand requests a second to one
// instance, and no target is within its limit for most of them. What one decision found holds for
// the requests that come with it.

const (
	// overLimitFor is how long it counts that no target is within a limit.
	overLimitFor = 5 * time.Millisecond
	// maxOverLimit bounds the limits remembered. When it is reached, all are dropped.
	maxOverLimit = 256
)

// limitKey identifies requests of a customer to which the same limit applies at the same targets.
type limitKey struct {
	customer fleet.CustomerID
	service  fleet.ServiceID
	limit    placement.Limit
}

// overLimit remembers for which requests a decision found all targets over the limit.
type overLimit map[limitKey]clock.Instant

// keyOf returns the key of a job; false if its targets are not those of the customer's other jobs.
func keyOf(j *Job, limit placement.Limit) (limitKey, bool) {
	return limitKey{customer: j.Customer, service: j.Service.ID, limit: limit}, j.Service.Engine != nil && j.AnyRegion && len(j.excluded) == 0
}

// add records that all targets are over the limit of a job.
func (o overLimit) add(j *Job, limit placement.Limit, now clock.Instant) {
	key, ok := keyOf(j, limit)
	if !ok {
		return
	}
	if len(o) >= maxOverLimit {
		clear(o)
	}
	o[key] = now
}

// has reports whether all targets were over the limit of a job just now.
func (o overLimit) has(j *Job, limit placement.Limit, now clock.Instant) bool {
	key, ok := keyOf(j, limit)
	if !ok {
		return false
	}
	at, ok := o[key]
	return ok && now.Sub(at) < overLimitFor
}
