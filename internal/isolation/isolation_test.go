package isolation_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/isolation"
)

const start = clock.Instant(time.Hour)

// What holds a stream up depends on the engine and on the objective, not on a number of tokens.
func TestLongPrefillDependsOnEngineAndObjective(t *testing.T) {
	for _, test := range []struct {
		tokens int
		speed  float64
		gap    time.Duration
		want   bool
	}{
		{20_000, 92, 400 * time.Millisecond, true},
		{15_000, 92, 400 * time.Millisecond, false},
		{20_000, 157, 300 * time.Millisecond, false},
		{15_000, 86, 300 * time.Millisecond, true},
		{1_000_000, 92, 0, false},
		{1_000_000, 0, time.Second, false},
	} {
		if got := isolation.IsLong(test.tokens, test.speed, test.gap); got != test.want {
			t.Errorf("%d tokens at %v a ms with gaps of %v: %v", test.tokens, test.speed, test.gap, got)
		}
	}
}

// A few requests, or a load that has ended, must not move engines.
func TestShareOfLongPrefills(t *testing.T) {
	var s isolation.Share
	s.Observe(40_000, true, start)
	if s.Value() != 0 {
		t.Errorf("share %v after one request, want none", s.Value())
	}
	now := start
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		s.Observe(2000, false, now)
		if i%100 == 99 {
			s.Observe(25_000, true, now)
		}
	}
	if v := s.Value(); v < 0.08 || v > 0.14 {
		t.Errorf("share %v, want about 0.11", v)
	}
	s.Observe(2000, false, now.Add(-time.Hour))
	if v := s.Value(); v < 0.08 {
		t.Errorf("share %v after an earlier time, want no decay", v)
	}
}

// Engines must not be moved to and fro by a demand near the limit.
func TestOverloadHasHysteresis(t *testing.T) {
	var o isolation.Overload
	for i, test := range []struct {
		requested float64
		want      bool
	}{{100, false}, {140, false}, {160, true}, {130, true}, {110, false}, {140, false}, {0, false}} {
		if got := o.Update(test.requested, 100); got != test.want {
			t.Errorf("step %d: %v of 100 requested: overload %v, want %v", i, test.requested, got, test.want)
		}
	}
}

// Instances that measure slightly different shares must agree on nearly all engines, every data centre keeps
// most of its engines for others, and a small change of the share moves none.
func TestChosenTargetsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "targets")
		targets, sizes := make([]isolation.Target, n), make(map[fleet.DataCentreID]int)
		for i := range targets {
			dc := rapid.SampledFrom([]fleet.DataCentreID{"a", "b", "c"}).Draw(t, "dc")
			targets[i] = isolation.Target{Order: rapid.Uint64().Draw(t, "order"), DataCentre: dc}
			sizes[dc]++
		}
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		small, counts := isolation.Choose(targets, share, nil)
		large, _ := isolation.Choose(targets, min(share*1.2, 1), nil)
		for i := range targets {
			if small[i] && !large[i] {
				t.Fatal("a larger share sets another engine aside instead of one more")
			}
		}
		for dc, size := range sizes {
			if counts[dc] > max(size/3, 1) || size < 4 && counts[dc] > 0 {
				t.Fatalf("%d of %d engines are set aside", counts[dc], size)
			}
		}
		if _, again := isolation.Choose(targets, share*0.999, counts); counts["a"] != again["a"] {
			t.Fatalf("%d engines are set aside, after a slight change %d", counts["a"], again["a"])
		}
	})
}
