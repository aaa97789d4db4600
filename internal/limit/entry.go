package limit

import (
	"maps"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// heldPermit is a permit that this instance holds as an entry.
type heldPermit struct {
	serial  uint64
	target  fleet.TargetID
	owner   fleet.InstanceID
	seq     uint64
	expires time.Time
	// used is when the work started, or zero if it has not.
	used time.Time
	// abandoned is when the work was abandoned, or zero if it has not been.
	abandoned time.Time
	// announced is set once heartbeats to the owner count the permit as running work.
	// Until then the owner counts it as a pending grant.
	announced bool
}

// ranUntil returns the time until which the work is certain to have run: now, or the
// time at which it was abandoned.
func (p *heldPermit) ranUntil(now time.Time) time.Time {
	if p.abandoned.IsZero() {
		return now
	}
	return p.abandoned
}

// abandonedPermit is a permit that stays counted until the target must have noticed
// that the connection has ended.
type abandonedPermit struct {
	serial uint64
	until  time.Time
}

// work is this instance's work on one target as an entry.
type work struct {
	permits map[uint64]*heldPermit
	// granted counts the permits by the owner that granted them.
	granted map[fleet.InstanceID]int
	// owner is the target's owner in the view of this instance.
	owner fleet.InstanceID
}

// entry is the work that this instance runs or holds permits for.
type entry struct {
	serial  uint64
	permits map[uint64]*heldPermit
	// unannounced are the permits from each owner that are not announced, in ascending
	// order of their sequence.
	unannounced map[fleet.InstanceID][]*heldPermit
	work        map[fleet.TargetID]*work
	// abandoned are the abandoned permits that are still counted, oldest first.
	abandoned []abandonedPermit
	// announcedTo is the set of targets whose work is announced to each instance.
	announcedTo map[fleet.InstanceID]map[fleet.TargetID]struct{}
}

// newEntry returns an entry without work.
func newEntry() entry {
	return entry{
		permits:     make(map[uint64]*heldPermit),
		unannounced: make(map[fleet.InstanceID][]*heldPermit),
		work:        make(map[fleet.TargetID]*work),
		announcedTo: make(map[fleet.InstanceID]map[fleet.TargetID]struct{}),
	}
}

// addPermit adds a new permit and assigns its serial.
func (e *entry) addPermit(permit *heldPermit) {
	e.serial++
	permit.serial = e.serial
	e.permits[e.serial] = permit
	e.unannounced[permit.owner] = append(e.unannounced[permit.owner], permit)
	w, ok := e.work[permit.target]
	if !ok {
		w = &work{
			permits: make(map[uint64]*heldPermit),
			granted: make(map[fleet.InstanceID]int),
		}
		e.work[permit.target] = w
	}
	w.permits[e.serial] = permit
	w.granted[permit.owner]++
	e.addAnnounced(permit.owner, permit.target)
}

// use marks a held permit as used. It returns false if the permit is not held or has
// expired.
func (e *entry) use(serial uint64, now time.Time) bool {
	permit, ok := e.permits[serial]
	if !ok || !now.Before(permit.expires) {
		return false
	}
	if permit.used.IsZero() {
		permit.used = now
	}
	return true
}

// release removes a permit and returns it, or nil if it is not held.
func (e *entry) release(serial uint64) *heldPermit {
	permit, ok := e.permits[serial]
	if !ok {
		return nil
	}
	delete(e.permits, serial)
	w := e.work[permit.target]
	delete(w.permits, serial)
	w.granted[permit.owner]--
	if w.granted[permit.owner] == 0 {
		delete(w.granted, permit.owner)
		if w.owner != permit.owner {
			delete(e.announcedTo[permit.owner], permit.target)
		}
	}
	if len(w.permits) == 0 {
		delete(e.announcedTo[w.owner], permit.target)
		delete(e.work, permit.target)
	}
	return permit
}

// announce marks the used permits of an owner as announced, in the order of their
// sequence, up to the first permit that may still be used. It returns the sequence up
// to which that is done, and the permits that expired unused, which the caller must
// release. received is the highest sequence received from the owner.
func (e *entry) announce(owner fleet.InstanceID, received uint64, now time.Time) (uint64, []*heldPermit) {
	var expired []*heldPermit
	unannounced := e.unannounced[owner]
	for len(unannounced) > 0 {
		first := unannounced[0]
		_, held := e.permits[first.serial]
		switch {
		case !held:
		case !first.used.IsZero():
			first.announced = true
		case now.Before(first.expires):
			e.unannounced[owner] = unannounced
			return first.seq - 1, expired
		default:
			expired = append(expired, first)
		}
		unannounced = unannounced[1:]
	}
	delete(e.unannounced, owner)
	return received, expired
}

// announceAll marks all permits of an owner as announced. The owner has restarted and
// has no pending grants for them.
func (e *entry) announceAll(owner fleet.InstanceID) {
	for _, permit := range e.unannounced[owner] {
		permit.announced = true
	}
	delete(e.unannounced, owner)
}

// addAnnounced adds a target to the set that is announced to an instance.
func (e *entry) addAnnounced(to fleet.InstanceID, target fleet.TargetID) {
	targets, ok := e.announcedTo[to]
	if !ok {
		targets = make(map[fleet.TargetID]struct{})
		e.announcedTo[to] = targets
	}
	targets[target] = struct{}{}
}

// setOwner sets the owner to which the work on a target is announced.
func (e *entry) setOwner(target fleet.TargetID, w *work, owner fleet.InstanceID) {
	if w.owner == owner {
		return
	}
	if w.granted[w.owner] == 0 {
		delete(e.announcedTo[w.owner], target)
	}
	w.owner = owner
	if owner != "" {
		e.addAnnounced(owner, target)
	}
}

// updateWorkOwner updates the owner to which the work on a target is announced.
func (l *Ledger) updateWorkOwner(id fleet.TargetID, now time.Time) {
	w, ok := l.entry.work[id]
	if !ok {
		return
	}
	owner, _ := l.owner(l.target(id), now)
	l.entry.setOwner(id, w, owner)
}

// fillRunning sets the running work in a heartbeat to p: the announced work that p
// granted and, on targets that p owns in the view of this instance, all work that
// others granted.
func (l *Ledger) fillRunning(p *peer, hb *wire.Heartbeat, now time.Time) {
	seq, expired := l.entry.announce(p.id, p.receivedGrantSeq, now)
	for _, permit := range expired {
		l.release(permit.serial, now)
	}
	hb.GrantSeq = seq
	hb.Running = nil
	for _, id := range slices.Sorted(maps.Keys(l.entry.announcedTo[p.id])) {
		running, abandonedCount := l.entry.work[id].count(p.id)
		if running+abandonedCount > 0 {
			hb.Running = append(hb.Running, wire.Running{Target: id, Count: running})
		}
		if abandonedCount > 0 {
			hb.Running = append(hb.Running, wire.Running{Target: id, Count: abandonedCount})
		}
	}
}

// count returns the work on the target that is announced to an instance. running is the
// work that runs or may start. abandonedCount is the abandoned work, which may have ended;
// the heartbeat carries it as a second item for the target.
func (w *work) count(to fleet.InstanceID) (running, abandonedCount int) {
	for _, permit := range w.permits {
		if permit.owner == to && !permit.announced || permit.owner != to && w.owner != to {
			continue
		}
		if permit.abandoned.IsZero() {
			running++
		} else {
			abandonedCount++
		}
	}
	return running, abandonedCount
}

// dropExpired releases the permits that expired unused.
func (l *Ledger) dropExpired(now time.Time) {
	for owner := range l.entry.unannounced {
		p := l.peer(owner, now)
		_, expired := l.entry.announce(owner, p.receivedGrantSeq, now)
		for _, permit := range expired {
			l.release(permit.serial, now)
		}
	}
}
