package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/roster"
)

// largeFleet returns 18 large and 177 small instances in three regions.
func largeFleet() ([]roster.Member, map[fleet.DataCentreID]fleet.RegionID) {
	regions := make(map[fleet.DataCentreID]fleet.RegionID)
	var members []roster.Member
	for i := range 195 {
		dc := fleet.DataCentreID(fmt.Sprint("dc", i%6))
		regions[dc] = fleet.RegionID(fmt.Sprint("r", i%3))
		processor := 192
		if i < 18 {
			processor = 800
		}
		id := fmt.Sprintf("i%03d", i)
		members = append(members, roster.Member{ID: fleet.InstanceID(id), DataCentre: dc, CallerAddr: id, ProcessorMillis: processor})
	}
	return members, regions
}

// An empty engine joins a fleet of hundreds. What it may take while it is cold must be divided between
// the instances that have requests: most of 195 have none, and would leave their parts unused.
func TestColdStartsAreLostToInstancesWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, regions := largeFleet()
		now := clock.Monotonic()
		entries, others := 0, 0
		for _, m := range members {
			s := New(Options{Self: m.ID, DataCentre: m.DataCentre, Regions: regions, Now: now, ShareWindow: 4 * time.Second})
			s.SetTargets(engineList(3), nil)
			s.SetAlive(members)
			list := s.targetListFor(&Job{Service: &engines}, now())
			share := s.coldShare(&list.targets[0], engines.ColdRate)
			if m.ProcessorMillis == 800 {
				entries += share
			} else {
				others += share
			}
		}
		if want := 0.9 * float64(int(engines.ColdRate)); float64(entries) < want || float64(entries+others) > engines.ColdRate {
			t.Errorf("of %v starts a second the 18 entries may make %d and the 177 others %d, want at least %v and not more in all",
				engines.ColdRate, entries, others, want)
		}
	})
}

// What the retry budget allows in addition goes to the instances that have requests, and the parts of
// all together stay within it.
func TestRetryBudgetGoesToEntries(t *testing.T) {
	members, regions := largeFleet()
	entries, all := 0.0, 0.0
	for _, m := range members {
		s := New(Options{Self: m.ID, DataCentre: m.DataCentre, Regions: regions, Now: clock.Monotonic(), ShareWindow: 4 * time.Second})
		s.SetAlive(members)
		part := s.budgetPart()
		all += part
		if m.ProcessorMillis == 800 {
			entries += part
		}
	}
	if all > 1.000001 || entries < 0.75 {
		t.Errorf("the parts add up to %.3f, those of the entries to %.3f", all, entries)
	}
}
