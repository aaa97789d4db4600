// Package inventory keeps the targets that the platform lists and decides which of them
// may get new work. It performs no I/O and reads no clock: listings, outcomes of requests
// and times are passed in. An Inventory must not be used concurrently.
//
// A target is identified by its id and start time, since a target that restarts under the
// same id has lost its state. Once a target with a given id and start is listed as
// leaving, it stays so, even if a later listing is lost or is older.
package inventory

import (
	"slices"
	"strings"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/records"
)

// Durations of an Inventory.
const (
	// absenceGrace is how long a target that is no longer listed is still used if the
	// listing was unreachable shortly before: entries lapse during an outage and are back
	// within two seconds after it.
	absenceGrace = 2 * time.Second
	// outageWindow is how long after an outage of the listing an absence is attributed to
	// the outage.
	outageWindow = 4 * time.Second
	// coldMargin is added to the remaining cold time that a target states, to allow for
	// the age of that statement.
	coldMargin = 300 * time.Millisecond
	// relistMargin is added to the cold time of a target that disconnected: it may restart
	// before the listing shows the new start.
	relistMargin = 2 * time.Second
)

// State is the state of a target in the listing.
type State int

// The states of a listed target.
const (
	Ready State = iota
	Leaving
)

// Target is a target as the platform lists it.
type Target struct {
	ID fleet.TargetID
	// StartMillis is the target's own start in Unix milliseconds.
	StartMillis int64
	Service     fleet.ServiceID
	Addr        string
	DataCentre  fleet.DataCentreID
	State       State
	// Slots is the number of requests that run at once, 0 if unknown.
	Slots int
	// ColdRemaining is the time for which the target was still going to be cold when the
	// entry was written.
	ColdRemaining time.Duration
	// WrittenAt is the era of the listing with the revision of the entry.
	WrittenAt records.Position
}

// Entry is a listed target with the state that this instance keeps for it.
type Entry struct {
	Target
	// ColdUntil is the end of the time in which the target accepts only a low rate of
	// requests.
	ColdUntil clock.Instant
	// suspectUntil is the end of the time for which the target counts as cold because it may
	// have restarted.
	suspectUntil clock.Instant
	// absentSince is the time of the first listing without the target, 0 while the target
	// is listed.
	absentSince clock.Instant
	leaving     bool
}

// IsCold reports whether the target accepts only a low rate of requests.
func (e *Entry) IsCold(now clock.Instant) bool { return now < max(e.ColdUntil, e.suspectUntil) }

// Inventory is the table of listed targets.
type Inventory struct {
	// MaxAge is the age from which a listing no longer shows which targets get work, 0 for none.
	MaxAge  time.Duration
	targets map[fleet.TargetID]*Entry
	// evacuated holds the data centres that must get no work, and restoredAt the time at
	// which each was last put back into use.
	evacuated  map[fleet.DataCentreID]bool
	restoredAt map[fleet.DataCentreID]clock.Instant
	// lastOutage is the last time at which the listing was unreachable.
	lastOutage clock.Instant
	// departed holds the last known runs of targets that have gone recently.
	departed map[fleet.TargetID]departure
	restore  restore
	leavings leavings
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{
		targets:    make(map[fleet.TargetID]*Entry),
		evacuated:  make(map[fleet.DataCentreID]bool),
		restoredAt: make(map[fleet.DataCentreID]clock.Instant),
		departed:   make(map[fleet.TargetID]departure),
		leavings:   leavings{runs: make(map[fleet.TargetID]leavingRun)},
	}
}

// NoteOutage records that the listing is unreachable now.
func (v *Inventory) NoteOutage(now clock.Instant) { v.lastOutage = now }

// IsCurrent reports whether targets may get work by a listing that was last known to be the newest
// some time ago. An old one may lack that a target leaves, or that a data centre is evacuated. It
// is used on only while the listing is unreachable, when nothing newer is to be had.
func (v *Inventory) IsCurrent(age time.Duration, unreachable bool) bool {
	return v.MaxAge == 0 || age < v.MaxAge || unreachable
}

// Update applies a complete listing.
func (v *Inventory) Update(listed []Target, evacuated []fleet.DataCentreID, now clock.Instant) {
	v.updateDataCentres(v.withKeptEvacuations(evacuated), now)
	restored := v.restore.pending
	listed = v.withoutOutdated(listed)
	present := make(map[fleet.TargetID]bool, len(listed))
	for _, t := range listed {
		present[t.ID] = true
		v.updateTarget(t, restored, now)
	}
	for id, e := range v.targets {
		if !present[id] && e.absentSince == 0 {
			e.absentSince = now
		}
	}
	v.Expire(now)
}

func (v *Inventory) updateDataCentres(evacuated []fleet.DataCentreID, now clock.Instant) {
	for dc := range v.evacuated {
		if !slices.Contains(evacuated, dc) {
			delete(v.evacuated, dc)
			v.restoredAt[dc] = now
		}
	}
	for _, dc := range evacuated {
		v.evacuated[dc] = true
	}
}

// updateTarget applies a listed entry. restored says that the listing is of an older copy: what
// it states of the cold time of a known run of a target is then out of date.
func (v *Inventory) updateTarget(t Target, restored bool, now clock.Instant) {
	e := v.targets[t.ID]
	known := e != nil
	if e == nil || e.StartMillis != t.StartMillis || e.Addr != t.Addr {
		e, known = &Entry{leaving: v.saidLeaving(t.ID, t.StartMillis)}, false
		v.targets[t.ID] = e
	}
	if t.ColdRemaining > 0 && t.WrittenAt != e.WrittenAt && !(restored && known) {
		e.ColdUntil = max(e.ColdUntil, now.Add(t.ColdRemaining+coldMargin))
	}
	delete(v.departed, t.ID)
	e.Target = t
	e.absentSince = 0
	e.leaving = e.leaving || t.State == Leaving
}

// Expire drops targets that have been absent for long enough, and ends the period after a
// restore. It reports whether that changed anything. Without a recent outage of the listing a
// target is dropped as soon as it is absent; after one it is dropped when it has had time to
// be listed again.
func (v *Inventory) Expire(now clock.Instant) bool {
	v.forgetDepartures(now)
	v.forgetLeavings(now)
	changed := v.expireRestore(now)
	for id, e := range v.targets {
		if e.absentSince == 0 {
			continue
		}
		afterOutage := v.lastOutage != 0 && e.absentSince.Sub(v.lastOutage) < outageWindow
		if !afterOutage || now.Sub(max(v.lastOutage, e.absentSince)) >= absenceGrace {
			v.noteDeparture(e, now)
			delete(v.targets, id)
			changed = true
		}
	}
	return changed
}

// MarkBroken records that a target could not be reached or broke a connection. The target
// is treated as cold for coldPeriod plus relistMargin, because it may have restarted before
// the listing shows the new start; MarkRunning ends that.
func (v *Inventory) MarkBroken(id fleet.TargetID, coldPeriod time.Duration, now clock.Instant) {
	if e := v.targets[id]; e != nil && coldPeriod > 0 {
		e.suspectUntil = max(e.suspectUntil, now.Add(coldPeriod+relistMargin))
	}
}

// MarkRunning records that a target has not restarted since it was last marked as broken.
func (v *Inventory) MarkRunning(id fleet.TargetID) {
	if e := v.targets[id]; e != nil {
		e.suspectUntil = 0
	}
}

// MarkCold records how much longer a target stays cold by its own statement.
func (v *Inventory) MarkCold(id fleet.TargetID, remaining time.Duration, now clock.Instant) {
	if e := v.targets[id]; e != nil && remaining > 0 {
		e.ColdUntil = max(e.ColdUntil, now.Add(remaining+coldMargin))
	}
}

// Get returns a listed target, whatever its state.
func (v *Inventory) Get(id fleet.TargetID) (*Entry, bool) {
	e, ok := v.targets[id]
	return e, ok
}

// Usable returns the targets of a service that may get new work, sorted by id. coldPeriod
// is the cold period of the service; it applies to data centres that were put back into use.
// It goes through all listed targets.
func (v *Inventory) Usable(service fleet.ServiceID, coldPeriod time.Duration, now clock.Instant) []*Entry {
	var usable []*Entry
	for _, e := range v.targets {
		if e.Service != service || !v.isUsable(e) {
			continue
		}
		if restoredAt, ok := v.restoredAt[e.DataCentre]; ok {
			e.ColdUntil = max(e.ColdUntil, restoredAt.Add(coldPeriod))
		}
		usable = append(usable, e)
	}
	slices.SortFunc(usable, func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return usable
}

// IsUsable reports whether a target with this start may get new work. It must be called
// immediately before a request is sent.
func (v *Inventory) IsUsable(id fleet.TargetID, startMillis int64) bool {
	e, ok := v.targets[id]
	return ok && e.StartMillis == startMillis && v.isUsable(e)
}

// AbsentFor returns the time since a target is no longer listed, 0 if it is listed or not known.
func (v *Inventory) AbsentFor(id fleet.TargetID, now clock.Instant) time.Duration {
	if e, ok := v.targets[id]; ok && e.absentSince != 0 {
		return now.Sub(e.absentSince)
	}
	return 0
}

// IsServing reports whether a target with this start is listed and not leaving, whatever the
// state of its data centre.
func (v *Inventory) IsServing(id fleet.TargetID, startMillis int64) bool {
	e, ok := v.targets[id]
	return ok && e.StartMillis == startMillis && !e.leaving
}

func (v *Inventory) isUsable(e *Entry) bool { return !e.leaving && !v.evacuated[e.DataCentre] }

// Count returns the number of listed targets.
func (v *Inventory) Count() int { return len(v.targets) }
