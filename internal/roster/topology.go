package roster

import (
	"cmp"
	"slices"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/wire"
)

const (
	// MaxMeshSize is the largest fleet in which every instance talks to every other.
	MaxMeshSize = 12
	// RelaysPerDataCentre is how many instances of a data centre talk to other data centres
	// and to the platform, for the others as well.
	RelaysPerDataCentre = 2
)

// Topology is whom an instance talks to, and of whom it tells them.
type Topology struct {
	// Scopes has an entry for each peer.
	Scopes map[fleet.InstanceID]wire.Scope
	// Relay says that this instance speaks for its data centre.
	Relay bool
	// Reader says that it reads the platform for its data centre: its first relay does.
	Reader bool
}

// Relays returns the instances that speak for a data centre: of those that are not
// stopping the ones with the largest share of a processor, since a relay sends and hears
// a heartbeat for each instance of its data centre; among equals the first in rendezvous
// order. O(members · log).
func Relays(centre fleet.DataCentreID, members []Member) []fleet.InstanceID {
	var near []fleet.InstanceID
	processor := make(map[fleet.InstanceID]int)
	for _, m := range members {
		if m.DataCentre == centre && !m.Leaving {
			near = append(near, m.ID)
			processor[m.ID] = m.ProcessorMillis
		}
	}
	ranked := membership.Rank(string(centre), near)
	slices.SortStableFunc(ranked, func(a, b fleet.InstanceID) int { return cmp.Compare(processor[b], processor[a]) })
	return ranked[:min(len(ranked), RelaysPerDataCentre)]
}

// Plan returns the topology of an instance in a fleet, itself among the members. In a
// large fleet the number of its peers is that of its data centre's instances and of the
// other data centres' relays if it is a relay, and of its own relays if it is not.
func Plan(self fleet.InstanceID, centre fleet.DataCentreID, members []Member) Topology {
	p := Topology{Scopes: make(map[fleet.InstanceID]wire.Scope)}
	near := Relays(centre, members)
	p.Relay = slices.Contains(near, self)
	p.Reader = len(near) > 0 && near[0] == self
	switch {
	case len(members) <= MaxMeshSize:
		for _, m := range members {
			p.Scopes[m.ID] = wire.ScopeOwn
		}
	case p.Relay:
		p.planRelay(centre, members)
	}
	for _, id := range near {
		p.Scopes[id] = wire.ScopeOwn
	}
	delete(p.Scopes, self)
	return p
}

// planRelay adds the instances of the data centre and the other data centres' relays.
func (p *Topology) planRelay(centre fleet.DataCentreID, members []Member) {
	others := make(map[fleet.DataCentreID]bool)
	for _, m := range members {
		if m.DataCentre == centre {
			p.Scopes[m.ID] = wire.ScopeRest
		} else {
			others[m.DataCentre] = true
		}
	}
	for other := range others {
		for _, id := range Relays(other, members) {
			p.Scopes[id] = wire.ScopeDataCentre
		}
	}
}

// Peers returns the instances to be connected to under a topology. Beside its peers, a
// relay dials the seeds, silent instances of its data centre and the silent relays of
// others, and an instance that hears nobody dials all that it remembers: parts of a fleet
// that were cut off, or restarted while the seeds are away, find each other by these.
func (r *Roster) Peers(p Topology, now clock.Instant) []fleet.ListedInstance {
	wanted := make(map[fleet.InstanceID]bool)
	for id := range p.Scopes {
		wanted[id] = true
	}
	remembered := r.remembered(now)
	alone := len(p.Scopes) == 0
	if p.Relay || alone {
		for _, seed := range r.seeds {
			wanted[seed] = true
		}
	}
	for _, m := range remembered {
		if alone || p.Relay && m.DataCentre == r.self.DataCentre {
			wanted[m.ID] = true
		}
	}
	if p.Relay {
		for _, id := range relaysOfAll(remembered) {
			wanted[id] = true
		}
	}
	delete(wanted, r.self.ID)
	peers := make([]fleet.ListedInstance, 0, len(wanted))
	for id := range wanted {
		peers = append(peers, fleet.ListedInstance{ID: id, PeerAddr: string(id), State: fleet.StateLive})
	}
	return peers
}

// remembered returns the members that were heard of lately, and forgets the others.
func (r *Roster) remembered(now clock.Instant) []Member {
	all := make([]Member, 0, len(r.members))
	for id, m := range r.members {
		if now.Sub(m.LastSeen) > forgetAfter {
			delete(r.members, id)
			continue
		}
		all = append(all, *m)
	}
	return all
}

// relaysOfAll returns the relays of each data centre if all these members were alive.
func relaysOfAll(members []Member) []fleet.InstanceID {
	centres := make(map[fleet.DataCentreID]bool)
	var relays []fleet.InstanceID
	for _, m := range members {
		if !centres[m.DataCentre] {
			centres[m.DataCentre] = true
			relays = append(relays, Relays(m.DataCentre, members)...)
		}
	}
	return relays
}
