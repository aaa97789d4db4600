package loadreport

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Limits of the exchange of reports.
const (
	// maxShared is the number of reports in a heartbeat, maxUsual that of those among them which say that a
	// target works as usual.
	maxShared = 64
	maxUsual  = 8
	// minInterest is the interest from which a report does not say that a target works as usual.
	minInterest = 10
	// maxSharedAge is the age from which a report is neither sent nor taken: it says little by then.
	maxSharedAge = 2 * time.Second
	// maxCursors bounds the peers for which it is kept what they were sent.
	maxCursors = 4096
)

// source is where the last report on a target came from. By the topology of the heartbeats a report goes from an
// instance to the relays of its data centre, from these to the relays of other data centres, and to the instances
// of theirs. No instance passes one on to where it may have come from, so that it cannot go round and seem
// younger with each transit.
type source int

const (
	own source = iota
	// dataCentrePeer is an instance of this data centre, remotePeer one of another, or a relay that sent what
	// it had received.
	dataCentrePeer
	remotePeer
)

// entry is the belief on one target, with what is needed to share it.
type entry struct {
	Belief
	// seq numbers the change that set the last report.
	seq    uint64
	source source
	from   fleet.InstanceID
	// interest is that of the last report or of the one that it replaced: that a target is no longer slow is
	// worth as much as that it is.
	interest int
}

// Counters are the numbers of reports since the start of the instance.
type Counters struct {
	// Received is the number of reports in responses, Odd that of those that could not be used, Missing that
	// of responses without one from targets that have made reports.
	Received int64 `json:"received"`
	Odd      int64 `json:"odd"`
	Missing  int64 `json:"missing"`
	// FromPeers is the number of peers' reports that were newer than what was held, OldFromPeers and
	// OddFromPeers that of those that were not, or could not be used. ToPeers is the number that was sent.
	FromPeers    int64 `json:"from_peers"`
	OldFromPeers int64 `json:"old_from_peers"`
	OddFromPeers int64 `json:"odd_from_peers"`
	ToPeers      int64 `json:"to_peers"`
}

// Table holds the beliefs on all targets. It must not be used concurrently.
type Table struct {
	dataCentre fleet.DataCentreID
	targets    map[fleet.TargetID]*entry
	seq        uint64
	// cursors hold the number of the last change when a peer was last sent reports.
	cursors map[fleet.InstanceID]uint64
	// order is reused from one heartbeat to the next.
	order    []fleet.TargetID
	Counters Counters
}

// NewTable returns an empty table of an instance in a data centre.
func NewTable(dataCentre fleet.DataCentreID) *Table {
	return &Table{dataCentre: dataCentre, targets: make(map[fleet.TargetID]*entry), cursors: make(map[fleet.InstanceID]uint64)}
}

// Of returns the belief on a target. It remains that of the target until Expire drops it.
func (t *Table) Of(id fleet.TargetID) *Belief { return &t.entryOf(id).Belief }

func (t *Table) entryOf(id fleet.TargetID) *entry {
	e := t.targets[id]
	if e == nil {
		e = &entry{}
		t.targets[id] = e
	}
	return e
}

// Observe records a report that a start of a target made at the given time in a response to this instance.
func (t *Table) Observe(id fleet.TargetID, startMillis int64, r Report, at clock.Instant) {
	t.Counters.Received++
	if r.IsValid() {
		t.set(t.entryOf(id), startMillis, r, at, own, "")
	}
}

// ObserveNone counts a response without a report that can be used. It reports whether the target has made reports.
func (t *Table) ObserveNone(id fleet.TargetID, startMillis int64, odd bool) bool {
	e := t.targets[id]
	has := e != nil && e.at != 0 && e.startMillis == startMillis
	switch {
	case odd:
		t.Counters.Odd++
	case has:
		t.Counters.Missing++
	}
	return has
}

// set records a report and reports whether it was newer than what was held.
func (t *Table) set(e *entry, startMillis int64, r Report, at clock.Instant, s source, from fleet.InstanceID) bool {
	before := e.last.interest()
	if !e.observe(startMillis, r, at) {
		return false
	}
	t.seq++
	e.seq, e.source, e.from, e.interest = t.seq, s, from, max(before, r.interest())
	return true
}

// Merge adds what a peer reports. start returns the start of a listed target; reports on other targets and
// starts are ignored.
func (t *Table) Merge(peer wire.Hello, scope wire.Scope, reported []wire.LoadReport, start func(fleet.TargetID) (int64, bool), now clock.Instant) {
	s := remotePeer
	if scope == wire.ScopeOwn && peer.DataCentre == t.dataCentre {
		s = dataCentrePeer
	}
	for _, w := range reported[:min(len(reported), maxShared)] {
		r := Report{Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, Pace: w.Pace}
		age := time.Duration(w.AgeMillis) * time.Millisecond
		if !r.IsValid() || r.Pace == 0 || w.AgeMillis < 0 || w.AgeMillis > maxSharedAge.Milliseconds() {
			t.Counters.OddFromPeers++
			continue
		}
		current, listed := start(w.Target)
		if !listed || current != w.StartMillis || !t.set(t.entryOf(w.Target), w.StartMillis, r, now.Add(-age), s, peer.Instance) {
			t.Counters.OldFromPeers++
			continue
		}
		t.Counters.FromPeers++
	}
}

// Share returns the reports for a heartbeat of a scope to a peer: those that are new since the last one, the most
// interesting first. Only reports that state a pace are shared. O(targets · log targets).
func (t *Table) Share(peer fleet.InstanceID, scope wire.Scope, now clock.Instant) []wire.LoadReport {
	since := t.cursors[peer]
	if since == t.seq || scope == wire.ScopeNone || scope == wire.ScopeKept {
		return nil
	}
	if _, known := t.cursors[peer]; !known && len(t.cursors) >= maxCursors {
		return nil
	}
	t.cursors[peer] = t.seq
	chosen := t.order[:0]
	for id, e := range t.targets {
		if e.seq > since && e.last.Pace > 0 && now.Sub(e.at) < maxSharedAge && e.isFor(peer, scope) {
			chosen = append(chosen, id)
		}
	}
	t.order = chosen
	slices.SortFunc(chosen, func(a, b fleet.TargetID) int {
		return cmp.Or(cmp.Compare(t.targets[b].interest, t.targets[a].interest), cmp.Compare(a, b))
	})
	var list []wire.LoadReport
	usual := 0
	for _, id := range chosen[:min(len(chosen), maxShared)] {
		e := t.targets[id]
		if e.interest < minInterest {
			if usual++; usual > maxUsual {
				break
			}
		}
		list = append(list, wire.LoadReport{
			Target: id, StartMillis: e.startMillis, Running: e.last.Running, Waiting: e.last.Waiting, Slots: e.last.Slots,
			Pace: e.last.Pace, AgeMillis: now.Sub(e.at).Milliseconds(),
		})
	}
	t.Counters.ToPeers += int64(len(list))
	return list
}

// isFor reports whether the last report belongs into a heartbeat of a scope to a peer.
func (e *entry) isFor(peer fleet.InstanceID, scope wire.Scope) bool {
	switch scope {
	case wire.ScopeOwn:
		return e.source == own
	case wire.ScopeDataCentre:
		return e.source != remotePeer
	case wire.ScopeRest:
		return e.from != peer
	case wire.ScopeNone, wire.ScopeKept:
	}
	return false
}

// Expire drops the beliefs on targets that are not listed, and what peers were sent that are not alive.
func (t *Table) Expire(listed func(fleet.TargetID) bool, alive func(fleet.InstanceID) bool) {
	for id := range t.targets {
		if !listed(id) {
			delete(t.targets, id)
		}
	}
	for id := range t.cursors {
		if !alive(id) {
			delete(t.cursors, id)
		}
	}
}

// Summary describes the reports held, all of which are recent enough to be used.
type Summary struct {
	// Targets is the number of targets with a report, Paced that of those with one that states a pace.
	Targets int `json:"targets"`
	Paced   int `json:"paced"`
	// Slow is the number of targets whose last report says that work takes half as long again as usual, Waiting the
	// number of requests that wait at targets.
	Slow    int `json:"slow"`
	Waiting int `json:"waiting"`
	// MedianAgeMillis is the median age of the reports in milliseconds.
	MedianAgeMillis int64 `json:"median_age_ms"`
}

// slowPace is the pace from which a target counts as slow in a Summary.
const slowPace = 150

// Summary returns a summary of the reports held.
func (t *Table) Summary(now clock.Instant) Summary {
	var sum Summary
	var ages []time.Duration
	for _, e := range t.targets {
		if e.at == 0 || now.Sub(e.at) >= forgottenAfter {
			continue
		}
		ages = append(ages, now.Sub(e.at))
		sum.Waiting += e.last.Waiting
		if e.last.Pace > 0 {
			sum.Paced++
		}
		if e.last.Pace >= slowPace {
			sum.Slow++
		}
	}
	if sum.Targets = len(ages); sum.Targets > 0 {
		slices.Sort(ages)
		sum.MedianAgeMillis = ages[len(ages)/2].Milliseconds()
	}
	return sum
}
