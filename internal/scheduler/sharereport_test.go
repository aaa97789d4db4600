package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Two instances that know different usage of one customer can only be told apart by what
// each reports: the fleet's usage as it knows it, and its own tokens since the last report.
func TestShareReportNamesLargestCustomersAndOwnTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(4)
		if r, ok := ts.ShareReport(); ok {
			t.Errorf("report %+v without any demand", r)
		}
		for requested := range 2 {
			hb := &wire.Heartbeat{Incarnation: 5}
			for i := range 10 {
				hb.Usage = append(hb.Usage, wire.CustomerUsage{
					Customer: fleet.CustomerID(fmt.Sprint("peer", i)), Requested: int64(requested * (i + 1) * 100000), Started: int64(requested * 400),
				})
			}
			ts.HandleHeartbeat(wire.Hello{Instance: "r1", Incarnation: 5, DataCentre: "a"}, hb)
		}
		for range 3 {
			p, err := ts.admit(t.Context(), ts.job("own", "part", 400000))
			if err == nil {
				defer p.End(Completed)
			}
		}
		time.Sleep(100 * time.Millisecond)
		r, ok := ts.ShareReport()
		if !ok || r.Customers != 11 || len(r.Largest) != maxReportedCustomers || !r.Limited || r.Nominal <= 0 || r.Effective < r.Nominal ||
			r.Instances != 6 || r.Reports != 1 || r.OldestReport < 100*time.Millisecond || r.Window != 4*time.Second {
			t.Errorf("report %+v", r)
		}
		own, next := r.Largest[0], r.Largest[1]
		if own.Customer != "own" || own.Demand != 3*400400 || own.Own.Requested != own.Demand || own.Own.Started == 0 || own.Own.Started != own.Used {
			t.Errorf("largest is %+v, want this instance's own customer with its tokens", own)
		}
		if next.Customer != "peer9" || next.Demand != 1000000 || next.Used != 400 || next.Own.Requested != 0 {
			t.Errorf("second is %+v, want the peer's customer with the usage that the peer reported", next)
		}
		if r, _ := ts.ShareReport(); r.Largest[0].Own.Requested != 0 || r.Largest[0].Demand != own.Demand {
			t.Errorf("largest is %+v in the next report, want the same demand and no own tokens", r.Largest[0])
		}
	})
}
