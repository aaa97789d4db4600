package dispatch

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// customer is an owner's state for one customer with demand.
type customer struct {
	id fleet.CustomerID
	// pending and lastGrant are the values of Contender.Pending and Contender.LastGrant.
	pending   fleet.Cost
	lastGrant int64
	members   []*member
}

// class holds the owned targets that serve one workload and a heap of the customers
// with ungranted demand for it. A member's stored key may be outdated, but it is never
// too high, because keys only rise between calls of fix. top recomputes the first key of
// the heap until it is current.
type class struct {
	workload fleet.Workload
	// targets are indexes into Owner.targets.
	targets []int
	heap    []*member
	// ungranted is the sum of available over the heap's members.
	ungranted int
	// lastServed is the customer that received the last grant.
	lastServed fleet.CustomerID
	// maxVirtualTime is the greatest virtual time among the heap's members that wait at
	// local entries, as of maxVirtualTimeAt. It is 0 if none waits there.
	maxVirtualTime   int64
	maxVirtualTimeAt time.Time
}

// member is one customer's demand for the workload of one class.
type member struct {
	customer *customer
	class    *class
	demands  []*demand
	// available is the number of waiting requests that are not yet granted, over all
	// entries.
	available int
	// key is the policy's sort key when it was last computed.
	key int64
	// tieBreak is a random number that orders members with equal keys.
	tieBreak uint32
	// heapIndex is the position in the heap, or -1 if the member is not in it.
	heapIndex int
}

// demand is one entry's part of a member's demand.
type demand struct {
	entry    fleet.InstanceID
	member   *member
	waiting  int
	inFlight int
	estimate fleet.Cost
	// since is when the oldest waiting request was queued.
	since time.Time
	// generation identifies the entry's last SetDemand call that included this demand.
	generation uint64
}

// available returns the number of waiting requests that are not yet granted.
func (d *demand) available() int { return max(0, d.waiting-d.inFlight) }

// longestWaiting returns the demand whose ungranted request has waited longest, or nil.
// O(entries of the member).
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

// before reports whether m is served before n.
func (m *member) before(n *member) bool {
	if m.key != n.key {
		return m.key < n.key
	}
	return m.tieBreak < n.tieBreak
}

func (c *class) swap(i, j int) {
	h := c.heap
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (c *class) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !c.heap[i].before(c.heap[parent]) {
			return
		}
		c.swap(i, parent)
		i = parent
	}
}

func (c *class) siftDown(i int) {
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
	m.heapIndex = len(c.heap)
	c.heap = append(c.heap, m)
	c.siftUp(m.heapIndex)
}

func (c *class) remove(m *member) {
	i, last := m.heapIndex, len(c.heap)-1
	c.swap(i, last)
	c.heap[last] = nil
	c.heap = c.heap[:last]
	m.heapIndex = -1
	if i < last {
		c.siftUp(i)
		c.siftDown(i)
	}
}

// fix restores the heap order after m's key rose or fell.
func (c *class) fix(m *member) {
	c.siftUp(m.heapIndex)
	c.siftDown(m.heapIndex)
}

// heapify restores the heap order after any number of keys changed.
func (c *class) heapify() {
	for i := len(c.heap)/2 - 1; i >= 0; i-- {
		c.siftDown(i)
	}
}
