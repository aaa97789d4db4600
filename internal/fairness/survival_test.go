package fairness

import (
	"testing"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// TestLongRequestIsChargedInAdvance checks that a running request that has cost more
// than the short ones is charged the cost of the long ones before it incurs that cost.
func TestLongRequestIsChargedInAdvance(t *testing.T) {
	const short, long = 30, 6400
	a := New(1, Params{})
	for range 16 {
		for _, cost := range []fleet.Cost{short, short, short, long} {
			rc := a.Start("c", 0)
			a.Finish(&rc, cost)
		}
	}
	rc := a.Start("c", 0)
	a.Update(&rc, short)
	if rc.charged >= long {
		t.Errorf("request with cost %d so far was charged %d", short, rc.charged)
	}
	a.Update(&rc, 2*short)
	if rc.charged < long*9/10 || rc.charged > long*11/10 {
		t.Errorf("request with cost %d so far was charged %d, want about %d", 2*short, rc.charged, long)
	}
}

// TestAdvanceChargesAreCorrected checks that, once a customer's requests have ended,
// its charges less its credit equal the cost that it used.
func TestAdvanceChargesAreCorrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(1, Params{})
		var used fleet.Cost
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			cost := fleet.Cost(rapid.IntRange(1, 1<<20).Draw(t, "cost"))
			rc := a.Start("c", 0)
			for at := fleet.Cost(1); at < cost; at *= 3 {
				a.Update(&rc, at)
			}
			a.Finish(&rc, cost)
			used += cost
		}
		acc := &a.accounts[a.index["c"]]
		if got := acc.cost - acc.estimate.credit; got != used {
			t.Fatalf("charges less credit are %d, want %d", got, used)
		}
	})
}
