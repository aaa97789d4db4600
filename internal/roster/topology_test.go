package roster_test

import (
	"fmt"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// largeFleet returns the members of a fleet with the given number of data centres and ten
// instances in each.
func largeFleet(centres int) []wire.Member {
	var members []wire.Member
	for c := range centres {
		for i := range 10 {
			members = append(members, wire.Member{
				ID:         fleet.InstanceID(fmt.Sprintf("r%d-%d", c, i)),
				DataCentre: fleet.DataCentreID(fmt.Sprint("dc", c)),
			})
		}
	}
	return members
}

func rosterOf(id fleet.InstanceID, centre fleet.DataCentreID, members []wire.Member, now clock.Instant) *roster.Roster {
	r := roster.New(roster.Member{ID: id, DataCentre: centre}, []fleet.InstanceID{"seed"})
	r.Merge(members, now)
	return r
}

// The number of connections must grow with the size of a data centre and the number of
// data centres, not with the fleet, and both ends of each connection must plan it.
func TestTopologyOfLargeFleet(t *testing.T) {
	members := largeFleet(20)
	plans := make(map[fleet.InstanceID]roster.Topology)
	for _, m := range members {
		r := rosterOf(m.ID, m.DataCentre, members, start)
		plans[m.ID] = roster.Plan(m.ID, m.DataCentre, r.Alive(start))
	}
	relays := 0
	for id, p := range plans {
		if p.Relay {
			relays++
		}
		most := roster.RelaysPerDataCentre
		if p.Relay {
			most = 9 + 19*roster.RelaysPerDataCentre
		}
		if len(p.Scopes) > most {
			t.Errorf("%s has %d peers, which is too many", id, len(p.Scopes))
		}
		for to := range p.Scopes {
			if _, back := plans[to].Scopes[id]; !back {
				t.Errorf("%s plans a connection to %s, which does not plan one back", id, to)
			}
		}
	}
	if relays != 20*roster.RelaysPerDataCentre {
		t.Errorf("%d relays, want RelaysPerDataCentre in each of 20 data centres", relays)
	}
}

// Exactly one instance of each data centre reads the platform, so that the number of
// readers grows only with the number of data centres. Another relay can replace it.
func TestOneInstanceReadsForEachDataCentre(t *testing.T) {
	members := largeFleet(6)
	readers := make(map[fleet.DataCentreID]int)
	for _, m := range members {
		p := roster.Plan(m.ID, m.DataCentre, rosterOf(m.ID, m.DataCentre, members, start).Alive(start))
		if p.Reader {
			readers[m.DataCentre]++
		}
	}
	for _, m := range members {
		if readers[m.DataCentre] != 1 {
			t.Fatalf("readers for each data centre: %v, want 1", readers)
		}
	}
}

// The work of a relay grows with its data centre, so the relays must be the instances with
// the most processor time.
func TestRelaysAreTheInstancesWithMostProcessorTime(t *testing.T) {
	members := largeFleet(2)
	for i := range members {
		members[i].ProcessorMillis = 192
	}
	members[3].ProcessorMillis, members[8].ProcessorMillis = 800, 800
	alive := rosterOf("r1-0", "dc1", members, start).Alive(start)
	for _, id := range roster.Relays("dc0", alive) {
		if id != members[3].ID && id != members[8].ID {
			t.Errorf("%s is a relay with 192 thousandths of a processor, two others have 800", id)
		}
	}
}

// An instance that is stopping must hand its relay role over to another one.
func TestStoppingInstanceIsNoRelay(t *testing.T) {
	members := largeFleet(2)
	alive := rosterOf("r0-0", "dc0", members, start).Alive(start)
	first := roster.Relays("dc0", alive)[0]
	for i := range alive {
		if alive[i].ID == first {
			alive[i].Leaving = true
		}
	}
	for _, id := range roster.Relays("dc0", alive) {
		if id == first {
			t.Error("an instance that is stopping is a relay")
		}
	}
}

// After a network partition, the parts of a fleet find each other again because relays
// keep dialling the seeds and silent relays. Other instances must not dial them.
func TestRelaysDialSilentRelays(t *testing.T) {
	members := largeFleet(3)
	later := start.Add(roster.RelayedUnreachableAfter + time.Second)
	for _, m := range members[:10] {
		r := rosterOf(m.ID, m.DataCentre, members, start)
		// From now on only its own data centre is reported.
		r.Merge(members[:10], later)
		p := roster.Plan(m.ID, m.DataCentre, r.Alive(later))
		dialled := make(map[fleet.InstanceID]bool)
		for _, peer := range r.Peers(p, later) {
			dialled[peer.ID] = true
		}
		if dialled["seed"] != p.Relay {
			t.Errorf("%s (is a relay: %v) dials the seed: %v", m.ID, p.Relay, dialled["seed"])
		}
		silent := 0
		for _, other := range members[10:] {
			if dialled[other.ID] {
				silent++
			}
		}
		if p.Relay && silent != 2*roster.RelaysPerDataCentre || !p.Relay && silent != 0 {
			t.Errorf("%s dials %d instances of the silent data centres", m.ID, silent)
		}
	}
}

// An instance that was cut off from all others while no seed is available must find the
// fleet again through the members that have not expired.
func TestIsolatedInstanceDialsRecentMembers(t *testing.T) {
	members := largeFleet(2)
	r := rosterOf("r0-7", "dc0", members, start)
	later := start.Add(roster.RelayedUnreachableAfter + time.Second)
	p := roster.Plan("r0-7", "dc0", r.Alive(later))
	if dialled := len(r.Peers(p, later)); dialled != len(members) {
		t.Errorf("%d instances dialled, want the seed and the 19 others", dialled)
	}
}
