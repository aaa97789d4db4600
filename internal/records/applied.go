package records

import (
	"sync"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Applied records which content of a Copy is in force and when that content was last known to
// be the newest. A copy may be current while what it holds has not been applied yet. An Applied
// is safe for concurrent use.
type Applied struct {
	copy *Copy

	mu          sync.Mutex
	position    Position
	confirmedAt clock.Instant
}

// NewApplied returns the state of a copy of which nothing has been applied.
func NewApplied(c *Copy) *Applied { return &Applied{copy: c} }

// Set records that the copy's content at a position, which was the newest at confirmedAt, is in
// force.
func (a *Applied) Set(at Position, confirmedAt clock.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.position = at
	a.confirmedAt = max(a.confirmedAt, confirmedAt)
}

// State returns the position of the content in force, and the time at which the last read that
// confirmed it as the newest was sent.
func (a *Applied) State() (at Position, confirmedAt clock.Instant) {
	current, currentConfirmedAt := a.copy.State()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.position == current && !current.IsZero() {
		a.confirmedAt = max(a.confirmedAt, currentConfirmedAt)
	}
	return a.position, a.confirmedAt
}
