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

func wireMembers(n int, ageMillis int64) []wire.Member {
	var all []wire.Member
	for i := range n {
		all = append(all, wire.Member{ID: fleet.InstanceID(fmt.Sprint("i", i)), Incarnation: fleet.Incarnation(i + 1), DataCentre: "a", AgeMillis: ageMillis})
	}
	return all
}

// The list of a fleet of hundreds must not be sent again and again, and not be left out before the
// peer is known to have got it: a newer heartbeat may replace one that waits to be sent.
func TestListIsSentUntilAcknowledged(t *testing.T) {
	var sent roster.SentMembers
	members := wireMembers(195, 100)
	fill := func(seq uint64) *wire.Heartbeat {
		hb := &wire.Heartbeat{Seq: seq}
		sent.Fill(hb, seq, members, true)
		return hb
	}
	for seq := range uint64(3) {
		if hb := fill(seq + 1); len(hb.Members) != 195 || hb.MembersSame != nil {
			t.Fatalf("heartbeat %d before an acknowledgement: %d members, same %v", seq+1, len(hb.Members), hb.MembersSame)
		}
	}
	sent.Acknowledge(2)
	if hb := fill(4); len(hb.Members) != 0 || hb.MembersSame == nil || hb.MembersSame.AgeMillis != 100 {
		t.Errorf("after the acknowledgement: %d members, same %v", len(hb.Members), hb.MembersSame)
	}
	members[7].Leaving = true
	if hb := fill(5); len(hb.Members) != 195 {
		t.Error("a change is not listed")
	}
	// The acknowledgement of a heartbeat without a list says nothing.
	sent.Acknowledge(4)
	if hb := fill(6); len(hb.Members) != 195 {
		t.Error("a change is not listed again although the peer may not have got it")
	}
}

// One member that falls silent must not age the others, nor stay alive because of them.
func TestSilentMemberIsListedWithItsAge(t *testing.T) {
	var sent roster.SentMembers
	members := wireMembers(20, 100)
	sent.Fill(&wire.Heartbeat{}, 1, members, true)
	sent.Acknowledge(1)
	members[3].AgeMillis = roster.RelayedUnreachableAfter.Milliseconds() - 100
	hb := &wire.Heartbeat{}
	sent.Fill(hb, 2, members, true)
	if len(hb.Members) != 20 {
		t.Fatalf("%d members, same %v, want the whole list", len(hb.Members), hb.MembersSame)
	}
	r := newRoster()
	var received roster.ReceivedMembers
	received.Merge(r, hb, start)
	if n := len(r.Alive(start.Add(200 * time.Millisecond))); n != 20 {
		t.Errorf("%d alive, want the 19 others and this instance", n)
	}
}

// What stands for a list refreshes its members only if the receiver has just that list.
func TestDigestRefreshesMembersOfItsList(t *testing.T) {
	r := newRoster()
	var received roster.ReceivedMembers
	members := wireMembers(15, 0)
	received.Merge(r, &wire.Heartbeat{Members: members}, start)
	at := func(now clock.Instant, hb *wire.Heartbeat) int {
		received.Merge(r, hb, now)
		return len(r.Alive(now))
	}
	same := &wire.Heartbeat{MembersSame: &wire.MembersSame{Digest: roster.Digest(members), AgeMillis: 400}}
	now := start
	for range 20 {
		if now = now.Add(time.Second); at(now, same) != 16 {
			t.Fatalf("a refreshed member counts as silent after %v", now.Sub(start))
		}
	}
	other := &wire.Heartbeat{MembersSame: &wire.MembersSame{Digest: 1, AgeMillis: 0}}
	if n := at(now.Add(4*time.Second), other); n != 1 {
		t.Errorf("%d alive after 4 s with the digest of another list, want this instance only", n)
	}
}
