package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/records"
)

// While the processor is late, generations of customers over their nominal share are refused at once,
// and those of all customers once it is very late. Calls to plain services are not.
func TestGenerationsAreRefusedWhileProcessorIsLate(t *testing.T) {
	tests := []struct {
		delay                time.Duration
		over, within, plains bool
	}{
		{0, true, true, true},
		{shedSpareFrom - time.Millisecond, true, true, true},
		{shedSpareFrom, false, true, true},
		{shedAllFrom, false, false, true},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			ts := newTestScheduler(4)
			ts.meter.AddDemand("hog", 6000000, ts.now())
			ts.meter.AddUsage("hog", 2000000, ts.now())
			ts.meter.AddDemand("other", 6000000, ts.now())
			ts.SetProcessor(ProcessorState{Delay: test.delay})
			check := func(name string, j *Job, want bool) {
				p, err := ts.admit(t.Context(), j)
				if err == nil {
					p.End(Completed)
				}
				if (err == nil) != want {
					t.Errorf("delay %v, %s: %v, want it started: %v", test.delay, name, err, want)
				}
				if err == nil {
					return
				}
				if r := refusalOf(t, err); r.Reason != ReasonInstanceBusy || r.Waited != 0 || r.RetryAfter <= 0 || r.Inputs.ProcessorDelay != test.delay {
					t.Errorf("delay %v, %s: refused with %+v", test.delay, name, r)
				}
			}
			check("over its share", ts.job("hog", "part", 1000), test.over)
			check("within its share", ts.job("small", "part", 1000), test.within)
			call := ts.job("hog", "part", 0)
			call.Service, call.Parts = &plain, nil
			ts.SetTargets(append(engineList(4), plainTarget()), nil)
			check("plain call", call, test.plains)
		})
	}
}

// An early refusal must be one that Admit would give at that moment, with the same delay for the caller, and
// counts the demand: a customer whose refused requests do not count seems to need less than it asks for.
func TestEarlyRefusalIsThatOfAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(4)
		ts.meter.AddDemand("hog", 6000000, ts.now())
		ts.meter.AddUsage("hog", 2000000, ts.now())
		ts.meter.AddDemand("other", 6000000, ts.now())
		for _, delay := range []time.Duration{0, shedSpareFrom - 1, shedSpareFrom, shedBehindFrom, shedAllFrom} {
			ts.SetProcessor(ProcessorState{Delay: delay})
			for _, customer := range []fleet.CustomerID{"hog", "small"} {
				for _, isPlain := range []bool{false, true} {
					j := ts.job(string(customer), "part", 1000)
					if isPlain {
						j.Service, j.Parts = &plain, nil
					}
					before := ts.meter.Demand(customer, ts.now())
					early := ts.RefuseEarly(j)
					counted := ts.meter.Demand(customer, ts.now()) > before
					ts.mu.Lock()
					shed := ts.isShed(j, ts.now())
					ts.mu.Unlock()
					if (early != nil) != shed || counted != shed || early != nil && !ts.IsLate() {
						t.Errorf("delay %v, %s, plain %v: refused %v, counted %v, want both %v", delay, customer, isPlain, early != nil, counted, shed)
					}
					if early == nil {
						continue
					}
					_, err := ts.Admit(t.Context(), ts.job(string(customer), "part", 1000), false)
					if r := refusalOf(t, err); r.Reason != early.Reason || r.RetryAfter != early.RetryAfter {
						t.Errorf("delay %v, %s: refused early with %+v, Admit refuses with %+v", delay, customer, early, r)
					}
				}
			}
		}
		ts.options.ListingConfirmedAt = func() clock.Instant { return 0 }
		ts.inventory.MaxAge = time.Second
		if early := ts.RefuseEarly(ts.job("hog", "part", 1000)); early != nil {
			t.Errorf("refused early with %+v although the listing is old, which is another refusal", early)
		}
	})
}

// A retry of a request that has run is not refused for the processor: the caller would get nothing.
func TestRetryIsStartedWhileProcessorIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(4)
		ts.SetProcessor(ProcessorState{Delay: time.Second})
		j := ts.job("c", "part", 1000)
		ts.RecordArrival(j)
		if _, err := ts.Admit(t.Context(), j, true); err != nil {
			t.Error(err)
		}
	})
}

// An instance that notices first events late must not take its engines for busy: they prefill at the
// speed that they have shown.
func TestBacklogDrainsWhileFirstEventsAreNoticedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.SetProcessor(ProcessorState{Delay: maxObservedDelay})
		load := func() int {
			return ts.ownLoad(ts.targets["e0"], ts.exchange.PeerLoad("e0", ts.now()), ts.now()).Unread
		}
		started := func() bool {
			_, err := ts.admit(t.Context(), ts.job("c", "part", 12000))
			return err == nil
		}
		// Each prompt takes 220 ms at the assumed speed; none of the first events is noticed.
		for i := range 20 {
			if !started() {
				t.Fatalf("request %d refused: %d tokens unread, backlog %v", i, ts.targets["e0"].ownLoad.Unread, ts.targets["e0"].backlog.tokens)
			}
			ts.Tick()
			time.Sleep(500 * time.Millisecond)
		}
		raw := ts.targets["e0"].ownLoad.Unread
		if got := load(); got >= raw/4 {
			t.Errorf("load of %d unread tokens of %d sent in 10 s", got, raw)
		}
		// Work that is sent faster than the engine can prefill it still counts.
		for range 3 {
			started()
		}
		if got := load(); got < 12000 {
			t.Errorf("load of %d unread tokens right after three prompts", got)
		}
		// In time, the instance knows what its engines have to prefill.
		ts.SetProcessor(ProcessorState{})
		if got, raw := load(), ts.targets["e0"].ownLoad.Unread; got != raw {
			t.Errorf("load of %d unread tokens while the processor is in time, want the %d known", got, raw)
		}
	})
}

// A starved customer whose requests all come to one late instance must not be refused there as early as
// one that is ahead of it.
func TestStarvedCustomerIsRefusedLaterOnLateProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(4)
		now := ts.now()
		ts.meter.AddDemand("starved", 6000000, now)
		ts.meter.AddUsage("starved", 900000, now)
		ts.meter.AddDemand("ahead", 6000000, now)
		ts.meter.AddUsage("ahead", 5000000, now)
		for _, test := range []struct {
			delay          time.Duration
			starved, ahead bool
		}{{shedSpareFrom, false, true}, {shedBehindFrom - time.Millisecond, false, true}, {shedBehindFrom, true, true}} {
			ts.SetProcessor(ProcessorState{Delay: test.delay})
			ts.mu.Lock()
			starved, ahead := ts.isShed(ts.job("starved", "part", 1000), now), ts.isShed(ts.job("ahead", "part", 1000), now)
			ts.mu.Unlock()
			if starved != test.starved || ahead != test.ahead {
				t.Errorf("delay %v: starved refused %v, ahead refused %v", test.delay, starved, ahead)
			}
		}
	})
}

// plainTarget returns a target of the plain service.
func plainTarget() inventory.Target {
	return inventory.Target{ID: "p0", StartMillis: 1, Service: "app", Addr: "10.0.1.0:80", DataCentre: "a", Slots: 6, WrittenAt: records.NewPosition(0, 1)}
}
