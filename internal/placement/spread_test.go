package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/membership"
)

// drawn returns how often each candidate is drawn by 1,000 instances or requests.
func drawn(s Spread, r Request, candidates []Candidate) []int {
	counts := make([]int, len(candidates))
	for seed := range uint64(1000) {
		s.Seed = membership.Score(seed, 1)
		choice, _ := s.Pick(r, candidates, Limit{Wait: time.Hour})
		counts[choice.Index]++
	}
	return counts
}

func engines(n int, running int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{Slots: 24, Speed: 157, Key: membership.Score(uint64(i), 2), Load: Load{Running: running, Unread: 1000 * running}}
	}
	return all
}

var short = Request{Prompt: 800, Output: 100}

// Instances that decide at one moment must not all choose the first of equal targets, also when all
// targets are idle or the loads are current.
func TestSpreadDrawsEvenlyAmongEqualTargets(t *testing.T) {
	for _, running := range []int{0, 10} {
		for i, n := range drawn(Spread{}, short, engines(4, running)) {
			if n < 200 || n > 300 {
				t.Errorf("target %d with %d running requests was drawn %d times of 1000, want a fourth", i, running, n)
			}
		}
	}
}

// The older the loads, the less a small difference counts; with current loads it decides.
func TestSpreadWeighsDifferencesByAge(t *testing.T) {
	candidates := engines(2, 10)
	candidates[0].Load.Unread -= 1000 // 6 ms
	previous := 1001
	for _, age := range []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond} {
		best := drawn(Spread{Age: age}, short, candidates)[0]
		if age == 0 && best != 1000 || best >= previous || best < 500 {
			t.Errorf("with loads %v old the better target was drawn %d times of 1000, %d times with newer ones", age, best, previous)
		}
		previous = best
	}
}

// A request with a long shared part must stay on the targets that have it cached, even if others cost hardly more.
func TestSpreadKeepsLongPrefixes(t *testing.T) {
	r := Request{Prompt: 11992, Output: 300, Shared: 5382}
	candidates := engines(6, 14)
	again := prefillTime(r.Shared, 157) + recomputeWeight*prefillTime(r.Shared, AssumedSpeed)
	for i := range candidates {
		if i == 2 || i == 4 {
			candidates[i].Cached = r.Shared
		} else {
			candidates[i].Distance = time.Millisecond - again
		}
	}
	for i, n := range drawn(Spread{Age: 2 * time.Second}, r, candidates) {
		if cached := i == 2 || i == 4; cached && n < 400 || !cached && n > 0 {
			t.Errorf("target %d was drawn %d times of 1000, with the part cached: %v", i, n, cached)
		}
	}
}

// Failures: no loads known (the age is then the greatest), and one target.
func TestSpreadWithoutLoadsAndWithOneTarget(t *testing.T) {
	for i, n := range drawn(Spread{Age: 2 * time.Second}, short, engines(5, 0)) {
		if n == 0 {
			t.Errorf("target %d was never drawn without any loads", i)
		}
	}
	if choice, ok := (Spread{Age: time.Second}).Pick(short, engines(1, 10), Limit{Wait: time.Hour}); !ok || choice.Index != 0 || !choice.Within {
		t.Errorf("Pick among one target = %+v, %v", choice, ok)
	}
	if _, ok := (Spread{Age: time.Second}).Pick(short, engines(3, 24), Limit{Wait: time.Hour}); ok {
		t.Error("a target without a free slot was drawn")
	}
}

// Whatever the loads, the drawn target has room, costs at most the objective more than the
// cheapest, is within the limit if that is, and a repeated decision draws it again, also with the targets in another order.
func TestSpreadBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		r := Request{Prompt: 8000, Output: 100, Shared: rapid.SampledFrom([]int{0, 200, 5000}).Draw(t, "shared")}
		candidates := engines(n, 0)
		for i := range candidates {
			c := &candidates[i]
			c.Load = Load{Running: rapid.IntRange(0, 24).Draw(t, "running"), Unread: rapid.IntRange(0, 90000).Draw(t, "unread")}
			c.Cached = rapid.SampledFrom([]int{0, r.Shared}).Draw(t, "cached")
			c.Distance = rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 45 * time.Millisecond}).Draw(t, "distance")
		}
		limit := Limit{Wait: time.Duration(rapid.IntRange(0, 600).Draw(t, "limit")) * time.Millisecond}
		s := Spread{Seed: rapid.Uint64().Draw(t, "seed"), Age: time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond, Objective: 400 * time.Millisecond}
		cheapest, ok := Pick(r, candidates, limit)
		choice, drew := s.Pick(r, candidates, limit)
		if ok != drew {
			t.Fatalf("Pick finds a target: %v, Spread: %v", ok, drew)
		}
		if !ok {
			return
		}
		c, best := &candidates[choice.Index], &candidates[cheapest.Index]
		switch over := c.cost(r, c.wait(r)) - best.cost(r, best.wait(r)); {
		case !c.hasRoom(r), over < 0, over > s.Objective, cheapest.Within && !limit.allows(c, c.wait(r)),
			choice.Within != cheapest.Within, choice.Wait != c.wait(r), choice.ShortestWait != cheapest.ShortestWait:
			t.Fatalf("drew %+v (%v above the cheapest), cheapest %+v", choice, over, cheapest)
		}
		reversed := make([]Candidate, n)
		for i := range candidates {
			reversed[n-1-i] = candidates[i]
		}
		if again, _ := s.Pick(r, candidates, limit); again != choice {
			t.Fatalf("a repeated decision gives %+v, before %+v", again, choice)
		}
		// Outside the limit nothing is drawn: of equal targets, the first is returned.
		if again, _ := s.Pick(r, reversed, limit); cheapest.Within && reversed[again.Index].Key != c.Key {
			t.Fatalf("another order of the targets drew another one")
		}
	})
}

// The fleet's starts on overloaded targets must become fewer than with the lowest estimate, and the value
// served must not fall, in a fleet whose loads are up to three heartbeats old.
func TestSpreadLoadsTargetsMoreEvenly(t *testing.T) {
	const load, ms = 1.15, 12_000
	before := newModel(1, 82, load, generationKinds, lowest, true).run(ms)
	after := newModel(1, 82, load, generationKinds, chosen, true).run(ms)
	if before.badStarts <= after.badStarts || before.worth/before.possible > after.worth/after.possible {
		t.Errorf("starts on overloaded targets while others idle: %d before, %d after; value served %.3f before, %.3f after",
			before.badStarts, after.badStarts, before.worth/before.possible, after.worth/after.possible)
	}
}
