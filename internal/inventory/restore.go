package inventory

import (
	"maps"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Durations around a restore of the listing from an older copy.
const (
	// outdatedPeriod is how long after a restore what is known to be outdated in the listing is
	// withheld. By then the platform has removed the entries of targets that no longer
	// write them, and operators have written again what was lost.
	outdatedPeriod = 10 * time.Second
	// departureKept is how long a target that has gone is remembered. It exceeds the age of
	// any copy from which the listing is restored.
	departureKept = time.Minute
)

// departure is the last known run of a target that has gone.
type departure struct {
	startMillis int64
	at          clock.Instant
}

// restore is the state since the listing was last restored from an older copy.
type restore struct {
	// pending is set until the first listing after the restore has been applied. until is the
	// end of outdatedPeriod.
	pending bool
	until   clock.Instant
	// outdated holds the entries that are withheld. They are used once they are written again.
	outdated map[fleet.TargetID]Target
	// evacuated holds the data centres whose evacuation the restored listing lacks.
	evacuated map[fleet.DataCentreID]bool
}

// NoteRestore records that the next listing is of an older copy, in which changes that have
// been applied are lost. What is known to be newer stays in force until it is written again.
func (v *Inventory) NoteRestore(now clock.Instant) {
	v.restore = restore{
		pending: true, until: now.Add(outdatedPeriod),
		outdated: make(map[fleet.TargetID]Target), evacuated: make(map[fleet.DataCentreID]bool),
	}
	// Entries that were lost are back as soon as after an outage.
	v.lastOutage = now
}

// Outdated returns the number of entries that are withheld since a restore, and that of the
// evacuations that are kept although they are not listed.
func (v *Inventory) Outdated() (entries, evacuations int) {
	return len(v.restore.outdated), len(v.restore.evacuated)
}

// withoutOutdated returns the entries of a listing that are not known to be outdated.
func (v *Inventory) withoutOutdated(listed []Target) []Target {
	r := &v.restore
	if !r.pending && len(r.outdated) == 0 {
		return listed
	}
	byAddr := make(map[string]*Entry, len(v.targets))
	for _, e := range v.targets {
		byAddr[e.Addr] = e
	}
	outdated := make(map[fleet.TargetID]Target)
	var rest []Target
	for _, t := range listed {
		withheld, known := r.outdated[t.ID]
		switch {
		case known && withheld.WrittenAt == t.WrittenAt, r.pending && v.isOutdated(t, byAddr[t.Addr]):
			outdated[t.ID] = t
		default:
			rest = append(rest, t)
		}
	}
	r.pending, r.outdated = false, outdated
	return rest
}

// isOutdated reports whether a restored entry is of a run of the target that has ended, or
// names an address that another target has since. sameAddr is the target known at the
// entry's address, nil if there is none.
func (v *Inventory) isOutdated(t Target, sameAddr *Entry) bool {
	if d, ok := v.departed[t.ID]; ok && t.StartMillis <= d.startMillis {
		return true
	}
	if e, ok := v.targets[t.ID]; ok && t.StartMillis < e.StartMillis {
		return true
	}
	return sameAddr != nil && sameAddr.ID != t.ID && t.StartMillis < sameAddr.StartMillis
}

// withKeptEvacuations adds to a listing's evacuations those that a restore lost.
func (v *Inventory) withKeptEvacuations(evacuated []fleet.DataCentreID) []fleet.DataCentreID {
	r := &v.restore
	if r.pending {
		r.evacuated = maps.Clone(v.evacuated)
	}
	for _, dc := range evacuated {
		delete(r.evacuated, dc)
	}
	kept := evacuated[:len(evacuated):len(evacuated)]
	for dc := range r.evacuated {
		kept = append(kept, dc)
	}
	return kept
}

// KeptEvacuations returns the data centres whose evacuation is kept although the listing lacks it,
// and for how long.
func (v *Inventory) KeptEvacuations(now clock.Instant) ([]fleet.DataCentreID, time.Duration) {
	return slices.Sorted(maps.Keys(v.restore.evacuated)), v.restore.until.Sub(now)
}

// KeepEvacuations keeps evacuations that the listing lacks and that a peer keeps since a restore.
func (v *Inventory) KeepEvacuations(kept []fleet.DataCentreID, remaining time.Duration, now clock.Instant) {
	r := &v.restore
	for _, dc := range kept {
		if v.evacuated[dc] {
			continue
		}
		if r.evacuated == nil {
			r.evacuated = make(map[fleet.DataCentreID]bool)
		}
		v.evacuated[dc], r.evacuated[dc] = true, true
		r.until = max(r.until, now.Add(min(remaining, outdatedPeriod)))
	}
}

// expireRestore ends outdatedPeriod: what is still withheld is used as it was listed. It
// reports whether that changed anything.
func (v *Inventory) expireRestore(now clock.Instant) bool {
	r := &v.restore
	if r.pending || now < r.until || len(r.outdated)+len(r.evacuated) == 0 {
		return false
	}
	for dc := range r.evacuated {
		delete(v.evacuated, dc)
		v.restoredAt[dc] = now
	}
	for _, t := range r.outdated {
		v.updateTarget(t, false, now)
	}
	v.restore = restore{}
	return true
}

// noteDeparture records that a run of a target has ended.
func (v *Inventory) noteDeparture(e *Entry, now clock.Instant) {
	v.departed[e.ID] = departure{startMillis: e.StartMillis, at: now}
}

// forgetDepartures drops the departures that are older than departureKept.
func (v *Inventory) forgetDepartures(now clock.Instant) {
	maps.DeleteFunc(v.departed, func(_ fleet.TargetID, d departure) bool { return now.Sub(d.at) >= departureKept })
}
