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

func TestMembersAreLearntFromSeed(t *testing.T) {
	r := newRoster()
	if peers := r.Peers(plan(r, start), start); len(peers) != 1 || peers[0].ID != "seed" {
		t.Fatalf("Peers = %v, want the seed alone", peers)
	}
	r.Merge([]wire.Member{{ID: "seed"}, {ID: "other", AgeMillis: 200}, {ID: "self"}}, start)
	if peers := r.Peers(plan(r, start), start); len(peers) != 2 {
		t.Errorf("Peers = %v, want the seed and the member it told of", peers)
	}
	if alive := ids(r.Alive(start)); len(alive) != 3 {
		t.Errorf("Alive = %v", alive)
	}
}

func TestLaterReportWins(t *testing.T) {
	r := newRoster()
	r.Merge([]wire.Member{{ID: "x", Incarnation: 2, Leaving: true, AgeMillis: 100}}, start)
	// Another peer heard of the former run long before.
	r.Merge([]wire.Member{{ID: "x", Incarnation: 1, AgeMillis: 900}}, start)
	for _, m := range r.Alive(start) {
		if m.ID == "x" && (m.Incarnation != 2 || !m.Leaving) {
			t.Errorf("an older report replaced a newer one: %+v", m)
		}
	}
}

func TestSilentMemberIsNotAliveAndSeedIsDialledForEver(t *testing.T) {
	r := newRoster()
	r.Merge([]wire.Member{{ID: "x"}, {ID: "seed"}}, start)
	later := start.Add(roster.UnreachableAfter + time.Millisecond)
	if alive := ids(r.Alive(later)); len(alive) != 1 {
		t.Errorf("Alive = %v after silence, want this instance alone", alive)
	}
	if described := r.WireMembers(later); len(described) != 1 {
		t.Errorf("silent members are passed on: %v", described)
	}
	peers := r.Peers(plan(r, start.Add(time.Hour)), start.Add(time.Hour))
	if len(peers) != 1 || peers[0].ID != "seed" {
		t.Errorf("Peers = %v after an hour, want the seed alone", peers)
	}
}

// A report that was itself passed on keeps its age: a dead instance cannot be kept
// alive by two others telling each other of it.
func TestAgeGrowsWhilePassedOn(t *testing.T) {
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
			t.Error("an instance that nobody heard for 4 s is alive")
		}
	}
}
