package placement_test

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/placement"
)

var unlimited = placement.Limit{Wait: time.Hour}

// longRequest has a long prompt with a long shared part.
var longRequest = placement.Request{Prompt: 12000, Output: 400, Shared: 5000}

func TestPickPrefersHomeWhileWaitIsShort(t *testing.T) {
	home := placement.Candidate{Slots: 64, Cached: 5000, Load: placement.Load{Running: 20, Unread: 12000}}
	idle := placement.Candidate{Slots: 64, Rank: 1}
	choice, ok := placement.Pick(longRequest, []placement.Candidate{idle, home}, unlimited)
	if !ok || choice.Index != 1 {
		t.Errorf("Pick = %+v, want the home with 220 ms of work ahead over an idle target that must prefill the part again", choice)
	}
}

func TestPickLeavesOverloadedHome(t *testing.T) {
	home := placement.Candidate{Slots: 64, Cached: 5000, Load: placement.Load{Running: 40, Unread: 200000}}
	second := placement.Candidate{Slots: 64, Rank: 1}
	third := placement.Candidate{Slots: 64, Rank: 2}
	choice, ok := placement.Pick(longRequest, []placement.Candidate{home, third, second}, unlimited)
	if !ok || choice.Index != 2 {
		t.Errorf("Pick = %+v, want the second in rank when the home has 3.6 s of work ahead", choice)
	}
}

func TestPickMinimizesTimeOfUnsharedRequest(t *testing.T) {
	query := placement.Request{Prompt: 800, Output: 300}
	busyNear := placement.Candidate{Slots: 64, Load: placement.Load{Running: 50, Unread: 15000}}
	idleFar := placement.Candidate{Slots: 64, Distance: 45 * time.Millisecond}
	lightNear := placement.Candidate{Slots: 64, Load: placement.Load{Running: 5}}
	choice, _ := placement.Pick(query, []placement.Candidate{busyNear, idleFar, lightNear}, unlimited)
	if choice.Index != 2 {
		t.Errorf("Pick = %d, want the least busy target nearby", choice.Index)
	}
	choice, _ = placement.Pick(query, []placement.Candidate{busyNear, idleFar}, unlimited)
	if choice.Index != 1 {
		t.Errorf("Pick = %d, want the idle target of another region over 270 ms of work nearby", choice.Index)
	}
}

func TestPickRespectsCapacity(t *testing.T) {
	noSlots := placement.Candidate{Slots: 4, Load: placement.Load{Running: 4}}
	noMemory := placement.Candidate{Slots: 64, Memory: 100000, Load: placement.Load{Memory: 95000}}
	if choice, ok := placement.Pick(longRequest, []placement.Candidate{noSlots, noMemory}, unlimited); ok {
		t.Errorf("Pick = %+v, want none: slots and memory are used up", choice)
	}
}

func TestPickAvoidsFailingTarget(t *testing.T) {
	request := placement.Request{ServiceTime: 15 * time.Millisecond}
	failing := placement.Candidate{Slots: 12, FailureRate: 0.4}
	healthy := placement.Candidate{Slots: 12, Distance: 45 * time.Millisecond, Load: placement.Load{Running: 6}}
	if choice, _ := placement.Pick(request, []placement.Candidate{failing, healthy}, unlimited); choice.Index != 1 {
		t.Error("a target that fails 40 % of its requests was preferred to a healthy one in another region")
	}
}

func BenchmarkPick(b *testing.B) {
	candidates := make([]placement.Candidate, 90)
	for i := range candidates {
		candidates[i] = placement.Candidate{Slots: 64, Rank: i, Load: placement.Load{Running: i}}
	}
	for b.Loop() {
		placement.Pick(longRequest, candidates, unlimited)
	}
}

// The shortest wait is that of any target with room, also if another is chosen.
func TestPickReportsShortestWait(t *testing.T) {
	home := placement.Candidate{Slots: 64, Cached: 5000, Load: placement.Load{Running: 20, Unread: 12000}}
	idle := placement.Candidate{Slots: 64, Rank: 1, Load: placement.Load{Running: 2}}
	full := placement.Candidate{Slots: 1, Rank: 2, Load: placement.Load{Running: 1}}
	choice, ok := placement.Pick(longRequest, []placement.Candidate{home, full, idle}, unlimited)
	if !ok || choice.Index != 0 || choice.ShortestWait != time.Millisecond {
		t.Errorf("Pick = %+v, want the home and a shortest wait of 1 ms", choice)
	}
}

// Whether the target is within the limit is told; another is not taken instead.
func TestPickTellsWhetherTargetIsWithinLimit(t *testing.T) {
	home := placement.Candidate{Slots: 64, Cached: 5000, Load: placement.Load{Running: 20, Unread: 40000}}
	idle := placement.Candidate{Slots: 64, Rank: 2, Load: placement.Load{Running: 2}}
	for _, test := range []struct {
		limit  placement.Limit
		within bool
	}{
		{placement.Limit{Wait: 600 * time.Millisecond}, false},
		{placement.Limit{Wait: 900 * time.Millisecond}, true},
		{placement.Limit{Wait: 900 * time.Millisecond, Slots: 0.3}, false},
	} {
		choice, ok := placement.Pick(longRequest, []placement.Candidate{home, idle}, test.limit)
		if !ok || choice.Index != 0 || choice.Within != test.within {
			t.Errorf("limit %+v: Pick = %+v, want the home, within the limit: %v", test.limit, choice, test.within)
		}
	}
}

// A fast engine with more tokens to prefill may start sooner than a slow one with fewer.
func TestPickKnowsSpeeds(t *testing.T) {
	request := placement.Request{Prompt: 2000, Output: 100}
	fast := placement.Candidate{Slots: 64, Speed: 120, Load: placement.Load{Unread: 9000}}
	slow := placement.Candidate{Slots: 64, Speed: 20, Load: placement.Load{Unread: 3000}}
	if choice, _ := placement.Pick(request, []placement.Candidate{slow, fast}, unlimited); choice.Index != 1 {
		t.Errorf("Pick = %+v, want the fast engine", choice)
	}
}

// A request must not start where its first event surely comes after its deadline, also if the target
// is the cheapest otherwise; where the estimate may be too long it must.
func TestPickPassesOverTargetsThatAreTooLate(t *testing.T) {
	plain := placement.Request{ServiceTime: 15 * time.Millisecond}
	replacement := placement.Request{ServiceTime: 15 * time.Millisecond, NewConn: true}
	busyHome := placement.Candidate{Slots: 64, Cached: 5000, Speed: 50, Load: placement.Load{Unread: 30000}}
	for name, test := range map[string]struct {
		request    placement.Request
		left       time.Duration
		candidates []placement.Candidate
		index      int
		late       int
	}{
		"in time":                          {longRequest, time.Second, []placement.Candidate{busyHome, {Slots: 64, Rank: 1, Speed: 50}}, 0, 0},
		"home too late":                    {longRequest, 300 * time.Millisecond, []placement.Candidate{busyHome, {Slots: 64, Rank: 1, Speed: 50}}, 1, 1},
		"all too late":                     {longRequest, 100 * time.Millisecond, []placement.Candidate{busyHome, {Slots: 64, Rank: 1, Speed: 50}}, -1, 2},
		"estimate twice too long":          {longRequest, 400 * time.Millisecond, []placement.Candidate{busyHome}, 0, 0},
		"speed not known, engine is fast":  {longRequest, 80 * time.Millisecond, []placement.Candidate{{Slots: 64}}, 0, 0},
		"no time given":                    {longRequest, 0, []placement.Candidate{busyHome}, 0, 0},
		"plain, work may take no time":     {plain, time.Millisecond, []placement.Candidate{{Slots: 8, Load: placement.Load{Running: 7}}}, 0, 0},
		"replacement, needs a connection":  {replacement, 60 * time.Millisecond, []placement.Candidate{{Slots: 8, Distance: 45 * time.Millisecond}, {Slots: 8}}, 1, 1},
		"plain, further away than allowed": {plain, 10 * time.Millisecond, []placement.Candidate{{Slots: 8, Distance: 45 * time.Millisecond}}, -1, 1},
	} {
		test.request.TimeLeft = test.left
		choice, ok := placement.Pick(test.request, test.candidates, unlimited)
		if choice.Index != test.index || ok != (test.index >= 0) || choice.Late != test.late {
			t.Errorf("%s: Pick = %+v, want index %d and %d too late", name, choice, test.index, test.late)
		}
	}
}
