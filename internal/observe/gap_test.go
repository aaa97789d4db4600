package observe

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// TestGapComparesWithinOneSetOfTargets checks that Gap ignores the service of customers
// whose work can run on other targets.
func TestGapComparesWithinOneSetOfTargets(t *testing.T) {
	window := []Backlogged{
		{Customer: "a", Share: 1, TargetSet: "x", Service: 100},
		{Customer: "b", Share: 2, TargetSet: "x", Service: 260},
		{Customer: "c", Share: 1, TargetSet: "x", Service: 110},
		{Customer: "d", Share: 1, TargetSet: "y", Service: 9000},
	}
	want := ServiceGap{Gap: 30, Most: "b", Least: "a", TargetSet: "x"}
	if got := Gap(window); got != want {
		t.Errorf("Gap = %+v, want %+v", got, want)
	}
	if got := Gap(window[3:]); got != (ServiceGap{}) {
		t.Errorf("Gap of a single customer = %+v, want zero", got)
	}
}

// TestWorstGapIsTheLargestGapOfAllWindows compares WorstGap with the largest Gap of any
// window, found by trying them all.
func TestWorstGapIsTheLargestGapOfAllWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.IntRange(1, 8).Draw(t, "samples")
		run := make([]History, rapid.IntRange(0, 5).Draw(t, "customers"))
		for i := range run {
			h := History{Customer: fleet.CustomerID(fmt.Sprint(i)), Share: float64(int(1) << (i % 3)), TargetSet: []string{"x", "y"}[i/3]}
			total := fleet.Cost(0)
			for range samples {
				total += fleet.Cost(rapid.IntRange(0, 20).Draw(t, "service"))
				h.Service = append(h.Service, total)
				h.Backlogged = append(h.Backlogged, rapid.IntRange(0, 3).Draw(t, "backlogged") > 0)
			}
			run[i] = h
		}
		want := 0.0
		for from := range samples {
			for to := from + 1; to < samples; to++ {
				want = max(want, Gap(window(run, from, to)).Gap)
			}
		}
		if got := WorstGap(run); got.Gap != want {
			t.Fatalf("WorstGap = %+v, want gap %v", got, want)
		}
	})
}

// window returns the customers that were backlogged throughout from sample from to
// sample to, with their service in between.
func window(run []History, from, to int) []Backlogged {
	var backlogged []Backlogged
	for _, h := range run {
		always := true
		for k := from + 1; k <= to; k++ {
			always = always && h.Backlogged[k]
		}
		if always {
			backlogged = append(backlogged, Backlogged{h.Customer, h.Share, h.TargetSet, h.Service[to] - h.Service[from]})
		}
	}
	return backlogged
}
