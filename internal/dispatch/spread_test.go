package dispatch

import (
	"slices"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// TestLaggingCustomerRegisteredRemotely checks when a customer is registered with
// owners outside the data centre that have no spare starts, and with which of them.
func TestLaggingCustomerRegisteredRemotely(t *testing.T) {
	const ownVirtualTime = 100_000
	type waitingByOwner = map[fleet.InstanceID]int
	cases := []struct {
		name              string
		wait              time.Duration
		remoteVirtualTime []int64
		want              waitingByOwner
	}{
		{"behind", DefaultOtherRegionDelay, []int64{ownVirtualTime, ownVirtualTime + DefaultMinRemoteLag + 2, ownVirtualTime + DefaultMinRemoteLag + 1}, waitingByOwner{"far-1": 4, "far-2": 3}},
		{"the two furthest ahead", DefaultOtherRegionDelay, []int64{ownVirtualTime + 50_000, ownVirtualTime + 90_000, ownVirtualTime + 70_000}, waitingByOwner{"far-1": 4, "far-2": 3}},
		{"within the lag", DefaultOtherRegionDelay, []int64{ownVirtualTime, ownVirtualTime + DefaultMinRemoteLag, ownVirtualTime / 2}, waitingByOwner{}},
		{"nobody waits there", DefaultOtherRegionDelay, []int64{ownVirtualTime, 0, ownVirtualTime + 50_000}, waitingByOwner{"far-1": 4, "far-2": 3}},
		{"before the delay", DefaultOtherRegionDelay - time.Millisecond, []int64{2 * ownVirtualTime, 2 * ownVirtualTime, 2 * ownVirtualTime}, waitingByOwner{}},
	}
	for _, c := range cases {
		owners := []OwnerView{{ID: "near", Workloads: []wire.Spare{{Workload: model(0)}}}}
		for i, remoteVirtualTime := range c.remoteVirtualTime {
			id := fleet.InstanceID("far-" + string(rune('0'+i)))
			spare := wire.Spare{Workload: model(0), MaxVirtualTime: remoteVirtualTime}
			owners = append(owners, OwnerView{ID: id, Proximity: OtherRegion, Workloads: []wire.Spare{spare}})
		}
		planner := NewPlanner("self", PlannerParams{VirtualTime: func(fleet.CustomerID) int64 { return ownVirtualTime }})
		planner.SetOwners(withoutSpare(owners))
		for _, v := range owners {
			planner.SetSpare(v.ID, v.Workloads)
		}
		d := wire.Demand{Customer: "a", Workload: model(0), Waiting: 7, WaitMillis: c.wait.Milliseconds()}
		got := waitingByOwner{}
		for _, a := range planner.Plan([]wire.Demand{d}, 1) {
			if a.Owner != "near" && len(a.Demand) > 0 {
				got[a.Owner] = a.Demand[0].Waiting
			}
		}
		if len(got) != len(c.want) || !slices.Equal([]int{got["far-1"], got["far-2"]}, []int{c.want["far-1"], c.want["far-2"]}) {
			t.Errorf("%s: registered %v, want %v", c.name, got, c.want)
		}
	}
}
