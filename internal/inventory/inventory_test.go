package inventory_test

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/records"
)

const start = clock.Instant(time.Hour)

func listed(id string, started int64, state inventory.State) inventory.Target {
	return inventory.Target{
		ID: fleet.TargetID(id), StartMillis: started, Service: "lm", Addr: "10.0.0.1:1", DataCentre: "a",
		State: state, Slots: 4, WrittenAt: records.NewPosition(0, uint64(started)),
	}
}

func usable(v *inventory.Inventory, now clock.Instant) []string {
	var ids []string
	for _, e := range v.Usable("lm", 3*time.Second, now) {
		ids = append(ids, string(e.ID))
	}
	return ids
}

func TestLeavingIsFinalForOneRunOfTarget(t *testing.T) {
	v := inventory.New()
	v.Update([]inventory.Target{listed("x", 1, inventory.Leaving)}, nil, start)
	// An older or incomplete listing states that the target is ready.
	v.Update([]inventory.Target{listed("x", 1, inventory.Ready)}, nil, start.Add(time.Second))
	if ids := usable(v, start.Add(time.Second)); len(ids) != 0 {
		t.Errorf("%v is usable although it was listed as leaving", ids)
	}
	v.Update([]inventory.Target{listed("x", 2, inventory.Ready)}, nil, start.Add(2*time.Second))
	if ids := usable(v, start.Add(2*time.Second)); len(ids) != 1 {
		t.Error("a target that restarted under the same id is not usable")
	}
	if v.IsUsable("x", 1) {
		t.Error("the former run of the target is still usable")
	}
}

// Without an outage a target may have left since the listing was the newest.
func TestOldListingIsUsedDuringOutageOnly(t *testing.T) {
	v := inventory.New()
	const maxAge = 2 * time.Second
	if !v.IsCurrent(time.Hour, false) {
		t.Error("a listing is too old without a bound")
	}
	v.MaxAge = maxAge
	if !v.IsCurrent(maxAge-1, false) || v.IsCurrent(maxAge, false) {
		t.Errorf("the bound is not %v", maxAge)
	}
	if !v.IsCurrent(time.Hour, true) {
		t.Error("an old listing is not used during an outage")
	}
}

func TestAbsentTargetIsDroppedAtOnceWithoutOutage(t *testing.T) {
	v := inventory.New()
	v.Update([]inventory.Target{listed("x", 1, inventory.Ready)}, nil, start)
	v.Update(nil, nil, start.Add(time.Second))
	if v.IsUsable("x", 1) {
		t.Error("a target is still usable though it is no longer listed and there was no outage")
	}
}

func TestAbsentTargetIsKeptForGraceAfterOutage(t *testing.T) {
	v := inventory.New()
	v.Update([]inventory.Target{listed("x", 1, inventory.Ready)}, nil, start)
	outage := start.Add(time.Second)
	v.NoteOutage(outage)
	v.Update(nil, nil, outage.Add(500*time.Millisecond))
	if !v.IsUsable("x", 1) {
		t.Error("an entry that lapsed during an outage was dropped before it could be listed again")
	}
	v.Expire(outage.Add(2400 * time.Millisecond))
	if !v.IsUsable("x", 1) {
		t.Error("dropped 1.9 s after the listing was reachable again")
	}
	v.Expire(outage.Add(2600 * time.Millisecond))
	if v.IsUsable("x", 1) {
		t.Error("still usable over 2 s after the listing was reachable again")
	}
}

func TestEvacuatedDataCentreIsUnusableAndReturnsCold(t *testing.T) {
	v := inventory.New()
	all := []inventory.Target{listed("x", 1, inventory.Ready)}
	v.Update(all, []fleet.DataCentreID{"a"}, start)
	if v.IsUsable("x", 1) {
		t.Error("a target of an evacuated data centre is usable")
	}
	back := start.Add(10 * time.Second)
	v.Update(all, nil, back)
	entries := v.Usable("lm", 3*time.Second, back)
	if len(entries) != 1 || !entries[0].IsCold(back.Add(2900*time.Millisecond)) || entries[0].IsCold(back.Add(3100*time.Millisecond)) {
		t.Error("the target is not cold for the service's cold period after its data centre was put back into use")
	}
}

func TestColdTime(t *testing.T) {
	v := inventory.New()
	cold := listed("x", 1, inventory.Ready)
	cold.ColdRemaining = 2 * time.Second
	v.Update([]inventory.Target{cold}, nil, start)
	// Reading the same entry again must not restart the cold time.
	v.Update([]inventory.Target{cold}, nil, start.Add(2*time.Second))
	e, _ := v.Get("x")
	if !e.IsCold(start.Add(2200*time.Millisecond)) || e.IsCold(start.Add(2400*time.Millisecond)) {
		t.Error("the target is not cold for the stated time plus the margin")
	}
	v.MarkBroken("x", 3*time.Second, start.Add(10*time.Second))
	if !e.IsCold(start.Add(14 * time.Second)) {
		t.Error("a target that broke a connection is no longer cold before the listing can show a restart")
	}
}
