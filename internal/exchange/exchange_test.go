package exchange_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/exchange"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

// node is one instance with its own load and usage.
type node struct {
	hello wire.Hello
	table *exchange.Table
	loads map[fleet.TargetID]placement.Load
	usage map[fleet.CustomerID]exchange.Usage
	// received is the growth of the other nodes' usage that heartbeats reported to this
	// node.
	received exchange.Usage
}

// newFleet builds a fleet of several data centres in which each instance runs one
// request.
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

// round sends one heartbeat along each connection of the topology and returns their
// number.
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
				receiver.received.Requested += d.Requested
				receiver.received.Started += d.Started
			}
		}
	}
	return messages
}

func runRounds(nodes []*node, members []roster.Member, now clock.Instant, rounds int) (clock.Instant, int) {
	messages := 0
	for range rounds {
		now = now.Add(200 * time.Millisecond)
		messages = round(nodes, members, now)
	}
	return now, messages
}

// Each instance must count the load of every other instance exactly once, both in a full
// mesh and with relays, where a load can arrive along several paths.
func TestPeerLoadCountsEachInstanceOnce(t *testing.T) {
	for _, size := range []struct{ centres, perCentre int }{{3, 2}, {6, 15}, {3, 40}} {
		nodes, members := newFleet(size.centres, size.perCentre)
		now, messages := runRounds(nodes, members, clock.Instant(time.Hour), 5)
		for _, n := range nodes {
			if got := n.table.PeerLoad("t", now).Running; got != len(nodes)-1 {
				t.Errorf("%d instances: %s counts %d requests of other instances, want one of each", len(nodes), n.hello.Instance, got)
			}
		}
		if relays := size.centres * roster.RelaysPerDataCentre; len(nodes) > roster.MaxMeshSize && messages > 2*len(nodes)*roster.RelaysPerDataCentre+relays*relays {
			t.Errorf("%d instances send %d heartbeats in a round, more than relays need", len(nodes), messages)
		}
	}
}

// Usage must be counted exactly once at every other instance, although relays report it
// as part of their sums.
func TestUsageIsCountedOnce(t *testing.T) {
	for _, size := range []struct{ centres, perCentre int }{{3, 2}, {6, 15}} {
		nodes, members := newFleet(size.centres, size.perCentre)
		now, _ := runRounds(nodes, members, clock.Instant(time.Hour), 4)
		for _, n := range nodes {
			n.received = exchange.Usage{}
			n.usage["c"] = exchange.Usage{Requested: 100, Started: 10}
		}
		runRounds(nodes, members, now, 5)
		want := float64(len(nodes) - 1)
		for _, n := range nodes {
			if n.received.Requested != 100*want || n.received.Started != 10*want {
				t.Errorf("%d instances: %s received %+v, want %v times 100 and 10", len(nodes), n.hello.Instance, n.received, want)
			}
		}
	}
}

// When a relay fails, the reports of the other relay must be used and the load of the
// failed instance dropped.
func TestOtherRelayTakesOver(t *testing.T) {
	nodes, members := newFleet(6, 15)
	now, _ := runRounds(nodes, members, clock.Instant(time.Hour), 5)
	dead := roster.Relays("dc0", members)[0]
	var left []*node
	var alive []roster.Member
	for i, n := range nodes {
		if n.hello.Instance != dead {
			left, alive = append(left, n), append(alive, members[i])
		}
	}
	// The failure is detected after a second; then the topology excludes the instance.
	now, _ = runRounds(left, members, now, 5)
	now, _ = runRounds(left, alive, now, 15)
	for _, n := range left {
		if got := n.table.PeerLoad("t", now).Running; got != len(left)-1 {
			t.Errorf("%s counts %d requests of other instances, want %d", n.hello.Instance, got, len(left)-1)
		}
	}
}

// A restarted peer counts from zero. Its counters must neither lower the totals nor count
// again.
func TestRestartedPeerSetsNewBaseline(t *testing.T) {
	nodes, members := newFleet(1, 2)
	now, _ := runRounds(nodes, members, clock.Instant(time.Hour), 2)
	nodes[0].usage["c"] = exchange.Usage{Requested: 500}
	now, _ = runRounds(nodes, members, now, 2)
	nodes[0].hello.Incarnation = 99
	nodes[0].usage["c"] = exchange.Usage{Requested: 20}
	now, _ = runRounds(nodes, members, now, 1)
	nodes[0].usage["c"] = exchange.Usage{Requested: 50}
	runRounds(nodes, members, now, 1)
	if got := nodes[1].received.Requested; got != 530 {
		t.Errorf("received %v tokens, want 530: 500 before the restart and 30 above the baseline set after it", got)
	}
}

// relayHeartbeat returns a relay's report with one customer's counters.
func relayHeartbeat(scope wire.Scope, requested int64) *wire.Heartbeat {
	return &wire.Heartbeat{Scope: scope, Usage: []wire.CustomerUsage{{Customer: "c", Requested: requested}}}
}

// Which relay's report is used decides what an instance knows of other data centres. A
// change must be reported once, with the age of the report that is no longer used.
func TestRelayChangesAreReported(t *testing.T) {
	table := exchange.New("dc0")
	now := clock.Instant(time.Hour)
	first := wire.Hello{Instance: "r1", Incarnation: 1, DataCentre: "dc1"}
	second := wire.Hello{Instance: "r2", Incarnation: 2, DataCentre: "dc1"}
	for range 3 {
		table.HandleHeartbeat(first, relayHeartbeat(wire.ScopeDataCentre, 10), now)
		table.HandleHeartbeat(second, relayHeartbeat(wire.ScopeDataCentre, 10), now)
		now = now.Add(200 * time.Millisecond)
	}
	want := []exchange.RelayChange{{DataCentre: "dc1", To: "r1"}}
	if got := table.TakeChanges().Relays; !slices.Equal(got, want) {
		t.Errorf("changes %+v, want %+v", got, want)
	}
	now = now.Add(1900 * time.Millisecond)
	table.HandleHeartbeat(second, relayHeartbeat(wire.ScopeDataCentre, 10), now)
	want = []exchange.RelayChange{{DataCentre: "dc1", From: "r1", To: "r2", Age: 2100 * time.Millisecond}}
	if got := table.TakeChanges().Relays; !slices.Equal(got, want) {
		t.Errorf("changes %+v, want %+v", got, want)
	}
	now = now.Add(200 * time.Millisecond)
	table.HandleHeartbeat(second, relayHeartbeat(wire.ScopeRest, 10), now)
	want = []exchange.RelayChange{{To: "r2"}, {DataCentre: "dc1", From: "r2", Age: 200 * time.Millisecond}}
	if got := table.TakeChanges().Relays; !slices.Equal(got, want) {
		t.Errorf("changes %+v, want %+v", got, want)
	}
}

// Growth that is not counted must be reported, because the instance then knows less usage
// than there was. Counters of 0 hide no growth.
func TestMissingBaselinesAreReported(t *testing.T) {
	table := exchange.New("dc0")
	now := clock.Instant(time.Hour)
	from := wire.Hello{Instance: "r1", Incarnation: 1, DataCentre: "dc1"}
	var got []exchange.Baseline
	handle := func(hb *wire.Heartbeat) {
		table.HandleHeartbeat(from, hb, now)
		got = append(got, table.TakeChanges().Baselines...)
		now = now.Add(200 * time.Millisecond)
	}
	handle(relayHeartbeat(wire.ScopeOwn, 0))
	handle(relayHeartbeat(wire.ScopeOwn, 30))
	handle(relayHeartbeat(wire.ScopeDataCentre, 100))
	handle(relayHeartbeat(wire.ScopeDataCentre, 150))
	from.Incarnation = 2
	handle(relayHeartbeat(wire.ScopeDataCentre, 40))
	from.Instance = "r2"
	handle(relayHeartbeat(wire.ScopeOwn, 7))
	want := []exchange.Baseline{
		{Peer: "r1", Scope: wire.ScopeDataCentre, Cause: exchange.NewScope, Since: 200 * time.Millisecond, Customers: 1, Total: exchange.Usage{Requested: 100}},
		{Peer: "r1", Scope: wire.ScopeDataCentre, Cause: exchange.NewIncarnation, Since: 200 * time.Millisecond, Customers: 1, Total: exchange.Usage{Requested: 40}},
		{Peer: "r2", Scope: wire.ScopeOwn, Cause: exchange.FirstReport, Customers: 1, Total: exchange.Usage{Requested: 7}},
	}
	if !slices.Equal(got, want) {
		t.Errorf("baselines %+v, want %+v", got, want)
	}
}

// Changes that nobody takes must not grow without bound.
func TestUntakenChangesAreBounded(t *testing.T) {
	table := exchange.New("dc0")
	for i := range 100 {
		from := wire.Hello{Instance: fleet.InstanceID(fmt.Sprint("r", i)), Incarnation: 1, DataCentre: "dc1"}
		table.HandleHeartbeat(from, relayHeartbeat(wire.ScopeOwn, 5), clock.Instant(time.Hour))
	}
	if c := table.TakeChanges(); len(c.Baselines)+c.Dropped != 100 || c.Dropped == 0 {
		t.Errorf("%d changes are kept and %d dropped, want 100 in all and some dropped", len(c.Baselines), c.Dropped)
	}
}

// A relay sends its sums to an idle instance less often: what it sent before must stay in use in
// between, and an instance must count as idle only without load and requests.
func TestSumsStayInUseBetweenHeartbeats(t *testing.T) {
	table := exchange.New("a")
	from := wire.Hello{Instance: "relay", Incarnation: 1, DataCentre: "a"}
	now := clock.Instant(time.Hour)
	table.HandleHeartbeat(from, &wire.Heartbeat{Scope: wire.ScopeRest, Loads: []wire.TargetLoad{{Target: "t", Running: 3}}}, now)
	for range 4 {
		now = now.Add(200 * time.Millisecond)
		table.HandleHeartbeat(from, &wire.Heartbeat{Scope: wire.ScopeKept}, now)
		if load := table.PeerLoad("t", now); load.Running != 3 {
			t.Fatalf("load %+v after a heartbeat without loads, want that of the last with loads", load)
		}
	}
	if table.IsIdle("relay", now) {
		t.Error("an instance that reported a load 800 ms ago counts as idle")
	}
	idle := wire.Hello{Instance: "other", Incarnation: 1, DataCentre: "a"}
	usage := []wire.CustomerUsage{{Customer: "c", Requested: 5, Started: 5}}
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		table.HandleHeartbeat(idle, &wire.Heartbeat{Usage: usage}, now)
	}
	if !table.IsIdle("other", now) {
		t.Error("an instance without load and new requests does not count as idle")
	}
	usage[0].Requested++
	table.HandleHeartbeat(idle, &wire.Heartbeat{Usage: usage}, now)
	if table.IsIdle("other", now) {
		t.Error("an instance that got a request just now counts as idle")
	}
}

// Of two relays' sums those of the one that sends them in each round are used.
func TestSumsOfStandbyRelayAreSecondChoice(t *testing.T) {
	table := exchange.New("a")
	now := clock.Instant(time.Hour)
	send := func(id fleet.InstanceID, standby bool, running int) {
		table.HandleHeartbeat(wire.Hello{Instance: id, Incarnation: 1, DataCentre: "a"},
			&wire.Heartbeat{Scope: wire.ScopeRest, Standby: standby, Loads: []wire.TargetLoad{{Target: "t", Running: running}}}, now)
	}
	send("r1", true, 1)
	send("r2", false, 2)
	if load := table.PeerLoad("t", now); load.Running != 2 {
		t.Errorf("load %+v, want that of the relay that sends in each round", load)
	}
	now = now.Add(2*time.Second + time.Millisecond)
	send("r1", true, 1)
	if load := table.PeerLoad("t", now); load.Running != 1 {
		t.Errorf("load %+v, want that of the relay that is left", load)
	}
}
