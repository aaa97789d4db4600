package observe

import (
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// SlotTime is an integral of slots over time, in slot seconds. The difference between
// two readings is the slot time of the period between them.
type SlotTime struct {
	// Busy counts the slots that ran a request, Limit all slots.
	Busy  float64 `json:"busy_slot_seconds"`
	Limit float64 `json:"limit_slot_seconds"`
}

// Ratio returns Busy/Limit, or 0 if Limit is 0.
func (s SlotTime) Ratio() float64 {
	if s.Limit == 0 {
		return 0
	}
	return s.Busy / s.Limit
}

// Utilisation integrates the running requests and the limits of targets over time.
// It is safe for concurrent use. Its methods take constant time.
type Utilisation struct {
	mu         sync.Mutex
	lastUpdate time.Time
	total      SlotTime
	running    int
	limit      int
	targets    map[fleet.TargetID]slots
}

type slots struct{ running, limit int }

// NewUtilisation returns a Utilisation without targets.
func NewUtilisation(now time.Time) *Utilisation {
	return &Utilisation{lastUpdate: now, targets: make(map[fleet.TargetID]slots)}
}

// Set changes the running requests and the limit of a target, and removes the target if
// the limit is 0. Requests above the limit, which can occur after the limit was lowered, do
// not count as busy.
func (u *Utilisation) Set(now time.Time, t fleet.TargetID, running, limit int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	before, after := u.targets[t], slots{running: min(running, limit), limit: limit}
	u.running += after.running - before.running
	u.limit += after.limit - before.limit
	if after == (slots{}) {
		delete(u.targets, t)
		return
	}
	u.targets[t] = after
}

// Total returns the slot time up to now.
func (u *Utilisation) Total(now time.Time) SlotTime {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance(now)
	return u.total
}

// advance adds the slot time since the last update, none if the clock went back. u.mu
// must be held.
func (u *Utilisation) advance(now time.Time) {
	elapsed := max(now.Sub(u.lastUpdate), 0).Seconds()
	u.total.Busy += elapsed * float64(u.running)
	u.total.Limit += elapsed * float64(u.limit)
	u.lastUpdate = now
}
