package peer

import (
	"sync/atomic"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Traffic counts what connections carried. Bytes are those of the connection,
// TLS included, TCP and IP headers not.
type Traffic struct {
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_received"`
	MessagesSent     int64 `json:"messages_sent"`
	MessagesReceived int64 `json:"messages_received"`
}

func (t *Traffic) add(u Traffic) {
	t.BytesSent += u.BytesSent
	t.BytesReceived += u.BytesReceived
	t.MessagesSent += u.MessagesSent
	t.MessagesReceived += u.MessagesReceived
}

// Scope says how far apart two instances are.
type Scope string

// The scopes of traffic.
const (
	ScopeDataCentre  Scope = "data_centre"
	ScopeRegion      Scope = "region"
	ScopeCrossRegion Scope = "cross_region"
	// ScopeUnknown is that of connections that ended before the peer's hello and of
	// peers forgotten since.
	ScopeUnknown Scope = "unknown"
)

// Counters is a snapshot of a Transport's traffic since it was made.
type Counters struct {
	Peers  map[fleet.InstanceID]Traffic `json:"peers"`
	Scopes map[Scope]Traffic            `json:"scopes"`
}

// messageCounts are a connection's counts of messages.
type messageCounts struct {
	sent     atomic.Int64
	received atomic.Int64
}

// traffic returns what the connection carried so far.
func (l *link) traffic() Traffic {
	return Traffic{
		BytesSent:        l.meter.sent.Load(),
		BytesReceived:    l.meter.received.Load(),
		MessagesSent:     l.messages.sent.Load(),
		MessagesReceived: l.messages.received.Load(),
	}
}

// Counters returns the traffic of each peer and scope. It takes time linear in the
// number of peers.
func (t *Transport) Counters() Counters {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := Counters{
		Peers:  make(map[fleet.InstanceID]Traffic, len(t.remotes)),
		Scopes: map[Scope]Traffic{ScopeUnknown: t.strangers},
	}
	for id, r := range t.remotes {
		c.Peers[id] = r.ended
	}
	for l := range t.open {
		c.addOpen(l)
	}
	for id, traffic := range c.Peers {
		scope := t.scopeOf(t.remotes[id].hello)
		total := c.Scopes[scope]
		total.add(traffic)
		c.Scopes[scope] = total
	}
	return c
}

// addOpen adds an open connection. Transport.mu is held.
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

// scopeOf compares a peer's data centre with this instance's.
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

// countStranger adds a connection that failed before its hello.
func (t *Transport) countStranger(m *meteredConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.strangers.add(Traffic{BytesSent: m.sent.Load(), BytesReceived: m.received.Load()})
}
