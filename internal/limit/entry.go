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
	// used is when the work started; zero before.
	used time.Time
	// abandoned is when the work was abandoned; zero before.
	abandoned time.Time
	// stated says that the owner is told of it as running work. Until then the owner
	// counts it as a pending grant.
	stated bool
}

// end returns until when the work surely ran, if it is known to run until now.
func (p *heldPermit) end(now time.Time) time.Time {
	if p.abandoned.IsZero() {
		return now
	}
	return p.abandoned
}

// abandonedPermit is counted until a time at which the target must have noticed.
type abandonedPermit struct {
	serial uint64
	until  time.Time
}

// work is this instance's work on one target as an entry.
type work struct {
	permits map[uint64]*heldPermit
	// granted counts the permits by owner.
	granted map[fleet.InstanceID]int
	// owner is whom this instance takes for the target's owner.
	owner fleet.InstanceID
}

// entry is the account of the work that this instance runs or holds permits for.
type entry struct {
	serial  uint64
	permits map[uint64]*heldPermit
	// open are the permits of each owner that are not stated, by rising sequence.
	open map[fleet.InstanceID][]*heldPermit
	work map[fleet.TargetID]*work
	// abandoned are permits that wait for their targets to notice, oldest first.
	abandoned []abandonedPermit
	// told names the targets whose work is told to each instance.
	told map[fleet.InstanceID]map[fleet.TargetID]struct{}
}

// newEntry returns an account without work.
func newEntry() entry {
	return entry{
		permits: make(map[uint64]*heldPermit),
		open:    make(map[fleet.InstanceID][]*heldPermit),
		work:    make(map[fleet.TargetID]*work),
		told:    make(map[fleet.InstanceID]map[fleet.TargetID]struct{}),
	}
}

// hold counts a new permit and gives it a serial.
func (e *entry) hold(permit *heldPermit) {
	e.serial++
	permit.serial = e.serial
	e.permits[e.serial] = permit
	e.open[permit.owner] = append(e.open[permit.owner], permit)
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
	e.tell(permit.owner, permit.target)
}

// use marks a held permit as used if it has not expired.
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

// release forgets a permit and returns it, or nil if it is not held.
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
			delete(e.told[permit.owner], permit.target)
		}
	}
	if len(w.permits) == 0 {
		delete(e.told[w.owner], permit.target)
		delete(e.work, permit.target)
	}
	return permit
}

// state moves the permits of an owner that were used or ended to the stated work, in
// the order of their sequence, and returns the sequence up to which that is done.
// Permits that expired unused are returned for release.
func (e *entry) state(owner fleet.InstanceID, received uint64, now time.Time) (uint64, []*heldPermit) {
	var expired []*heldPermit
	open := e.open[owner]
	for len(open) > 0 {
		first := open[0]
		_, held := e.permits[first.serial]
		switch {
		case !held:
		case !first.used.IsZero():
			first.stated = true
		case now.Before(first.expires):
			e.open[owner] = open
			return first.seq - 1, expired
		default:
			expired = append(expired, first)
		}
		open = open[1:]
	}
	delete(e.open, owner)
	return received, expired
}

// stateAll states all permits of an owner that has restarted: it knows nothing of
// them as pending grants.
func (e *entry) stateAll(owner fleet.InstanceID) {
	for _, permit := range e.open[owner] {
		permit.stated = true
	}
	delete(e.open, owner)
}

// tell adds a target to what an instance is told.
func (e *entry) tell(to fleet.InstanceID, target fleet.TargetID) {
	targets, ok := e.told[to]
	if !ok {
		targets = make(map[fleet.TargetID]struct{})
		e.told[to] = targets
	}
	targets[target] = struct{}{}
}

// turnOwner changes whom the work on a target is told to as its owner.
func (e *entry) turnOwner(target fleet.TargetID, w *work, owner fleet.InstanceID) {
	if w.owner == owner {
		return
	}
	if w.granted[w.owner] == 0 {
		delete(e.told[w.owner], target)
	}
	w.owner = owner
	if owner != "" {
		e.tell(owner, target)
	}
}

// believe brings the owner to which the work on a target is told up to date.
func (l *Ledger) believe(id fleet.TargetID, now time.Time) {
	w, ok := l.entry.work[id]
	if !ok {
		return
	}
	owner, _ := l.owner(l.target(id), now)
	l.entry.turnOwner(id, w, owner)
}

// fillState sets the state for an instance: the stated work among what it granted
// and, on targets that it is taken to own, all that others granted.
func (l *Ledger) fillState(p *peer, hb *wire.Heartbeat, now time.Time) {
	seq, expired := l.entry.state(p.id, p.grantsFrom, now)
	for _, permit := range expired {
		l.release(permit.serial, now)
	}
	hb.GrantSeq = seq
	hb.Running = nil
	for _, id := range slices.Sorted(maps.Keys(l.entry.told[p.id])) {
		running, closing := l.entry.work[id].count(p.id)
		if running+closing > 0 {
			hb.Running = append(hb.Running, wire.Running{Target: id, Count: running})
		}
		if closing > 0 {
			hb.Running = append(hb.Running, wire.Running{Target: id, Count: closing})
		}
	}
}

// count returns what an instance is told: the work that runs, or may start, and the
// abandoned work that may have ended. The latter is told apart by a second entry.
func (w *work) count(to fleet.InstanceID) (running, closing int) {
	for _, permit := range w.permits {
		if permit.owner == to && !permit.stated || permit.owner != to && w.owner != to {
			continue
		}
		if permit.abandoned.IsZero() {
			running++
		} else {
			closing++
		}
	}
	return running, closing
}

// dropExpired takes permits that were not used in time out of the accounts.
func (l *Ledger) dropExpired(now time.Time) {
	for owner := range l.entry.open {
		p := l.peer(owner, now)
		_, expired := l.entry.state(owner, p.grantsFrom, now)
		for _, permit := range expired {
			l.release(permit.serial, now)
		}
	}
}
