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
	// MaxMeshSize is the size of the largest fleet in which all instances exchange
	// heartbeats with each other directly.
	MaxMeshSize = 12
	// RelaysPerDataCentre is the number of instances of a data centre that communicate with
	// other data centres and the platform on behalf of all its instances.
	RelaysPerDataCentre = 2
)

// Topology is the set of peers with which an instance exchanges heartbeats and, for each,
// the instances that its heartbeats cover.
type Topology struct {
	// Scopes holds the scope of the heartbeats to each peer.
	Scopes map[fleet.InstanceID]wire.Scope
	// Standby holds the peers that have another relay as their first source of sums. They get
	// this relay's less often.
	Standby map[fleet.InstanceID]bool
	// Relay is set if this instance is a relay of its data centre.
	Relay bool
	// Reader is set if this instance reads the platform for its data centre, which is the
	// task of the first relay.
	Reader bool
}

// Relays returns the relays of a data centre, at most RelaysPerDataCentre. Of the
// instances that are not stopping, these are the ones with the largest share of a
// processor, because a relay sends and receives a heartbeat for each instance of its data
// centre. Equal shares are ordered by rendezvous hashing. O(members · log members).
func Relays(centre fleet.DataCentreID, members []Member) []fleet.InstanceID {
	var candidates []fleet.InstanceID
	processor := make(map[fleet.InstanceID]int)
	for _, m := range members {
		if m.DataCentre == centre && !m.Leaving {
			candidates = append(candidates, m.ID)
			processor[m.ID] = m.ProcessorMillis
		}
	}
	ranked := membership.Rank(string(centre), candidates)
	slices.SortStableFunc(ranked, func(a, b fleet.InstanceID) int { return cmp.Compare(processor[b], processor[a]) })
	return ranked[:min(len(ranked), RelaysPerDataCentre)]
}

// Plan returns the topology of an instance in a fleet; members includes the instance
// itself. In fleets larger than MaxMeshSize, the peers of a relay are the instances of its
// data centre and the relays of the other data centres, and the peers of any other
// instance are the relays of its data centre.
func Plan(self fleet.InstanceID, centre fleet.DataCentreID, members []Member) Topology {
	p := Topology{Scopes: make(map[fleet.InstanceID]wire.Scope), Standby: make(map[fleet.InstanceID]bool)}
	relays := Relays(centre, members)
	p.Relay = slices.Contains(relays, self)
	p.Reader = len(relays) > 0 && relays[0] == self
	switch {
	case len(members) <= MaxMeshSize:
		for _, m := range members {
			p.Scopes[m.ID] = wire.ScopeOwn
		}
	case p.Relay:
		p.addRelayPeers(slices.Index(relays, self), len(relays), centre, members)
	}
	for _, id := range relays {
		p.Scopes[id] = wire.ScopeOwn
	}
	delete(p.Scopes, self)
	return p
}

// addRelayPeers adds the peers of a relay: the instances of its data centre and the
// relays of the other data centres. The relay is the first source of sums for every relays-th
// instance of its data centre, and for the relay with its index in the other data centres.
func (p *Topology) addRelayPeers(index, relays int, centre fleet.DataCentreID, members []Member) {
	otherDataCentres := make(map[fleet.DataCentreID]bool)
	for _, m := range members {
		if m.DataCentre == centre {
			p.Scopes[m.ID] = wire.ScopeRest
			p.Standby[m.ID] = membership.Hash(string(m.ID))%uint64(relays) != uint64(index)
		} else {
			otherDataCentres[m.DataCentre] = true
		}
	}
	for other := range otherDataCentres {
		theirs := Relays(other, members)
		for i, id := range theirs {
			p.Scopes[id] = wire.ScopeDataCentre
			p.Standby[id] = i%relays != index
		}
	}
}

// Peers returns the instances to connect to. These are the peers of the topology. A relay
// also connects to the seeds, to silent instances of its data centre and to silent relays
// of other data centres; an instance without peers connects to the seeds and to every
// member that has not expired. This lets parts of a fleet find each other again after a
// network partition, or after a restart while the seeds are unavailable. It removes
// expired members.
func (r *Roster) Peers(p Topology, now clock.Instant) []fleet.ListedInstance {
	wanted := make(map[fleet.InstanceID]bool)
	for id := range p.Scopes {
		wanted[id] = true
	}
	recent := r.recent(now)
	isolated := len(p.Scopes) == 0
	if p.Relay || isolated {
		for _, seed := range r.seeds {
			wanted[seed] = true
		}
	}
	for _, m := range recent {
		if isolated || p.Relay && m.DataCentre == r.self.DataCentre {
			wanted[m.ID] = true
		}
	}
	if p.Relay {
		for _, id := range allRelays(recent) {
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

// recent returns the members that were last seen within expireAfter, and removes the
// others from the roster.
func (r *Roster) recent(now clock.Instant) []Member {
	all := make([]Member, 0, len(r.members))
	for id, m := range r.members {
		if now.Sub(m.LastSeen) > expireAfter {
			delete(r.members, id)
			continue
		}
		all = append(all, *m)
	}
	return all
}

// allRelays returns the relays that each data centre would have if all members were
// alive.
func allRelays(members []Member) []fleet.InstanceID {
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
