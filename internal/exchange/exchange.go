// Package exchange keeps the loads and the customer usage that the other instances
// report, and aggregates them for instances that do not exchange heartbeats directly.
//
// In a small fleet every instance sends its own state to every other. In a large one the
// number of messages would grow with the square of the number of instances. Each data
// centre of a large fleet therefore has a few relays. A relay receives the state of the
// instances in its data centre, sends the sum of these states to the relays of the other
// data centres, and sends each instance in its data centre the sum of the states of all
// other instances. The data of an instance is then at most two heartbeat intervals old,
// plus the transit time of the messages.
//
// Loads are sent as complete snapshots, usage as cumulative counters. A Table must not be
// used concurrently. HandleHeartbeat and FillHeartbeat take time linear in the targets
// and customers that they name, plus the number of reports when the totals are
// recomputed.
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

// reportTTL is how long a report is used: several heartbeat intervals. A peer that is
// disconnected continues its running requests for seconds, but starts no new ones.
const reportTTL = 2 * time.Second

// Usage counts the tokens that a customer requested and those of its requests that were
// started.
type Usage struct{ Requested, Started float64 }

func (u Usage) plus(o Usage) Usage  { return Usage{u.Requested + o.Requested, u.Started + o.Started} }
func (u Usage) minus(o Usage) Usage { return Usage{u.Requested - o.Requested, u.Started - o.Started} }

// peerReport is the newest report of one peer.
type peerReport struct {
	id          fleet.InstanceID
	dataCentre  fleet.DataCentreID
	incarnation fleet.Incarnation
	scope       wire.Scope
	receivedAt  clock.Instant
	// standby is set if the peer sends its sums less often than another relay does.
	standby bool
	// activeAt is when the peer last reported a load or usage that had grown.
	activeAt clock.Instant
	loads    map[fleet.TargetID]placement.Load
	counters map[fleet.CustomerID]Usage
	// contributed is the growth of the peer's counters while its reports were included in
	// the totals.
	contributed map[fleet.CustomerID]Usage
}

// Table holds the newest report of each peer.
type Table struct {
	dataCentre fleet.DataCentreID
	reports    map[fleet.InstanceID]*peerReport
	// included holds the reports that the totals are made of, and peerLoads their sum.
	included  []*peerReport
	peerLoads map[fleet.TargetID]placement.Load
	summedAt  clock.Instant
	// totalUsage is the growth of all included counters, and dataCentreUsage the part of it
	// reported from this data centre.
	totalUsage, dataCentreUsage map[fleet.CustomerID]Usage
	// relays holds, for each data centre, the included report of a relay on it; that on the
	// rest of the fleet has the key "".
	relays  map[fleet.DataCentreID]relayInUse
	changes Changes
}

// New returns an empty table for an instance in the given data centre.
func New(dataCentre fleet.DataCentreID) *Table {
	return &Table{
		dataCentre:      dataCentre,
		reports:         make(map[fleet.InstanceID]*peerReport),
		peerLoads:       make(map[fleet.TargetID]placement.Load),
		totalUsage:      make(map[fleet.CustomerID]Usage),
		dataCentreUsage: make(map[fleet.CustomerID]Usage),
		relays:          make(map[fleet.DataCentreID]relayInUse),
	}
}

// HandleHeartbeat stores a peer's report and returns the growth of the peers' usage. The
// first report of a peer after it started, or the first with another scope, only sets the
// baseline, because the time over which its counters grew is unknown.
func (t *Table) HandleHeartbeat(from wire.Hello, hb *wire.Heartbeat, now clock.Instant) map[fleet.CustomerID]Usage {
	if hb.Scope == wire.ScopeKept {
		return nil
	}
	r := t.reports[from.Instance]
	cause, since := missingBaseline(r, from, hb.Scope), time.Duration(0)
	if r != nil {
		since = now.Sub(r.receivedAt)
	} else {
		r = &peerReport{id: from.Instance, contributed: make(map[fleet.CustomerID]Usage)}
		t.reports[from.Instance] = r
	}
	r.dataCentre, r.incarnation, r.scope, r.receivedAt = from.DataCentre, from.Incarnation, hb.Scope, now
	r.standby = hb.Standby
	r.loads = make(map[fleet.TargetID]placement.Load, len(hb.Loads))
	for _, l := range hb.Loads {
		r.loads[l.Target] = placement.Load{Running: l.Running, Unread: l.Unread, Memory: l.Memory, Starts: l.Starts, Waiting: l.Waiting}
	}
	if len(hb.Loads) > 0 || hasGrown(r.counters, hb.Usage) {
		r.activeAt = now
	}
	t.recomputeTotals(now)
	growth := t.updateCounters(r, hb.Usage, cause == "" && slices.Contains(t.included, r))
	if cause != "" {
		t.recordBaseline(r, cause, since)
	}
	return growth
}

// hasGrown reports whether usage differs from the counters before.
func hasGrown(before map[fleet.CustomerID]Usage, usage []wire.CustomerUsage) bool {
	return len(usage) != len(before) || slices.ContainsFunc(usage, func(u wire.CustomerUsage) bool {
		return before[u.Customer] != Usage{float64(u.Requested), float64(u.Started)}
	})
}

// IsIdle reports whether a peer has had no load, and no request, for a time.
func (t *Table) IsIdle(id fleet.InstanceID, now clock.Instant) bool {
	r := t.reports[id]
	return r != nil && now.Sub(r.activeAt) > idleAfter
}

// idleAfter is the time without load after which an instance counts as idle.
const idleAfter = 2 * time.Second

// updateCounters replaces a report's counters. If count is set it returns by how much
// they grew and adds that to the totals.
func (t *Table) updateCounters(r *peerReport, usage []wire.CustomerUsage, count bool) map[fleet.CustomerID]Usage {
	before := r.counters
	r.counters = make(map[fleet.CustomerID]Usage, len(usage))
	growth := make(map[fleet.CustomerID]Usage)
	for _, u := range usage {
		next := Usage{float64(u.Requested), float64(u.Started)}
		r.counters[u.Customer] = next
		if !count {
			continue
		}
		d := next.minus(before[u.Customer])
		if d == (Usage{}) {
			continue
		}
		growth[u.Customer] = d
		r.contributed[u.Customer] = r.contributed[u.Customer].plus(d)
		t.totalUsage[u.Customer] = t.totalUsage[u.Customer].plus(d)
		if r.dataCentre == t.dataCentre {
			t.dataCentreUsage[u.Customer] = t.dataCentreUsage[u.Customer].plus(d)
		}
	}
	return growth
}

// Included returns the number of reports that the totals are made of and the age of the
// oldest of them, which is the time since it was received.
func (t *Table) Included(now clock.Instant) (reports int, oldest time.Duration) {
	for _, r := range t.included {
		oldest = max(oldest, now.Sub(r.receivedAt))
	}
	return len(t.included), oldest
}

// PeerLoad returns the load that all other instances put on a target.
func (t *Table) PeerLoad(id fleet.TargetID, now clock.Instant) placement.Load {
	if now.Sub(t.summedAt) > reportTTL/4 {
		t.recomputeTotals(now)
	}
	return t.peerLoads[id]
}

// recomputeTotals selects the reports to include, so that no instance counts twice, and
// adds them up.
func (t *Table) recomputeTotals(now clock.Instant) {
	t.summedAt = now
	t.included = t.selectReports(now)
	t.recordRelays(now)
	clear(t.peerLoads)
	for _, r := range t.included {
		for id, l := range r.loads {
			t.peerLoads[id] = t.peerLoads[id].Add(l)
		}
	}
}

// selectReports returns a relay's report on the rest of the fleet if there is one.
// Otherwise it returns each instance's report on itself alone, and one relay's report on
// each other data centre.
func (t *Table) selectReports(now clock.Instant) []*peerReport {
	fresh := make([]*peerReport, 0, len(t.reports))
	for _, r := range t.reports {
		if now.Sub(r.receivedAt) <= reportTTL {
			fresh = append(fresh, r)
		}
	}
	slices.SortFunc(fresh, func(a, b *peerReport) int {
		return cmp.Or(cmp.Compare(standbyOrder(a), standbyOrder(b)), cmp.Compare(a.id, b.id))
	})
	var chosen []*peerReport
	dataCentres := make(map[fleet.DataCentreID]bool)
	for _, r := range fresh {
		switch r.scope {
		case wire.ScopeRest:
			return []*peerReport{r}
		case wire.ScopeDataCentre:
			if r.dataCentre != t.dataCentre && !dataCentres[r.dataCentre] {
				dataCentres[r.dataCentre] = true
				chosen = append(chosen, r)
			}
		case wire.ScopeOwn:
			chosen = append(chosen, r)
		case wire.ScopeKept, wire.ScopeNone:
		}
	}
	return chosen
}

// standbyOrder puts the reports that come less often last.
func standbyOrder(r *peerReport) int {
	if r.standby {
		return 1
	}
	return 0
}

// FillHeartbeat fills a heartbeat to a peer with this instance's own loads and counters
// and with the sums that the scope asks for.
func (t *Table) FillHeartbeat(hb *wire.Heartbeat, to fleet.InstanceID, scope wire.Scope,
	loads map[fleet.TargetID]placement.Load, usage map[fleet.CustomerID]Usage,
) {
	hb.Scope = scope
	if scope == wire.ScopeNone || scope == wire.ScopeKept {
		return
	}
	totals := make(map[fleet.TargetID]placement.Load, len(loads))
	counters := make(map[fleet.CustomerID]Usage, len(usage))
	addLoads(totals, loads)
	for id, u := range usage {
		counters[id] = u
	}
	for _, r := range t.included {
		if scope == wire.ScopeRest && r.id != to || scope == wire.ScopeDataCentre && r.dataCentre == t.dataCentre {
			addLoads(totals, r.loads)
		}
	}
	switch scope {
	case wire.ScopeDataCentre:
		addUsage(counters, t.dataCentreUsage)
	case wire.ScopeRest:
		addUsage(counters, t.totalUsage)
		if r := t.reports[to]; r != nil {
			for id, u := range r.contributed {
				counters[id] = counters[id].minus(u)
			}
		}
	case wire.ScopeOwn, wire.ScopeKept, wire.ScopeNone:
	}
	hb.Loads, hb.Usage = listLoads(totals), listUsage(counters)
}

func addLoads(totals, loads map[fleet.TargetID]placement.Load) {
	for id, l := range loads {
		totals[id] = totals[id].Add(l)
	}
}

func addUsage(totals, usage map[fleet.CustomerID]Usage) {
	for id, u := range usage {
		totals[id] = totals[id].plus(u)
	}
}

// listLoads returns the loads sorted by target, because a fixed order compresses better.
func listLoads(loads map[fleet.TargetID]placement.Load) []wire.TargetLoad {
	list := make([]wire.TargetLoad, 0, len(loads))
	for id, l := range loads {
		if l != (placement.Load{}) {
			list = append(list, wire.TargetLoad{
				Target: id, Running: l.Running, Unread: l.Unread, Memory: l.Memory, Starts: l.Starts, Waiting: l.Waiting,
			})
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

// Expire drops the reports of peers that have sent no heartbeat for over a minute. The
// growth of their counters stays in the totals.
func (t *Table) Expire(now clock.Instant) {
	for id, r := range t.reports {
		if now.Sub(r.receivedAt) > time.Minute {
			delete(t.reports, id)
		}
	}
}

// heartbeatInterval is the time between two heartbeats of an instance.
const heartbeatInterval = 200 * time.Millisecond

// LoadAge returns how long ago a peer may have had the oldest of the loads in use: the time since their receipt
// and a heartbeat interval for each relay on the way; reportTTL if no report is in use. Reports without loads do
// not count, because instances without requests report less often.
func (t *Table) LoadAge(now clock.Instant) time.Duration {
	if now.Sub(t.summedAt) > reportTTL/4 {
		t.recomputeTotals(now)
	}
	var oldest time.Duration
	for _, r := range t.included {
		if len(r.loads) == 0 {
			continue
		}
		age := now.Sub(r.receivedAt)
		switch r.scope {
		case wire.ScopeRest:
			age += 2 * heartbeatInterval
		case wire.ScopeDataCentre:
			age += heartbeatInterval
		case wire.ScopeOwn, wire.ScopeKept, wire.ScopeNone:
		}
		oldest = max(oldest, age)
	}
	if len(t.included) == 0 {
		return reportTTL
	}
	return min(oldest, reportTTL)
}
