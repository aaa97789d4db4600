package dispatch

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// customer is what an owner keeps for one customer with demand.
type customer struct {
	id       fleet.CustomerID
	pending  fleet.Cost
	lastTurn int64
	members  []*member
}

// class is the competition for one workload: the owned targets that serve it and
// a heap of the customers with ungranted demand for it. Keys in the heap may be
// lower than the true ones, which only rise unless fix is called; top corrects
// those that matter.
type class struct {
	workload fleet.Workload
	targets  []int
	heap     []*member
	// ungranted is the sum of available over the heap.
	ungranted int
	// last is the customer served last.
	last fleet.CustomerID
	// ahead is the greatest virtual time over the heap's members that wait at near
	// entries, as of aheadAt; 0 without any.
	ahead   int64
	aheadAt time.Time
}

// member is one customer's part in a class.
type member struct {
	customer *customer
	class    *class
	demands  []*demand
	// available counts waiting requests not yet granted, over all entries.
	available int
	key       int64
	tie       uint32
	// pos is the place in the heap, -1 outside.
	pos int
}

// demand is the waiting work of one entry for one member.
type demand struct {
	entry    fleet.InstanceID
	member   *member
	waiting  int
	inFlight int
	estimate fleet.Cost
	since    time.Time
	// round is the entry's SetDemand call that last named this demand.
	round uint64
}

func (d *demand) available() int { return max(0, d.waiting-d.inFlight) }

// longestWaiting returns the demand with an ungranted request that has waited
// longest. O(entries of the member).
func (m *member) longestWaiting() *demand {
	var oldest *demand
	for _, d := range m.demands {
		if d.available() == 0 {
			continue
		}
		if oldest == nil || d.since.Before(oldest.since) {
			oldest = d
		}
	}
	return oldest
}

func (m *member) before(n *member) bool {
	if m.key != n.key {
		return m.key < n.key
	}
	return m.tie < n.tie
}

func (c *class) swap(i, j int) {
	h := c.heap
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (c *class) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !c.heap[i].before(c.heap[parent]) {
			return
		}
		c.swap(i, parent)
		i = parent
	}
}

func (c *class) down(i int) {
	for {
		least := 2*i + 1
		if least >= len(c.heap) {
			return
		}
		if right := least + 1; right < len(c.heap) && c.heap[right].before(c.heap[least]) {
			least = right
		}
		if !c.heap[least].before(c.heap[i]) {
			return
		}
		c.swap(i, least)
		i = least
	}
}

func (c *class) push(m *member) {
	m.pos = len(c.heap)
	c.heap = append(c.heap, m)
	c.up(m.pos)
}

func (c *class) remove(m *member) {
	i, last := m.pos, len(c.heap)-1
	c.swap(i, last)
	c.heap[last] = nil
	c.heap = c.heap[:last]
	m.pos = -1
	if i < last {
		c.up(i)
		c.down(i)
	}
}

// fix restores the order after m's key changed in either direction.
func (c *class) fix(m *member) {
	c.up(m.pos)
	c.down(m.pos)
}

func (c *class) init() {
	for i := len(c.heap)/2 - 1; i >= 0; i-- {
		c.down(i)
	}
}
