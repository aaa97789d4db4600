package handover_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/handover"
)

const start = clock.Instant(time.Hour)

// An offer must come from idle processor time only, end while the instance is late itself, and not change
// with each measurement: every change costs heartbeats with all members.
func TestOfferFollowsIdleProcessor(t *testing.T) {
	var o handover.Offer
	s := handover.Situation{Processor: 0.8, LatePeers: 1}
	if got := o.Total(s, start); got != 0 {
		t.Errorf("%d a second before the first measurement, want none", got)
	}
	changes, last := 0, 0
	for i := range 200 {
		// 0.15 to 0.25 of a processor are used; half of the rest serves 470 to 570 a second.
		used := 200*time.Millisecond + time.Duration(i%3-1)*50*time.Millisecond
		o.Measure(used, time.Second)
		if got := o.Total(s, start.Add(time.Duration(i)*time.Second)); got != last {
			last, changes = got, changes+1
		}
	}
	if last != 400 || changes > 2 {
		t.Errorf("%d a second after %d changes, want 400 after at most 2", last, changes)
	}
	now := start.Add(time.Hour)
	for name, closed := range map[string]handover.Situation{
		"closed": {Processor: 0.8, LatePeers: 1, Closed: true}, "no late peer": {Processor: 0.8}, "small": {Processor: 0.2, LatePeers: 1},
		"late": {Processor: 0.8, LatePeers: 1, Late: true},
	} {
		if got := o.Total(closed, now); got != 0 {
			t.Errorf("%s: %d a second, want none", name, got)
		}
	}
	if got := o.Total(s, now.Add(900*time.Millisecond)); got != 0 {
		t.Errorf("%d a second 0.9 s after the processor was late, want none", got)
	}
	if got := o.Total(s, now.Add(1100*time.Millisecond)); got != 400 {
		t.Errorf("%d a second 1.1 s after the processor was late, want 400", got)
	}
}

// The load of 1,500 connections a second at each of some late instances: together they must not give a
// third more than it offers, nor act on an offer that was not renewed.
func TestLateInstancesDoNotOverwhelmPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		late := rapid.IntRange(1, 4).Draw(t, "late")
		total := rapid.SampledFrom([]int{25, 100, 400}).Draw(t, "total")
		all := make([]handover.Leases, late)
		var intake handover.Intake
		intake.Allow(total, start)
		given, taken := 0, 0
		const seconds = 3
		for ms := range seconds * 1000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i := range all {
				all[i].MaxOpen = 1 << 20
				if ms%200 == 0 && ms < 1000 {
					all[i].Update([]handover.Peer{{ID: "p", PerSecond: handover.PerPeer(total, late), HeardAt: now}}, now)
				}
				for range 1 + ms%2 {
					if _, ok := all[i].Take(i%2 == 0, "", now); ok {
						given++
						if intake.Allow(total, now) {
							taken++
						}
					}
				}
			}
		}
		// The last offer is of 0.8 s and counts for a second; besides a burst of each.
		if most := 2*total + late; given > most || given < total/2 {
			t.Fatalf("%d given in %d s, want between %d and %d", given, seconds, total/2, most)
		}
		if taken < given*3/4 {
			t.Fatalf("%d of %d given are taken", taken, given)
		}
	})
}

// Peers that believe in an old offer must not get more through than the present one.
func TestIntakeHoldsWhateverPeersBelieve(t *testing.T) {
	var intake handover.Intake
	taken := 0
	for ms := range 2000 {
		if intake.Allow(100, start.Add(time.Duration(ms)*time.Millisecond)) {
			taken++
		}
	}
	if taken > 240 || intake.Allow(0, start.Add(time.Hour)) {
		t.Errorf("%d taken in 2 s at 100 a second", taken)
	}
}

// Customers under their share come first; a peer that failed gets nothing for a second, also if its
// offer lapsed in between; the number open is bounded.
func TestLeasesAreDivided(t *testing.T) {
	l := handover.Leases{MaxOpen: 25}
	offer := func(at clock.Instant) []handover.Peer {
		return []handover.Peer{{ID: "a", PerSecond: 100, HeardAt: at}, {ID: "b", PerSecond: 50, HeardAt: at}}
	}
	l.Update(offer(start), start)
	takeAll := func(over bool, except fleet.InstanceID, now clock.Instant) int {
		n := 0
		for {
			if _, ok := l.Take(over, except, now); !ok {
				return n
			}
			n++
		}
	}
	if over, under := takeAll(true, "", start), takeAll(false, "", start); over != 15 || under != 10 {
		t.Errorf("%d taken for customers over their share and %d for others, want 15 and 10 of 30, bounded by 25", over, under)
	}
	for range 25 {
		l.Done()
	}
	now := start.Add(500 * time.Millisecond)
	l.Update(offer(now), now)
	l.Fail("a", now)
	if p, ok := l.Take(false, "", now); !ok || p.ID != "b" {
		t.Errorf("got %v, want the peer that did not fail", p)
	}
	if _, ok := l.Take(false, "b", now); ok {
		t.Error("a second try went to the peer of the first")
	}
	l.Update(nil, now)
	now = now.Add(900 * time.Millisecond)
	l.Update(offer(now), now)
	if n := takeAll(false, "b", now); n != 0 {
		t.Errorf("%d taken by a peer 0.9 s after it failed", n)
	}
	now = now.Add(200 * time.Millisecond)
	if n := takeAll(false, "b", now); n == 0 {
		t.Error("none taken by a peer 1.1 s after it failed")
	}
	if now = now.Add(time.Second); takeAll(false, "", now) != 0 {
		t.Error("an offer that was not renewed for more than a second still counts")
	}
}

func TestPreambleNamesCaller(t *testing.T) {
	for _, text := range []string{"10.9.0.1:4321", "[2001:db8::1]:80"} {
		want := netip.MustParseAddrPort(text)
		b := handover.AppendPreamble(nil, want)
		if got, err := handover.ParsePreamble(b); err != nil || got != want || len(b) != handover.PreambleBytes {
			t.Errorf("%s: got %v, %v", text, got, err)
		}
		b[0]++
		if _, err := handover.ParsePreamble(b); err == nil {
			t.Errorf("%s: another protocol is accepted", text)
		}
	}
}
