package admission_test

import (
	"slices"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/admission"
)

// Each criterion must decide only between requests that are equal in those before it.
func TestOrder(t *testing.T) {
	want := []admission.Waiting{
		{Rank: 0, Late: false, Position: 0.1, Slack: 9, Since: 5},
		{Rank: 0, Late: false, Position: 2, Slack: 1, Since: 4},
		{Rank: 0, Late: false, Position: 2, Slack: 3, Since: 2},
		{Rank: 0, Late: false, Position: 2, Slack: 3, Since: 3},
		{Rank: 0, Late: true, Position: 0, Slack: 0.5, Since: 1},
		{Rank: 1, Late: false, Position: 0, Slack: 0.1, Since: 0},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	if slices.SortFunc(got, admission.Compare); !slices.Equal(got, want) {
		t.Errorf("got order %+v, want %+v", got, want)
	}
}

// A request behind more others than start before its wait ends must not wait in vain, and one must not be refused
// for a rate measured while nothing was asked.
func TestStartsWithin(t *testing.T) {
	for _, test := range []struct {
		ahead int
		rate  float64
		want  bool
	}{{0, 0, true}, {7, 0, true}, {8, 0, false}, {79, 100, true}, {80, 100, false}} {
		o := admission.Outlook{Ahead: test.ahead, StartsPerSecond: test.rate}
		if got := o.StartsWithin(400 * time.Millisecond); got != test.want {
			t.Errorf("%+v: got %v, want %v", o, got, test.want)
		}
	}
}
