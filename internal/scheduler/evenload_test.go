package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// newPlainScheduler returns a scheduler of a fleet with n idle targets of a plain service.
func newPlainScheduler(self fleet.InstanceID, n int, paced bool) *testScheduler {
	ts := newTestScheduler(0)
	ts.selfHash = membership.Hash(string(self))
	ts.paced = map[fleet.ServiceID]bool{"app": paced}
	var targets []inventory.Target
	for i := range n {
		targets = append(targets, inventory.Target{
			ID: fleet.TargetID(fmt.Sprint("p", i)), StartMillis: 1, Service: "app", DataCentre: "a", Slots: 6, WrittenAt: records.NewPosition(0, 1),
		})
	}
	ts.SetTargets(targets, nil)
	return ts
}

func (ts *testScheduler) call(id string) *Job {
	return &Job{ID: id, Route: &stream, Service: &plain, AnyRegion: true, Deadline: ts.now().Add(time.Second)}
}

// startsOf returns how many of 100 first calls at different instances start on each target.
func startsOf(t *testing.T, n int, paced, enabled bool) map[fleet.TargetID]int {
	starts := make(map[fleet.TargetID]int)
	for i := range 100 {
		ts := newPlainScheduler(fleet.InstanceID(fmt.Sprint("r", i)), n, paced)
		if !enabled {
			ts.options.Features, _ = feature.Without(string(feature.EvenLoad))
		}
		p, err := ts.admit(t.Context(), ts.call("same"))
		if err != nil {
			t.Fatal(err)
		}
		starts[p.Target.ID]++
	}
	return starts
}

// Instances that see equal targets at one moment must choose different ones, but only where targets
// report a pace and the part is switched on.
func TestInstancesChooseDifferentTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if starts := startsOf(t, 5, true, true); len(starts) != 5 {
			t.Errorf("100 instances start on %v, want all five targets", starts)
		}
		for _, off := range []map[fleet.TargetID]int{startsOf(t, 5, false, true), startsOf(t, 5, true, false)} {
			if len(off) != 1 {
				t.Errorf("starts on %v though the part does not act", off)
			}
		}
		if starts := startsOf(t, 1, true, true); starts["p0"] != 100 {
			t.Errorf("starts with a single target: %v", starts)
		}
	})
}

// A single instance knows all loads: they have no age. One whose peers are cut off has the greatest age, and
// still places requests.
func TestLoadAgeOfSingleAndCutOffInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newPlainScheduler("r0", 3, true)
		hb := &wire.Heartbeat{Incarnation: 5, Loads: []wire.TargetLoad{{Target: "p0", Running: 5}, {Target: "p1", Running: 5}}}
		ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, hb)
		time.Sleep(300 * time.Millisecond)
		if age := ts.loadAge(ts.now()); age != 300*time.Millisecond {
			t.Errorf("age is %v, want 300ms", age)
		}
		idle := 0
		for i := range 100 {
			p, err := ts.admit(t.Context(), ts.call(fmt.Sprint("informed", i)))
			if err != nil {
				t.Fatal(err)
			}
			if p.Target.ID == "p2" {
				idle++
			}
			p.End(Completed)
		}
		if idle < 80 {
			t.Errorf("%d of 100 calls were placed on the only idle target, want at least 80", idle)
		}
		time.Sleep(5 * time.Second)
		if age := ts.loadAge(ts.now()); age != 2*time.Second {
			t.Errorf("age without reports is %v, want 2s", age)
		}
		if _, err := ts.admit(t.Context(), ts.call("cut-off")); err != nil {
			t.Errorf("a cut-off instance refuses: %v", err)
		}
		ts.SetAlive([]roster.Member{{ID: "r0"}})
		if age := ts.loadAge(ts.now()); age != 0 {
			t.Errorf("age at a single instance is %v", age)
		}
	})
}

// A waiting request must not flutter between targets: decisions on the same loads are the same.
func TestRepeatedDecisionIsTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newPlainScheduler("r0", 9, true)
		var first fleet.TargetID
		for i := range 20 {
			p, err := ts.admit(t.Context(), ts.call("one"))
			if err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				first = p.Target.ID
			}
			if p.Target.ID != first {
				t.Fatalf("decision %d chose %s, before %s", i, p.Target.ID, first)
			}
			p.End(Abandoned)
		}
	})
}

// Starts at a target whose slots are full, or where requests wait by its own report, are counted if
// another target is idle.
func TestMisplacedStartsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newPlainScheduler("r0", 2, false)
		start := func(excluded ...fleet.TargetID) fleet.TargetID {
			j := ts.call("x")
			j.excluded = excluded
			p, err := ts.admit(t.Context(), j)
			if err != nil {
				t.Fatal(err)
			}
			return p.Target.ID
		}
		want := func(all, misplaced int64) {
			t.Helper()
			if r, _ := ts.ShareReport(); r.Starts != all || r.MisplacedStarts != misplaced {
				t.Errorf("%d starts, %d misplaced, want %d and %d", r.Starts, r.MisplacedStarts, all, misplaced)
			}
		}
		first := start()
		want(1, 0)
		// The first target is idle, but failed; at the other one requests wait by its own report.
		other := map[fleet.TargetID]fleet.TargetID{"p0": "p1", "p1": "p0"}[first]
		ts.target(first).failureRate = 1
		ts.loads.reports.Observe(other, 1, loadreport.Report{Running: 6, Waiting: 2, Slots: 6, Pace: loadreport.UsualPace}, ts.now())
		second := start()
		want(2, 1)
		ts.target(first).failureRate = 0
		time.Sleep(time.Minute)
		ts.target(second).ownLoad.Running = 6
		ts.target(first).ownLoad.Running = 7
		start()
		want(3, 1) // no target is idle
		ts.target(first).ownLoad.Running = 3
		start(first)
		want(4, 1) // the idle target may not get the request
	})
}

// BenchmarkChoose measures the choice of a target with and without the draw, among busy targets that are all
// within the limit and cost the same.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{117, 1714} {
		for _, paced := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/even-load=%v", engines, paced), func(b *testing.B) {
				ts := newBusyScheduler(engines)
				ts.paced = map[fleet.ServiceID]bool{"lm": paced}
				ts.options.Now = clock.Source(ts.now)
				j := ts.job("customer-1", "part", 12000)
				j.prepare()
				b.ReportAllocs()
				for b.Loop() {
					candidates, _ := ts.candidates(j, ts.targetListFor(j, ts.now()), ts.now())
					if choice, ok := ts.pick(j, candidates, placement.Limit{Wait: time.Hour}, ts.now()); !ok || !choice.Within {
						b.Fatal("no target was chosen")
					}
				}
			})
		}
	}
}
