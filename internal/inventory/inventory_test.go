package inventory_test

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
)

const start = clock.Instant(time.Hour)

func listed(id string, started int64, state inventory.State) inventory.Target {
	return inventory.Target{
		ID: fleet.TargetID(id), StartMillis: started, Service: "lm", Addr: "10.0.0.1:1", DataCentre: "a",
		State: state, Slots: 4, Revision: uint64(started),
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
	// An older or torn listing says that it is ready after all.
	v.Update([]inventory.Target{listed("x", 1, inventory.Ready)}, nil, start.Add(time.Second))
	if ids := usable(v, start.Add(time.Second)); len(ids) != 0 {
		t.Errorf("%v is used after it began to leave", ids)
	}
	v.Update([]inventory.Target{listed("x", 2, inventory.Ready)}, nil, start.Add(2*time.Second))
	if ids := usable(v, start.Add(2*time.Second)); len(ids) != 1 {
		t.Error("a new run under the same id is not used")
	}
	if v.IsUsable("x", 1) {
		t.Error("a placement on the former run still holds")
	}
}

func TestAbsenceCountsAtOnceWhileCalm(t *testing.T) {
	v := inventory.New()
	v.Update([]inventory.Target{listed("x", 1, inventory.Ready)}, nil, start)
	v.Update(nil, nil, start.Add(time.Second))
	if v.IsUsable("x", 1) {
		t.Error("a target that the calm listing dropped is still used")
	}
}

func TestAbsenceAfterOutageWaitsForReturn(t *testing.T) {
	v := inventory.New()
	v.Update([]inventory.Target{listed("x", 1, inventory.Ready)}, nil, start)
	outage := start.Add(time.Second)
	v.NoteOutage(outage)
	v.Update(nil, nil, outage.Add(500*time.Millisecond))
	if !v.IsUsable("x", 1) {
		t.Error("an entry that lapsed in an outage is dropped before it could come back")
	}
	v.Expire(outage.Add(2400 * time.Millisecond))
	if !v.IsUsable("x", 1) {
		t.Error("dropped 1.9 s after the listing's return")
	}
	v.Expire(outage.Add(2600 * time.Millisecond))
	if v.IsUsable("x", 1) {
		t.Error("still used over 2 s after the listing's return")
	}
}

func TestEvacuatedDataCentreGetsNothingAndReturnsCold(t *testing.T) {
	v := inventory.New()
	all := []inventory.Target{listed("x", 1, inventory.Ready)}
	v.Update(all, []fleet.DataCentreID{"a"}, start)
	if v.IsUsable("x", 1) {
		t.Error("a target of an evacuated data centre is used")
	}
	back := start.Add(10 * time.Second)
	v.Update(all, nil, back)
	entries := v.Usable("lm", 3*time.Second, back)
	if len(entries) != 1 || !entries[0].IsCold(back.Add(2900*time.Millisecond)) || entries[0].IsCold(back.Add(3100*time.Millisecond)) {
		t.Error("after its return the target is not cold for the service's cold time")
	}
}

func TestColdTime(t *testing.T) {
	v := inventory.New()
	cold := listed("x", 1, inventory.Ready)
	cold.ColdRemaining = 2 * time.Second
	v.Update([]inventory.Target{cold}, nil, start)
	// The same entry read again later does not start its time anew.
	v.Update([]inventory.Target{cold}, nil, start.Add(2*time.Second))
	e, _ := v.Get("x")
	if !e.IsCold(start.Add(2200*time.Millisecond)) || e.IsCold(start.Add(2400*time.Millisecond)) {
		t.Error("the stated cold time and its margin are not kept")
	}
	v.MarkBroken("x", 3*time.Second, start.Add(10*time.Second))
	if !e.IsCold(start.Add(14 * time.Second)) {
		t.Error("a target that broke off is taken for warm before it can have said otherwise")
	}
}
