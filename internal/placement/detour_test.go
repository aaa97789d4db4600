package placement

import (
	"testing"
	"time"
)

// A request whose preferred target is over the limit must start on another one that costs little more, and on none
// that is over the limit, full, or costs much more.
func TestDetour(t *testing.T) {
	limit, r := Limit{Wait: 50 * time.Millisecond, Slots: 0.5}, Request{Prompt: 1000, Output: 10}
	preferred := Candidate{Slots: 32, Load: Load{Running: 20}, Speed: 66, Key: 1}
	for _, test := range []struct {
		name  string
		other Candidate
		want  bool
	}{
		{"near", Candidate{Slots: 32, Distance: 5 * time.Millisecond, Speed: 66, Key: 2}, true},
		{"far", Candidate{Slots: 32, Distance: 200 * time.Millisecond, Speed: 66, Key: 2}, false},
		{"over the wait", Candidate{Slots: 32, Load: Load{Unread: 5000}, Speed: 66, Key: 2}, false},
		{"over the slots", Candidate{Slots: 32, Load: Load{Running: 21}, Speed: 66, Key: 2}, false},
	} {
		candidates := []Candidate{preferred, test.other}
		choice := Choice{Index: 0, Wait: 10 * time.Millisecond}
		got := Spread{Seed: 1}.Detour(r, candidates, limit, 100*time.Millisecond, choice)
		if got.Within != test.want || test.want && got.Index != 1 || !test.want && got != choice {
			t.Errorf("%s: got %+v, want a detour: %v", test.name, got, test.want)
		}
	}
}
