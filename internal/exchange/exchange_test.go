package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/exchange"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// node is one instance that runs something and tells others.
type node struct {
	hello wire.Hello
	table *exchange.Table
	loads map[fleet.TargetID]placement.Load
	usage map[fleet.CustomerID]exchange.Usage
	// rose is what it heard of the others' usage.
	rose exchange.Usage
}

// newFleet builds a fleet of some data centres; each instance runs one request.
func newFleet(centres, perCentre int) ([]*node, []roster.Member) {
	var nodes []*node
	var members []roster.Member
	for c := range centres {
		for i := range perCentre {
			centre := fleet.DataCentreID(fmt.Sprint("dc", c))
			id := fleet.InstanceID(fmt.Sprintf("r%02d-%02d", c, i))
			n := &node{
				hello: wire.Hello{Instance: id, Incarnation: fleet.Incarnation(1 + len(nodes)), DataCentre: centre},
				table: exchange.New(centre),
				loads: map[fleet.TargetID]placement.Load{"t": {Running: 1, Unread: 10, Memory: 100}},
				usage: map[fleet.CustomerID]exchange.Usage{},
			}
			nodes = append(nodes, n)
			members = append(members, roster.Member{ID: id, DataCentre: centre})
		}
	}
	return nodes, members
}

// round sends one heartbeat along each connection of the topology.
func round(nodes []*node, members []roster.Member, now clock.Instant) (messages int) {
	byID := make(map[fleet.InstanceID]*node)
	for _, n := range nodes {
		byID[n.hello.Instance] = n
	}
	for _, n := range nodes {
		for to, scope := range roster.Plan(n.hello.Instance, n.hello.DataCentre, members).Scopes {
			hb := &wire.Heartbeat{}
			n.table.FillHeartbeat(hb, to, scope, n.loads, n.usage)
			messages++
			receiver, ok := byID[to]
			if !ok {
				continue
			}
			for _, d := range receiver.table.HandleHeartbeat(n.hello, hb, now) {
				receiver.rose.Requested += d.Requested
				receiver.rose.Started += d.Started
			}
		}
	}
	return messages
}

func play(nodes []*node, members []roster.Member, now clock.Instant, rounds int) (clock.Instant, int) {
	messages := 0
	for range rounds {
		now = now.Add(200 * time.Millisecond)
		messages = round(nodes, members, now)
	}
	return now, messages
}

// Everyone knows the load of all others, and of each once, in a mesh and with relays.
func TestEveryoneKnowsTheOthersLoadOnce(t *testing.T) {
	for _, size := range []struct{ centres, per int }{{3, 2}, {6, 15}, {3, 40}} {
		nodes, members := newFleet(size.centres, size.per)
		now, messages := play(nodes, members, clock.Instant(time.Hour), 5)
		for _, n := range nodes {
			if got := n.table.PeerLoad("t", now).Running; got != len(nodes)-1 {
				t.Errorf("%d instances: %s knows of %d requests of others", len(nodes), n.hello.Instance, got)
			}
		}
		if relays := size.centres * roster.RelaysPerCentre; len(nodes) > roster.MeshLimit && messages > 2*len(nodes)*roster.RelaysPerCentre+relays*relays {
			t.Errorf("%d instances send %d heartbeats a round", len(nodes), messages)
		}
	}
}

// What customers use anywhere is counted once everywhere.
func TestUsageIsCountedOnce(t *testing.T) {
	for _, size := range []struct{ centres, per int }{{3, 2}, {6, 15}} {
		nodes, members := newFleet(size.centres, size.per)
		now, _ := play(nodes, members, clock.Instant(time.Hour), 4)
		for _, n := range nodes {
			n.rose = exchange.Usage{}
			n.usage["c"] = exchange.Usage{Requested: 100, Started: 10}
		}
		play(nodes, members, now, 5)
		want := float64(len(nodes) - 1)
		for _, n := range nodes {
			if n.rose.Requested != 100*want || n.rose.Started != 10*want {
				t.Errorf("%d instances: %s heard of %+v, want %v times 100 and 10", len(nodes), n.hello.Instance, n.rose, want)
			}
		}
	}
}

// When a relay dies, the other's word counts, and the dead one's load is forgotten.
func TestOtherRelayTakesOver(t *testing.T) {
	nodes, members := newFleet(6, 15)
	now, _ := play(nodes, members, clock.Instant(time.Hour), 5)
	dead := roster.Relays("dc0", members)[0]
	var left []*node
	var alive []roster.Member
	for i, n := range nodes {
		if n.hello.Instance != dead {
			left, alive = append(left, n), append(alive, members[i])
		}
	}
	// Its death is not known for a second, then the fleet plans without it.
	now, _ = play(left, members, now, 5)
	now, _ = play(left, alive, now, 15)
	for _, n := range left {
		if got := n.table.PeerLoad("t", now).Running; got != len(left)-1 {
			t.Errorf("%s knows of %d requests of others, want %d", n.hello.Instance, got, len(left)-1)
		}
	}
}

// A restarted peer counts from nothing; what it did before is not taken back.
func TestRestartedPeerSetsNewBase(t *testing.T) {
	nodes, members := newFleet(1, 2)
	now, _ := play(nodes, members, clock.Instant(time.Hour), 2)
	nodes[0].usage["c"] = exchange.Usage{Requested: 500}
	now, _ = play(nodes, members, now, 2)
	nodes[0].hello.Incarnation = 99
	nodes[0].usage["c"] = exchange.Usage{Requested: 20}
	now, _ = play(nodes, members, now, 1)
	nodes[0].usage["c"] = exchange.Usage{Requested: 50}
	play(nodes, members, now, 1)
	if got := nodes[1].rose.Requested; got != 530 {
		t.Errorf("heard of %v tokens, want 500 and 30 above the new base", got)
	}
}
