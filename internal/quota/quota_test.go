package quota_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
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

// A customer that demands several times the capacity must take nothing from those that
// demand less than an even share.
func TestOverloadByOneCustomerDoesNotLimitOthers(t *testing.T) {
	m := quota.NewMeter(4 * time.Second)
	now := clock.Instant(time.Hour)
	for range 40 {
		m.AddDemand("flood", 200000, now)
		m.AddDemand("small", 2000, now)
		m.AddDemand("medium", 8000, now)
		now = now.Add(100 * time.Millisecond)
	}
	share := m.FairShare(430000, now)
	if demand := m.Demand("medium", now); demand > share {
		t.Errorf("fair share %v is below the medium customer's demand %v", share, demand)
	}
	if demand := m.Demand("flood", now); demand < share {
		t.Errorf("fair share %v does not limit the overloading customer's demand %v", share, demand)
	}
}

func TestWindowSlides(t *testing.T) {
	m := quota.NewMeter(4 * time.Second)
	now := clock.Instant(time.Hour)
	m.AddUsage("a", 100, now)
	if used := m.Usage("a", now.Add(3700*time.Millisecond)); used != 100 {
		t.Errorf("usage after 3.7 s is %v, want 100", used)
	}
	if used := m.Usage("a", now.Add(4100*time.Millisecond)); used != 0 {
		t.Errorf("usage after 4.1 s is %v, want 0", used)
	}
	m.AddUsage("a", 50, now.Add(time.Minute))
	if used := m.Usage("a", now.Add(time.Minute)); used != 50 {
		t.Errorf("usage after a minute without requests is %v, want 50", used)
	}
}

// The usage of a request that did not run is taken back when that becomes known, which can be
// more than a second after it was counted. A customer that requests nothing by then must not
// count as starved.
func TestRefundMakesIdleCustomerStarved(t *testing.T) {
	m := quota.NewMeter(4 * time.Second)
	now := clock.Instant(time.Hour)
	m.AddDemand("a", 200, now)
	m.AddUsage("a", 100, now)
	now = now.Add(2 * time.Second)
	m.AddUsage("a", -90, now)
	if used, starved := m.LeastServed(0.75, 150, 1000, now); starved {
		t.Errorf("a customer without recent requests counts as starved, with a usage of %v", used)
	}
	m.AddDemand("a", 100, now)
	if _, starved := m.LeastServed(0.75, 150, 1000, now); !starved {
		t.Error("a customer whose recent requests did not start does not count as starved")
	}
}

func TestLargestAreOrderedByDemand(t *testing.T) {
	m := quota.NewMeter(4 * time.Second)
	now := clock.Instant(time.Hour)
	for i, demand := range []float64{30, 10, 50, 0, 40, 20} {
		customer := fleet.CustomerID(rune('a' + i))
		m.AddDemand(customer, demand, now)
		m.AddUsage(customer, demand/2, now)
	}
	largest, customers := m.Largest(3, now)
	want := []quota.CustomerTokens{{"c", 50, 25}, {"e", 40, 20}, {"a", 30, 15}}
	if !slices.Equal(largest, want) || customers != 5 {
		t.Errorf("largest %v of %d customers, want %v of 5", largest, customers, want)
	}
}
