package prefixindex_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/prefixindex"
	"medlarwind.dev/medlarwind/internal/wire"
)

const start = clock.Instant(time.Hour)

func listed(fleet.TargetID, int64) bool { return true }

// state returns what an index knows of a few prefixes, in a form that can be compared.
func state(x *prefixindex.Index, now clock.Instant) []string {
	var all []string
	for p := range uint64(6) {
		for _, e := range x.Holders(p) {
			all = append(all, fmt.Sprint(e.Target, p, e.Tokens, e.Kept(), e.Prefilling(now), x.IsStart(e.Target, 1), x.IsStart(e.Target, 2), e.Age(now)))
		}
	}
	slices.Sort(all)
	return all
}

// Reports reach an instance in any order and more than once. What it knows then must not depend on
// either, or instances would place requests on different beliefs for good.
func TestMergeIsIdempotentAndOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.KeptPrefix {
			return wire.KeptPrefix{
				Target: fleet.TargetID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")), StartMillis: rapid.Int64Range(1, 2).Draw(t, "start"),
				Prefix: rapid.Uint64Range(0, 5).Draw(t, "prefix"), Tokens: rapid.IntRange(900, 1100).Draw(t, "tokens"),
				Reading: rapid.Bool().Draw(t, "reading"), AgeMillis: rapid.Int64Range(-1, 70_000).Draw(t, "age"),
			}
		}), 0, 20).Draw(t, "report")
		once, twice := prefixindex.New(), prefixindex.New()
		once.Merge(report, "p", prefixindex.DataCentre, listed, start)
		mixed := rapid.Permutation(report).Draw(t, "mixed")
		for range 2 {
			for _, w := range mixed {
				twice.Merge([]wire.KeptPrefix{w}, "q", prefixindex.Elsewhere, listed, start)
			}
		}
		if a, b := state(once, start), state(twice, start); !slices.Equal(a, b) {
			t.Fatalf("reports merged once: %v, twice in another order: %v", a, b)
		}
	})
}

// An index that outgrows its bounds, or that keeps entries of a start that is over, takes memory
// from the requests and sends them to targets that keep nothing.
func TestIndexKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, now := prefixindex.New(), start
		starts := make(map[fleet.TargetID]int64)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := fleet.TargetID(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target")))
			began := rapid.Int64Range(1, 4).Draw(t, "start")
			starts[id] = max(starts[id], began)
			for range rapid.IntRange(0, prefixindex.MaxPerTarget+10).Draw(t, "prefixes") {
				x.Keep(id, began, rapid.Uint64Range(0, 2000).Draw(t, "prefix"), 1000, now)
			}
			x.TakeIn(id, began, 1000, now)
			x.Expire(prefixindex.Usage{Target: id, StartMillis: starts[id], Memory: 100_000, Running: 50_000}, now)
			if n := len(x.Report("p", prefixindex.Elsewhere, now)); n > prefixindex.MaxReported {
				t.Fatalf("report of %d entries, want at most %d", n, prefixindex.MaxReported)
			}
			perTarget := make(map[fleet.TargetID]int)
			for p := range uint64(2001) {
				for _, e := range x.Holders(p) {
					perTarget[e.Target]++
					if !x.IsStart(e.Target, starts[e.Target]) {
						t.Fatalf("an entry of another start than %d of %s", starts[e.Target], e.Target)
					}
				}
			}
			total := 0
			for target, n := range perTarget {
				total += n
				// 50,000 tokens are free, and each entry has 1,000.
				if target == id && n > 50 || n > prefixindex.MaxPerTarget {
					t.Fatalf("%d entries of %s", n, target)
				}
			}
			if total != x.Stats().Entries {
				t.Fatalf("%d entries are listed, %d counted", total, x.Stats().Entries)
			}
		}
	})
}

func TestTotalIsBounded(t *testing.T) {
	x := prefixindex.New()
	for i := range prefixindex.MaxTargets + 1 {
		for p := range uint64(17) {
			x.Keep(fleet.TargetID(fmt.Sprint(i)), 1, p, 2000, start)
		}
	}
	if s := x.Stats(); s.Entries > prefixindex.MaxEntries || s.Targets > prefixindex.MaxTargets {
		t.Errorf("%d entries of %d targets", s.Entries, s.Targets)
	}
}

// A belief that outlives the engine's cache sends requests for a transfer of nothing, and one that ends
// too early has the prefix prefilled again.
func TestEntryExpiresWithTheTargetsMemory(t *testing.T) {
	x := prefixindex.New()
	now := start
	x.Keep("a", 1, 7, 5000, now)
	usage := prefixindex.Usage{Target: "a", StartMillis: 1, Memory: 100_000, Running: 20_000, PeerPerSecond: 30_000}
	x.Expire(usage, now)
	for range 3 {
		now = now.Add(time.Second)
		x.Expire(usage, now)
	}
	if e := x.Get("a", 1, 7); e == nil || e.Belief() < 0.5 || e.Belief() >= 1 {
		t.Fatalf("after 90,000 of 100,000 tokens the entry is %+v, want a doubtful one", e)
	}
	now = now.Add(time.Second)
	if x.Expire(usage, now); x.Get("a", 1, 7) != nil {
		t.Error("the entry outlives the target's memory")
	}
}

// Relays that tell peers the same again and again, or that tell a peer what it said itself, use up the
// budget of control traffic.
func TestChangesAreToldOnce(t *testing.T) {
	a, relay := prefixindex.New(), prefixindex.New()
	for p := range uint64(100) {
		a.Keep("t", 1, p, 1000+int(p), start)
	}
	report := a.Report("relay", prefixindex.Own, start.Add(200*time.Millisecond))
	if len(report) != prefixindex.MaxReported || report[0].Tokens != 1099 || report[0].AgeMillis != 200 {
		t.Fatalf("report of %d entries, the first %+v; want the %d largest, 200 ms old", len(report), report[0], prefixindex.MaxReported)
	}
	if again := a.Report("relay", prefixindex.Own, start.Add(400*time.Millisecond)); len(again) != 0 {
		t.Errorf("%d entries are told twice", len(again))
	}
	now := start.Add(time.Second)
	relay.Merge(report, "a", prefixindex.DataCentre, listed, now)
	relay.Merge(report, "a", prefixindex.DataCentre, listed, now)
	if back := relay.Report("a", prefixindex.Elsewhere, now); len(back) != 0 {
		t.Errorf("%d entries are told to the instance that reported them", len(back))
	}
	if own := relay.Report("c", prefixindex.Own, now); len(own) != 0 {
		t.Errorf("%d entries of others are told as the relay's own", len(own))
	}
	forwarded := relay.Report("b", prefixindex.DataCentre, now.Add(300*time.Millisecond))
	if len(forwarded) != prefixindex.MaxReported || forwarded[0].AgeMillis != 500 {
		t.Errorf("%d entries are forwarded, the first %+v; want all, 500 ms old", len(forwarded), forwarded[0])
	}
}

// A source whose transfers fail must not be named again at once, and an entry that late first events
// disprove must not stay.
func TestFailingSourceIsAvoided(t *testing.T) {
	x := prefixindex.New()
	for p := range uint64(3) {
		x.Keep("a", 1, p, 5000, start)
		x.EndFetch("a", 1, p, true, start.Add(time.Millisecond))
	}
	if x.IsSource("a", start.Add(time.Second)) || !x.IsSource("a", start.Add(4*time.Second)) {
		t.Error("after three failed fetches the target must not be a source for 3 s")
	}
	x.EndFetch("a", 1, 0, true, start.Add(2*time.Millisecond))
	if x.Get("a", 1, 0).Kept() || !x.Get("a", 1, 1).Kept() {
		t.Error("two late first events in succession must drop the entry, one must not")
	}
}

// A peer that is faulty or of another release must not fill the index with what cannot be.
func TestOddReportsAreIgnored(t *testing.T) {
	x := prefixindex.New()
	odd := []wire.KeptPrefix{
		{Target: "a", StartMillis: 1, Prefix: 1, Tokens: 999},
		{Target: "a", StartMillis: 1, Prefix: 1, Tokens: -5000},
		{Target: "a", StartMillis: 1, Prefix: 1, Tokens: 1 << 40},
		{Target: "a", StartMillis: 1, Prefix: 1, Tokens: 5000, AgeMillis: -1},
		{Target: "a", StartMillis: 1, Prefix: 1, Tokens: 5000, AgeMillis: 1 << 60},
		{Target: "a", StartMillis: 2, Prefix: 1, Tokens: 5000},
		{Target: "gone", StartMillis: 1, Prefix: 1, Tokens: 5000},
	}
	isListed := func(id fleet.TargetID, startMillis int64) bool { return id == "a" && startMillis == 1 }
	x.Merge(odd, "p", prefixindex.DataCentre, isListed, start)
	if s := x.Stats(); s.Entries != 0 || s.Ignored != int64(len(odd)) {
		t.Errorf("%+v, want %d ignored and no entry", s, len(odd))
	}
	many := make([]wire.KeptPrefix, 10*prefixindex.MaxReported)
	for i := range many {
		many[i] = wire.KeptPrefix{Target: "a", StartMillis: 1, Prefix: uint64(i), Tokens: 5000}
	}
	x.Merge(many, "p", prefixindex.DataCentre, isListed, start)
	if n := x.Stats().Entries; n != prefixindex.MaxReported {
		t.Errorf("a report of %d entries added %d, want %d", len(many), n, prefixindex.MaxReported)
	}
}

// A target whose machine's clock was set back restarts with a lower start. It must not stay without
// entries, nor with those of the start before.
func TestRestartWithLowerStart(t *testing.T) {
	x := prefixindex.New()
	x.Keep("a", 9, 1, 5000, start)
	x.Expire(prefixindex.Usage{Target: "a", StartMillis: 5, Memory: 100_000}, start)
	x.Keep("a", 5, 2, 5000, start)
	if x.Get("a", 9, 1) != nil || x.Get("a", 5, 2) == nil {
		t.Error("the index has entries of the start that is over, or none of the one that is listed")
	}
}

// BenchmarkExpire measures the upkeep of 90 targets with 50 entries each, which is due five times a second.
func BenchmarkExpire(b *testing.B) {
	x := prefixindex.New()
	for i := range 90 {
		for p := range uint64(50) {
			x.Keep(fleet.TargetID(fmt.Sprint(i)), 1, p, 5000, start)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range 90 {
			x.Expire(prefixindex.Usage{Target: fleet.TargetID(fmt.Sprint(i)), StartMillis: 1, Memory: 1_000_000}, start)
		}
	}
}
