package peer

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// ensurePeer returns the entry of a peer in the table and adds one if there is none.
// Transport.mu must be held.
func (t *Transport) ensurePeer(id fleet.InstanceID) *peerState {
	p := t.peers[id]
	if p == nil {
		t.evictIdlePeers()
		p = &peerState{changed: make(chan struct{})}
		t.peers[id] = p
	}
	return p
}

// evictIdlePeers removes the entries without a connection or dialer if the table of
// peers is full. Their traffic is counted under ScopeUnknown from then on.
// Transport.mu must be held.
func (t *Transport) evictIdlePeers() {
	if len(t.peers) < maxPeers {
		return
	}
	for id, p := range t.peers {
		if len(p.links) == 0 && t.dialers[id] == nil {
			t.unidentified.add(p.closedTraffic)
			delete(t.peers, id)
		}
	}
}

// register adds a connection whose hello was checked to its peer, closes those it
// replaces and notifies the Handler.
func (t *Transport) register(l *link, hello wire.Hello) error {
	t.mu.Lock()
	p := t.ensurePeer(hello.Instance)
	t.mu.Unlock()

	p.delivery.Lock()
	defer p.delivery.Unlock()
	change, err := t.addToPeer(p, l, hello)
	if err != nil {
		return err
	}
	for _, old := range change.replaced {
		old.dropped = true
		old.abort(newError(KindSuperseded, nil))
	}
	for _, old := range change.duplicates {
		time.AfterFunc(t.options.SilenceTimeout/2, func() { old.abort(newError(KindSuperseded, nil)) })
	}
	if change.gone.Incarnation != 0 {
		t.options.Handler.PeerGone(change.gone, &Error{Kind: KindSuperseded, Peer: hello.Instance})
	}
	if change.connected {
		t.options.Handler.PeerConnected(hello)
	}
	t.logConnected(l)
	return nil
}

// registration is the effect of a new connection on the peer's earlier ones.
type registration struct {
	// replaced are the connections of the previous incarnation. They are closed at
	// once.
	replaced []*link
	// duplicates are the other connections of the same incarnation. They are closed
	// after a delay in which the peer can register the new connection, so that the
	// peer always has one.
	duplicates []*link
	// gone is the hello of the previous incarnation, empty if it was not connected.
	gone      wire.Hello
	connected bool
}

// addToPeer adds a new connection to the entry of its peer. It returns an error of
// KindClosed if the connection has ended, and of KindSuperseded if its incarnation was
// replaced before.
func (t *Transport) addToPeer(p *peerState, l *link, hello wire.Hello) (registration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[l]; !open || t.closed {
		return registration{}, newError(KindClosed, nil)
	}
	if slices.Contains(p.formerIncarnations, hello.Incarnation) {
		return registration{}, errorf(KindSuperseded, "incarnation %v was replaced", hello.Incarnation)
	}
	c := registration{connected: len(p.links) == 0}
	switch {
	case p.hello.Incarnation != hello.Incarnation:
		c = p.replaceIncarnation()
	case t.options.Self.Instance < hello.Instance:
		c.duplicates = p.links
	}
	l.hello, l.peer, p.hello = hello, p, hello
	t.peers[hello.Instance] = p
	p.links = append(slices.Clip(p.links), l)
	p.notifyChanged()
	return c, nil
}

// replaceIncarnation removes the connections of the current incarnation and records it
// as a former one. Transport.mu must be held.
func (p *peerState) replaceIncarnation() registration {
	c := registration{connected: true, replaced: p.links}
	if len(p.links) > 0 {
		c.gone = p.hello
	}
	p.links = nil
	if p.hello.Incarnation != 0 {
		p.formerIncarnations = append(p.formerIncarnations, p.hello.Incarnation)
	}
	if len(p.formerIncarnations) > maxFormerIncarnations {
		p.formerIncarnations = slices.Delete(p.formerIncarnations, 0, 1)
	}
	return c
}

// notifyChanged wakes the goroutines that wait for a change of links. Transport.mu
// must be held.
func (p *peerState) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// unregister removes an ended connection. It calls Handler.PeerGone if it was the last
// one to its incarnation.
func (t *Transport) unregister(l *link) {
	p := t.removeLink(l)
	t.logClosed(l)
	if p == nil {
		return
	}
	p.delivery.Lock()
	defer p.delivery.Unlock()
	if t.removeFromPeer(p, l) && !l.dropped {
		t.options.Handler.PeerGone(l.hello, withPeer(l.closeCause(), l.hello.Instance))
	}
	l.dropped = true
}

// removeLink removes an ended connection from the open ones, so that it can no longer
// be registered. It returns the entry of its peer, nil if it was never registered.
func (t *Transport) removeLink(l *link) *peerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, l)
	if l.peer == nil {
		t.unidentified.add(l.traffic())
		return nil
	}
	l.peer.closedTraffic.add(l.traffic())
	return l.peer
}

// removeFromPeer removes a connection from its peer and reports whether it was the
// last one. It returns false if the connection was already removed.
func (t *Transport) removeFromPeer(p *peerState, l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(p.links, l)
	if i < 0 {
		return false
	}
	p.links = slices.Delete(slices.Clone(p.links), i, i+1)
	p.notifyChanged()
	return len(p.links) == 0
}
