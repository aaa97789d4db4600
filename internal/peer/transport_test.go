package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/wire"
)

func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, err := NewEphemeralCA()
		if err != nil {
			t.Fatal(err)
		}
		net := newNetwork()
		a, b := net.start(t, "a", 1, ca), net.start(t, "b", 2, ca)
		defer a.stop(t)
		defer b.stop(t)
		a.SetPeers(listed("a", "b"))
		b.SetPeers(listed("a", "b"))
		time.Sleep(5 * time.Minute)
		if got := len(a.Connected()); got != 1 {
			t.Fatalf("a has %d peers, log:\n%s", got, a.log)
		}
		for seq := range 3 {
			a.SendHeartbeat("b", &wire.Heartbeat{Incarnation: 1, Seq: uint64(seq), Demand: []wire.Demand{{Customer: "c", Waiting: seq}}})
			b.SendGrant("a", &wire.Grant{Incarnation: 2, Seq: uint64(seq), Customer: "c"})
			synctest.Wait()
		}
		if len(b.heartbeats) != 3 || len(a.grants) != 3 || b.heartbeats[2].Demand[0].Waiting != 2 {
			t.Errorf("heartbeats %v, grants %v", b.heartbeats, a.grants)
		}
		reply, err := b.FetchConfig(context.Background(), "a", &wire.ConfigRequest{Have: 6})
		if err != nil || reply.Version != 7 {
			t.Errorf("config %v, %v", reply, err)
		}
		if len(a.events) != 1 || len(b.events) != 1 {
			t.Errorf("connections came and went: %v %v", a.events, b.events)
		}
	})
}
