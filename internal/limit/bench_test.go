package limit

import (
	"fmt"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// benchPeers and benchTargets are the design size: the instances of one data centre and
// the targets that each of them owns.
const (
	benchPeers   = 18
	benchTargets = 32
)

// benchLedger returns a ledger whose peers all lend and name it the owner, the targets
// that it owns, a function that exchanges heartbeats with all peers, and the current time.
func benchLedger(b *testing.B) (*Ledger, []fleet.TargetID, func(now time.Time), time.Time) {
	now := time.Unix(1000, 0)
	l := New("p0", 1, DefaultParams(), now)
	var list []fleet.ListedInstance
	for i := range benchPeers {
		list = append(list, fleet.ListedInstance{ID: fleet.InstanceID(fmt.Sprint("p", i)), DataCentre: "d", State: fleet.StateLive})
	}
	var targets []Target
	for i := range benchTargets * benchPeers {
		targets = append(targets, Target{ID: fleet.TargetID(fmt.Sprint("t", i)), DataCentre: "d", Limit: 32, ColdLimit: 2})
	}
	seq := uint64(0)
	heartbeat := func(now time.Time) {
		seq++
		l.SetMembers(list, nil, now)
		owned := l.Owned(now)
		for _, peer := range list[1:] {
			var out wire.Heartbeat
			l.FillHeartbeat(peer.ID, &out, now)
			in := wire.Heartbeat{Incarnation: 7, Seq: seq, EchoSeq: out.Seq, EchoIncarnation: 1, View: out.View, LendsEscrow: true}
			for _, owned := range owned[:8] {
				in.Running = append(in.Running, wire.Running{Target: owned, Count: 1})
			}
			l.ReceiveHeartbeat(peer.ID, &in, now)
		}
	}
	l.SetMembers(list, nil, now)
	l.SetTargets(targets, now)
	for range 60 {
		now = now.Add(250 * time.Millisecond)
		heartbeat(now)
		for _, id := range l.Owned(now) {
			l.Report(id, fleet.LoadReport{BootID: "1", State: fleet.TargetReady, Completed: 1000}, now, now)
		}
	}
	owned := l.Owned(now)
	if len(owned) < benchTargets/2 || l.State(owned[0]).Usable != 32 {
		b.Fatalf("%d targets owned, status of the first: %+v", len(owned), l.State(owned[0]))
	}
	return l, owned, heartbeat, now
}

func BenchmarkAvailable(b *testing.B) {
	l, owned, _, now := benchLedger(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Available(owned[i%len(owned)], now)
	}
}

// BenchmarkSecond measures one second of an owner's work without grants: four heartbeats
// to and from each peer and 100 calls of Available for each owned target.
func BenchmarkSecond(b *testing.B) {
	l, owned, heartbeat, now := benchLedger(b)
	b.ReportAllocs()
	for b.Loop() {
		for range 4 {
			now = now.Add(250 * time.Millisecond)
			heartbeat(now)
			for i := range 25 * len(owned) {
				l.Available(owned[i%len(owned)], now.Add(time.Duration(i)*time.Microsecond))
			}
		}
	}
}
