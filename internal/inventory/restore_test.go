package inventory_test

import (
	"slices"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/records"
)

// restored returns an entry as a restored listing shows it, last written at revision.
func restored(id, addr string, started int64, revision uint64) inventory.Target {
	t := listed(id, started, inventory.Ready)
	t.Addr, t.WrittenAt = addr, records.NewPosition(0, revision)
	return t
}

func wantUsable(t *testing.T, v *inventory.Inventory, after time.Duration, what string, want ...string) {
	t.Helper()
	if ids := usable(v, start.Add(after)); !slices.Equal(ids, want) {
		t.Errorf("%s: %v usable, want %v", what, ids, want)
	}
}

func TestRestoredListingBringsBackTargetThatLeft(t *testing.T) {
	v := inventory.New()
	x, y := restored("x", "10.0.0.1:1", 5, 7), restored("y", "10.0.0.2:1", 5, 8)
	v.Update([]inventory.Target{x, y}, nil, start)
	leaving := x
	leaving.State, leaving.WrittenAt = inventory.Leaving, records.NewPosition(0, 9)
	v.Update([]inventory.Target{leaving, y}, nil, start.Add(time.Second))
	v.Update([]inventory.Target{y}, nil, start.Add(2*time.Second))
	v.NoteRestore(start.Add(3 * time.Second))
	v.Update([]inventory.Target{x, y}, nil, start.Add(3*time.Second))
	wantUsable(t, v, 3*time.Second, "first listing after the restore", "y")
	v.Update([]inventory.Target{x, y}, nil, start.Add(5*time.Second))
	wantUsable(t, v, 5*time.Second, "unchanged entry", "y")
	// A target that writes its entry again is at work, whatever was known of it.
	x.WrittenAt = records.NewPosition(1, 20)
	v.Update([]inventory.Target{x, y}, nil, start.Add(6*time.Second))
	wantUsable(t, v, 6*time.Second, "entry written again", "x", "y")
}

func TestRestoredListingReplacesRestartedTargetByFormerRun(t *testing.T) {
	v := inventory.New()
	former, current := restored("x", "10.0.0.1:1", 5, 7), restored("x", "10.0.0.1:1", 9, 12)
	v.Update([]inventory.Target{former}, nil, start)
	v.Update([]inventory.Target{current}, nil, start.Add(time.Second))
	v.NoteRestore(start.Add(2 * time.Second))
	v.Update([]inventory.Target{former}, nil, start.Add(2*time.Second))
	if !v.IsUsable("x", 9) || v.IsUsable("x", 5) {
		t.Error("the former run is usable in place of the current one")
	}
	current.WrittenAt = records.NewPosition(1, 11)
	v.Update([]inventory.Target{current}, nil, start.Add(3*time.Second))
	v.Expire(start.Add(20 * time.Second))
	if !v.IsUsable("x", 9) {
		t.Error("the target that was listed again is not usable")
	}
}

func TestRestoredListingNamesAddressOfAnotherTarget(t *testing.T) {
	v := inventory.New()
	former, current := restored("x", "10.0.0.1:1", 5, 7), restored("y", "10.0.0.1:1", 9, 12)
	v.Update([]inventory.Target{current}, nil, start)
	v.NoteRestore(start.Add(time.Second))
	v.Update([]inventory.Target{former}, nil, start.Add(time.Second))
	wantUsable(t, v, time.Second, "after the restore", "y")
}

func TestTargetLostInRestoreIsKeptUntilItCouldBeListedAgain(t *testing.T) {
	v := inventory.New()
	v.Update([]inventory.Target{listed("x", 5, inventory.Ready)}, nil, start)
	v.NoteRestore(start.Add(time.Second))
	v.Update(nil, nil, start.Add(time.Second))
	wantUsable(t, v, time.Second, "after the restore", "x")
	v.Expire(start.Add(3 * time.Second))
	wantUsable(t, v, 3*time.Second, "two seconds later")
}

func TestEvacuationLostInRestoreStaysInForce(t *testing.T) {
	v := inventory.New()
	x := listed("x", 5, inventory.Ready)
	evacuated := []fleet.DataCentreID{"a"}
	v.Update([]inventory.Target{x}, evacuated, start)
	v.NoteRestore(start.Add(time.Second))
	v.Update([]inventory.Target{x}, nil, start.Add(time.Second))
	v.Update([]inventory.Target{x}, nil, start.Add(2*time.Second))
	wantUsable(t, v, 2*time.Second, "evacuation not written again yet")
	v.Update([]inventory.Target{x}, evacuated, start.Add(3*time.Second))
	v.Update([]inventory.Target{x}, nil, start.Add(4*time.Second))
	wantUsable(t, v, 4*time.Second, "evacuation written again and taken back", "x")
}

func TestEvacuationThatIsNotWrittenAgainEnds(t *testing.T) {
	v := inventory.New()
	x := listed("x", 5, inventory.Ready)
	v.Update([]inventory.Target{x}, []fleet.DataCentreID{"a"}, start)
	v.NoteRestore(start.Add(time.Second))
	v.Update([]inventory.Target{x}, nil, start.Add(time.Second))
	if v.Expire(start.Add(10*time.Second)) || !v.Expire(start.Add(11*time.Second)) {
		t.Error("want the end of the evacuation reported ten seconds after the restore")
	}
	wantUsable(t, v, 11*time.Second, "ten seconds after the restore", "x")
}

func TestEvacuationKeptByPeerStaysInForceUntilItEnds(t *testing.T) {
	known, started := inventory.New(), inventory.New()
	x := listed("x", 5, inventory.Ready)
	known.Update([]inventory.Target{x}, []fleet.DataCentreID{"a"}, start)
	known.NoteRestore(start.Add(time.Second))
	known.Update([]inventory.Target{x}, nil, start.Add(time.Second))
	started.Update([]inventory.Target{x}, nil, start.Add(4*time.Second))
	kept, remaining := known.KeptEvacuations(start.Add(5 * time.Second))
	started.KeepEvacuations(kept, remaining, start.Add(5*time.Second))
	started.Update([]inventory.Target{x}, nil, start.Add(6*time.Second))
	wantUsable(t, started, 6*time.Second, "evacuation that a peer keeps")
	if started.Expire(start.Add(10*time.Second)) || !started.Expire(start.Add(11*time.Second)) {
		t.Error("want the end of the evacuation reported when the peer's ends")
	}
	wantUsable(t, started, 11*time.Second, "after the end", "x")
}

func TestRestoredListingMakesKnownTargetsCold(t *testing.T) {
	v := inventory.New()
	x := listed("x", 5, inventory.Ready)
	x.ColdRemaining = 4 * time.Second
	v.Update([]inventory.Target{x}, nil, start)
	v.NoteRestore(start.Add(time.Minute))
	x.WrittenAt = records.NewPosition(1, 5)
	v.Update([]inventory.Target{x}, nil, start.Add(time.Minute))
	if e, ok := v.Get("x"); !ok || e.IsCold(start.Add(time.Minute)) {
		t.Error("a target is cold again because its entry was restored")
	}
}

func TestTargetThatRestartedDuringRestoreIsNotCold(t *testing.T) {
	v := inventory.New()
	v.Update([]inventory.Target{restored("x", "10.0.0.1:1", 5, 7)}, nil, start)
	v.NoteRestore(start.Add(time.Second))
	current := restored("x", "10.0.0.1:1", 9, 12)
	current.ColdRemaining = 4 * time.Second
	v.Update([]inventory.Target{current}, nil, start.Add(time.Second))
	if e, ok := v.Get("x"); !ok || !e.IsCold(start.Add(2*time.Second)) {
		t.Error("the new run of a target is not cold, want it cold for 4 s")
	}
}
