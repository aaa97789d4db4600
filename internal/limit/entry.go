package limit

import (
	"slices"
	"strings"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// heldPermit is a permit that this instance holds as an entry.
type heldPermit struct {
	target  fleet.TargetID
	owner   fleet.InstanceID
	expires time.Time
	// used is when the work started; zero before.
	used time.Time
}

// work is this instance's work on one target as an entry.
type work struct {
	total int
	// granted counts it by the instance that granted it.
	granted map[fleet.InstanceID]int
	// owner is whom this instance takes for the target's owner.
	owner fleet.InstanceID
}

// entry is the account of the work that this instance runs or holds permits for.
type entry struct {
	serial  uint64
	permits map[uint64]*heldPermit
	// unused are the serials of permits that may not have been used yet.
	unused []uint64
	work   map[fleet.TargetID]*work
	// told names the targets whose work is told to each instance.
	told map[fleet.InstanceID]map[fleet.TargetID]struct{}
}

// newEntry returns an account without work.
func newEntry() entry {
	return entry{
		permits: make(map[uint64]*heldPermit),
		work:    make(map[fleet.TargetID]*work),
		told:    make(map[fleet.InstanceID]map[fleet.TargetID]struct{}),
	}
}

// hold counts a new permit and returns its serial.
func (e *entry) hold(target fleet.TargetID, owner fleet.InstanceID, expires time.Time) uint64 {
	e.serial++
	e.permits[e.serial] = &heldPermit{target: target, owner: owner, expires: expires}
	e.unused = append(e.unused, e.serial)
	w, ok := e.work[target]
	if !ok {
		w = &work{granted: make(map[fleet.InstanceID]int)}
		e.work[target] = w
	}
	w.total++
	w.granted[owner]++
	e.tell(owner, target)
	return e.serial
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

// release forgets a permit and returns its target.
func (e *entry) release(serial uint64) (fleet.TargetID, bool) {
	permit, ok := e.permits[serial]
	if !ok {
		return "", false
	}
	delete(e.permits, serial)
	w := e.work[permit.target]
	w.total--
	w.granted[permit.owner]--
	if w.granted[permit.owner] == 0 {
		delete(w.granted, permit.owner)
		if w.owner != permit.owner {
			delete(e.told[permit.owner], permit.target)
		}
	}
	if w.total == 0 {
		delete(e.told[w.owner], permit.target)
		delete(e.work, permit.target)
	}
	return permit.target, true
}

// expired returns the permits that were not used in time.
func (e *entry) expired(now time.Time) []uint64 {
	var late []uint64
	e.unused = slices.DeleteFunc(e.unused, func(serial uint64) bool {
		permit, ok := e.permits[serial]
		if !ok || !permit.used.IsZero() {
			return true
		}
		if now.Before(permit.expires) {
			return false
		}
		late = append(late, serial)
		return true
	})
	return late
}

// usedBefore counts the work on a target that started by a time and still runs.
func (e *entry) usedBefore(target fleet.TargetID, by time.Time) int {
	count := 0
	for _, permit := range e.permits {
		if permit.target == target && !permit.used.IsZero() && !permit.used.After(by) {
			count++
		}
	}
	return count
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

// runningFor returns the state for an instance: all work on the targets that it is
// taken to own, and the work that it granted on others, sorted by target.
func (l *Ledger) runningFor(to fleet.InstanceID, now time.Time) []wire.Running {
	l.dropExpired(now)
	told := l.entry.told[to]
	if len(told) == 0 {
		return nil
	}
	running := make([]wire.Running, 0, len(told))
	for id := range told {
		w := l.entry.work[id]
		count := w.granted[to]
		if w.owner == to {
			count = w.total
		}
		running = append(running, wire.Running{Target: id, Count: count})
	}
	slices.SortFunc(running, func(a, b wire.Running) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return running
}

// dropExpired takes permits that were not used in time out of the accounts.
func (l *Ledger) dropExpired(now time.Time) {
	for _, serial := range l.entry.expired(now) {
		l.release(serial, now)
	}
}
