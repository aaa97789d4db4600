package roster_test

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

const start = clock.Instant(time.Hour)

func newRoster() *roster.Roster {
	return roster.New(roster.Member{ID: "self", DataCentre: "a", CallerAddr: "self:1"}, []fleet.InstanceID{"seed", "self"})
}

func plan(r *roster.Roster, now clock.Instant) roster.Topology {
	return roster.Plan("self", "a", r.Alive(now))
}

func ids(members []roster.Member) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// An instance must discover the fleet from a single seed.
func TestMembersAreLearntFromSeed(t *testing.T) {
	r := newRoster()
	if peers := r.Peers(plan(r, start), start); len(peers) != 1 || peers[0].ID != "seed" {
		t.Fatalf("Peers = %v, want only the seed", peers)
	}
	r.Merge([]wire.Member{{ID: "seed"}, {ID: "other", AgeMillis: 200}, {ID: "self"}}, start)
	if peers := r.Peers(plan(r, start), start); len(peers) != 2 {
		t.Errorf("Peers = %v, want the seed and the member it reported", peers)
	}
	if alive := ids(r.Alive(start)); len(alive) != 3 {
		t.Errorf("Alive = %v, want 3 members", alive)
	}
}

// Reports arrive out of order; an older one must not replace a newer one.
func TestLaterReportWins(t *testing.T) {
	r := newRoster()
	r.Merge([]wire.Member{{ID: "x", Incarnation: 2, Leaving: true, AgeMillis: 100}}, start)
	// A second peer reports the previous incarnation, last seen earlier.
	r.Merge([]wire.Member{{ID: "x", Incarnation: 1, AgeMillis: 900}}, start)
	for _, m := range r.Alive(start) {
		if m.ID == "x" && (m.Incarnation != 2 || !m.Leaving) {
			t.Errorf("an older report replaced a newer one: %+v", m)
		}
	}
}

// A member that fell silent must not count as alive or be reported to peers, and must not
// be dialled after it expired. Seeds are dialled for ever, to rejoin the fleet.
func TestSilentMemberIsNotAliveAndSeedIsDialledForEver(t *testing.T) {
	r := newRoster()
	r.Merge([]wire.Member{{ID: "x"}, {ID: "seed"}}, start)
	later := start.Add(roster.UnreachableAfter + time.Millisecond)
	if alive := ids(r.Alive(later)); len(alive) != 1 {
		t.Errorf("Alive = %v after silence, want only this instance", alive)
	}
	if reported := r.WireMembers(later); len(reported) != 1 {
		t.Errorf("WireMembers = %v after silence, want only this instance", reported)
	}
	peers := r.Peers(plan(r, start.Add(time.Hour)), start.Add(time.Hour))
	if len(peers) != 1 || peers[0].ID != "seed" {
		t.Errorf("Peers = %v after an hour, want only the seed", peers)
	}
}

// A relayed report must keep the time at which the member was last seen. Otherwise two
// instances that report a dead one to each other would count it as alive for ever.
func TestRelayedReportKeepsLastSeen(t *testing.T) {
	a, b := newRoster(), newRoster()
	a.Merge([]wire.Member{{ID: "dead"}}, start)
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		b.Merge(a.WireMembers(now), now)
		a.Merge(b.WireMembers(now), now)
	}
	for _, m := range a.Alive(now) {
		if m.ID == "dead" {
			t.Error("an instance that was last seen 4 s ago is alive")
		}
	}
}
