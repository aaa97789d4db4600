package dispatch

import (
	"slices"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// TestLaggingCustomerIsRegisteredFar checks when a customer is registered with owners
// that have nothing to spare outside the data centre, and with which.
func TestLaggingCustomerIsRegisteredFar(t *testing.T) {
	const own = 100_000
	type far = map[fleet.InstanceID]int
	cases := []struct {
		name  string
		wait  time.Duration
		ahead []int64
		want  far
	}{
		{"behind", DefaultOtherRegionDelay, []int64{own, own + DefaultMinRemoteLag + 2, own + DefaultMinRemoteLag + 1}, far{"far-1": 4, "far-2": 3}},
		{"the furthest ahead", DefaultOtherRegionDelay, []int64{own + 50_000, own + 90_000, own + 70_000}, far{"far-1": 4, "far-2": 3}},
		{"within the lag", DefaultOtherRegionDelay, []int64{own, own + DefaultMinRemoteLag, own / 2}, far{}},
		{"nobody near", DefaultOtherRegionDelay, []int64{own, 0, own + 50_000}, far{"far-1": 4, "far-2": 3}},
		{"not yet", DefaultOtherRegionDelay - time.Millisecond, []int64{2 * own, 2 * own, 2 * own}, far{}},
	}
	for _, c := range cases {
		owners := []OwnerView{{ID: "near", Workloads: []wire.Spare{{Workload: model(0)}}}}
		for i, ahead := range c.ahead {
			id := fleet.InstanceID("far-" + string(rune('0'+i)))
			spare := wire.Spare{Workload: model(0), Ahead: ahead}
			owners = append(owners, OwnerView{ID: id, Proximity: OtherRegion, Workloads: []wire.Spare{spare}})
		}
		s := NewPlanner("self", PlannerParams{VirtualTime: func(fleet.CustomerID) int64 { return own }})
		s.SetOwners(blank(owners))
		for _, v := range owners {
			s.SetSpare(v.ID, v.Workloads)
		}
		d := wire.Demand{Customer: "a", Workload: model(0), Waiting: 7, WaitMillis: c.wait.Milliseconds()}
		got := far{}
		for _, a := range s.Plan([]wire.Demand{d}, 1) {
			if a.Owner != "near" && len(a.Demand) > 0 {
				got[a.Owner] = a.Demand[0].Waiting
			}
		}
		if len(got) != len(c.want) || !slices.Equal([]int{got["far-1"], got["far-2"]}, []int{c.want["far-1"], c.want["far-2"]}) {
			t.Errorf("%s: registered %v, want %v", c.name, got, c.want)
		}
	}
}
