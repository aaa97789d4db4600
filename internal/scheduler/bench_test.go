package scheduler

import (
	"fmt"
	"testing"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/wire"
)

// newBusyScheduler returns a scheduler on a stopped clock whose engines are all busy.
func newBusyScheduler(engines int) *testScheduler {
	ts := newTestScheduler(engines)
	now := ts.now()
	ts.now = func() clock.Instant { return now }
	ts.options.Now = ts.now
	hb := &wire.Heartbeat{Incarnation: 5}
	for i := range engines {
		hb.Loads = append(hb.Loads, wire.TargetLoad{Target: fleet.TargetID(fmt.Sprintf("e%d", i)), Running: 40, Unread: 60000, Memory: 200000})
	}
	ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, hb)
	for i := range 30 {
		customer := fleet.CustomerID(fmt.Sprint("customer-", i))
		ts.meter.AddDemand(customer, 300000, now)
		ts.meter.AddUsage(customer, 1000, now)
	}
	return ts
}

// A waiting job is decided on dozens of times a second. Values derived from the target
// list must be kept between decisions, so that a decision does not allocate.
func TestDecideDoesNotAllocate(t *testing.T) {
	ts := newBusyScheduler(90)
	j := ts.job("customer-1", "part", 12000)
	j.prepare()
	ts.decide(j, ts.now())
	if allocs := testing.AllocsPerRun(100, func() { ts.decide(j, ts.now()) }); allocs > 0 {
		t.Errorf("deciding a job that has to wait allocates %v times, want 0", allocs)
	}
}

// BenchmarkDecide measures one decision when no engine can take the request: with 90
// engines, as many as a large site has, and with 1714, a seventh of the 12,000 engines that
// the fleet is designed for.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{90, 1714} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			ts := newBusyScheduler(engines)
			j := ts.job("customer-1", "part", 12000)
			j.prepare()
			b.ReportAllocs()
			for b.Loop() {
				ts.decide(j, ts.now())
			}
		})
	}
}

// BenchmarkDecideWithReports measures one decision over all engines with and without a load report of each: with 117, as
// many as a deployment has, and with 1714.
func BenchmarkDecideWithReports(b *testing.B) {
	for _, engines := range []int{117, 1714} {
		for _, disabled := range []string{"load-reports", ""} {
			b.Run(fmt.Sprint(engines, "/without ", disabled), func(b *testing.B) {
				ts := newBusyScheduler(engines)
				ts.options.Features, _ = feature.Without(disabled)
				ts.loads = newLoads(&ts.options)
				ts.invalidateTargetLists()
				for i := range engines {
					ts.loads.reports.Observe(fleet.TargetID(fmt.Sprintf("e%d", i)), 1,
						loadreport.Report{Running: 40, Waiting: i % 3, Slots: 64, Pace: 100 + i%150}, ts.now()-clock.Instant(i)*1e6)
				}
				j := ts.job("customer-1", "part", 12000)
				j.prepare()
				b.ReportAllocs()
				for b.Loop() {
					// Otherwise the second decision is that of the first, which is remembered.
					clear(ts.overLimit)
					ts.decide(j, ts.now())
				}
			})
		}
	}
}

// BenchmarkPump measures one pass over a queue of 100 requests of which none can start.
func BenchmarkPump(b *testing.B) {
	ts := newBusyScheduler(90)
	for i := range 100 {
		j := ts.job(fmt.Sprint("customer-", i%30), fmt.Sprint("part-", i), 12000)
		j.prepare()
		if _, refusal := ts.enqueue(j, false, ts.now()); refusal != nil {
			b.Fatal(refusal)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		ts.Tick()
	}
}
