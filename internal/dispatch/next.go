package dispatch

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// MaxAlternatives bounds the customers and the targets that a Decision lists besides
// the chosen ones.
const MaxAlternatives = 3

// CustomerAlternative is a waiting customer that was not chosen.
type CustomerAlternative struct {
	Customer fleet.CustomerID
	Workload fleet.Workload
	// Key is the policy's sort key; for Fair it is a virtual time.
	Key int64
}

// TargetAlternative is a target with free starts that was not chosen.
type TargetAlternative struct {
	Target fleet.TargetID
	Free   int
	Score  float64
}

// Alternatives holds a few of the customers and targets that were not chosen, for the
// decision log. Only the first NumCustomers and NumTargets elements are set.
type Alternatives struct {
	Customers    [MaxAlternatives]CustomerAlternative
	Targets      [MaxAlternatives]TargetAlternative
	NumCustomers int
	NumTargets   int
}

// Decision is a grant that is ready to be sent.
type Decision struct {
	Customer fleet.CustomerID
	Workload fleet.Workload
	Entry    fleet.InstanceID
	Target   fleet.TargetID
	// At is when the decision was made.
	At time.Time
	// Alone is set if the request must be the only one on the target.
	Alone bool
	// Estimate is the expected cost in cost units.
	Estimate fleet.Cost
	// VirtualTime is the customer's virtual time when the decision was made. Key is the
	// policy's sort key for the customer.
	VirtualTime int64
	Key         int64
	// Free and Score belong to the chosen target.
	Free         int
	Score        float64
	Alternatives Alternatives
}

// Next returns the grant to send next, or false if no target with a free start serves
// any waiting request. It does not allocate. O(targets + workloads + k log customers),
// where k is the number of customers that were first in a heap only because their key
// was outdated.
func (o *Owner) Next(l Limiter, now time.Time) (Decision, bool) {
	o.refreshTargets(l, now)
	o.checkEpoch()
	var best *member
	target := -1
	for _, c := range o.classList {
		if len(c.heap) == 0 {
			continue
		}
		t := o.bestTarget(c)
		if t < 0 {
			continue
		}
		if m := o.top(c); best == nil || m.before(best) {
			best, target = m, t
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return o.decision(best, target, now), true
}

// decision returns the grant of the target with the given index to the member's longest
// waiting request.
func (o *Owner) decision(m *member, target int, now time.Time) Decision {
	dm, t := m.longestWaiting(), &o.targets[target]
	d := Decision{
		Customer:    m.customer.id,
		Workload:    m.class.workload,
		Entry:       dm.entry,
		Target:      t.ID,
		At:          now,
		Estimate:    dm.estimate,
		VirtualTime: o.accounts.VirtualTime(m.customer.id),
		Key:         m.key,
		Free:        t.free,
		Score:       t.score,
	}
	o.addCustomers(&d.Alternatives, m)
	o.addTargets(&d.Alternatives, m.class, target)
	return d
}

// addCustomers lists the next customers in the heap of the chosen class, then the first
// customer of each other class.
func (o *Owner) addCustomers(a *Alternatives, chosen *member) {
	h := chosen.class.heap
	for i := 1; i < min(3, len(h)); i++ {
		a.addCustomer(h[i])
	}
	for _, c := range o.classList {
		if c != chosen.class && len(c.heap) > 0 {
			a.addCustomer(c.heap[0])
		}
	}
}

func (a *Alternatives) addCustomer(m *member) {
	if a.NumCustomers == MaxAlternatives {
		return
	}
	a.Customers[a.NumCustomers] = CustomerAlternative{Customer: m.customer.id, Workload: m.class.workload, Key: m.key}
	a.NumCustomers++
}

// addTargets lists the other targets of the class that have free starts.
func (o *Owner) addTargets(a *Alternatives, c *class, chosen int) {
	for _, i := range c.targets {
		t := &o.targets[i]
		if i == chosen || t.free <= 0 || a.NumTargets == MaxAlternatives {
			continue
		}
		a.Targets[a.NumTargets] = TargetAlternative{Target: t.ID, Free: t.free, Score: t.score}
		a.NumTargets++
	}
}

// refreshTargets updates the free starts and scores of all targets. The reserved target
// counts as full.
func (o *Owner) refreshTargets(l Limiter, now time.Time) {
	for i := range o.targets {
		t := &o.targets[i]
		t.free = l.Available(t.ID, now)
		if t.reserved {
			t.free = 0
		}
		if t.free > 0 {
			t.score = o.score(TargetView{Free: t.free, Limit: t.Limit, Load: t.Load, Ready: t.Ready})
		}
	}
}

// bestTarget returns the index of the target with the greatest score among those of the
// class that have free starts, or -1.
func (o *Owner) bestTarget(c *class) int {
	best := -1
	for _, i := range c.targets {
		t := &o.targets[i]
		if t.free > 0 && (best < 0 || t.score > o.targets[best].score) {
			best = i
		}
	}
	return best
}

// top returns the member of the class with the least current key, or nil. Keys in the
// heap may be too low, so it recomputes the first member's key until that no longer
// changes.
func (o *Owner) top(c *class) *member {
	for len(c.heap) > 0 {
		m := c.heap[0]
		key := o.key(m)
		if key == m.key {
			return m
		}
		m.key = key
		c.siftDown(0)
	}
	return nil
}

// checkEpoch recomputes all keys and rebuilds the heaps if virtual times may have
// fallen since it last did so.
func (o *Owner) checkEpoch() {
	epoch := o.accounts.Epoch()
	if epoch == o.epoch {
		return
	}
	o.epoch = epoch
	for _, c := range o.classList {
		for _, m := range c.heap {
			m.key = o.key(m)
		}
		c.heapify()
	}
}

// Spare returns, for each workload that an owned target serves, how many requests could
// start beyond those already waiting here, and the greatest virtual time among the
// customers waiting at local entries. O(targets + workloads), and O(members) once in
// each maxVirtualTimeInterval.
func (o *Owner) Spare(l Limiter, now time.Time) []wire.Spare {
	o.refreshTargets(l, now)
	spares := make([]wire.Spare, 0, len(o.classList))
	for _, c := range o.classList {
		free := 0
		for _, i := range c.targets {
			free += max(0, o.targets[i].free)
		}
		if len(c.targets) > 0 {
			o.refreshMaxVirtualTime(c, now)
			spares = append(spares, wire.Spare{Workload: c.workload, Count: max(0, free-c.ungranted), MaxVirtualTime: c.maxVirtualTime})
		}
	}
	return spares
}

// maxVirtualTimeInterval is how long a class's greatest virtual time is cached.
const maxVirtualTimeInterval = 50 * time.Millisecond

// refreshMaxVirtualTime recomputes the greatest virtual time among a class's members
// that wait at local entries, unless the cached value is recent enough.
func (o *Owner) refreshMaxVirtualTime(c *class, now time.Time) {
	if now.Sub(c.maxVirtualTimeAt) < maxVirtualTimeInterval {
		return
	}
	c.maxVirtualTimeAt = now
	c.maxVirtualTime = 0
	for _, m := range c.heap {
		if o.waitsLocally(m) {
			c.maxVirtualTime = max(c.maxVirtualTime, o.accounts.VirtualTime(m.customer.id))
		}
	}
}

// waitsLocally reports whether a member has ungranted requests at a local entry.
func (o *Owner) waitsLocally(m *member) bool {
	for _, d := range m.demands {
		if d.available() > 0 && (o.isLocal == nil || o.isLocal(d.entry)) {
			return true
		}
	}
	return false
}
