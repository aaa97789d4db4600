package roster_test

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// An instance that has not run must not take its peers for gone before it has read what they sent,
// and must not keep those for long that have gone.
func TestPeersAreTakenForGoneAfterOwnStall(t *testing.T) {
	alive := func(r *roster.Roster, now clock.Instant) bool {
		return len(r.Alive(now)) == 2 && len(r.WireMembers(now)) == 2
	}
	for _, test := range []struct {
		name              string
		stall, afterwards time.Duration
		want              bool
	}{
		{"no stall", 0, roster.UnreachableAfter + time.Millisecond, false},
		{"stall alone", 3 * time.Second, 0, true},
		{"stall and a short silence", 3 * time.Second, roster.UnreachableAfter, true},
		{"stall and a long silence", 3 * time.Second, roster.UnreachableAfter + time.Millisecond, false},
		{"very long stall", 20 * time.Second, 0, false},
	} {
		r := newRoster()
		r.Merge([]wire.Member{{ID: "peer", DataCentre: "a"}}, start)
		now := start.Add(test.stall)
		if test.stall > 0 {
			r.NoteStall(test.stall, now)
		}
		if now = now.Add(test.afterwards); alive(r, now) != test.want {
			t.Errorf("%s: the peer is alive: %v, want %v", test.name, !test.want, test.want)
		}
	}
	// A stall from before a member was last seen excuses nothing.
	r := newRoster()
	r.NoteStall(3*time.Second, start)
	r.Merge([]wire.Member{{ID: "peer", DataCentre: "a"}}, start)
	if now := start.Add(roster.UnreachableAfter + time.Millisecond); alive(r, now) {
		t.Error("a stall from before the peer was last seen keeps it alive")
	}
	// Many short stalls excuse no more than one long one.
	r = newRoster()
	r.Merge([]wire.Member{{ID: "peer", DataCentre: "a"}}, start)
	now := start
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		r.NoteStall(150*time.Millisecond, now)
	}
	if alive(r, now) {
		t.Errorf("a peer that is silent for %v is alive to an instance that stalls all the time", now.Sub(start))
	}
}
