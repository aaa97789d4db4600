package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// isCold reports whether the scheduler treats a target as cold.
func (ts *testScheduler) isCold(id fleet.TargetID) bool {
	e, ok := ts.inventory.Get(id)
	return ok && e.IsCold(ts.now())
}

// report applies a heartbeat of a peer that reports targets as broken.
func (ts *testScheduler) report(broken ...fleet.TargetID) {
	ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 1, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 1, BrokenTargets: broken})
}

// A lost packet, or an instance that is short of processor time, makes a dial time out. That one
// dial must not make the whole fleet treat the target as cold for seconds.
func TestOneDialThatTimesOutMakesTargetCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		for _, behind := range []bool{false, true} {
			ts.SetProcessor(ProcessorState{Behind: behind})
			p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
			if err != nil {
				t.Fatal(err)
			}
			p.End(DialTimedOut)
			var hb wire.Heartbeat
			ts.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
			if ts.isCold("e0") || len(hb.BrokenTargets) > 0 {
				t.Errorf("behind %v: a target counts as cold after one dial that timed out, reported %v", behind, hb.BrokenTargets)
			}
			time.Sleep(unreachableAvoid)
		}
	})
}

// A target that is dark answers no dial: after several it must count as restarted, unless the
// instance itself is short of processor time.
func TestDialsThatTimeOutInARowMarkTargetAsDown(t *testing.T) {
	for _, behind := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ts := newTestScheduler(1)
			ts.SetProcessor(ProcessorState{Behind: behind})
			for range downThreshold {
				p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
				if err != nil {
					t.Fatal(err)
				}
				p.End(DialTimedOut)
				time.Sleep(maxAvoid)
			}
			if got := ts.isCold("e0"); got == behind {
				t.Errorf("behind %v: target is cold = %v", behind, got)
			}
		})
	}
}

// An instance that cannot reach a target tells its peers. A run from before that ends well shows
// that the target has not restarted, so that further reports must not hold starts back.
func TestRunThatEndsWellDisprovesPeersReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		before, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		ts.report("e0")
		if !ts.isCold("e0") {
			t.Fatal("a target that a peer reports as broken is not cold")
		}
		time.Sleep(disproofDelay)
		before.End(Completed)
		if ts.isCold("e0") {
			t.Error("the target is cold although a run from before the report ended well")
		}
		ts.report("e0")
		if ts.isCold("e0") {
			t.Error("the repeated report makes the target cold again")
		}
		time.Sleep(wire.BrokenRetention + time.Millisecond)
		ts.report("e0")
		if !ts.isCold("e0") {
			t.Error("a later report is ignored")
		}
	})
}

// A run that began after the target may have restarted says nothing about that.
func TestRunFromAfterReportDisprovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.report("e0")
		time.Sleep(peerBrokenAvoid + time.Millisecond)
		after, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(disproofDelay)
		after.End(Completed)
		if !ts.isCold("e0") {
			t.Error("a run that began after the report ended the cold time")
		}
	})
}

// What a target sent before it crashed arrives a moment later and disproves nothing.
func TestRunThatEndsRightAfterReportDisprovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		ts.report("e0")
		time.Sleep(disproofDelay - time.Millisecond)
		p.End(Completed)
		if !ts.isCold("e0") {
			t.Error("an answer that was on its way ended the cold time")
		}
	})
}
