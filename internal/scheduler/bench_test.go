package scheduler

import (
	"fmt"
	"testing"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// busyWorld is a scheduler before engines that are all busy, on a clock that stands.
func busyWorld(engines int) *world {
	w := newWorld(engines)
	now := w.now()
	w.now = func() clock.Instant { return now }
	w.options.Now = w.now
	hb := &wire.Heartbeat{Incarnation: 5}
	for i := range engines {
		hb.Loads = append(hb.Loads, wire.TargetLoad{Target: fleet.TargetID(fmt.Sprintf("e%d", i)), Running: 40, Unread: 60000, Memory: 200000})
	}
	w.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, hb)
	for i := range 30 {
		customer := fleet.CustomerID(fmt.Sprint("customer-", i))
		w.meter.AddDemand(customer, 300000, now)
		w.meter.AddUsage(customer, 1000, now)
	}
	return w
}

// A job that waits is decided on dozens of times a second: what a decision derives from
// the listing is kept from one to the next.
func TestDecisionOnWaitingJobAllocatesNothing(t *testing.T) {
	w := busyWorld(90)
	j := w.job("customer-1", "part", 12000)
	j.prepare()
	w.decide(j, w.now())
	if allocs := testing.AllocsPerRun(100, func() { w.decide(j, w.now()) }); allocs > 0 {
		t.Errorf("a decision that starts nothing allocates %v times", allocs)
	}
}

// BenchmarkDecide is one decision among engines that cannot take the request: as many as
// a large site has, and a seventh of the 12,000 of the size designed for.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{90, 1714} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			w := busyWorld(engines)
			j := w.job("customer-1", "part", 12000)
			j.prepare()
			b.ReportAllocs()
			for b.Loop() {
				w.decide(j, w.now())
			}
		})
	}
}

// BenchmarkPump is one look at a queue of 100 requests of which none can start.
func BenchmarkPump(b *testing.B) {
	w := busyWorld(90)
	for i := range 100 {
		j := w.job(fmt.Sprint("customer-", i%30), fmt.Sprint("part-", i), 12000)
		j.prepare()
		if _, refusal := w.enqueue(j, w.now()); refusal != nil {
			b.Fatal(refusal)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		w.Tick()
	}
}
