package membership

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// OwnerOrder lists, for each data centre, the data centres whose instances own its targets
// while it has no live instance. The first with a live instance is used.
type OwnerOrder map[fleet.DataCentreID][]fleet.DataCentreID

// List holds the live instances of each data centre in one version of the platform's list.
// It is immutable.
type List struct {
	members    map[fleet.DataCentreID][]fleet.InstanceID
	views      map[fleet.DataCentreID]View
	order      OwnerOrder
	largeFleet bool
}

// NewList returns the List of those instances that are live.
func NewList(instances []fleet.ListedInstance, order OwnerOrder) *List {
	l := &List{
		members:    make(map[fleet.DataCentreID][]fleet.InstanceID),
		views:      make(map[fleet.DataCentreID]View),
		order:      order,
		largeFleet: LargeFleet(instances),
	}
	for _, instance := range instances {
		if instance.State == fleet.StateLive {
			l.members[instance.DataCentre] = append(l.members[instance.DataCentre], instance.ID)
		}
	}
	for dataCentre, members := range l.members {
		slices.Sort(members)
		l.views[dataCentre] = NewView(members)
	}
	return l
}

// WithOrder returns a List of the same live instances with another owner order.
func (l *List) WithOrder(order OwnerOrder) *List {
	return &List{members: l.members, views: l.views, order: order}
}

// Members returns the live instances of a data centre, sorted.
func (l *List) Members(dataCentre fleet.DataCentreID) []fleet.InstanceID {
	return l.members[dataCentre]
}

// LargeFleet reports whether the list has so many live instances that heartbeats between
// data centres are sent less often.
func (l *List) LargeFleet() bool { return l.largeFleet }

// View returns the view of the instances of a data centre with no member skipped.
func (l *List) View(dataCentre fleet.DataCentreID) View { return l.views[dataCentre] }

// Holders returns the instances that share the limits of a data centre's targets: its own
// live instances, or else those of the first data centre in its owner order that has any.
func (l *List) Holders(dataCentre fleet.DataCentreID) []fleet.InstanceID {
	if members := l.members[dataCentre]; len(members) > 0 {
		return members
	}
	for _, next := range l.order[dataCentre] {
		if members := l.members[next]; len(members) > 0 {
			return members
		}
	}
	return nil
}

// Equal reports whether both lists have the same live instances and owner order.
func (l *List) Equal(other *List) bool {
	if len(l.members) != len(other.members) || len(l.order) != len(other.order) {
		return false
	}
	for dataCentre, members := range l.members {
		if !slices.Equal(members, other.members[dataCentre]) {
			return false
		}
	}
	for dataCentre, next := range l.order {
		if !slices.Equal(next, other.order[dataCentre]) {
			return false
		}
	}
	return true
}

// ListHistory holds the current list and those that were replaced within the hold-down. An
// instance may use the least that any of them gives it, so that a loss takes effect at once
// and a gain only after the hold-down. It is not safe for concurrent use.
type ListHistory struct {
	holdDown time.Duration
	all      []*List
	// replaced holds when each list in all but the last was replaced.
	replaced []time.Time
}

// NewListHistory returns a history with an empty current list, so that every member of the
// next list is a gain.
func NewListHistory(holdDown time.Duration) ListHistory {
	return ListHistory{holdDown: holdDown, all: []*List{NewList(nil, nil)}}
}

// Current returns the current list.
func (l *ListHistory) Current() *List { return l.all[len(l.all)-1] }

// All returns the lists within the hold-down, oldest first. The last is the current one.
func (l *ListHistory) All() []*List { return l.all }

// Replace makes next the current list. It returns false if next equals the current list.
func (l *ListHistory) Replace(next *List, now time.Time) bool {
	if l.Current().Equal(next) {
		return false
	}
	l.all = append(l.all, next)
	l.replaced = append(l.replaced, now)
	return true
}

// Prune removes the lists that were replaced longer than the hold-down ago, and reports
// whether there were any.
func (l *ListHistory) Prune(now time.Time) bool {
	expired := 0
	for expired < len(l.replaced) && now.Sub(l.replaced[expired]) > l.holdDown {
		expired++
	}
	l.all = slices.Delete(l.all, 0, expired)
	l.replaced = slices.Delete(l.replaced, 0, expired)
	return expired > 0
}
