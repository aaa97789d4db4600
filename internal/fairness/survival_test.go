package fairness

import (
	"testing"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// TestLongRequestIsChargedAhead checks that a request that has outlived the short ones
// is charged what long ones cost while it still runs.
func TestLongRequestIsChargedAhead(t *testing.T) {
	const short, long = 30, 6400
	a := New(1, Params{})
	for range 16 {
		for _, cost := range []fleet.Cost{short, short, short, long} {
			w := a.Start("c", 0)
			a.Finish(&w, cost)
		}
	}
	w := a.Start("c", 0)
	a.Update(&w, short)
	if w.charged >= long {
		t.Errorf("a request at %d was charged %d", short, w.charged)
	}
	a.Update(&w, 2*short)
	if w.charged < long*9/10 || w.charged > long*11/10 {
		t.Errorf("a request at %d was charged %d, want about %d", 2*short, w.charged, long)
	}
}

// TestChargesAheadAreCorrected checks that in the end a customer was charged what it
// used, with the credit for its next request.
func TestChargesAheadAreCorrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(1, Params{})
		var used fleet.Cost
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			cost := fleet.Cost(rapid.IntRange(1, 1<<20).Draw(t, "cost"))
			w := a.Start("c", 0)
			for at := fleet.Cost(1); at < cost; at *= 3 {
				a.Update(&w, at)
			}
			a.Finish(&w, cost)
			used += cost
		}
		acc := &a.accounts[a.index["c"]]
		if got := acc.cost - acc.estimate.credit; got != used {
			t.Fatalf("charged %d less the credit, want %d", got, used)
		}
	})
}
