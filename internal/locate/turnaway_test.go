package locate

import (
	"testing"
	"time"
)

// The later the processor, the more connections are turned away, none while it is in time and never
// all.
func TestTurnedAwayShareGrowsWithDelay(t *testing.T) {
	const connections = 1000
	before := -1
	for _, delay := range []time.Duration{0, turnAwayFrom, turnAwayFrom + turnAwayRange/4, turnAwayFrom + turnAwayRange/2, turnAwayFrom + turnAwayRange, time.Hour} {
		var away TurnAway
		turned := 0
		for range connections {
			if away.Next(delay) {
				turned++
			}
		}
		switch {
		case delay <= turnAwayFrom && turned > 0:
			t.Errorf("delay %v: %d of %d turned away", delay, turned, connections)
		case turned < before:
			t.Errorf("delay %v: %d turned away, %d with a shorter delay", delay, turned, before)
		case float64(turned) > maxTurnedAway*connections:
			t.Errorf("delay %v: %d of %d turned away", delay, turned, connections)
		}
		before = turned
	}
	if before == 0 {
		t.Error("none is turned away however late the processor is")
	}
}
