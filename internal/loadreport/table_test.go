package loadreport_test

import (
	"fmt"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/wire"
)

const interval = 200 * time.Millisecond

// node is one instance of a fleet.
type node struct {
	hello wire.Hello
	table *loadreport.Table
}

// listed returns the start of every target.
func listed(fleet.TargetID) (int64, bool) { return 1, true }

// newFleet returns the instances of data centres of one size.
func newFleet(centres, perCentre int) (nodes map[fleet.InstanceID]*node, members []roster.Member) {
	nodes = make(map[fleet.InstanceID]*node)
	for c := range centres {
		for i := range perCentre {
			dc, id := fleet.DataCentreID(fmt.Sprint("dc", c)), fleet.InstanceID(fmt.Sprintf("r%d-%02d", c, i))
			nodes[id] = &node{wire.Hello{Instance: id, DataCentre: dc}, loadreport.NewTable(dc)}
			members = append(members, roster.Member{ID: id, DataCentre: dc})
		}
	}
	return nodes, members
}

// exchangeRound sends one heartbeat from each instance to each of its peers, which arrives after a transit time. It
// returns the number of reports sent.
func exchangeRound(nodes map[fleet.InstanceID]*node, members []roster.Member, now clock.Instant) (sent int) {
	const transit = 20 * time.Millisecond
	type message struct {
		from, to *node
		scope    wire.Scope
		reports  []wire.LoadReport
	}
	var messages []message
	for id, n := range nodes {
		topology := roster.Plan(id, n.hello.DataCentre, members)
		for to, scope := range topology.Scopes {
			if !topology.Standby[to] {
				messages = append(messages, message{n, nodes[to], scope, n.table.Share(to, scope, now)})
			}
		}
	}
	for _, m := range messages {
		sent += len(m.reports)
		m.to.table.Merge(m.from.hello, m.scope, m.reports, listed, now.Add(transit))
	}
	return sent
}

// A report that one instance got must reach all others within three heartbeats, and then no longer be sent: one that
// went round through relays would seem younger with each transit.
func TestReportsReachFleetOnce(t *testing.T) {
	for _, size := range []struct{ centres, perCentre int }{{2, 3}, {6, 13}} {
		nodes, members := newFleet(size.centres, size.perCentre)
		nodes["r1-02"].table.Observe("t", 1, loadreport.Report{Running: 32, Waiting: 4, Slots: 32, Pace: 250}, start)
		now := start
		for range 3 {
			exchangeRound(nodes, members, now)
			now = now.Add(interval)
		}
		for id, n := range nodes {
			b := n.table.Of("t")
			// Each of up to three transits makes it look younger by its time.
			if !b.Has(1, now) || b.At() < start || b.At().Sub(start) > 60*time.Millisecond {
				t.Errorf("%d instances: %s holds a report of %v, want of %v", len(nodes), id, b.At(), start)
			}
		}
		if c := nodes["r1-02"].table.Counters; c.FromPeers+c.OldFromPeers != 0 {
			t.Errorf("%d instances: the report comes back to where it came from", len(nodes))
		}
		if sent := exchangeRound(nodes, members, now); sent != 0 {
			t.Errorf("%d instances: %d reports are sent in the fourth round, want none", len(nodes), sent)
		}
	}
}

// A heartbeat must stay small however many targets there are, and tell the most important first: slow targets, those
// with waiting requests, and those that were slow until now.
func TestSharedReportsAreBounded(t *testing.T) {
	table := loadreport.NewTable("a")
	for i := range 500 {
		pace, waiting := 100, 0
		switch {
		case i < 50:
			pace = 250
		case i < 100:
			waiting = 20
		}
		table.Observe(fleet.TargetID(fmt.Sprintf("t%03d", i)), 1, loadreport.Report{Waiting: waiting, Slots: 32, Pace: pace}, start)
	}
	shared := table.Share("r1", wire.ScopeOwn, start)
	if len(shared) != 64 || shared[63].Pace == 100 && shared[63].Waiting == 0 {
		t.Errorf("%d reports are shared, the last %+v, want 64 of slow or full targets", len(shared), shared[len(shared)-1])
	}
	now := start.Add(interval)
	table.Observe("t000", 1, loadreport.Report{Slots: 32, Pace: 100}, now)
	for i := 101; i < 200; i++ {
		table.Observe(fleet.TargetID(fmt.Sprintf("t%03d", i)), 1, loadreport.Report{Slots: 32, Pace: 100}, now)
	}
	if shared = table.Share("r1", wire.ScopeOwn, now); len(shared) != 1+8 || shared[0].Target != "t000" {
		t.Errorf("%+v are shared, want the target that is no longer slow and 8 others", shared)
	}
	if shared = table.Share("r2", wire.ScopeOwn, now.Add(10*time.Second)); len(shared) != 0 {
		t.Errorf("%d reports that are 10 s old are shared", len(shared))
	}
}

// What a peer reports must not count if it cannot be right, or is of another start of the target.
func TestOddReportsOfPeersAreIgnored(t *testing.T) {
	table := loadreport.NewTable("a")
	peer := wire.Hello{Instance: "r1", DataCentre: "a"}
	for _, w := range []wire.LoadReport{
		{Target: "t", StartMillis: 2, Slots: 32, Pace: 250}, {Target: "t", StartMillis: 1, Slots: 32, Pace: 10_001},
		{Target: "t", StartMillis: 1, Slots: 32, Pace: 250, AgeMillis: -5}, {Target: "t", StartMillis: 1, Slots: 32, Pace: 250, AgeMillis: 60_000},
		{Target: "t", StartMillis: 1, Slots: 32}, {Target: "t", StartMillis: 1, Running: -1, Pace: 100},
	} {
		table.Merge(peer, wire.ScopeOwn, []wire.LoadReport{w}, listed, start)
		if table.Of("t").At() != 0 {
			t.Errorf("%+v is believed", w)
		}
	}
	many := make([]wire.LoadReport, 1000)
	for i := range many {
		many[i] = wire.LoadReport{Target: fleet.TargetID(fmt.Sprint("t", i)), StartMillis: 1, Pace: 100}
	}
	table.Merge(peer, wire.ScopeOwn, many, listed, start)
	if c := table.Counters; c.FromPeers != 64 || c.OddFromPeers != 5 || c.OldFromPeers != 1 {
		t.Errorf("counters %+v, want 64 reports taken of one heartbeat, 5 odd ones and one of another start", c)
	}
}
