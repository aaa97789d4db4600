package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/wire"
)

// newLoadScheduler returns a scheduler in which the parts of a list are switched off, with two targets of one service.
func newLoadScheduler(t *testing.T, disabled string, service fleet.ServiceID) *testScheduler {
	ts := newTestScheduler(0)
	var err error
	if ts.options.Features, err = feature.Without(disabled); err != nil {
		t.Fatal(err)
	}
	ts.loads = newLoads(&ts.options)
	ts.listTwo(service, 1, 2)
	return ts
}

// listTwo lists the targets t0 and t1 with a revision and the start of t0.
func (ts *testScheduler) listTwo(service fleet.ServiceID, startMillis int64, revision uint64) {
	var all []inventory.Target
	for i, id := range []fleet.TargetID{"t0", "t1"} {
		all = append(all, inventory.Target{
			ID: id, StartMillis: []int64{startMillis, 1}[i], Service: service, DataCentre: "a", Slots: 6, WrittenAt: records.NewPosition(0, revision),
		})
	}
	ts.SetTargets(all, nil)
}

// place places a short request without shared parts.
func (ts *testScheduler) place(t *testing.T, engine bool) *Placement {
	t.Helper()
	j := ts.job("customer", "part", 200)
	j.Parts = nil
	if !engine {
		j.Service, j.Prompt, j.Output = &plain, 0, 0
	}
	p, err := ts.admit(t.Context(), j)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// reportLoad has a peer report the load of t0.
func (ts *testScheduler) reportLoad(w wire.LoadReport) {
	w.Target, w.StartMillis, w.Slots = "t0", 1, 6
	ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 5, LoadReports: []wire.LoadReport{w}})
}

// A target on a slow machine, or at which requests wait, must get no request while another one starts it sooner; but
// not for good, not after a restart, and not if the part is switched off or the target states no pace.
func TestReportsDecideOnTarget(t *testing.T) {
	for _, test := range []struct {
		name, disabled string
		report         wire.LoadReport
		other          int
		age            time.Duration
		restart        bool
		want           fleet.TargetID
	}{
		{name: "slow", report: wire.LoadReport{Pace: 250}, want: "t1"},
		{name: "running", report: wire.LoadReport{Running: 6, Pace: 100}, want: "t1"},
		{name: "waiting", report: wire.LoadReport{Waiting: 2, Pace: 100}, other: 3, want: "t1"},
		{name: "busy, but none waiting", report: wire.LoadReport{Running: 2, Pace: 100}, other: 3, want: "t0"},
		{name: "usual", report: wire.LoadReport{Pace: 100}, want: "t0"},
		{name: "slow in the past", report: wire.LoadReport{Pace: 250}, age: 40 * time.Second, want: "t0"},
		{name: "restarted", report: wire.LoadReport{Running: 3, Waiting: 1, Pace: 250}, restart: true, want: "t0"},
		{name: "no pace", report: wire.LoadReport{Running: 3, Waiting: 1}, want: "t0"},
		{name: "switched off", report: wire.LoadReport{Pace: 250, Waiting: 5}, disabled: "load-reports", want: "t0"},
	} {
		for _, service := range []fleet.ServiceID{"lm", "app"} {
			if test.name == "running" && service == "lm" {
				continue // what the fleet knows to run on an engine counts
			}
			t.Run(test.name+" "+string(service), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ts := newLoadScheduler(t, test.disabled, service)
					ts.reportLoad(test.report)
					ts.HandleHeartbeat(wire.Hello{Instance: "r2", Incarnation: 6, DataCentre: "a"}, &wire.Heartbeat{
						Incarnation: 6, Loads: []wire.TargetLoad{{Target: "t1", Running: test.other}},
					})
					time.Sleep(test.age + time.Millisecond)
					if test.restart {
						ts.listTwo(service, 2, 3)
					}
					if p := ts.place(t, service == "lm"); p.Target.ID != test.want {
						t.Errorf("placed on %s, want %s", p.Target.ID, test.want)
					}
				})
			})
		}
	}
}

// What responses say must reach peers, once for each response, and an odd value must be logged once for each start.
func TestReportsOfResponsesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newLoadScheduler(t, "", "lm")
		logged, answered := 0, make(map[fleet.TargetID]bool)
		for range 3 {
			p := ts.place(t, true)
			answered[p.Target.ID] = true
			if p.ObserveLoad(LoadObservation{Odd: true}) {
				logged++
			}
			p.ObserveLoad(LoadObservation{Report: &loadreport.Report{Pace: 300}})
			p.End(Rejected)
		}
		p := ts.place(t, true)
		p.ObserveLoad(LoadObservation{Report: &loadreport.Report{Running: 1, Slots: 6, Pace: 250}})
		p.ObserveLoad(LoadObservation{Report: &loadreport.Report{Running: 1, Slots: 6, Pace: 100}})
		time.Sleep(50 * time.Millisecond)
		var hb, standby wire.Heartbeat
		standby.Standby = true
		ts.FillHeartbeat(&standby, "r2", wire.ScopeOwn)
		ts.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
		want := wire.LoadReport{Target: p.Target.ID, StartMillis: 1, Running: 1, Slots: 6, Pace: 250, AgeMillis: 50}
		if len(hb.LoadReports) != 1 || hb.LoadReports[0] != want || len(standby.LoadReports) != 0 || logged != len(answered) {
			t.Errorf("shared %+v, want %+v; to a standby %+v, want none; %d odd reports logged, want %d", hb.LoadReports, want, standby.LoadReports, logged, len(answered))
		}
		if state := ts.LoadState(); state.Received != 1 || state.Odd != 3 || state.Paced != 1 || state.MedianAgeMillis != 50 {
			t.Errorf("state %+v, want a report 50 ms old and three odd ones", state)
		}
	})
}

// The time of plain calls must be learned from answers, without the wait at the target and its pace, but not from refusals,
// nor while this instance's own processor is late.
func TestTimeOfPlainCallsIsLearned(t *testing.T) {
	for _, test := range []struct {
		name     string
		ran      bool
		delay    time.Duration
		busy     int
		pace     int
		took     time.Duration
		disabled string
		want     time.Duration
	}{
		{name: "answers", ran: true, took: 60 * time.Millisecond, want: 60 * time.Millisecond},
		{name: "half the time waiting", ran: true, busy: 11, took: 120 * time.Millisecond, want: 60 * time.Millisecond},
		{name: "slow machine", ran: true, pace: 250, took: 150 * time.Millisecond, want: 60 * time.Millisecond},
		{name: "refusals", took: time.Millisecond, want: plainServiceTime},
		{name: "late processor", ran: true, delay: maxObservedDelay, took: 60 * time.Millisecond, want: plainServiceTime},
		{name: "switched off", ran: true, disabled: "load-reports", took: 60 * time.Millisecond, want: plainServiceTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newLoadScheduler(t, test.disabled, "app")
				ts.SetProcessor(ProcessorState{Delay: test.delay})
				var loads []wire.TargetLoad
				for _, id := range []fleet.TargetID{"t0", "t1"} {
					loads = append(loads, wire.TargetLoad{Target: id, Running: test.busy})
				}
				for range 40 {
					ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, &wire.Heartbeat{Incarnation: 5, Loads: loads})
					p := ts.place(t, false)
					time.Sleep(test.took)
					o := LoadObservation{Ran: test.ran}
					if test.pace > 0 {
						o.Report = &loadreport.Report{Running: 1, Slots: 6, Pace: test.pace}
					}
					p.ObserveLoad(o)
					p.End(Completed)
				}
				got := ts.request(&Job{Service: &plain}).ServiceTime
				if got < test.want*9/10 || got > test.want*11/10 {
					t.Errorf("%v, want about %v", got, test.want)
				}
			})
		})
	}
}
