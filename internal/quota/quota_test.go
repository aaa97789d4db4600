package quota_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/quota"
)

func TestShareIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0.1, 1000), 1, 30).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 20000).Draw(t, "capacity")
		total, served := 0.0, 0.0
		for _, d := range demands {
			total += d
		}
		share := quota.MaxMinShare(append([]float64(nil), demands...), capacity)
		for _, d := range demands {
			served += math.Min(d, share)
		}
		if want := math.Min(total, capacity); math.Abs(served-want) > 1e-6*capacity {
			t.Fatalf("share %v serves %v of demands %v, capacity %v", share, served, total, capacity)
		}
	})
}

// A customer that asks for several times the capacity takes nothing from those that
// ask for less than an even share.
func TestFloodOfOneCustomerLeavesOthersWhole(t *testing.T) {
	m := quota.NewMeter(4 * time.Second)
	now := clock.Instant(time.Hour)
	for range 40 {
		m.AddDemand("flood", 200000, now)
		m.AddDemand("small", 2000, now)
		m.AddDemand("medium", 8000, now)
		now = now.Add(100 * time.Millisecond)
	}
	level := m.FairShare(430000, now)
	if demand := m.Demand("medium", now); demand > level {
		t.Errorf("the even share %v is below a modest demand %v", level, demand)
	}
	if demand := m.Demand("flood", now); demand < level {
		t.Errorf("the even share %v does not bound a flood of %v", level, demand)
	}
}

func TestWindowSlides(t *testing.T) {
	m := quota.NewMeter(4 * time.Second)
	now := clock.Instant(time.Hour)
	m.AddUsage("a", 100, now)
	if used := m.Usage("a", now.Add(3700*time.Millisecond)); used != 100 {
		t.Errorf("after 3.7 s %v of 100 tokens count", used)
	}
	if used := m.Usage("a", now.Add(4100*time.Millisecond)); used != 0 {
		t.Errorf("after 4.1 s %v tokens still count", used)
	}
	m.AddUsage("a", 50, now.Add(time.Minute))
	if used := m.Usage("a", now.Add(time.Minute)); used != 50 {
		t.Errorf("after a minute of nothing %v tokens count, want 50", used)
	}
}
