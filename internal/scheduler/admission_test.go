package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/admission"
	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// playStarvedAtLateInstance plays a quiet load on engines that run a third of their slots: a customer over its share comes to all
// instances, and one that its only instance refuses for lack of processor time counts as starved. It returns the fleet with the
// tokens that each customer asked for and got.
func playStarvedAtLateInstance(service catalog.Service, seed uint64) *testFleet {
	f := newTestFleet(service, 32, 1600*time.Millisecond)
	f.instances[7].SetProcessor(ProcessorState{Delay: 30 * time.Millisecond})
	loads := []customerLoad{
		{id: "large", perSecond: 42, parts: 40, entries: append(allInstances()[:7:7], allInstances()[8:]...)},
		{id: "stuck", perSecond: 30, parts: 20, entries: []int{7}},
	}
	for i := range 6 {
		loads = append(loads, customerLoad{id: fleet.CustomerID(fmt.Sprint("small", i)), perSecond: 4, parts: 5, entries: allInstances()[:7]})
	}
	f.simulate(loads, seed)
	return f
}

// A customer over its share must not be refused for one that is starved at an instance without processor time, while
// the engines run a third of their slots. Some of its requests find all engines at work on other prompts.
func TestStarvedCustomerAtLateInstanceHoldsBackOthers(t *testing.T) {
	const minServed = 0.972 // What remained in the trials without a lead: docs/HARD-LOAD.md, part 6.
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := playStarvedAtLateInstance(fetching, seed)
			for id, asked := range f.asked {
				asked, got := sumOf(asked[:]), sumOf(f.got[id][:])
				t.Logf("seed %d: %s asked %.0f, got %.0f tokens", seed, id, asked, got)
				if id != "stuck" && got < minServed*asked {
					t.Errorf("seed %d: %s got %.3f of what it asked while engines had room, want %.3f", seed, id, got/asked, minServed)
				}
			}
			limit := admission.Room(stream.FirstByteSLO)
			for _, r := range f.refusals {
				if r.Reason == ReasonOverShare && r.Inputs.ShortestWait <= limit.Wait && r.Inputs.PreferredRunning < 16 {
					t.Errorf("seed %d: refused as %s after %s while an engine would start after %s: %+v", seed, r.Reason, r.Waited, r.Inputs.ShortestWait, r.Inputs)
				}
			}
		})
	}
}

// What a customer over its share may use must not keep others from theirs: neither customers within their share, nor a
// starved one that could use room, such as one that comes to a single instance or has just begun to ask.
func TestCustomerOverShareTakesRoomOfOthers(t *testing.T) {
	t.Run("tokens", func(t *testing.T) { checkFleet(t, fetching, 64, time.Second, steadyLoads()) })
	t.Run("slots", func(t *testing.T) { checkFleet(t, fetching, 20, 3*time.Second, steadyLoads()) })
	t.Run("newcomer", func(t *testing.T) { checkFleet(t, fetching, 20, 3*time.Second, newcomerLoads()) })
}

// Deployments whose engines do not fetch prefixes, and those where the part is switched off, must keep their limits.
func TestAdmissionOrderActsOnlyWhereEnginesFetch(t *testing.T) {
	for _, test := range []struct {
		name     string
		service  catalog.Service
		off      bool
		wantSame bool
	}{{"fetches", fetching, false, false}, {"no fetches", engines, false, true}, {"switched off", fetching, true, true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestScheduler(4)
				if test.off {
					ts.options.Features, _ = feature.Without(string(feature.AdmissionOrder))
				}
				ts.useService(test.service)
				j := ts.job("customer", "part", 8000)
				j.Service = &test.service
				for _, c := range []fleet.CustomerID{"customer", "other"} {
					ts.meter.AddDemand(c, 8e6, ts.now())
				}
				ts.meter.AddUsage("customer", 2e6, ts.now())
				shares := ts.shares(ts.now())
				before, limit := shares.spareLimit(2e6, false, ts.meanSpeed("lm")), ts.shareLimit(j, ts.now())
				if same := limit == before; same != test.wantSame {
					t.Errorf("got limit %+v, before the part was built %+v, want the same: %v", limit, before, test.wantSame)
				}
				if waits := ts.maxSpareQueue(j, time.Second, ts.now()) > 0; waits == test.wantSame {
					t.Errorf("jobs of a customer over its effective share wait at idle engines: %v", waits)
				}
			})
		})
	}
}

// Customers within their share must find room at once, however much others ask for.
func TestCustomersWithinShareFindRoom(t *testing.T) {
	loads := steadyLoads()
	for i := range 8 {
		loads = append(loads, customerLoad{id: fleet.CustomerID(fmt.Sprint("small", i)), perSecond: 3, parts: 5, entries: allInstances()})
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(fetching, 64, time.Second)
		f.simulate(loads, 0)
		for _, c := range loads[len(steadyLoads()):] {
			if share := f.worstShare(c.id); share < minSmallShare {
				t.Errorf("%s got %.2f of its claim, want %.2f", c.id, share, minSmallShare)
			}
		}
	})
}

// While the engines have no room for all, those ahead of a starved customer must leave to it what there is.
func TestStarvedCustomerGetsLastRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newFetchScheduler()
		for i := range 4 * 40 {
			ts.startOn(fleet.TargetID(fmt.Sprint("e", i%4)), &fetching, func(j *Job) { j.Prompt, j.Output, j.Parts = 100, 10, nil }).PrefillDone()
		}
		for c, used := range map[fleet.CustomerID]float64{"starved": 5e5, "ahead": 2e6} {
			ts.meter.AddDemand(c, 8e6, ts.now())
			ts.meter.AddUsage(c, used, ts.now())
		}
		for c, want := range map[string]bool{"starved": true, "ahead": false} {
			j := ts.job(c, "part", 2000)
			j.Service = &fetching
			if _, err := ts.admit(t.Context(), j); (err == nil) != want {
				t.Errorf("%s: got %v, want it to start: %v; shares %+v", c, err, want, ts.shares(ts.now()))
			}
		}
	})
}
