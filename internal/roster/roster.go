// Package roster is an instance's view of the fleet where no list names the
// instances: it starts from a few seed addresses and learns the rest from peers. It
// is pure; one goroutine at a time uses a Roster.
//
// An instance is known by its address for peers, and its runs by their incarnations.
// Of two reports on an instance the one that was heard later wins, so that views
// converge without agreement.
package roster

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Times of a Roster.
const (
	// UnreachableAfter is how long an instance counts as alive after it was last heard of:
	// seven heartbeats.
	UnreachableAfter = 1500 * time.Millisecond
	// RelayedUnreachableAfter is the same where word passes through relays, which tell of members
	// less often.
	RelayedUnreachableAfter = 3 * time.Second
	// forgetAfter is when an instance that nobody hears of is no longer dialled. Seeds
	// are dialled for ever.
	forgetAfter = 30 * time.Second
	// maxMembers bounds the table.
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
	// LastSeen is when anyone last heard of the instance, by this machine's clock.
	LastSeen clock.Instant
}

// Roster is the table of members.
type Roster struct {
	self    Member
	seeds   []fleet.InstanceID
	members map[fleet.InstanceID]*Member
}

// New returns a roster that knows itself and the seeds' addresses.
func New(self Member, seeds []fleet.InstanceID) *Roster {
	return &Roster{self: self, seeds: seeds, members: make(map[fleet.InstanceID]*Member)}
}

// SetSelf changes what this instance says of itself.
func (r *Roster) SetSelf(leaving, notReady bool) { r.self.Leaving, r.self.NotReady = leaving, notReady }

// SetSeeds replaces the seeds' addresses.
func (r *Roster) SetSeeds(seeds []fleet.InstanceID) { r.seeds = seeds }

// Merge takes in what a peer says of members, itself with age 0 among them.
func (r *Roster) Merge(members []wire.Member, now clock.Instant) {
	for _, m := range members {
		if m.ID == r.self.ID || m.AgeMillis < 0 {
			continue
		}
		heard := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
		known := r.members[m.ID]
		if known != nil && known.LastSeen >= heard {
			continue
		}
		if known == nil && (len(r.members) >= maxMembers || now.Sub(heard) > forgetAfter) {
			continue
		}
		r.members[m.ID] = &Member{
			ID: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, CallerAddr: m.CallerAddr,
			ProcessorMillis: m.ProcessorMillis, Leaving: m.Leaving, NotReady: m.NotReady, LastSeen: heard,
		}
	}
}

// WireMembers returns this instance and the members that are alive, for peers.
func (r *Roster) WireMembers(now clock.Instant) []wire.Member {
	described := []wire.Member{describe(&r.self, 0)}
	for _, m := range r.sorted() {
		if age := now.Sub(m.LastSeen); age <= r.aliveFor() {
			described = append(described, describe(m, age))
		}
	}
	return described
}

func describe(m *Member, age time.Duration) wire.Member {
	return wire.Member{
		ID: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, CallerAddr: m.CallerAddr,
		ProcessorMillis: m.ProcessorMillis, Leaving: m.Leaving, NotReady: m.NotReady, AgeMillis: age.Milliseconds(),
	}
}

// Alive returns the members that are alive, this instance among them, in the order of
// their ids.
func (r *Roster) Alive(now clock.Instant) []Member {
	self := r.self
	self.LastSeen = now
	alive := []Member{self}
	for _, m := range r.members {
		if now.Sub(m.LastSeen) <= r.aliveFor() {
			alive = append(alive, *m)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return alive
}

// MarkSeen notes that a peer itself spoke just now.
func (r *Roster) MarkSeen(id fleet.InstanceID, incarnation fleet.Incarnation, now clock.Instant) {
	if m := r.members[id]; m != nil && m.Incarnation == incarnation {
		m.LastSeen = max(m.LastSeen, now)
	}
}

// aliveFor is how long a silent member still counts as alive; word takes longer through
// relays.
func (r *Roster) aliveFor() time.Duration {
	if len(r.members) >= MaxMeshSize {
		return RelayedUnreachableAfter
	}
	return UnreachableAfter
}

func (r *Roster) sorted() []*Member {
	all := make([]*Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
