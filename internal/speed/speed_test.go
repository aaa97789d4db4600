package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/speed"
)

const (
	start   = clock.Instant(time.Hour)
	assumed = 55.0
)

// observe plays an engine of a speed from now on: a request every 300 ms of 2,000 to 14,000
// tokens, of whose number the instance knows that in known only. It returns the end.
func observe(e *speed.Estimator, id fleet.TargetID, tokensPerMilli float64, known func(*rand.Rand) float64, from clock.Instant, lasts time.Duration) clock.Instant {
	rng := rand.New(rand.NewPCG(uint64(from), uint64(len(id))))
	now := from
	for ; now < from.Add(lasts); now = now.Add(300 * time.Millisecond) {
		tokens := 2000 + rng.IntN(12000)
		took := time.Duration((float64(tokens)/tokensPerMilli + 10) * float64(time.Millisecond))
		e.Refresh(now)
		e.Observe("lm", id, 1, int(float64(tokens)*known(rng)), took, now)
	}
	return now
}

func exactly(*rand.Rand) float64 { return 1 }

// The engines of one service may differ in speed; each must be told from the others, and a new one
// must begin with what the service shows.
func TestEnginesOfOneServiceAreToldApart(t *testing.T) {
	e := speed.New(assumed)
	speeds := map[fleet.TargetID]float64{"a": 100, "bb": 95, "ccc": 25}
	end := start
	for now := start; now < start.Add(30*time.Second); now = now.Add(time.Second) {
		for id, s := range speeds {
			end = observe(e, id, s, exactly, now, time.Second)
		}
	}
	for id, s := range speeds {
		if got := e.Engine("lm", id, 1, end); math.Abs(got/s-1) > 0.35 {
			t.Errorf("engine of %v tokens a millisecond: estimated %.0f", s, got)
		}
	}
	for _, got := range []float64{e.Engine("lm", "new", 1, end), e.Engine("lm", "ccc", 2, end)} {
		if got < 75 || got > 110 {
			t.Errorf("new engine: estimated %.0f, want the speed of the service", got)
		}
	}
}

// An engine that turns slow must be noticed within seconds, and so must its recovery.
func TestEngineTurnsSlowAndRecovers(t *testing.T) {
	e := speed.New(assumed)
	now := start
	play := func(speed float64, lasts time.Duration) {
		for end := now.Add(lasts); now < end; now = now.Add(time.Second) {
			for _, other := range []fleet.TargetID{"a", "bb", "ccc", "dddd"} {
				observe(e, other, 90, exactly, now, time.Second)
			}
			observe(e, "x", speed, exactly, now, time.Second)
		}
	}
	play(90, 20*time.Second)
	play(20, 6*time.Second)
	if got := e.Engine("lm", "x", 1, now); got > 50 {
		t.Errorf("after 6 s at 20 tokens a millisecond: estimated %.0f", got)
	}
	play(90, 15*time.Second)
	if got := e.Engine("lm", "x", 1, now); got < 70 {
		t.Errorf("after 15 s at 90 tokens a millisecond again: estimated %.0f", got)
	}
}

// Peers start work that an instance does not know of yet, on some engines more than on others. That
// must not look like slow engines.
func TestUnseenWorkOfPeersLooksLikeSlowEngines(t *testing.T) {
	e := speed.New(assumed)
	now := start
	for ; now < start.Add(60*time.Second); now = now.Add(time.Second) {
		observe(e, "often", 90, func(rng *rand.Rand) float64 { return 0.35 + 0.65*rng.Float64() }, now, time.Second)
		observe(e, "seldom", 90, func(rng *rand.Rand) float64 { return 0.55 + 0.45*rng.Float64() }, now, time.Second)
	}
	for _, id := range []fleet.TargetID{"often", "seldom"} {
		if got := e.Engine("lm", id, 1, now); got < 68 || got > 113 {
			t.Errorf("%s used engine of 90 tokens a millisecond: estimated %.0f", id, got)
		}
	}
}

// Odd times change nothing and are reported once for each start of an engine.
func TestOddTimesAreReportedOnce(t *testing.T) {
	e := speed.New(assumed)
	before := e.Engine("lm", "x", 1, start)
	for i, took := range []time.Duration{-time.Second, 0, time.Hour} {
		if ok := e.Observe("lm", "x", 1, 9000, took, start); ok != (i > 0) {
			t.Errorf("observation %d of %v: returned %v", i, took, ok)
		}
	}
	if got := e.Engine("lm", "x", 1, start); got != before {
		t.Errorf("odd times changed the estimate from %v to %v", before, got)
	}
}

// Whatever is observed, also with a clock that goes back, an estimate stays within its bounds.
func TestEstimateStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := speed.New(assumed)
		for range rapid.IntRange(0, 100).Draw(t, "observations") {
			now := start.Add(time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "at")))
			e.Observe("lm", "x", rapid.Int64Range(1, 2).Draw(t, "start"), rapid.IntRange(-1, 1_000_000).Draw(t, "tokens"),
				time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "took")), now)
			if rapid.Bool().Draw(t, "refresh") {
				e.Refresh(now)
			}
			for _, s := range []int64{1, 2} {
				if got := e.Engine("lm", "x", s, now); !(got >= assumed/64 && got <= assumed*64) {
					t.Fatalf("estimate %v", got)
				}
			}
		}
	})
}
