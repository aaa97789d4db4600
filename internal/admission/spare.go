// Package admission decides how much load of the engines requests may add, in which order waiting requests start, and
// which requests cannot be served. It responds to more requests than the engines can start at once. The package does
// no I/O and keeps no state.
package admission

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/placement"
)

// Limits for customers over their nominal share, as fractions of the route's objective and of a target's slots.
const (
	// spareWait is the longest expected wait at a target for a customer that used its effective share. It leaves most of
	// the objective for the prefill, the network, and load that is not known yet. It changes with the power
	// -waitExponent of the usage, up to maxSpareWait.
	spareWait    = 1.0 / 8
	maxSpareWait = 3.0 / 8
	waitExponent = 4
	// roomWait and roomSlots describe a target that has room: whoever takes it, a request of a customer within its
	// share that follows starts in time, and finds as many slots as are in use. They bound the limits from below.
	roomWait  = 1.0 / 20
	roomSlots = 0.5
	// spareSlots is the fraction of the slots that a customer within its effective share may fill. Beyond that share
	// it changes with the power -slotsExponent of the usage. With an exponent of 2 a customer at one instance got less
	// beside one at all instances, at engines short of slots.
	spareSlots    = 0.8
	slotsExponent = 4
	// behindSlots replaces spareSlots for customers that are not ahead of a starved one.
	behindSlots = 0.9
	// defaultObjective stands for the objective of routes that have none.
	defaultObjective = 500 * time.Millisecond
	// detourCost is by how much a target within the limit may cost more than the preferred one that is over it. A
	// fetch and the way to another region cost less, at objectives of 500 ms and more.
	detourCost = 1.0 / 8
	// enoughRoom is the fraction of a service's targets with room from which a starved customer could start its
	// requests now, so that it gains nothing if others wait.
	enoughRoom = 0.25
)

// Spare is what a limit for a customer over its nominal share depends on.
type Spare struct {
	// Objective is the time aimed at for the first event, 0 for none.
	Objective time.Duration
	// Used is the customer's usage, Effective its share of what the engines reach, in tokens.
	Used, Effective float64
	// Lead is the usage beyond which customers wait for a starved one, infinite if none is starved.
	Lead float64
	// HasRoom says that the starved customer could start its requests now, so that it gains nothing if others wait.
	HasRoom bool
	// Late says that the request can no longer be served within the objective.
	Late bool
}

// Limit returns the load of a target up to which the request may start there. It shrinks with the customer's usage, and
// always includes targets that have room.
func (s Spare) Limit() placement.Limit {
	usage := s.usage()
	wait := maxSpareWait
	if usage > 0 {
		wait = min(wait, spareWait*math.Pow(usage, -waitExponent))
	}
	if s.Late {
		wait = 0
	}
	limit := Room(s.Objective)
	limit.Wait = max(limit.Wait, fraction(wait, s.Objective))
	limit.Slots = max(limit.Slots, spareSlots*math.Pow(max(usage, 1), -slotsExponent))
	if !math.IsInf(s.Lead, 1) && s.Used < s.Lead {
		limit.Slots = behindSlots
	}
	return limit
}

// usage returns the usage as a multiple of the effective share, or of the lead if the customer waits for a starved one.
// Without a known share the usage counts as the whole share.
func (s Spare) usage() float64 {
	usage := 1.0
	if s.Effective > 0 {
		usage = s.Used / s.Effective
	}
	if s.Used > s.Lead && !s.HasRoom && s.Lead > 0 {
		usage = max(usage, s.Used/s.Lead)
	}
	return usage
}

// Room returns the limit within which a target counts as having room.
func Room(objective time.Duration) placement.Limit {
	return placement.Limit{Wait: fraction(roomWait, objective), Slots: roomSlots}
}

// IsEnough reports whether so many of all targets have room that nobody needs to wait for others.
func IsEnough(withRoom, all int) bool {
	return withRoom > 0 && float64(withRoom) >= enoughRoom*float64(all)
}

// MaxDetour returns by how much a target within the limit may cost more than the preferred one.
func MaxDetour(objective time.Duration) time.Duration { return fraction(detourCost, objective) }

// fraction returns a part of the objective.
func fraction(f float64, objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	return time.Duration(f * float64(objective))
}
