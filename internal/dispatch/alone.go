package dispatch

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Occupancy reports how many requests run, or hold permits, on a target.
type Occupancy interface {
	Running(t fleet.TargetID, now time.Time) int
}

// aloneState is the demand for requests that must run alone, and the one target at a
// time that an owner reserves for them.
type aloneState struct {
	demands  map[fleet.InstanceID][]aloneDemand
	reserved fleet.TargetID
	// granted is set once a permit for the reserved target has been granted. started is
	// set once the target has been seen occupied after the grant. startDeadline is when
	// the reservation ends if the request has not started.
	granted, started bool
	startDeadline    time.Time
}

// aloneDemand is demand for requests that must run alone. since is when the oldest of
// them was queued.
type aloneDemand struct {
	wire.Demand
	since time.Time
}

// AloneStartTimeout bounds the time from the grant for a request that must run alone to
// its start on the target.
const AloneStartTimeout = 5 * time.Second

// SetAloneDemand replaces an entry's demand for requests that must run alone.
func (o *Owner) SetAloneDemand(entry fleet.InstanceID, ds []wire.Demand, now time.Time) {
	if o.alone.demands == nil {
		o.alone.demands = map[fleet.InstanceID][]aloneDemand{}
	}
	if len(ds) == 0 {
		delete(o.alone.demands, entry)
		return
	}
	waiting := make([]aloneDemand, 0, len(ds))
	for _, d := range ds {
		since := now.Add(-time.Duration(d.WaitMillis) * time.Millisecond)
		waiting = append(waiting, aloneDemand{Demand: d, since: since})
	}
	o.alone.demands[entry] = waiting
}

// NextAlone returns a grant for a request that must run alone, once a target that
// serves it is idle. It reserves one target at a time, the one with the fewest running
// requests. Next skips the reserved target until the request has ended. O(targets +
// demands).
func (o *Owner) NextAlone(l Limiter, r Occupancy, now time.Time) (Decision, bool) {
	o.releaseReserved(r, now)
	if o.alone.granted {
		return Decision{}, false
	}
	entry, d, ok := o.oldestAlone()
	if !ok {
		o.reserve("")
		return Decision{}, false
	}
	t := o.reservedTarget(d.Workload)
	if t == nil {
		t = o.leastRunning(d.Workload, r, now)
	}
	if t == nil {
		return Decision{}, false
	}
	o.reserve(t.ID)
	if r.Running(t.ID, now) > 0 || l.Available(t.ID, now) <= 0 {
		return Decision{}, false
	}
	o.alone.granted = true
	o.alone.started = false
	o.alone.startDeadline = now.Add(AloneStartTimeout)
	return Decision{
		Customer:    d.Customer,
		Workload:    d.Workload,
		Entry:       entry,
		Target:      t.ID,
		At:          now,
		Alone:       true,
		Estimate:    d.Estimate,
		VirtualTime: o.accounts.VirtualTime(d.Customer),
	}, true
}

// releaseReserved ends the reservation once the granted request has run on the target
// and ended, or if it has not started by startDeadline.
func (o *Owner) releaseReserved(r Occupancy, now time.Time) {
	a := &o.alone
	if !a.granted {
		return
	}
	if r.Running(a.reserved, now) > 0 {
		a.started = true
		return
	}
	if a.started || !now.Before(a.startDeadline) {
		a.granted = false
		o.reserve("")
	}
}

// reserve makes t the only reserved target. An empty ID reserves none.
func (o *Owner) reserve(t fleet.TargetID) {
	o.alone.reserved = t
	for i := range o.targets {
		o.targets[i].reserved = t != "" && o.targets[i].ID == t
	}
}

// oldestAlone returns the longest waiting demand that an owned target serves, with its
// entry, or false. Ties go to the entry with the lower ID.
func (o *Owner) oldestAlone() (fleet.InstanceID, aloneDemand, bool) {
	var entry fleet.InstanceID
	var oldest aloneDemand
	found := false
	for e, ds := range o.alone.demands {
		for _, d := range ds {
			if len(o.classTargets(d.Workload)) == 0 {
				continue
			}
			if !found || d.since.Before(oldest.since) || (d.since.Equal(oldest.since) && e < entry) {
				entry, oldest, found = e, d, true
			}
		}
	}
	return entry, oldest, found
}

// classTargets returns the indexes of the owned targets that serve w.
func (o *Owner) classTargets(w fleet.Workload) []int {
	if c, ok := o.classes[w]; ok {
		return c.targets
	}
	return nil
}

// reservedTarget returns the reserved target if it serves w, or nil.
func (o *Owner) reservedTarget(w fleet.Workload) *ownedTarget {
	for _, i := range o.classTargets(w) {
		if t := &o.targets[i]; t.ID == o.alone.reserved {
			return t
		}
	}
	return nil
}

// leastRunning returns the target with the fewest running requests among those that
// serve w, or nil.
func (o *Owner) leastRunning(w fleet.Workload, r Occupancy, now time.Time) *ownedTarget {
	var best *ownedTarget
	least := 0
	for _, i := range o.classTargets(w) {
		t := &o.targets[i]
		if n := r.Running(t.ID, now); best == nil || n < least {
			best, least = t, n
		}
	}
	return best
}
