package peer

import (
	"context"
	stdnet "net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca := newCA(t)
		net := newNetwork()
		a, b := net.start(t, "a", 1, ca), net.start(t, "b", 2, ca)
		a.SetPeers(listed("a", "b"))
		b.SetPeers(listed("a", "b"))
		advance(time.Hour)
		for seq := range 3 {
			a.SendHeartbeat("b", &wire.Heartbeat{Incarnation: 1, Seq: uint64(seq), Demand: []wire.Demand{{Customer: "c", Waiting: seq}}})
			b.SendGrant("a", &wire.Grant{Incarnation: 2, Seq: uint64(seq), Customer: "c"})
			synctest.Wait()
		}
		if len(b.heartbeats) != 3 || len(a.grants) != 3 || b.heartbeats[2].Demand[0].Waiting != 2 {
			t.Errorf("got heartbeats %v and grants %v, want 3 of each", b.heartbeats, a.grants)
		}
		reply, err := b.FetchConfig(context.Background(), "a", &wire.ConfigRequest{CurrentVersion: 6})
		if err != nil || reply.Version != 7 {
			t.Errorf("got config %v and error %v, want version 7", reply, err)
		}
		synctest.Wait()
		if len(a.events) != 1 || len(b.events) != 1 {
			t.Errorf("connections changed: events %v and %v, want one each", a.events, b.events)
		}
		sent, received := a.Counters().Scopes[ScopeDataCentre], b.Counters().Peers["a"]
		if sent.MessagesSent != 5 || sent.MessagesSent != received.MessagesReceived || sent.BytesSent != received.BytesReceived {
			t.Errorf("sent %+v, received %+v", sent, received)
		}
	})
}

func TestConfigErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a, b := net.start(t, "a", 1, nil), net.start(t, "b", 2, nil)
		a.SetPeers(listed("b"))
		synctest.Wait()
		fetch := func(timeout time.Duration) Kind {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, err := a.FetchConfig(ctx, "b", &wire.ConfigRequest{})
			return KindOf(err)
		}
		b.config = func(*wire.ConfigRequest) (*wire.ConfigReply, error) { return nil, errors.New("none") }
		if got := fetch(time.Second); got != KindRemote {
			t.Errorf("handler returned an error: got kind %q, want KindRemote", got)
		}
		b.config = func(*wire.ConfigRequest) (*wire.ConfigReply, error) {
			return &wire.ConfigReply{Text: make([]byte, wire.MaxMessageBytes)}, nil
		}
		if got := fetch(time.Second); got != KindRemote {
			t.Errorf("reply too large: got kind %q, want KindRemote", got)
		}
		b.stop(t)
		synctest.Wait()
		if got := fetch(time.Second); got != KindNotConnected {
			t.Errorf("peer stopped: got kind %q, want KindNotConnected", got)
		}
	})
}

func TestEitherSideConnectsThePair(t *testing.T) {
	for _, lister := range []string{"a", "b"} {
		t.Run(lister, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := newNetwork()
				nodes := map[string]*node{"a": net.start(t, "a", 1, nil), "b": net.start(t, "b", 2, nil)}
				nodes[lister].SetPeers(listed("a", "b"))
				advance(2 * StandbyDelay)
				for id, n := range nodes {
					if len(n.Connected()) != 1 {
						t.Errorf("%s is not connected", id)
					}
				}
				nodes[lister].SetPeers(nil)
				advance(DefaultUnlistedGrace - time.Second)
				if len(nodes["a"].Connected()) != 1 {
					t.Error("connection was closed within the grace period")
				}
				advance(2 * time.Second)
				if len(nodes["a"].Connected()) != 0 || len(nodes["b"].Connected()) != 0 {
					t.Error("connection is still open after the grace period")
				}
			})
		})
	}
}

// If both sides dial at the same time, several connections come up. All but one must be
// closed, without an event for the Handler.
func TestSimultaneousDialsLeaveOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a, b := net.start(t, "a", 1, nil), net.start(t, "b", 2, nil)
		for range 20 {
			go func() { _ = a.dial(t.Context(), "b", &dialer{addr: "b"}) }()
			go func() { _ = b.dial(t.Context(), "a", &dialer{addr: "a"}) }()
		}
		advance(DefaultSilenceTimeout)
		for _, n := range []*node{a, b} {
			if open := len(n.open); open != 1 || len(n.events) != 1 {
				t.Errorf("%s has %d open connections and events %v, want one each", n.hello.Instance, open, n.events)
			}
		}
	})
}

// A restarted instance can connect while the process of its previous incarnation still
// runs. The previous one must be disconnected and refused from then on.
func TestNewestIncarnationWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		old, b := net.start(t, "a", 1, nil), net.start(t, "b", 2, nil)
		old.SetPeers(listed("b"))
		synctest.Wait()
		renewed := net.start(t, "a", 3, nil)
		renewed.SetPeers(listed("b"))
		synctest.Wait()
		advance(time.Minute)
		old.SendHeartbeat("b", &wire.Heartbeat{Incarnation: 1})
		renewed.SendHeartbeat("b", &wire.Heartbeat{Incarnation: 3})
		synctest.Wait()
		if want := []string{"+a/1", "-a/1", "+a/3"}; !slices.Equal(b.events, want) {
			t.Errorf("events %v, want %v", b.events, want)
		}
		if len(b.heartbeats) != 1 || b.heartbeats[0].Incarnation != 3 {
			t.Errorf("got heartbeats %v, want one of incarnation 3", b.heartbeats)
		}
		if !strings.Contains(b.log.String(), `"reason":"superseded"`) {
			t.Errorf("no reason superseded in the log:\n%s", b.log)
		}
		old.stop(t)
		renewed.stop(t)
	})
}

// A message of the previous incarnation may be read but not yet delivered when the new
// incarnation connects. It must not be delivered after that.
func TestFormerIncarnationIsNotDelivered(t *testing.T) {
	tr := New(Options{Handler: &recorder{}})
	registerLink := func(incarnation fleet.Incarnation) *link {
		conn, _ := stdnet.Pipe()
		meter := &meteredConn{Conn: conn}
		l := &link{t: tr, meter: meter, stream: &stream{raw: meter}}
		tr.open[l] = struct{}{}
		if err := tr.register(l, wire.Hello{Instance: "a", Incarnation: incarnation}); err != nil {
			t.Fatal(err)
		}
		return l
	}
	old, delivered := registerLink(1), 0
	old.deliver(func() { delivered++ })
	registerLink(3).deliver(func() { delivered++ })
	old.deliver(func() { t.Error("a late message of the former incarnation was delivered") })
	if delivered != 2 {
		t.Errorf("%d messages were delivered, want 2", delivered)
	}
}

func TestRedialBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a := net.start(t, "a", 1, nil)
		a.SetPeers(listed("b"))
		advance(time.Hour)
		slowest := time.Duration(1.5 * float64(maxRedialDelay))
		fastest := maxRedialDelay / 2
		if dials := int(net.refused.Load()); dials < int(time.Hour/slowest) || dials > int(time.Hour/fastest)+10 {
			t.Errorf("%d dials in an hour, outside of the bounds of the backoff", dials)
		}
		net.start(t, "b", 2, nil)
		advance(slowest)
		if len(a.Connected()) != 1 {
			t.Error("not connected after the longest backoff")
		}
	})
}

func TestCloseSendsQueuedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a, b := net.start(t, "a", 1, nil), net.start(t, "b", 2, nil)
		a.SetPeers(listed("b"))
		synctest.Wait()
		for seq := range uint64(MaxQueuedGrants) {
			a.SendGrant("b", &wire.Grant{Incarnation: 1, Seq: seq})
		}
		a.SendHeartbeat("b", &wire.Heartbeat{Incarnation: 1, Leaving: true})
		a.stop(t)
		synctest.Wait()
		if len(b.grants) != MaxQueuedGrants || len(b.heartbeats) != 1 {
			t.Errorf("got %d grants and %d heartbeats, want MaxQueuedGrants and 1", len(b.grants), len(b.heartbeats))
		}
	})
}

func TestScopes(t *testing.T) {
	regions := map[fleet.DataCentreID]fleet.RegionID{"dc1": "r1", "dc2": "r1", "dc3": "r2"}
	tr := New(Options{Self: wire.Hello{DataCentre: "dc1"}, Region: func(dc fleet.DataCentreID) fleet.RegionID { return regions[dc] }})
	for dc, want := range map[fleet.DataCentreID]Scope{"dc1": ScopeDataCentre, "dc2": ScopeRegion, "dc3": ScopeCrossRegion} {
		if got := tr.scopeOf(wire.Hello{Instance: "x", DataCentre: dc}); got != want {
			t.Errorf("scope of data centre %s is %s, want %s", dc, got, want)
		}
	}
}
