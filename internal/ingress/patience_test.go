package ingress

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

func TestCallerTimeoutsDetectRetries(t *testing.T) {
	var timeouts callerTimeouts
	now := clock.Instant(time.Hour)
	// The budgets of first tries differ by up to a seventh.
	for _, budget := range []time.Duration{15 * time.Second, 14 * time.Second, 12900 * time.Millisecond} {
		if elapsed, _ := timeouts.elapsed("r", budget, now); elapsed != 0 {
			t.Errorf("first try with a budget of %v: got elapsed %v, want 0", budget, elapsed)
		}
	}
	if elapsed, maxBudget := timeouts.elapsed("r", 12*time.Second, now); elapsed != 3*time.Second || maxBudget != 15*time.Second {
		t.Errorf("caller with 12 of 15 s left: got elapsed %v and longest budget %v, want 3s and 15s", elapsed, maxBudget)
	}
	if elapsed, _ := timeouts.elapsed("other", 2*time.Second, now); elapsed != 0 {
		t.Error("budgets of another route are taken into account")
	}
	// After callers start to use a shorter timeout, the longer budgets must expire.
	now = now.Add(70 * time.Second)
	if elapsed, _ := timeouts.elapsed("r", 5*time.Second, now); elapsed != 0 {
		t.Error("budgets of over a minute ago are still taken into account")
	}
	if elapsed, _ := timeouts.elapsed("r", 0, now); elapsed != 0 {
		t.Error("caller without a budget counts as a retry")
	}
}
