package pacing_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/pacing"
)

// TestSharesStayWithinRate checks that the shares of any number of instances together stay
// within the rate of the target.
func TestSharesStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 100).Draw(t, "rate")
		instances := rapid.IntRange(1, 120).Draw(t, "instances")
		total := 0
		for rank := range instances {
			total += pacing.Share(int(rate), instances, rank)
		}
		if float64(total) > rate {
			t.Fatalf("%d instances make %d starts per second, want at most %v", instances, total, rate)
		}
	})
}

func TestStartsCountsOneSecond(t *testing.T) {
	var s pacing.StartCounter
	now := clock.Instant(time.Hour)
	for range 5 {
		s.Add(now)
		now = now.Add(100 * time.Millisecond)
	}
	if n := s.Count(time.Second, now); n != 5 {
		t.Errorf("Count = %d, want 5", n)
	}
	if n := s.Count(time.Second, now.Add(750*time.Millisecond)); n != 2 {
		t.Errorf("Count = %d after 750 ms more, want 2", n)
	}
}

func TestBudgetBoundsSecondSends(t *testing.T) {
	b := pacing.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Extra: 3}
	now := clock.Instant(time.Hour)
	for range 50 {
		b.AddRequest(now)
	}
	taken := 0
	for range 100 {
		if b.AllowRetry(now) {
			taken++
		}
	}
	if taken != 13 {
		t.Errorf("%d retries for 50 new requests, want 0.2·50 + 3", taken)
	}
	if b.AllowRetry(now.Add(5 * time.Second)) {
		t.Error("retry allowed half a window later, want it refused")
	}
	if !b.AllowRetry(now.Add(12 * time.Second)) {
		t.Error("retry refused a window later, want it allowed by the constant part")
	}
}

// A retry that is not made must not use up the budget, and taking it back must never allow
// more retries than the budget.
func TestReturnedRetryIsAllowedAgain(t *testing.T) {
	b := pacing.RetryBudget{Window: 10 * time.Second, Extra: 1}
	counted := clock.Instant(time.Hour)
	if !b.HasRetry(counted) || !b.AllowRetry(counted) || b.HasRetry(counted) {
		t.Fatal("want exactly one retry")
	}
	b.ReturnRetry(counted, counted.Add(100*time.Millisecond))
	if !b.AllowRetry(counted.Add(200 * time.Millisecond)) {
		t.Error("retry refused after another was returned")
	}
	b.ReturnRetry(counted.Add(200*time.Millisecond), counted.Add(5*time.Second))
	for _, at := range []time.Duration{5 * time.Second, 12 * time.Second} {
		taken := 0
		for b.AllowRetry(counted.Add(at)) {
			taken++
		}
		if limit := int(at / (10 * time.Second)); taken > limit {
			t.Errorf("%d retries allowed after %v, want at most %d", taken, at, limit)
		}
	}
}
