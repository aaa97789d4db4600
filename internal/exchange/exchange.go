// Package exchange keeps what the other instances run and have used, and sums it up for
// those that do not hear each other.
//
// In a small fleet every instance tells every other its own state. In a large one that
// would take messages with the square of the fleet, so a few relays of each data centre
// hear their data centre's instances, tell the relays of other data centres its sum, and
// tell each of their own instances the sum of everybody else. What an instance believes
// is then two heartbeats old at most beside those that a message takes.
//
// Loads are whole states; usage is told by counters that only grow. A Table is used by
// one goroutine at a time. Hear and Describe take time linear in the targets and
// customers that they name, plus the sources when the totals are summed anew.
package exchange

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/wire"
)

// freshFor is how long a report holds: some heartbeats. A peer that is cut off goes on
// with what it runs for seconds, but no longer adds.
const freshFor = 2 * time.Second

// Usage counts tokens that a customer asked for and that were started for it.
type Usage struct{ Requested, Started float64 }

func (u Usage) plus(o Usage) Usage  { return Usage{u.Requested + o.Requested, u.Started + o.Started} }
func (u Usage) minus(o Usage) Usage { return Usage{u.Requested - o.Requested, u.Started - o.Started} }

// source is the newest report of one peer.
type source struct {
	id          fleet.InstanceID
	centre      fleet.DataCentreID
	incarnation fleet.Incarnation
	scope       wire.Scope
	at          clock.Instant
	loads       map[fleet.TargetID]placement.Load
	counters    map[fleet.CustomerID]Usage
	// fed is what this source's counters rose by while it counted.
	fed map[fleet.CustomerID]Usage
}

// Table holds the reports of all peers.
type Table struct {
	centre  fleet.DataCentreID
	sources map[fleet.InstanceID]*source
	// counted are the sources that the totals are made of, and others their sum.
	counted  []*source
	others   map[fleet.TargetID]placement.Load
	summedAt clock.Instant
	// heard and heardCentre are what was fed in all, and by the instances of this data
	// centre alone.
	heard, heardCentre map[fleet.CustomerID]Usage
}

// New returns an empty table of an instance in a data centre.
func New(centre fleet.DataCentreID) *Table {
	return &Table{
		centre:      centre,
		sources:     make(map[fleet.InstanceID]*source),
		others:      make(map[fleet.TargetID]placement.Load),
		heard:       make(map[fleet.CustomerID]Usage),
		heardCentre: make(map[fleet.CustomerID]Usage),
	}
}

// HandleHeartbeat takes in a heartbeat and returns by how much the others' usage rose. The first
// report of a peer, or one of another scope, only sets the base: how long it took to
// count is unknown.
func (t *Table) HandleHeartbeat(from wire.Hello, hb *wire.Heartbeat, now clock.Instant) map[fleet.CustomerID]Usage {
	s := t.sources[from.Instance]
	if s == nil {
		s = &source{id: from.Instance, fed: make(map[fleet.CustomerID]Usage)}
		t.sources[from.Instance] = s
	}
	based := s.incarnation == from.Incarnation && s.scope == hb.Scope
	s.centre, s.incarnation, s.scope, s.at = from.DataCentre, from.Incarnation, hb.Scope, now
	s.loads = make(map[fleet.TargetID]placement.Load, len(hb.Loads))
	for _, l := range hb.Loads {
		s.loads[l.Target] = placement.Load{Running: l.Running, Unread: l.Unread, Memory: l.Memory}
	}
	t.sum(now)
	return t.feed(s, hb.Usage, based && slices.Contains(t.counted, s))
}

// feed moves a source's counters and returns by how much they rose if it counts.
func (t *Table) feed(s *source, usage []wire.CustomerUsage, counts bool) map[fleet.CustomerID]Usage {
	before := s.counters
	s.counters = make(map[fleet.CustomerID]Usage, len(usage))
	rose := make(map[fleet.CustomerID]Usage)
	for _, u := range usage {
		next := Usage{float64(u.Requested), float64(u.Started)}
		s.counters[u.Customer] = next
		if !counts {
			continue
		}
		d := next.minus(before[u.Customer])
		if d == (Usage{}) {
			continue
		}
		rose[u.Customer] = d
		s.fed[u.Customer] = s.fed[u.Customer].plus(d)
		t.heard[u.Customer] = t.heard[u.Customer].plus(d)
		if s.centre == t.centre {
			t.heardCentre[u.Customer] = t.heardCentre[u.Customer].plus(d)
		}
	}
	return rose
}

// PeerLoad returns the load that all other instances put on a target.
func (t *Table) PeerLoad(id fleet.TargetID, now clock.Instant) placement.Load {
	if now.Sub(t.summedAt) > freshFor/4 {
		t.sum(now)
	}
	return t.others[id]
}

// sum chooses the sources that count, so that nothing counts twice, and adds them up.
func (t *Table) sum(now clock.Instant) {
	t.summedAt = now
	t.counted = t.choose(now)
	clear(t.others)
	for _, s := range t.counted {
		for id, l := range s.loads {
			t.others[id] = t.others[id].Add(l)
		}
	}
}

// choose returns one relay's word on the rest of the fleet if there is one; else every
// instance's own word, and one relay's word on each other data centre.
func (t *Table) choose(now clock.Instant) []*source {
	fresh := make([]*source, 0, len(t.sources))
	for _, s := range t.sources {
		if now.Sub(s.at) <= freshFor {
			fresh = append(fresh, s)
		}
	}
	slices.SortFunc(fresh, func(a, b *source) int { return cmp.Compare(a.id, b.id) })
	var chosen []*source
	centres := make(map[fleet.DataCentreID]bool)
	for _, s := range fresh {
		switch s.scope {
		case wire.ScopeRest:
			return []*source{s}
		case wire.ScopeDataCentre:
			if s.centre != t.centre && !centres[s.centre] {
				centres[s.centre] = true
				chosen = append(chosen, s)
			}
		case wire.ScopeOwn:
			chosen = append(chosen, s)
		case wire.ScopeNone:
		}
	}
	return chosen
}

// FillHeartbeat fills a heartbeat to a peer with this instance's own loads and counters, and
// with the sums that the scope asks for.
func (t *Table) FillHeartbeat(hb *wire.Heartbeat, to fleet.InstanceID, scope wire.Scope,
	loads map[fleet.TargetID]placement.Load, usage map[fleet.CustomerID]Usage,
) {
	hb.Scope = scope
	if scope == wire.ScopeNone {
		return
	}
	totals := make(map[fleet.TargetID]placement.Load, len(loads))
	counters := make(map[fleet.CustomerID]Usage, len(usage))
	add(totals, loads)
	for id, u := range usage {
		counters[id] = u
	}
	for _, s := range t.counted {
		if scope == wire.ScopeRest && s.id != to || scope == wire.ScopeDataCentre && s.centre == t.centre {
			add(totals, s.loads)
		}
	}
	switch scope {
	case wire.ScopeDataCentre:
		addUsage(counters, t.heardCentre)
	case wire.ScopeRest:
		addUsage(counters, t.heard)
		if s := t.sources[to]; s != nil {
			for id, u := range s.fed {
				counters[id] = counters[id].minus(u)
			}
		}
	case wire.ScopeOwn, wire.ScopeNone:
	}
	hb.Loads, hb.Usage = listLoads(totals), listUsage(counters)
}

func add(totals, loads map[fleet.TargetID]placement.Load) {
	for id, l := range loads {
		totals[id] = totals[id].Add(l)
	}
}

func addUsage(totals, usage map[fleet.CustomerID]Usage) {
	for id, u := range usage {
		totals[id] = totals[id].plus(u)
	}
}

// listLoads returns loads in a fixed order, which compresses better.
func listLoads(loads map[fleet.TargetID]placement.Load) []wire.TargetLoad {
	list := make([]wire.TargetLoad, 0, len(loads))
	for id, l := range loads {
		if l != (placement.Load{}) {
			list = append(list, wire.TargetLoad{Target: id, Running: l.Running, Unread: l.Unread, Memory: l.Memory})
		}
	}
	slices.SortFunc(list, func(a, b wire.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

func listUsage(usage map[fleet.CustomerID]Usage) []wire.CustomerUsage {
	list := make([]wire.CustomerUsage, 0, len(usage))
	for id, u := range usage {
		list = append(list, wire.CustomerUsage{Customer: id, Requested: int64(u.Requested), Started: int64(u.Started)})
	}
	slices.SortFunc(list, func(a, b wire.CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	return list
}

// Expire drops the reports of peers that have been silent for long. What their counters
// rose by stays counted.
func (t *Table) Expire(now clock.Instant) {
	for id, s := range t.sources {
		if now.Sub(s.at) > time.Minute {
			delete(t.sources, id)
		}
	}
}
