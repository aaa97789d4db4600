package limit

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// share returns the units of the holder with the given rank, counted from 0, when limit
// is divided among n holders. The remainder goes to the first ranks.
func share(limit, rank, n int) int {
	units := limit / n
	if rank < limit%n {
		units++
	}
	return units
}

// viewChange is a former view and when it was replaced.
type viewChange struct {
	view  membership.View
	until time.Time
}

// viewHistory is the current view of one instance and its recent former views.
type viewHistory struct {
	current membership.View
	// since is when the unbroken record begins.
	since time.Time
	past  []viewChange
}

// maxPastViews bounds the record. A record with more changes is restarted.
const maxPastViews = 16

// restart begins a new record and discards the former views.
func (h *viewHistory) restart(view membership.View, now time.Time) {
	h.current = view
	h.since = now
	h.past = h.past[:0]
}

// set records the view at now and discards former views that ended more than keep ago.
func (h *viewHistory) set(view membership.View, keep time.Duration, now time.Time) {
	if view == h.current {
		return
	}
	h.past = slices.DeleteFunc(h.past, func(c viewChange) bool { return now.Sub(c.until) > keep })
	if len(h.past) >= maxPastViews {
		h.restart(view, now)
		return
	}
	h.past = append(h.past, viewChange{view: h.current, until: now})
	h.current = view
}

// decodedView is the list and the set of skipped instances that a view stands for. The
// list is nil if it is not one of the known lists.
type decodedView struct {
	list    *membership.List
	skipped []fleet.InstanceID
	// known is set if skipped could be determined.
	known bool
}

// decode returns the known list and the skipped members that a view of this instance's
// data centre stands for. The result is cached until the lists or the members that this
// instance skips change.
func (l *Ledger) decode(view membership.View) decodedView {
	if found, ok := l.decoded[view]; ok {
		return found
	}
	found := decodedView{}
	for _, list := range l.lists.All() {
		if !view.SameList(list.View(l.dataCentre)) {
			continue
		}
		found.list = list
		found.skipped, found.known = view.Skipped(list.Members(l.dataCentre), l.skipped)
	}
	if len(l.decoded) >= maxDecodedViews {
		clear(l.decoded)
	}
	l.decoded[view] = found
	return found
}

// maxDecodedViews bounds the cache of decoded views.
const maxDecodedViews = 256

// ownerUnder returns the owner of a target under a decoded view.
func (l *Ledger) ownerUnder(t *target, v decodedView) (fleet.InstanceID, bool) {
	for _, id := range l.ranked(t, v.list) {
		if !slices.Contains(v.skipped, id) {
			return id, true
		}
	}
	return "", false
}

// ranked returns the holders of a target under a list, in rendezvous order. The result
// is cached and must not be changed.
func (l *Ledger) ranked(t *target, list *membership.List) []fleet.InstanceID {
	if list == l.lists.Current() {
		if t.order == nil {
			t.order = membership.Rank(string(t.ID), list.Holders(t.DataCentre))
		}
		return t.order
	}
	if t.formerOrders == nil {
		t.formerOrders = make(map[*membership.List][]fleet.InstanceID)
	}
	order, ok := t.formerOrders[list]
	if !ok {
		order = membership.Rank(string(t.ID), list.Holders(t.DataCentre))
		t.formerOrders[list] = order
	}
	return order
}
