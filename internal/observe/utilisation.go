package observe

import (
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// SlotTime is time spent by slots, in slot seconds. Two readings subtract to the
// use of the time between them.
type SlotTime struct {
	// Busy is that of slots with a request, Limit that of all slots there were.
	Busy  float64 `json:"busy_slot_seconds"`
	Limit float64 `json:"limit_slot_seconds"`
}

// Ratio returns Busy/Limit, 0 without slots.
func (s SlotTime) Ratio() float64 {
	if s.Limit == 0 {
		return 0
	}
	return s.Busy / s.Limit
}

// Utilisation integrates the running requests and the limits of targets over time.
// It is safe for concurrent use; a change takes constant time.
type Utilisation struct {
	mu      sync.Mutex
	since   time.Time
	total   SlotTime
	running int
	limit   int
	targets map[fleet.TargetID]slots
}

type slots struct{ running, limit int }

// NewUtilisation returns a Utilisation without targets.
func NewUtilisation(now time.Time) *Utilisation {
	return &Utilisation{since: now, targets: make(map[fleet.TargetID]slots)}
}

// Set changes a target's running requests and limit. Both at 0 remove it. Requests
// above the limit, possible after a limit fell, count as busy up to the limit.
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

// advance adds the time since the last change. A clock that went back adds nothing.
func (u *Utilisation) advance(now time.Time) {
	elapsed := max(now.Sub(u.since), 0).Seconds()
	u.total.Busy += elapsed * float64(u.running)
	u.total.Limit += elapsed * float64(u.limit)
	u.since = now
}
