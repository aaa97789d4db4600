// Package locate chooses the instances to which callers connect.
//
// The load that it answers: a caller keeps the address that it has chosen, so that all
// requests of a large customer can come to one instance. Callers are therefore directed to
// the instances with the most processor, as few of them as carry the fleet's load with a
// reserve, and away from one that falls behind. The others stand by: they become part of
// the answer when those before them fail or fall behind. Fewer entry instances also share
// fewer connections to targets, and each knows more of what runs there at first hand.
//
// The package does no I/O and reads no clock.
package locate

import (
	"cmp"
	"slices"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/roster"
)

// Limits of the instances that are chosen.
const (
	// MaxAddrs is the maximum number of addresses in one answer.
	MaxAddrs = 64
	// minInstances and minDataCentres are how many instances and data centres are chosen at
	// least, if there are that many: the rest of them must carry the load when one fails.
	minInstances   = 4
	minDataCentres = 2
	// minCapacity is the least fraction of the processor of all suitable instances that the
	// chosen ones have together.
	minCapacity = 0.25
	// minSteady is the least fraction of the chosen instances that must not fall behind.
	// Below it, smaller instances are chosen as well.
	minSteady = 0.5
)

// Caller is where a caller is.
type Caller struct {
	Region     fleet.RegionID
	DataCentre fleet.DataCentreID
}

// Addrs returns the caller addresses of the instances that a caller should use, at most
// MaxAddrs, sorted, so that the answer does not depend on the instance asked. They are taken
// from the instances that are ready in its region, else from all that are ready, else from
// all that are not stopping, else from those that are stopping. O(members · log members).
func Addrs(alive []roster.Member, from Caller, regions map[fleet.DataCentreID]fleet.RegionID) []string {
	chosen := choose(suitable(alive, from, regions))
	addrs := make([]string, 0, len(chosen))
	for _, m := range chosen {
		addrs = append(addrs, m.CallerAddr)
	}
	slices.Sort(addrs)
	return addrs[:min(len(addrs), MaxAddrs)]
}

// suitable returns the instances of the best class for a caller.
func suitable(alive []roster.Member, from Caller, regions map[fleet.DataCentreID]fleet.RegionID) []roster.Member {
	best := classNone
	var members []roster.Member
	for _, m := range alive {
		class := classify(m, from, regions)
		if class > best {
			best, members = class, nil
		}
		if class == best && class != classNone {
			members = append(members, m)
		}
	}
	return members
}

// choose returns the instances with the most processor until they suffice, always all with
// an equal share, without those that fall behind while enough others do not.
func choose(members []roster.Member) []roster.Member {
	slices.SortFunc(members, func(a, b roster.Member) int {
		return cmp.Or(cmp.Compare(b.ProcessorMillis, a.ProcessorMillis), cmp.Compare(a.CallerAddr, b.CallerAddr))
	})
	total, dataCentres := 0, make(map[fleet.DataCentreID]bool)
	for _, m := range members {
		total += m.ProcessorMillis
		dataCentres[m.DataCentre] = true
	}
	wantCentres := min(len(dataCentres), minDataCentres)
	clear(dataCentres)
	capacity := 0
	var steady []roster.Member
	for i, m := range members {
		enough := i >= minInstances && len(dataCentres) >= wantCentres && float64(capacity) >= minCapacity*float64(total) &&
			float64(len(steady)) >= minSteady*float64(i)
		if enough && m.ProcessorMillis < members[i-1].ProcessorMillis {
			break
		}
		capacity += m.ProcessorMillis
		dataCentres[m.DataCentre] = true
		if !m.Behind {
			steady = append(steady, m)
		}
	}
	if len(steady) == 0 {
		return members
	}
	return steady
}

// class ranks instances by how suitable they are for a caller; higher is better.
type class int

const (
	// classNone has no address for callers.
	classNone class = iota
	classLeaving
	classNotReady
	classReady
	// classSameRegion is ready and in the caller's region.
	classSameRegion
)

// classify returns the class of an instance for a caller at from.
func classify(m roster.Member, from Caller, regions map[fleet.DataCentreID]fleet.RegionID) class {
	switch {
	case m.CallerAddr == "":
		return classNone
	case m.Leaving:
		return classLeaving
	case m.NotReady:
		return classNotReady
	case regions[m.DataCentre] == from.Region:
		return classSameRegion
	}
	return classReady
}

// Entries returns the instances that callers are directed to anywhere, as far as their processors
// decide, without those that stop. Instances that know the same members agree on them.
// O(members · log members).
func Entries(alive []roster.Member, regions map[fleet.DataCentreID]fleet.RegionID) map[fleet.InstanceID]bool {
	byRegion := make(map[fleet.RegionID][]roster.Member)
	for _, m := range alive {
		if m.CallerAddr != "" && !m.Leaving {
			m.Behind = false
			byRegion[regions[m.DataCentre]] = append(byRegion[regions[m.DataCentre]], m)
		}
	}
	entries := make(map[fleet.InstanceID]bool)
	for _, members := range byRegion {
		for _, m := range choose(members) {
			entries[m.ID] = true
		}
	}
	return entries
}
