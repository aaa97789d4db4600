package inventory_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/wire"
)

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// pass passes a report of one instance on to another after a time on the way.
func pass(from, to *inventory.Inventory, after time.Duration) bool {
	now := start.Add(after)
	return to.MergeLeaving(from.ReportLeaving(now, testRandom()), now)
}

// A run that a peer knows to leave must get no work, also if it is listed here only later.
func TestRunKnownToLeaveIsListedLater(t *testing.T) {
	a, b := inventory.New(), inventory.New()
	x := listed("x", 5, inventory.Ready)
	a.Update([]inventory.Target{x}, nil, start)
	b.Update([]inventory.Target{listed("x", 4, inventory.Ready)}, nil, start)
	a.MarkLeaving("x", 5, start)
	if !pass(a, b, time.Second) || pass(a, b, 2*time.Second) {
		t.Error("only the first report is news")
	}
	if !b.IsUsable("x", 4) {
		t.Error("the former run does not get work")
	}
	b.Update([]inventory.Target{x}, nil, start.Add(3*time.Second))
	if b.IsUsable("x", 5) {
		t.Error("the run that leaves gets work")
	}
}

// A restarted target must get work whatever peers still report of its former run, also if its
// clock was set back.
func TestReportOfFormerRunBindsRestartedTarget(t *testing.T) {
	for _, restarted := range []int64{3, 9} {
		a, b := inventory.New(), inventory.New()
		for _, v := range []*inventory.Inventory{a, b} {
			v.Update([]inventory.Target{listed("x", 5, inventory.Ready)}, nil, start)
		}
		a.MarkLeaving("x", 5, start)
		pass(a, b, time.Second)
		b.Update([]inventory.Target{listed("x", restarted, inventory.Ready)}, nil, start.Add(2*time.Second))
		pass(a, b, 3*time.Second)
		if !b.IsUsable("x", restarted) {
			t.Errorf("start %d does not get work", restarted)
		}
		b.MarkLeaving("x", restarted, start.Add(4*time.Second))
		if b.IsUsable("x", restarted) {
			t.Errorf("start %d gets work after it said that it leaves", restarted)
		}
	}
}

// What is known of targets that have gone must end, however often instances remind each other.
func TestInstancesRemindEachOtherOfGoneTargets(t *testing.T) {
	a, b := inventory.New(), inventory.New()
	x := []inventory.Target{listed("x", 5, inventory.Ready)}
	a.Update(x, nil, start)
	b.Update(x, nil, start)
	a.MarkLeaving("x", 5, start)
	pass(a, b, time.Second)
	for s := 2; s < 200; s++ {
		after := time.Duration(s) * time.Second
		if s < 100 {
			// While it is listed, a target may not be forgotten.
			a.Update(x, nil, start.Add(after))
			b.Update(x, nil, start.Add(after))
			if a.IsUsable("x", 5) || b.IsUsable("x", 5) {
				t.Fatalf("the target gets work after %v", after)
			}
		} else {
			a.Update(nil, nil, start.Add(after))
			b.Update(nil, nil, start.Add(after))
		}
		pass(a, b, after)
		pass(b, a, after)
	}
	end := start.Add(200 * time.Second)
	if n := len(a.ReportLeaving(end, testRandom())) + len(b.ReportLeaving(end, testRandom())); n != 0 {
		t.Errorf("%d reports of a target that has gone for 100 s", n)
	}
}

// Reports must stay bounded when many targets leave at once, and still bring them all to a peer.
func TestReportsOfLeavingTargetsAreBounded(t *testing.T) {
	const targets = 1000
	a, b := inventory.New(), inventory.New()
	var list []inventory.Target
	for i := range targets {
		list = append(list, listed(fmt.Sprint("t", i), 1, inventory.Ready))
	}
	a.Update(list, nil, start)
	b.Update(list, nil, start)
	for _, x := range list {
		a.MarkLeaving(x.ID, 1, start)
	}
	random := testRandom()
	known := 0
	for n := 0; known < targets; n++ {
		if n > 5000 {
			t.Fatalf("the peer knows %d of %d targets after %d reports", known, targets, n)
		}
		now := start.Add(time.Duration(n) * 200 * time.Millisecond)
		report := a.ReportLeaving(now, random)
		if len(report) > 72 {
			t.Fatalf("%d targets in a report", len(report))
		}
		b.MergeLeaving(report, now)
		known = 0
		for _, x := range list {
			if !b.IsUsable(x.ID, 1) {
				known++
			}
		}
	}
}

// A report with odd numbers must not bind what it does not name, nor overflow.
func TestOddReportOfLeavingTarget(t *testing.T) {
	for _, age := range []int64{-1, math.MinInt64} {
		v := inventory.New()
		v.Update([]inventory.Target{listed("x", 5, inventory.Ready)}, nil, start)
		if v.MergeLeaving([]wire.LeavingTarget{{Target: "x", StartMillis: 5, AgeMillis: age}}, start) || !v.IsUsable("x", 5) {
			t.Errorf("age %d ms: the target gets no work", age)
		}
	}
	v := inventory.New()
	v.Update([]inventory.Target{listed("x", 5, inventory.Ready)}, nil, start)
	odd := []wire.LeavingTarget{
		{Target: "x", StartMillis: 5, AgeMillis: math.MaxInt64}, {Target: "gone", StartMillis: 5, AgeMillis: math.MaxInt64},
		{Target: "", StartMillis: math.MinInt64},
	}
	if !v.MergeLeaving(odd, start) || v.IsUsable("x", 5) {
		t.Error("an old report of a listed target is ignored")
	}
	v.Update([]inventory.Target{listed("x", 5, inventory.Ready), listed("gone", 5, inventory.Ready)}, nil, start.Add(time.Second))
	if v.IsUsable("x", 5) || !v.IsUsable("gone", 5) {
		t.Error("unexpected targets get work")
	}
}

// BenchmarkLeaving reports and merges targets that leave.
func BenchmarkLeaving(b *testing.B) {
	for _, leaving := range []int{0, 13, 1200} {
		b.Run(fmt.Sprint(leaving), func(b *testing.B) {
			from, to := inventory.New(), inventory.New()
			var list []inventory.Target
			for i := range 12_000 {
				list = append(list, listed(fmt.Sprint("t", i), 1, inventory.Ready))
			}
			from.Update(list, nil, start)
			to.Update(list, nil, start)
			for i := range leaving {
				from.MarkLeaving(fleet.TargetID(fmt.Sprint("t", i)), 1, start)
			}
			random, now := testRandom(), start.Add(time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				to.MergeLeaving(from.ReportLeaving(now, random), now)
			}
		})
	}
}
