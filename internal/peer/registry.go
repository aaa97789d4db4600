package peer

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// remoteOf returns the entry of a peer, a new one if there is none. Transport.mu is
// held.
func (t *Transport) remoteOf(id fleet.InstanceID) *remote {
	r := t.remotes[id]
	if r == nil {
		t.forgetIdle()
		r = &remote{changed: make(chan struct{})}
		t.remotes[id] = r
	}
	return r
}

// forgetIdle makes room in a full table of peers.
func (t *Transport) forgetIdle() {
	if len(t.remotes) < maxRemotes {
		return
	}
	for id, r := range t.remotes {
		if len(r.links) == 0 && t.wanted[id] == nil {
			t.strangers.add(r.ended)
			delete(t.remotes, id)
		}
	}
}

// register enters a connection whose hello was checked and tells the Handler.
func (t *Transport) register(l *link, hello wire.Hello) error {
	t.mu.Lock()
	r := t.remoteOf(hello.Instance)
	t.mu.Unlock()

	r.delivery.Lock()
	defer r.delivery.Unlock()
	change, err := t.enter(r, l, hello)
	if err != nil {
		return err
	}
	for _, old := range change.replaced {
		old.dropped = true
		old.cut(failure(KindSuperseded, nil))
	}
	for _, old := range change.doubled {
		time.AfterFunc(t.options.SilenceTimeout/2, func() { old.cut(failure(KindSuperseded, nil)) })
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

// change is what entering a connection does to a peer's earlier ones.
type change struct {
	// replaced are a former incarnation's, which end at once.
	replaced []*link
	// doubled are the same incarnation's. They end when the peer, too, has had time
	// to enter the new one, so that it is not without any in between.
	doubled []*link
	// gone is the former incarnation if it was connected.
	gone      wire.Hello
	connected bool
}

// enter updates the table of peers for a new connection.
func (t *Transport) enter(r *remote, l *link, hello wire.Hello) (change, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[l]; !open || t.closed {
		return change{}, failure(KindClosed, nil)
	}
	if slices.Contains(r.former, hello.Incarnation) {
		return change{}, failuref(KindSuperseded, "incarnation %v was replaced", hello.Incarnation)
	}
	c := change{connected: len(r.links) == 0}
	switch {
	case r.hello.Incarnation != hello.Incarnation:
		c = r.replaceIncarnation()
	case t.options.Self.Instance < hello.Instance:
		c.doubled = r.links
	}
	l.hello, l.peer, r.hello = hello, r, hello
	t.remotes[hello.Instance] = r
	r.links = append(slices.Clip(r.links), l)
	r.signal()
	return c, nil
}

// replaceIncarnation removes the former incarnation's connections.
func (r *remote) replaceIncarnation() change {
	c := change{connected: true, replaced: r.links}
	if len(r.links) > 0 {
		c.gone = r.hello
	}
	r.links = nil
	if r.hello.Incarnation != 0 {
		r.former = append(r.former, r.hello.Incarnation)
	}
	if len(r.former) > maxFormerIncarnations {
		r.former = slices.Delete(r.former, 0, 1)
	}
	return c
}

// signal wakes those that wait for a change of links.
func (r *remote) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// unregister removes an ended connection and tells the Handler if it was the last.
func (t *Transport) unregister(l *link) {
	r := t.closeLink(l)
	t.logEnded(l)
	if r == nil {
		return
	}
	r.delivery.Lock()
	defer r.delivery.Unlock()
	if t.leave(r, l) && !l.dropped {
		t.options.Handler.PeerGone(l.hello, withPeer(l.failureCause(), l.hello.Instance))
	}
	l.dropped = true
}

// closeLink keeps an ended connection from being entered. It returns the peer in
// whose entry the connection is, nil if there is none.
func (t *Transport) closeLink(l *link) *remote {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, l)
	if l.peer == nil {
		t.strangers.add(l.traffic())
		return nil
	}
	l.peer.ended.add(l.traffic())
	return l.peer
}

// leave removes a connection from its peer; true means that it was the last.
func (t *Transport) leave(r *remote, l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(r.links, l)
	if i < 0 {
		return false
	}
	r.links = slices.Delete(slices.Clone(r.links), i, i+1)
	r.signal()
	return len(r.links) == 0
}
