package ingress

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

func TestCallerTimeoutsDetectRetries(t *testing.T) {
	var timeouts callerTimeouts
	now := clock.Instant(time.Hour)
	// First tries differ by up to a seventh.
	for _, budget := range []time.Duration{15 * time.Second, 14 * time.Second, 12900 * time.Millisecond} {
		if elapsed, _ := timeouts.elapsed("r", budget, now); elapsed != 0 {
			t.Errorf("a first try with %v counts as %v old", budget, elapsed)
		}
	}
	if elapsed, maxBudget := timeouts.elapsed("r", 12*time.Second, now); elapsed != 3*time.Second || maxBudget != 15*time.Second {
		t.Errorf("a caller with 12 of 15 s left: %v, %v", elapsed, maxBudget)
	}
	if elapsed, _ := timeouts.elapsed("other", 2*time.Second, now); elapsed != 0 {
		t.Error("routes are mixed up")
	}
	// The operators shorten the route's time: the longer budgets are forgotten.
	now = now.Add(70 * time.Second)
	if elapsed, _ := timeouts.elapsed("r", 5*time.Second, now); elapsed != 0 {
		t.Error("budgets of over a minute ago still count")
	}
	if elapsed, _ := timeouts.elapsed("r", 0, now); elapsed != 0 {
		t.Error("a caller without a budget counts as old")
	}
}
