package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// NoteRestore records that the next list of targets is of an older copy of the platform's
// records. It must be called before SetTargets gets that list.
func (s *Scheduler) NoteRestore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory.NoteRestore(s.options.Now())
}

// Outdated returns the number of listed targets that are withheld because a restore of the
// platform's records brought them back, and that of the evacuations that are kept although it
// lost them.
func (s *Scheduler) Outdated() (targets, evacuations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.Outdated()
}

// KeptEvacuations returns the data centres whose evacuation is kept although a restore of the
// platform's records lost it, and for how long.
func (s *Scheduler) KeptEvacuations() ([]fleet.DataCentreID, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.KeptEvacuations(s.options.Now())
}

// KeepEvacuations keeps the evacuations that a peer keeps for the remaining time.
func (s *Scheduler) KeepEvacuations(kept []fleet.DataCentreID, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory.KeepEvacuations(kept, remaining, s.options.Now())
	s.invalidateTargetLists()
}
