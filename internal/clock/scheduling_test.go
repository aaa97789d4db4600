package clock_test

import (
	"testing"

	"medlarwind.dev/medlarwind/internal/clock"
)

// The mean covers the time since the last call only and is never negative.
func TestSchedulingDelayIsOfTheTimeSinceLastCall(t *testing.T) {
	d := clock.NewSchedulingDelay()
	for range 3 {
		done := make(chan struct{})
		for range 100 {
			go func() { done <- struct{}{} }()
		}
		for range 100 {
			<-done
		}
		if mean := d.Mean(); mean < 0 {
			t.Errorf("mean wait %v", mean)
		}
	}
}
