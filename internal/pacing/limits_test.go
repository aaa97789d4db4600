package pacing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/pacing"
	"medlarwind.dev/medlarwind/internal/wire"
)

// limitStart is the time at which the tests begin.
const limitStart = clock.Instant(time.Hour)

func allListed(fleet.TargetID) bool { return true }

// perSecond returns the limit of target "t" started at 1 as a table knows it, -1 for none.
func perSecond(t *pacing.LimitTable) float64 {
	limit, ok := t.Get("t", 1)
	if !ok {
		return -1
	}
	return limit.PerSecond
}

func TestLaterObservationOfLimitCounts(t *testing.T) {
	a, b := pacing.NewLimitTable(1), pacing.NewLimitTable(2)
	at := func(ms int) clock.Instant { return limitStart.Add(time.Duration(ms) * time.Millisecond) }
	a.Observe("t", 1, 5, true, at(0))
	b.Merge(a.Report(at(100)), allListed, at(120))
	if got := perSecond(b); got != 5 {
		t.Fatalf("limit %v at the peer, want 5", got)
	}
	b.Observe("t", 1, 3, true, at(300))
	b.Merge(a.Report(at(400)), allListed, at(420))
	a.Merge(b.Report(at(400)), allListed, at(420))
	if perSecond(a) != 3 || perSecond(b) != 3 {
		t.Errorf("limits %v and %v, want the later one at both", perSecond(a), perSecond(b))
	}
	a.Observe("t", 1, 0, false, at(500))
	b.Merge(a.Report(at(600)), allListed, at(620))
	if perSecond(a) != -1 || perSecond(b) != -1 {
		t.Errorf("limits %v and %v after the target named none", perSecond(a), perSecond(b))
	}
}

// An instance that learnt of no limit must contradict a peer that knows one from before its own answer.
func TestLimitEndedWhereItWasUnknown(t *testing.T) {
	a, b := pacing.NewLimitTable(1), pacing.NewLimitTable(2)
	at := func(ms int) clock.Instant { return limitStart.Add(time.Duration(ms) * time.Millisecond) }
	exchange := func(now clock.Instant) {
		b.Merge(a.Report(now), allListed, now)
		a.Merge(b.Report(now), allListed, now)
	}
	a.Observe("t", 1, 5, true, at(0))
	b.Observe("t", 1, 0, false, at(100))
	exchange(at(200))
	if perSecond(a) != -1 || perSecond(b) != -1 {
		t.Errorf("limits %v and %v after the target named none", perSecond(a), perSecond(b))
	}
	a.Observe("t", 1, 3, true, at(300))
	exchange(at(400))
	if perSecond(a) != 3 || perSecond(b) != 3 {
		t.Errorf("limits %v and %v after the target named one again", perSecond(a), perSecond(b))
	}
	b.Observe("u", 2, 0, false, at(500))
	a.Observe("u", 1, 5, true, at(600))
	exchange(at(700))
	if _, ok := b.Get("u", 1); ok {
		t.Error("the limit of an earlier start is taken over")
	}
}

// A report that comes back late must not look later than an observation made meanwhile.
func TestEchoedLimitDoesNotReplaceLaterOne(t *testing.T) {
	a, b := pacing.NewLimitTable(1), pacing.NewLimitTable(2)
	now := limitStart
	a.Observe("t", 1, 5, true, now)
	// Each transit takes 150 ms, by which an age is too low on arrival.
	for range 20 {
		toB, toA := a.Report(now), b.Report(now)
		now = now.Add(150 * time.Millisecond)
		b.Merge(toB, allListed, now)
		a.Merge(toA, allListed, now)
	}
	c := pacing.NewLimitTable(3)
	c.Observe("t", 1, 2, true, limitStart.Add(time.Second))
	a.Merge(c.Report(now), allListed, now)
	b.Merge(c.Report(now), allListed, now)
	if perSecond(a) != 2 || perSecond(b) != 2 {
		t.Errorf("limits %v and %v, want 2, which was observed a second later", perSecond(a), perSecond(b))
	}
}

// A restarted target, or another at its place, has no limit until it names one.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	a, b := pacing.NewLimitTable(1), pacing.NewLimitTable(2)
	a.Observe("t", 1, 5, true, limitStart)
	if _, ok := a.Get("t", 2); ok {
		t.Error("the limit applies to the next start of the target")
	}
	b.Observe("t", 2, 8, true, limitStart)
	later := limitStart.Add(time.Second)
	b.Merge(a.Report(later), allListed, later)
	if limit, ok := b.Get("t", 2); !ok || limit.PerSecond != 8 {
		t.Errorf("limit %v, want that of the later start", limit.PerSecond)
	}
	a.Merge(b.Report(later), allListed, later)
	if _, ok := a.Get("t", 1); ok {
		t.Error("the limit of an earlier start is kept")
	}
}

// Instances must agree on the last observation, in whatever order reports arrive, repeat or
// are lost.
func TestInstancesAgreeOnLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		tables := make([]*pacing.LimitTable, rapid.IntRange(2, 6).Draw(t, "instances"))
		for i := range tables {
			tables[i] = pacing.NewLimitTable(fleet.Incarnation(i + 1))
		}
		now, last := limitStart, -1.0
		exchange := func(lost float64) {
			for _, to := range rng.Perm(len(tables)) {
				for _, from := range rng.Perm(len(tables)) {
					if rng.Float64() >= lost {
						tables[to].Merge(tables[from].Report(now), allListed, now)
					}
				}
			}
		}
		for range 5 + rng.IntN(30) {
			now = now.Add(time.Duration(10+rng.IntN(1500)) * time.Millisecond)
			named := rng.IntN(3) > 0
			limit := float64(rng.IntN(3))
			tables[rng.IntN(len(tables))].Observe("t", 1, limit, named, now)
			last = limit
			if !named {
				last = -1
			}
			exchange(0.6)
		}
		for range len(tables) {
			now = now.Add(200 * time.Millisecond)
			exchange(0)
		}
		for i, table := range tables {
			if got := perSecond(table); got != last && !(last == -1 && got == -1) {
				t.Fatalf("instance %d knows the limit %v, the last one observed is %v", i, got, last)
			}
		}
	})
}

// Reports stay bounded when many targets name limits, and reach a peer that starts later.
func TestLimitReportsAreBounded(t *testing.T) {
	const targets = 1000
	a, b := pacing.NewLimitTable(1), pacing.NewLimitTable(2)
	for i := range targets {
		a.Observe(fleet.TargetID(fmt.Sprint("t", i)), 1, 5, true, limitStart)
	}
	now := limitStart.Add(time.Minute)
	for range targets {
		now = now.Add(200 * time.Millisecond)
		report := a.Report(now)
		if len(report) > 144 {
			t.Fatalf("%d limits in a report", len(report))
		}
		b.Merge(report, allListed, now)
	}
	for i := range targets {
		if _, ok := b.Get(fleet.TargetID(fmt.Sprint("t", i)), 1); !ok {
			t.Fatalf("the peer does not know the limit of target %d", i)
		}
	}
	a.Expire(func(fleet.TargetID) bool { return false }, now)
	if report := a.Report(now); len(report) != 0 {
		t.Errorf("%d limits of targets that are not listed any more", len(report))
	}
	b.Merge([]wire.TargetLimit{{Target: "t", StartMillis: 1, PerSecond: -3}, {Target: "t", StartMillis: 1, PerSecond: 3, AgeMillis: -3}}, allListed, now)
	if got := perSecond(b); got != -1 {
		t.Errorf("limit %v from an invalid report", got)
	}
}

// BenchmarkLimits reports and merges the limits of many targets.
func BenchmarkLimits(b *testing.B) {
	for _, targets := range []int{13, 8400} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			from, to := pacing.NewLimitTable(1), pacing.NewLimitTable(2)
			for i := range targets {
				from.Observe(fleet.TargetID(fmt.Sprint("i-1021bfbd", i)), 1, 5, true, limitStart)
			}
			now := limitStart.Add(time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				to.Merge(from.Report(now), allListed, now)
			}
		})
	}
}

// BenchmarkUnlimited records the answers of targets that name no limit.
func BenchmarkUnlimited(b *testing.B) {
	const targets = 12_000
	ids := make([]fleet.TargetID, targets)
	for i := range ids {
		ids[i] = fleet.TargetID(fmt.Sprint("i-1021bfbd", i))
	}
	b.ReportAllocs()
	for b.Loop() {
		table := pacing.NewLimitTable(1)
		for _, id := range ids {
			table.Observe(id, 1, 0, false, limitStart)
		}
	}
}
