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

// large is a fleet of data centres with ten instances each, as members tell of it.
func large(centres int) []wire.Member {
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

// Connections grow with the data centre and the number of data centres, not with the
// fleet, and both ends of each plan it.
func TestTopologyOfLargeFleet(t *testing.T) {
	members := large(20)
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
			t.Errorf("%s talks to %d instances", id, len(p.Scopes))
		}
		for to := range p.Scopes {
			if _, back := plans[to].Scopes[id]; !back {
				t.Errorf("%s talks to %s, which does not answer", id, to)
			}
		}
	}
	if relays != 20*roster.RelaysPerDataCentre {
		t.Errorf("%d relays", relays)
	}
}

// The number of instances that read the platform grows with the data centres alone, and
// another relay is there to stand in.
func TestOneInstanceReadsForEachDataCentre(t *testing.T) {
	members := large(6)
	readers := make(map[fleet.DataCentreID]int)
	for _, m := range members {
		p := roster.Plan(m.ID, m.DataCentre, rosterOf(m.ID, m.DataCentre, members, start).Alive(start))
		if p.Reader {
			readers[m.DataCentre]++
		}
	}
	for _, m := range members {
		if readers[m.DataCentre] != 1 {
			t.Fatalf("readers %v", readers)
		}
	}
}

// A relay's work grows with its data centre: where machines differ it falls to the ones
// with the most processor time.
func TestRelaysAreTheInstancesWithMostProcessorTime(t *testing.T) {
	members := large(2)
	for i := range members {
		members[i].ProcessorMillis = 192
	}
	members[3].ProcessorMillis, members[8].ProcessorMillis = 800, 800
	alive := rosterOf("r1-0", "dc1", members, start).Alive(start)
	for _, id := range roster.Relays("dc0", alive) {
		if id != members[3].ID && id != members[8].ID {
			t.Errorf("%s speaks for its data centre with 192 thousandths of a processor, two others have 800", id)
		}
	}
}

// A stopping instance hands over what it does for others.
func TestStoppingInstanceIsNoRelay(t *testing.T) {
	members := large(2)
	alive := rosterOf("r0-0", "dc0", members, start).Alive(start)
	first := roster.Relays("dc0", alive)[0]
	for i := range alive {
		if alive[i].ID == first {
			alive[i].Leaving = true
		}
	}
	for _, id := range roster.Relays("dc0", alive) {
		if id == first {
			t.Error("an instance that is stopping speaks for its data centre")
		}
	}
}

// A relay dials seeds and relays that fell silent, by which parts of a fleet find each
// other again; the others do not.
func TestRelaysKeepDiallingOtherParts(t *testing.T) {
	members := large(3)
	later := start.Add(roster.RelayedUnreachableAfter + time.Second)
	for _, m := range members[:10] {
		r := rosterOf(m.ID, m.DataCentre, members, start)
		// Only its own data centre is heard of from then on.
		r.Merge(members[:10], later)
		p := roster.Plan(m.ID, m.DataCentre, r.Alive(later))
		dialled := make(map[fleet.InstanceID]bool)
		for _, peer := range r.Peers(p, later) {
			dialled[peer.ID] = true
		}
		if dialled["seed"] != p.Relay {
			t.Errorf("%s, relay %v, dials the seed: %v", m.ID, p.Relay, dialled["seed"])
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

// An instance that was cut off from everybody while all seeds are away finds the fleet
// by what it remembers.
func TestLoneInstanceDialsWhomItRemembers(t *testing.T) {
	members := large(2)
	r := rosterOf("r0-7", "dc0", members, start)
	later := start.Add(roster.RelayedUnreachableAfter + time.Second)
	p := roster.Plan("r0-7", "dc0", r.Alive(later))
	if dialled := len(r.Peers(p, later)); dialled != len(members) {
		t.Errorf("%d instances are dialled, want the seed and the 19 others", dialled)
	}
}
