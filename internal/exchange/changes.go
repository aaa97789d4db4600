package exchange

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// maxChanges limits the changes of each kind that are kept until they are taken.
const maxChanges = 64

// Changes are what changed in the use of reports, for logs.
type Changes struct {
	Relays    []RelayChange
	Baselines []Baseline
	// Dropped counts the changes beyond maxChanges.
	Dropped int
}

// RelayChange says that the report of another relay is included in the totals.
type RelayChange struct {
	// DataCentre is the data centre that the report covers, empty for the rest of the fleet.
	DataCentre fleet.DataCentreID
	// From and To are the relays before and after, empty for none. Age is the age of the
	// report of From.
	From, To fleet.InstanceID
	Age      time.Duration
}

// Baseline says that counters of a peer were taken as a baseline, so that their growth
// since its report before is not counted.
type Baseline struct {
	Peer  fleet.InstanceID
	Scope wire.Scope
	Cause BaselineCause
	// Since is the time since the peer's report before, 0 if there was none.
	Since time.Duration
	// Customers is the number of counters and Total their sum.
	Customers int
	Total     Usage
}

// BaselineCause is why a peer's counters cannot be compared with those before.
type BaselineCause string

// Causes of a missing baseline.
const (
	FirstReport    BaselineCause = "first_report"
	NewIncarnation BaselineCause = "new_incarnation"
	NewScope       BaselineCause = "new_scope"
)

// missingBaseline returns why the last report r of a peer, nil if there is none, is no
// baseline for a new report, or "" if it is one.
func missingBaseline(r *peerReport, from wire.Hello, scope wire.Scope) BaselineCause {
	switch {
	case r == nil:
		return FirstReport
	case r.incarnation != from.Incarnation:
		return NewIncarnation
	case r.scope != scope:
		return NewScope
	}
	return ""
}

// relayInUse is an included report of a relay.
type relayInUse struct {
	id         fleet.InstanceID
	receivedAt clock.Instant
}

// recordRelays records which relays' reports have replaced others in the totals.
func (t *Table) recordRelays(now clock.Instant) {
	for _, r := range t.included {
		key := r.dataCentre
		switch r.scope {
		case wire.ScopeRest:
			key = ""
		case wire.ScopeDataCentre:
		case wire.ScopeOwn, wire.ScopeNone:
			continue
		}
		if before := t.relays[key]; before.id != r.id {
			t.recordRelayChange(key, before, r.id, now)
		}
		t.relays[key] = relayInUse{id: r.id, receivedAt: r.receivedAt}
	}
	for key, before := range t.relays {
		if !t.includesRelay(before.id, key) {
			t.recordRelayChange(key, before, "", now)
			delete(t.relays, key)
		}
	}
}

// includesRelay reports whether the totals include a relay's report on a data centre, or
// on the rest of the fleet if that is empty.
func (t *Table) includesRelay(id fleet.InstanceID, on fleet.DataCentreID) bool {
	for _, r := range t.included {
		if r.id == id && (r.scope == wire.ScopeRest && on == "" || r.scope == wire.ScopeDataCentre && on == r.dataCentre) {
			return true
		}
	}
	return false
}

func (t *Table) recordRelayChange(on fleet.DataCentreID, from relayInUse, to fleet.InstanceID, now clock.Instant) {
	if len(t.changes.Relays) == maxChanges {
		t.changes.Dropped++
		return
	}
	change := RelayChange{DataCentre: on, From: from.id, To: to}
	if from.id != "" {
		change.Age = now.Sub(from.receivedAt)
	}
	t.changes.Relays = append(t.changes.Relays, change)
}

// recordBaseline records that a report's counters, unless all are 0, are a new baseline.
func (t *Table) recordBaseline(r *peerReport, cause BaselineCause, since time.Duration) {
	b := Baseline{Peer: r.id, Scope: r.scope, Cause: cause, Since: since, Customers: len(r.counters)}
	for _, u := range r.counters {
		b.Total = b.Total.plus(u)
	}
	switch {
	case b.Total == (Usage{}):
	case len(t.changes.Baselines) == maxChanges:
		t.changes.Dropped++
	default:
		t.changes.Baselines = append(t.changes.Baselines, b)
	}
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() Changes {
	changes := t.changes
	t.changes = Changes{}
	return changes
}
