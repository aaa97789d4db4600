package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// busyHome reports a peer's load that keeps only the home of the job's shared part busy,
// and returns that target.
func (ts *testScheduler) busyHome(j *Job, unread int) fleet.TargetID {
	j.prepare()
	list := ts.targetListFor(j, ts.now())
	j.rankTargets(list)
	home := list.targets[j.rankedTargets[0]].entry.ID
	ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{
		Incarnation: 5, Loads: []wire.TargetLoad{{Target: home, Running: 2, Unread: unread}},
	})
	return home
}

// A refusal over the share must say what the customer had used of which share, how recent
// the peers' reports were, and that another target was idle.
func TestRefusalOverShareCarriesItsInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(4)
		j := ts.job("hog", "part", 10000)
		home := ts.busyHome(j, 11000)
		time.Sleep(300 * time.Millisecond)
		ts.meter.AddDemand("hog", 6000000, ts.now())
		ts.meter.AddUsage("hog", 5000000, ts.now())
		ts.meter.AddDemand("other", 6000000, ts.now())
		_, err := ts.admit(t.Context(), j)
		r := refusalOf(t, err)
		in := r.Inputs
		if r.Reason != ReasonOverShare || !in.Metered || !in.Limited || in.Used != 5000000 || in.Nominal != 860000 || in.Effective <= in.Nominal {
			t.Errorf("refused with reason %s, inputs %+v, want over_share with 5000000 tokens used of 860000", r.Reason, in)
		}
		if in.Reports != 1 || in.OldestReport != 300*time.Millisecond {
			t.Errorf("%d reports, the oldest %v old, want 1 of 300ms", in.Reports, in.OldestReport)
		}
		if in.Decisions != 1 || in.LastDecision != 0 || in.Preferred != home || in.PreferredRunning != 2 || in.PreferredSlots != 64 ||
			in.PreferredWait < 200*time.Millisecond || in.WaitLimit >= 30*time.Millisecond || in.SlotLimit == 0 || in.SlotLimit >= 64 || in.ShortestWait != 0 {
			t.Errorf("inputs %+v, want the home %s with a wait of over 200 ms, and an idle target", in, home)
		}
	})
}

// The inputs of a job that waited are those of the last decision, which can be older than
// its refusal.
func TestRefusalAfterWaitDescribesLastDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		j := ts.job("c", "part", 1000)
		ts.busyHome(j, 300000)
		time.AfterFunc(100*time.Millisecond, ts.Tick)
		_, err := ts.admit(t.Context(), j)
		r := refusalOf(t, err)
		in := r.Inputs
		if r.Reason != ReasonBusy || in.Decisions != 2 || in.LastDecision != r.Waited-100*time.Millisecond || in.Preferred != "e0" {
			t.Errorf("refused with reason %s after %v, inputs %+v, want busy and two decisions, the last after 100 ms", r.Reason, r.Waited, in)
		}
	})
}

// A refusal by the retry budget must say how much of it was used, and name no target.
func TestRefusalByRetryBudgetCarriesItsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		for range 100 {
			j := ts.job("c", "part", 100)
			ts.RecordArrival(j)
			p, err := ts.Admit(t.Context(), j, true)
			if err == nil {
				p.PrefillDone()
				p.End(Completed)
				continue
			}
			r := refusalOf(t, err)
			if in := r.Inputs; r.Reason != ReasonRetryBudget || in.Retries == 0 || in.Retries+1 <= in.RetriesAllowed || in.Preferred != "" {
				t.Errorf("refused with reason %s, inputs %+v, want an exhausted retry budget and no target", r.Reason, in)
			}
			return
		}
		t.Fatal("no retry was refused")
	})
}
