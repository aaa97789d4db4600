package locate

import "time"

// Bounds of the connections that are turned away.
const (
	// turnAwayFrom is the delay of the processor from which connections are turned away. Their
	// share grows up to maxTurnedAway at turnAwayFrom + turnAwayRange.
	turnAwayFrom  = 16 * time.Millisecond
	turnAwayRange = 32 * time.Millisecond
	maxTurnedAway = 0.875
)

// TurnAway decides which new connections of callers an instance closes before it reads a request.
//
// The load that it answers: all callers of a large customer keep to one small instance, and more
// requests come than it can even refuse. Callers whose connection is closed unread may try another
// instance at once, with any request. The zero value is ready for use. It must not be used
// concurrently.
type TurnAway struct{ due float64 }

// Next reports whether the next connection is turned away, while the processor is late by delay.
// Some are always taken.
func (t *TurnAway) Next(delay time.Duration) bool {
	share := float64(delay-turnAwayFrom) / float64(turnAwayRange)
	t.due += min(max(share, 0), maxTurnedAway)
	if t.due < 1 {
		return false
	}
	t.due--
	return true
}
