package inventory

import (
	"math/rand/v2"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Bounds on what a report to a peer says of targets that leave.
const (
	// reportLeavingFor is how long a report has each target of which this instance has just learnt
	// that it leaves, up to maxReportedNew of them. Of the others it has maxReportedOld.
	reportLeavingFor = 2 * time.Second
	maxReportedNew   = 64
	maxReportedOld   = 8
)

// leavings holds which runs of targets said themselves that they leave.
type leavings struct {
	runs map[fleet.TargetID]leavingRun
	// order holds the targets in the order in which this instance learnt of them.
	order []fleet.TargetID
}

// leavingRun is a run of a target that said that it leaves.
type leavingRun struct {
	startMillis int64
	// saidAt is when the answer arrived that said so, learntAt when this instance learnt of it, and
	// listedAt when the target was last known to be listed.
	saidAt, learntAt, listedAt clock.Instant
}

// MarkLeaving records that a run of a target says that it leaves, which is final for that run. It
// reports whether that was not known.
func (v *Inventory) MarkLeaving(id fleet.TargetID, startMillis int64, now clock.Instant) bool {
	return v.addLeaving(id, startMillis, now, now)
}

// MergeLeaving adds what a peer reports. It reports whether anything was not known.
func (v *Inventory) MergeLeaving(reported []wire.LeavingTarget, now clock.Instant) bool {
	changed := false
	for _, w := range reported[:min(len(reported), maxReportedNew+maxReportedOld)] {
		// Of a target that is not listed only as much is taken as is kept, so that instances do
		// not remind each other of it for ever.
		_, listed := v.targets[w.Target]
		if w.AgeMillis < 0 || !listed && w.AgeMillis >= departureKept.Milliseconds() {
			continue
		}
		age := time.Duration(min(w.AgeMillis, departureKept.Milliseconds())) * time.Millisecond
		changed = v.addLeaving(w.Target, w.StartMillis, now.Add(-age), now) || changed
	}
	return changed
}

// addLeaving records a run that said at saidAt that it leaves, unless a later run is known.
func (v *Inventory) addLeaving(id fleet.TargetID, startMillis int64, saidAt, now clock.Instant) bool {
	e, listed := v.targets[id]
	isListedRun := listed && e.StartMillis == startMillis
	known, ok := v.leavings.runs[id]
	switch {
	case ok && known.startMillis == startMillis:
		return false
	case !isListedRun && (ok && known.startMillis > startMillis || listed && e.StartMillis > startMillis):
		return false
	case isListedRun:
		e.leaving = true
	}
	if ok {
		v.leavings.order = slices.DeleteFunc(v.leavings.order, func(other fleet.TargetID) bool { return other == id })
	}
	v.leavings.runs[id] = leavingRun{startMillis: startMillis, saidAt: saidAt, learntAt: now}
	v.leavings.order = append(v.leavings.order, id)
	return true
}

// saidLeaving reports whether a run of a target said that it leaves.
func (v *Inventory) saidLeaving(id fleet.TargetID, startMillis int64) bool {
	run, ok := v.leavings.runs[id]
	return ok && run.startMillis == startMillis
}

// ReportLeaving returns what a peer is to know of targets that said that they leave. Of more than
// a report takes, random decides.
func (v *Inventory) ReportLeaving(now clock.Instant, random *rand.Rand) []wire.LeavingTarget {
	order := v.leavings.order
	first := len(order)
	for first > 0 && now.Sub(v.leavings.runs[order[first-1]].learntAt) < reportLeavingFor {
		first--
	}
	var list []wire.LeavingTarget
	for _, id := range append(someOf(order[first:], maxReportedNew, random), someOf(order[:first], maxReportedOld, random)...) {
		run := v.leavings.runs[id]
		list = append(list, wire.LeavingTarget{Target: id, StartMillis: run.startMillis, AgeMillis: now.Sub(run.saidAt).Milliseconds()})
	}
	return list
}

// someOf returns at most n successive elements of a list that is taken as a ring.
func someOf(list []fleet.TargetID, n int, random *rand.Rand) []fleet.TargetID {
	if len(list) <= n {
		return slices.Clone(list)
	}
	start := random.IntN(len(list))
	some := slices.Clone(list[start:min(start+n, len(list))])
	return append(some, list[:n-len(some)]...)
}

// forgetLeavings drops the runs of targets that have not been listed for departureKept, and those
// that a later run has replaced.
func (v *Inventory) forgetLeavings(now clock.Instant) {
	v.leavings.order = slices.DeleteFunc(v.leavings.order, func(id fleet.TargetID) bool {
		run := v.leavings.runs[id]
		e, listed := v.targets[id]
		if listed {
			run.listedAt = now
			v.leavings.runs[id] = run
		}
		if listed && e.StartMillis > run.startMillis || now.Sub(max(run.saidAt, run.listedAt)) >= departureKept {
			delete(v.leavings.runs, id)
			return true
		}
		return false
	})
}
