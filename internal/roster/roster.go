// Package roster maintains an instance's view of the fleet in deployments without a
// configured list of instances: it starts from a few seed addresses and discovers the
// other instances through peers. It does no I/O and reads no clock. A Roster is not safe
// for concurrent use.
//
// An instance is identified by its peer address, and each of its runs by an incarnation.
// Of two reports about an instance, the one with the later LastSeen wins, so that the
// views of all instances converge without consensus.
package roster

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Times and limits of a Roster.
const (
	// UnreachableAfter is how long an instance counts as alive after it was last seen:
	// seven heartbeats.
	UnreachableAfter = 1500 * time.Millisecond
	// RelayedUnreachableAfter replaces UnreachableAfter in fleets larger than MaxMeshSize,
	// where reports pass through relays and list the members less often.
	RelayedUnreachableAfter = 3 * time.Second
	// expireAfter is how long an instance is still dialled after it was last seen. Seeds
	// are dialled for ever.
	expireAfter = 30 * time.Second
	// maxMembers bounds the number of members in a Roster.
	maxMembers = 4096
)

// Member is one instance of the fleet.
type Member struct {
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreID
	CallerAddr  string
	// ProcessorMillis is the instance's share of a processor, in thousandths of one.
	ProcessorMillis int
	Leaving         bool
	NotReady        bool
	// Behind is set while the instance gets less processor time than its work needs.
	Behind bool
	// TakesPerSecond is how many connections a second the instance takes over from each late peer of its
	// data centre, at HandOverAddr.
	TakesPerSecond int
	HandOverAddr   string
	// LastSeen is when the instance was last heard from by any instance, converted to this
	// machine's clock.
	LastSeen clock.Instant
}

// Roster is the table of the fleet's members and of the seed addresses.
type Roster struct {
	self  Member
	seeds []fleet.InstanceID
	// members does not include self.
	members map[fleet.InstanceID]*Member
	// stalls are the recent times in which this instance did not run, the latest last.
	stalls []stall
}

// New returns a Roster with self as its only member and the addresses of the seeds.
func New(self Member, seeds []fleet.InstanceID) *Roster {
	return &Roster{self: self, seeds: seeds, members: make(map[fleet.InstanceID]*Member)}
}

// SetSelf sets the state of this instance that is reported to peers.
func (r *Roster) SetSelf(leaving, notReady, behind bool) {
	r.self.Leaving, r.self.NotReady, r.self.Behind = leaving, notReady, behind
}

// SetTakes sets what this instance takes over from peers, and where.
func (r *Roster) SetTakes(perSecond int, addr string) {
	r.self.TakesPerSecond, r.self.HandOverAddr = perSecond, addr
}

// SetSeeds replaces the addresses of the seeds.
func (r *Roster) SetSeeds(seeds []fleet.InstanceID) { r.seeds = seeds }

// Merge applies the members that a peer reports, which include the peer itself with age
// 0. Reports older than the current entry are ignored.
func (r *Roster) Merge(members []wire.Member, now clock.Instant) {
	for _, m := range members {
		if m.ID == r.self.ID || m.AgeMillis < 0 {
			continue
		}
		lastSeen := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
		current := r.members[m.ID]
		if current != nil && current.LastSeen >= lastSeen {
			continue
		}
		if current == nil {
			if len(r.members) >= maxMembers || now.Sub(lastSeen) > expireAfter {
				continue
			}
			current = new(Member)
			r.members[m.ID] = current
		}
		*current = Member{
			ID: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, CallerAddr: m.CallerAddr,
			ProcessorMillis: m.ProcessorMillis, Leaving: m.Leaving, NotReady: m.NotReady, Behind: m.Behind, LastSeen: lastSeen,
			TakesPerSecond: m.TakesPerSecond, HandOverAddr: m.HandOverAddr,
		}
	}
}

// WireMembers returns this instance and the members that are alive, for a heartbeat.
func (r *Roster) WireMembers(now clock.Instant) []wire.Member {
	alive := []wire.Member{toWire(&r.self, 0)}
	for _, m := range r.sortedMembers() {
		if r.isAlive(m, now) {
			alive = append(alive, toWire(m, now.Sub(m.LastSeen)))
		}
	}
	return alive
}

// toWire returns a member, last seen age ago, in wire format.
func toWire(m *Member, age time.Duration) wire.Member {
	return wire.Member{
		ID: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, CallerAddr: m.CallerAddr,
		ProcessorMillis: m.ProcessorMillis, Leaving: m.Leaving, NotReady: m.NotReady, Behind: m.Behind, AgeMillis: age.Milliseconds(),
		TakesPerSecond: m.TakesPerSecond, HandOverAddr: m.HandOverAddr,
	}
}

// Alive returns the members that are alive, including this instance, sorted by ID.
func (r *Roster) Alive(now clock.Instant) []Member {
	self := r.self
	self.LastSeen = now
	alive := []Member{self}
	for _, m := range r.members {
		if r.isAlive(m, now) {
			alive = append(alive, *m)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return alive
}

// MarkSeen records that a peer's own heartbeat arrived at now. It does nothing for
// unknown peers and other incarnations.
func (r *Roster) MarkSeen(id fleet.InstanceID, incarnation fleet.Incarnation, now clock.Instant) {
	if m := r.members[id]; m != nil && m.Incarnation == incarnation {
		m.LastSeen = max(m.LastSeen, now)
	}
}

// unreachableAfter returns how long a silent member still counts as alive. The time is
// longer in fleets with relays, because reports take longer to pass through them.
func (r *Roster) unreachableAfter() time.Duration {
	if len(r.members) >= MaxMeshSize {
		return RelayedUnreachableAfter
	}
	return UnreachableAfter
}

// sortedMembers returns the members sorted by ID.
func (r *Roster) sortedMembers() []*Member {
	all := make([]*Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
