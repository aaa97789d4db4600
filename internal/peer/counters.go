package peer

import (
	"sync/atomic"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Traffic counts the bytes and messages carried by connections. Bytes include the TLS
// overhead but no TCP and IP headers.
type Traffic struct {
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_received"`
	MessagesSent     int64 `json:"messages_sent"`
	MessagesReceived int64 `json:"messages_received"`
}

// add adds the counts of u to t.
func (t *Traffic) add(u Traffic) {
	t.BytesSent += u.BytesSent
	t.BytesReceived += u.BytesReceived
	t.MessagesSent += u.MessagesSent
	t.MessagesReceived += u.MessagesReceived
}

// Scope is the distance of two instances: in one data centre, in one region or across
// regions.
type Scope string

// The scopes of traffic.
const (
	ScopeDataCentre  Scope = "data_centre"
	ScopeRegion      Scope = "region"
	ScopeCrossRegion Scope = "cross_region"
	// ScopeUnknown covers connections that ended before the peer's hello and peers
	// that were evicted from the table.
	ScopeUnknown Scope = "unknown"
)

// Counters is a snapshot of the traffic of a Transport since its creation.
type Counters struct {
	Peers  map[fleet.InstanceID]Traffic `json:"peers"`
	Scopes map[Scope]Traffic            `json:"scopes"`
}

// messageCounts counts the messages of a connection.
type messageCounts struct {
	sent     atomic.Int64
	received atomic.Int64
}

// traffic returns the counts of the connection so far.
func (l *link) traffic() Traffic {
	return Traffic{
		BytesSent:        l.meter.sent.Load(),
		BytesReceived:    l.meter.received.Load(),
		MessagesSent:     l.messages.sent.Load(),
		MessagesReceived: l.messages.received.Load(),
	}
}

// Counters returns the traffic by peer and by scope. It takes time linear in the
// number of peers and connections.
func (t *Transport) Counters() Counters {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := Counters{
		Peers:  make(map[fleet.InstanceID]Traffic, len(t.peers)),
		Scopes: map[Scope]Traffic{ScopeUnknown: t.unidentified},
	}
	for id, p := range t.peers {
		c.Peers[id] = p.closedTraffic
	}
	for l := range t.open {
		c.addOpen(l)
	}
	for id, traffic := range c.Peers {
		scope := t.scopeOf(t.peers[id].hello)
		total := c.Scopes[scope]
		total.add(traffic)
		c.Scopes[scope] = total
	}
	return c
}

// addOpen adds the traffic of an open connection. Transport.mu must be held.
func (c *Counters) addOpen(l *link) {
	select {
	case <-l.opened:
		total := c.Peers[l.hello.Instance]
		total.add(l.traffic())
		c.Peers[l.hello.Instance] = total
	default:
		total := c.Scopes[ScopeUnknown]
		total.add(l.traffic())
		c.Scopes[ScopeUnknown] = total
	}
}

// scopeOf returns the scope of a peer relative to this instance.
func (t *Transport) scopeOf(hello wire.Hello) Scope {
	self := t.options.Self.DataCentre
	switch {
	case hello.Instance == "":
		return ScopeUnknown
	case hello.DataCentre == self:
		return ScopeDataCentre
	case t.options.Region(hello.DataCentre) == t.options.Region(self):
		return ScopeRegion
	default:
		return ScopeCrossRegion
	}
}

// addUnidentified counts the bytes of a connection that failed before the hello.
func (t *Transport) addUnidentified(m *meteredConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unidentified.add(Traffic{BytesSent: m.sent.Load(), BytesReceived: m.received.Load()})
}
