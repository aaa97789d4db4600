package dispatch

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// MaxAlternatives bounds the customers and targets that a Decision lists besides
// the chosen ones.
const MaxAlternatives = 3

// CustomerAlternative is a customer that was not chosen.
type CustomerAlternative struct {
	Customer fleet.CustomerID
	Workload fleet.Workload
	// Key is the policy's figure; Fair's is virtual time.
	Key int64
}

// TargetAlternative is a target that was not chosen.
type TargetAlternative struct {
	Target fleet.TargetID
	Free   int
	Score  float64
}

// Alternatives are a few of those that were not chosen, for the decision log.
// Only the first NumCustomers and NumTargets elements are set.
type Alternatives struct {
	Customers    [MaxAlternatives]CustomerAlternative
	Targets      [MaxAlternatives]TargetAlternative
	NumCustomers int
	NumTargets   int
}

// Decision is a grant to be sent.
type Decision struct {
	Customer fleet.CustomerID
	Workload fleet.Workload
	Entry    fleet.InstanceID
	Target   fleet.TargetID
	// At is when the decision was made.
	At time.Time
	// Alone says that the request must be the only one on the target.
	Alone bool
	// Estimate is the expected cost in cost units.
	Estimate fleet.Cost
	// VirtualTime is the customer's at the decision; Key is the policy's figure.
	VirtualTime int64
	Key         int64
	// Free and Score are the chosen target's.
	Free         int
	Score        float64
	Alternatives Alternatives
}

// Next returns the grant to send next, or false if no available target serves any
// waiting work. It allocates nothing. O(targets + workloads + k log customers),
// where k is the number of customers whose accounts grew and who would have come
// first.
func (o *Owner) Next(l Limiter, now time.Time) (Decision, bool) {
	o.refreshTargets(l, now)
	o.checkEpoch()
	var best *member
	target := -1
	for _, c := range o.ordered {
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

// addCustomers lists those next in the chosen class, then the first of others.
func (o *Owner) addCustomers(a *Alternatives, chosen *member) {
	h := chosen.class.heap
	for i := 1; i < min(3, len(h)); i++ {
		a.addCustomer(h[i])
	}
	for _, c := range o.ordered {
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

// bestTarget returns the index of the class's available target with the greatest
// score, or -1.
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

// top returns the member of the class with the least true key, or nil.
func (o *Owner) top(c *class) *member {
	for len(c.heap) > 0 {
		m := c.heap[0]
		key := o.key(m)
		if key == m.key {
			return m
		}
		m.key = key
		c.down(0)
	}
	return nil
}

// checkEpoch rebuilds the heaps after virtual times may have fallen.
func (o *Owner) checkEpoch() {
	epoch := o.accounts.Epoch()
	if epoch == o.epoch {
		return
	}
	o.epoch = epoch
	for _, c := range o.ordered {
		for _, m := range c.heap {
			m.key = o.key(m)
		}
		c.init()
	}
}

// Spare returns, for each workload, how many further requests could start beyond
// those that wait here already, and how far the customers that wait have come.
// O(targets + workloads), and O(members) once in each aheadInterval.
func (o *Owner) Spare(l Limiter, now time.Time) []wire.Spare {
	o.refreshTargets(l, now)
	spares := make([]wire.Spare, 0, len(o.ordered))
	for _, c := range o.ordered {
		free := 0
		for _, i := range c.targets {
			free += max(0, o.targets[i].free)
		}
		if len(c.targets) > 0 {
			o.refreshAhead(c, now)
			spares = append(spares, wire.Spare{Workload: c.workload, Count: max(0, free-c.ungranted), Ahead: c.ahead})
		}
	}
	return spares
}

// aheadInterval is how long the greatest virtual time of a class is kept.
const aheadInterval = 50 * time.Millisecond

// refreshAhead finds the greatest virtual time among a class's members that wait at
// near entries.
func (o *Owner) refreshAhead(c *class, now time.Time) {
	if now.Sub(c.aheadAt) < aheadInterval {
		return
	}
	c.aheadAt = now
	c.ahead = 0
	for _, m := range c.heap {
		if o.waitsNear(m) {
			c.ahead = max(c.ahead, o.accounts.VirtualTime(m.customer.id))
		}
	}
}

// waitsNear reports whether a member has ungranted requests at a near entry.
func (o *Owner) waitsNear(m *member) bool {
	for _, d := range m.demands {
		if d.available() > 0 && (o.near == nil || o.near(d.entry)) {
			return true
		}
	}
	return false
}
