package inventory

import (
	"cmp"
	"slices"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// View returns a copy with the targets of one service only. Usable and NoteOutage change the copy alone; it must not
// be updated.
func (v *Inventory) View(service fleet.ServiceID) *Inventory {
	c := *v
	c.targets = make(map[fleet.TargetID]*Entry)
	for id, e := range v.targets {
		if e.Service == service {
			copied := *e
			c.targets[id] = &copied
		}
	}
	return &c
}

// Unusable is a listed target that gets no new work.
type Unusable struct {
	ID fleet.TargetID
	// Leaving says that the target leaves; otherwise its data centre is evacuated.
	Leaving bool
}

// Unusable returns the listed targets of a service that get no new work, sorted by id.
func (v *Inventory) Unusable(service fleet.ServiceID) []Unusable {
	var all []Unusable
	for _, e := range v.targets {
		if e.Service == service && !v.isUsable(e) {
			all = append(all, Unusable{ID: e.ID, Leaving: e.leaving})
		}
	}
	slices.SortFunc(all, func(a, b Unusable) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
