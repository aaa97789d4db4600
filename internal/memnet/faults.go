package memnet

import "time"

// PartitionMode determines how a partition affects existing connections and dials.
type PartitionMode int

const (
	// PartitionDrop holds bytes back until the partition heals. Dials wait until then,
	// for their context or for handshakeTimeout.
	PartitionDrop PartitionMode = iota
	// PartitionReject resets existing connections and makes dials fail at once.
	PartitionReject
)

// SetDelayFunc sets the function that gives the one-way delay of each ordered pair of
// hosts. It applies to existing and to later links.
func (n *Network) SetDelayFunc(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
	for key, l := range n.links {
		l.delay.Store(int64(delay(key.from, key.to)))
	}
}

// Delay sets the one-way delay between two groups of hosts, in both directions.
// Bytes already sent keep their arrival time.
func (n *Network) Delay(a, b []string, delay time.Duration) {
	n.eachBothWays(a, b, func(l *link) { l.delay.Store(int64(delay)) })
}

// Partition separates two groups of hosts, in both directions.
func (n *Network) Partition(a, b []string, mode PartitionMode) {
	n.eachBothWays(a, b, func(l *link) { l.partition(mode) })
}

// PartitionOneWay holds back the bytes from one group to another, as PartitionDrop.
// Bytes in the other direction pass; new connections cannot be made.
func (n *Network) PartitionOneWay(from, to []string) {
	n.each(from, to, func(l *link) { l.partition(PartitionDrop) })
}

// Heal ends partitions between two groups and delivers the bytes held back.
func (n *Network) Heal(a, b []string) {
	n.eachBothWays(a, b, (*link).heal)
}

// Blackhole stops delivery on every existing connection between two groups for good,
// without an error at either end. New connections work.
func (n *Network) Blackhole(a, b []string) {
	n.eachBothWays(a, b, func(l *link) {
		for _, p := range l.openPipes() {
			p.blackhole()
		}
	})
}

// Reset resets every existing connection between two groups.
func (n *Network) Reset(a, b []string) {
	n.eachBothWays(a, b, (*link).reset)
}

// ResetAfter lets the given number of further bytes from one host to the other
// pass, then resets the connection that carries the next byte, at both ends. It
// applies once. A negative number clears it.
func (n *Network) ResetAfter(from, to string, bytes int64) {
	n.link(from, to).setResetAfter(bytes)
}

// BytesSent returns the number of bytes sent from one host to another.
func (n *Network) BytesSent(from, to string) int64 { return n.link(from, to).bytesSent.Load() }

// DialCount returns the number of connections that one host opened to another.
func (n *Network) DialCount(from, to string) int64 { return n.link(from, to).dials.Load() }

// TotalBytes returns the number of bytes sent, over all ordered pairs that match.
func (n *Network) TotalBytes(match func(from, to string) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int64
	for key, l := range n.links {
		if match(key.from, key.to) {
			sum += l.bytesSent.Load()
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

// eachBothWays applies f to the links between two groups, in both directions.
func (n *Network) eachBothWays(a, b []string, f func(*link)) {
	n.each(a, b, f)
	n.each(b, a, f)
}

// partition blocks the link and, with PartitionReject, resets its connections.
func (l *link) partition(mode PartitionMode) {
	l.blocked.Store(true)
	if mode == PartitionReject {
		l.rejecting.Store(true)
		l.reset()
	}
}

// heal unblocks the link and wakes the readers of the bytes held back.
func (l *link) heal() {
	l.blocked.Store(false)
	l.rejecting.Store(false)
	for _, p := range l.openPipes() {
		p.wake()
	}
}

// reset resets the link's connections at both ends.
func (l *link) reset() {
	for _, p := range l.openPipes() {
		p.reset()
		p.reverse.reset()
	}
}
