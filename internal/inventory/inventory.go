// Package inventory knows the targets that the platform lists and which of them may
// get new work. It is pure: the listing, what requests met and the time go in, the
// usable targets come out. One goroutine at a time uses an Inventory.
//
// A target is known by its id and the time of its start, since a target that starts
// again under its id knows nothing of before. Leaving is final for one such pair: it
// binds also when a later listing is lost or older.
package inventory

import (
	"slices"
	"strings"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Times of an Inventory.
const (
	// absenceGrace is how long a target that the listing no longer names is still
	// used if the listing was just out of reach: entries lapse then and come back
	// within two seconds of its return.
	absenceGrace = 2 * time.Second
	// outageMemory is how long after an outage of the listing an absence is doubted.
	outageMemory = 4 * time.Second
	// coldMargin is added to the remaining cold time that a target states, for the
	// age of the statement.
	coldMargin = 300 * time.Millisecond
	// unannouncedCold is how long a target that broke off is taken for cold, beside
	// its service's cold time: it may start again before its entry says so.
	unannouncedCold = 2 * time.Second
)

// State is what the listing says of a target.
type State int

// The states of a listed target.
const (
	Ready State = iota
	Leaving
)

// Target is one target as it is listed.
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
	// ColdRemaining is how long the target stayed cold when the entry was written.
	ColdRemaining time.Duration
	// Revision is the entry's.
	Revision uint64
}

// Entry is a target with what is known of it beside the listing.
type Entry struct {
	Target
	// ColdUntil is the end of the time in which the target bears little.
	ColdUntil clock.Instant
	// absentSince is when the listing last named the target, 0 while it does.
	absentSince clock.Instant
	left        bool
}

// IsCold reports whether the target bears only a little work.
func (e *Entry) IsCold(now clock.Instant) bool { return now < e.ColdUntil }

// Inventory is the table of targets.
type Inventory struct {
	targets map[fleet.TargetID]*Entry
	// evacuated holds data centres that are to get no work, and returned the instant
	// at which each was last taken back.
	evacuated map[fleet.DataCentreID]bool
	returned  map[fleet.DataCentreID]clock.Instant
	// lastOutage is the last instant at which the listing was out of reach.
	lastOutage clock.Instant
}

// New returns an empty inventory.
func New() *Inventory {
	return &Inventory{
		targets:   make(map[fleet.TargetID]*Entry),
		evacuated: make(map[fleet.DataCentreID]bool),
		returned:  make(map[fleet.DataCentreID]clock.Instant),
	}
}

// NoteOutage notes that the listing is out of reach now.
func (v *Inventory) NoteOutage(now clock.Instant) { v.lastOutage = now }

// Update takes in a whole listing.
func (v *Inventory) Update(listed []Target, evacuated []fleet.DataCentreID, now clock.Instant) {
	v.updateDataCentres(evacuated, now)
	named := make(map[fleet.TargetID]bool, len(listed))
	for _, t := range listed {
		named[t.ID] = true
		v.updateTarget(t, now)
	}
	for id, e := range v.targets {
		if !named[id] && e.absentSince == 0 {
			e.absentSince = now
		}
	}
	v.Expire(now)
}

func (v *Inventory) updateDataCentres(evacuated []fleet.DataCentreID, now clock.Instant) {
	for dc := range v.evacuated {
		if !slices.Contains(evacuated, dc) {
			delete(v.evacuated, dc)
			v.returned[dc] = now
		}
	}
	for _, dc := range evacuated {
		v.evacuated[dc] = true
	}
}

func (v *Inventory) updateTarget(t Target, now clock.Instant) {
	e := v.targets[t.ID]
	if e == nil || e.StartMillis != t.StartMillis || e.Addr != t.Addr {
		e = &Entry{}
		v.targets[t.ID] = e
	}
	if t.ColdRemaining > 0 && t.Revision != e.Revision {
		e.ColdUntil = max(e.ColdUntil, now.Add(t.ColdRemaining+coldMargin))
	}
	e.Target = t
	e.absentSince = 0
	e.left = e.left || t.State == Leaving
}

// Expire drops targets that have been absent for long enough and reports whether there
// were any. An absence counts at once while the listing is calm; after an outage it
// counts when the target has had time to be listed again.
func (v *Inventory) Expire(now clock.Instant) bool {
	before := len(v.targets)
	for id, e := range v.targets {
		if e.absentSince == 0 {
			continue
		}
		doubtful := v.lastOutage != 0 && e.absentSince.Sub(v.lastOutage) < outageMemory
		if !doubtful || now.Sub(max(v.lastOutage, e.absentSince)) >= absenceGrace {
			delete(v.targets, id)
		}
	}
	return len(v.targets) < before
}

// MarkBroken notes that a target could not be reached or broke off. Until its entry
// tells of a new start it may be cold without saying so.
func (v *Inventory) MarkBroken(id fleet.TargetID, coldFor time.Duration, now clock.Instant) {
	if e := v.targets[id]; e != nil && coldFor > 0 {
		e.ColdUntil = max(e.ColdUntil, now.Add(coldFor+unannouncedCold))
	}
}

// MarkCold notes that a target itself said for how long it stays cold.
func (v *Inventory) MarkCold(id fleet.TargetID, left time.Duration, now clock.Instant) {
	if e := v.targets[id]; e != nil && left > 0 {
		e.ColdUntil = max(e.ColdUntil, now.Add(left+coldMargin))
	}
}

// Get returns a target that is listed, whatever its state.
func (v *Inventory) Get(id fleet.TargetID) (*Entry, bool) {
	e, ok := v.targets[id]
	return e, ok
}

// Usable returns the targets of a service that may get new work, in the order of
// their ids. coldFor is the service's cold time, for data centres taken back.
// O(targets).
func (v *Inventory) Usable(service fleet.ServiceID, coldFor time.Duration, now clock.Instant) []*Entry {
	var usable []*Entry
	for _, e := range v.targets {
		if e.Service != service || !v.mayUse(e) {
			continue
		}
		if returned, ok := v.returned[e.DataCentre]; ok {
			e.ColdUntil = max(e.ColdUntil, returned.Add(coldFor))
		}
		usable = append(usable, e)
	}
	slices.SortFunc(usable, func(a, b *Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return usable
}

// IsUsable reports whether a target with this start may get new work. It is asked again
// immediately before a request is sent.
func (v *Inventory) IsUsable(id fleet.TargetID, started int64) bool {
	e, ok := v.targets[id]
	return ok && e.StartMillis == started && v.mayUse(e)
}

func (v *Inventory) mayUse(e *Entry) bool { return !e.left && !v.evacuated[e.DataCentre] }

// Count returns the number of listed targets.
func (v *Inventory) Count() int { return len(v.targets) }
