package memnet

import "time"

// PartitionMode says what existing connections see of a cut.
type PartitionMode int

const (
	// PartitionDrop holds bytes back until the cut heals; dials wait for their context.
	PartitionDrop PartitionMode = iota
	// PartitionReject resets existing connections; dials are refused at once.
	PartitionReject
)

// SetDelayFunc gives the one-way delay of every ordered pair of hosts, now and later.
func (n *Network) SetDelayFunc(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
	for key, l := range n.links {
		l.delay.Store(int64(delay(key.from, key.to)))
	}
}

// Delay sets the one-way delay between two groups of hosts, in both directions.
// Bytes already sent keep the time at which they are due.
func (n *Network) Delay(a, b []string, delay time.Duration) {
	n.both(a, b, func(l *link) { l.delay.Store(int64(delay)) })
}

// Partition cuts two groups of hosts off from each other, in both directions.
func (n *Network) Partition(a, b []string, mode PartitionMode) {
	n.both(a, b, func(l *link) { l.cut(mode) })
}

// PartitionOneWay holds back the bytes from one group to another; bytes in the other
// direction pass, and no new connection can be made.
func (n *Network) PartitionOneWay(from, to []string) {
	n.each(from, to, func(l *link) { l.cut(PartitionDrop) })
}

// Heal ends cuts between two groups. Bytes held back are delivered.
func (n *Network) Heal(a, b []string) {
	n.both(a, b, (*link).heal)
}

// Blackhole makes every existing connection between two groups carry nothing for
// good, without either end learning of it. New connections work.
func (n *Network) Blackhole(a, b []string) {
	n.both(a, b, func(l *link) {
		for _, p := range l.all() {
			p.silence()
		}
	})
}

// Reset breaks every existing connection between two groups.
func (n *Network) Reset(a, b []string) {
	n.both(a, b, (*link).reset)
}

// ResetAfter lets the given number of further bytes from one host to the other
// pass; the connection that carries the next byte then breaks, at both ends. It
// happens once. A negative number clears it.
func (n *Network) ResetAfter(from, to string, bytes int64) {
	n.link(from, to).armBreak(bytes)
}

// BytesSent returns the bytes sent from one host to another.
func (n *Network) BytesSent(from, to string) int64 { return n.link(from, to).bytes.Load() }

// DialCount returns the connections that one host opened to another.
func (n *Network) DialCount(from, to string) int64 { return n.link(from, to).conns.Load() }

// TotalBytes sums the bytes of the ordered pairs that match.
func (n *Network) TotalBytes(match func(from, to string) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int64
	for key, l := range n.links {
		if match(key.from, key.to) {
			sum += l.bytes.Load()
		}
	}
	return sum
}

// each applies f to the links from one group to another.
func (n *Network) each(from, to []string, f func(*link)) {
	for _, a := range from {
		for _, b := range to {
			f(n.link(a, b))
		}
	}
}

// both applies f to the links between two groups, in both directions.
func (n *Network) both(a, b []string, f func(*link)) {
	n.each(a, b, f)
	n.each(b, a, f)
}

// cut blocks the link.
func (l *link) cut(mode PartitionMode) {
	l.blocked.Store(true)
	if mode == PartitionReject {
		l.refusing.Store(true)
		l.reset()
	}
}

// heal unblocks the link and delivers what it held.
func (l *link) heal() {
	l.blocked.Store(false)
	l.refusing.Store(false)
	for _, p := range l.all() {
		p.wake()
	}
}

// reset breaks the link's connections at both ends.
func (l *link) reset() {
	for _, p := range l.all() {
		p.reset()
		p.reverse.reset()
	}
}
