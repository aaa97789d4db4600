// Package quarantine detects requests that crash the targets that run them and bounds
// the number of targets that one request can crash. Requests are identified by a
// fingerprint of customer, workload and content.
//
// Requests that ran on a target when its boot id changed become suspects. A request
// whose connection broke waits until the target's next report distinguishes a crash
// from a network fault, so that a partition alone creates no suspects. A suspect may
// run only alone on a target, one suspect at a time at each instance, and only at the
// instance that rendezvous hashing over the visible instances selects for its
// fingerprint. If it crashes a target while it runs alone, it is refused for RefuseFor.
// A run that finishes clears the suspect.
//
// The number of targets that one request can crash within RefuseFor, however often its
// caller retries it after a failure, is MaxCrashedTargets in a connected fleet and
// MaxCrashedTargets·k in a fleet partitioned into k parts, provided that the failure
// is reported to the caller only after the suspect has reached the instances of its
// part. A caller that sends n copies before the first crash can crash n - 1 more
// targets with these copies and another n - 1 with their retries, since each entry
// whose run broke tries the request once alone.
//
// The state of a fingerprint is a crash count and a cleared flag. Of two states, merging
// keeps the more advanced one. An odd crash count means one crash since the last clearing,
// an even count means two; a crash after a clearing advances the count to the next odd
// number. The package does no I/O. Methods of a Tracker must not be called
// concurrently.
package quarantine

import (
	"cmp"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/wire"
)

// MaxCrashedTargets is the number of targets that one request can crash in a connected
// fleet: one while it runs beside other requests and one while it runs alone.
const MaxCrashedTargets = 2

// Verdict is the way in which an entry handles a request.
type Verdict int

// Verdicts returned by Check.
const (
	// Run lets the request run like any other.
	Run Verdict = iota
	// RunAlone lets the request run only as the single request on its target.
	RunAlone
	// Wait keeps the request waiting, since another suspect runs here or it is not known
	// yet whether its last target crashed.
	Wait
	// Redirect refuses the request and reports it as not run; the instance returned by
	// Holder runs it.
	Redirect
	// Refuse refuses the request and reports it as run and failed.
	Refuse
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case RunAlone:
		return "run_alone"
	case Wait:
		return "wait"
	case Redirect:
		return "redirect"
	}
	return "refuse"
}

// Params configures a Tracker. Zero fields take the defaults.
type Params struct {
	// RefuseFor is how long a suspect is kept after its last change of state.
	RefuseFor time.Duration
	// ResolveAfter is how long a run with a broken connection waits for a report of its
	// target before it counts as a crash.
	ResolveAfter time.Duration
	// MaxSuspects bounds the number of fingerprints kept.
	MaxSuspects int
}

// Defaults of Params.
const (
	DefaultResolveAfter = 5 * time.Second
	DefaultRefuseFor    = 30 * time.Minute
	DefaultMaxSuspects  = 4096
)

// suspect is the state of one fingerprint.
type suspect struct {
	crashes int
	cleared bool
	// since is when the state last advanced.
	since time.Time
}

// uncleared reports whether the request has crashed a target and was not cleared since.
func (s suspect) uncleared() bool { return s.crashes > 0 && !s.cleared }

// refused reports whether the request has crashed a target while it ran alone since the
// last clearing.
func (s suspect) refused() bool { return s.uncleared() && s.crashes%2 == 0 }

// less reports whether s is an earlier state of a fingerprint than t.
func (s suspect) less(t suspect) bool {
	if s.crashes != t.crashes {
		return s.crashes < t.crashes
	}
	return !s.cleared && t.cleared
}

// Tracker holds the suspects known to one instance and the instance's own runs.
type Tracker struct {
	params   Params
	self     fleet.InstanceID
	visible  []fleet.InstanceID
	suspects map[uint64]suspect
	// running holds this entry's runs by target and fingerprint.
	running map[fleet.TargetID]map[uint64]*runs
	// changed holds the fingerprints whose state advanced since the last call of
	// Changed.
	changed map[uint64]struct{}
}

// runs counts the runs of one fingerprint on one target.
type runs struct {
	active int
	// broken counts runs that lost their connection, the latest of them at brokenAt.
	broken   int
	brokenAt time.Time
}

// New returns a Tracker without suspects for the instance self.
func New(self fleet.InstanceID, p Params) *Tracker {
	if p.RefuseFor <= 0 {
		p.RefuseFor = DefaultRefuseFor
	}
	if p.ResolveAfter <= 0 {
		p.ResolveAfter = DefaultResolveAfter
	}
	if p.MaxSuspects <= 0 {
		p.MaxSuspects = DefaultMaxSuspects
	}
	return &Tracker{
		params:   p,
		self:     self,
		visible:  []fleet.InstanceID{self},
		suspects: map[uint64]suspect{},
		running:  map[fleet.TargetID]map[uint64]*runs{},
		changed:  map[uint64]struct{}{},
	}
}

// SetVisible sets the visible instances that take new work, among which rendezvous
// hashing selects the holder of a fingerprint. It copies ids.
func (t *Tracker) SetVisible(ids []fleet.InstanceID) {
	t.visible = append(t.visible[:0], ids...)
}

// MarkStarted records that this entry started a request on a target. For this and the
// other Mark methods, target should combine the target's id and boot id, so that a
// crash does not make suspects of requests that started after it.
func (t *Tracker) MarkStarted(fp uint64, target fleet.TargetID) {
	onTarget, ok := t.running[target]
	if !ok {
		onTarget = map[uint64]*runs{}
		t.running[target] = onTarget
	}
	if onTarget[fp] == nil {
		onTarget[fp] = &runs{}
	}
	onTarget[fp].active++
}

// MarkEnded records that a run ended without a crash of its target. finished means that
// the request ran to completion, which clears a suspect.
func (t *Tracker) MarkEnded(fp uint64, target fleet.TargetID, finished bool, now time.Time) {
	r := t.running[target][fp]
	if r == nil || r.active == 0 {
		return
	}
	r.active--
	t.removeIfUnused(fp, target)
	s := t.suspects[fp]
	if finished && s.uncleared() {
		t.setState(fp, suspect{crashes: s.crashes, cleared: true, since: now})
	}
}

// removeIfUnused removes the entry of a fingerprint on a target if it has no runs.
func (t *Tracker) removeIfUnused(fp uint64, target fleet.TargetID) {
	onTarget := t.running[target]
	if r := onTarget[fp]; r.active > 0 || r.broken > 0 {
		return
	}
	delete(onTarget, fp)
	if len(onTarget) == 0 {
		delete(t.running, target)
	}
}

// MarkBroken records that a run lost its connection to the target and that it is not
// known yet whether the target crashed. A later call of MarkCrashed or MarkSurvived
// resolves this, or Expire after ResolveAfter.
func (t *Tracker) MarkBroken(fp uint64, target fleet.TargetID, now time.Time) {
	r := t.running[target][fp]
	if r == nil || r.active == 0 {
		return
	}
	r.active--
	r.broken++
	r.brokenAt = now
}

// MarkSurvived records that the target, in a report of the given time, has the same boot
// id as before, so that connections that broke earlier were not broken by a crash.
// O(fingerprints running on the target).
func (t *Tracker) MarkSurvived(target fleet.TargetID, at time.Time) {
	for fp, r := range t.running[target] {
		if r.broken > 0 && r.brokenAt.Before(at) {
			r.broken = 0
			t.removeIfUnused(fp, target)
		}
	}
}

// MarkCrashed records that the boot id of a target changed while requests of this entry
// ran on it or had lost their connection to it. It returns their fingerprints, which
// are now suspects and no longer count as running. O(fingerprints running on the
// target).
func (t *Tracker) MarkCrashed(target fleet.TargetID, now time.Time) []uint64 {
	onTarget := t.running[target]
	fps := make([]uint64, 0, len(onTarget))
	for fp := range onTarget {
		fps = append(fps, fp)
		t.recordCrash(fp, now)
	}
	delete(t.running, target)
	return fps
}

// recordCrash counts a crash for a fingerprint. The first crash after a clearing
// makes the count odd.
func (t *Tracker) recordCrash(fp uint64, now time.Time) {
	s := t.suspects[fp]
	crashes := s.crashes + 1
	if s.cleared && crashes%2 == 0 {
		crashes++
	}
	t.setState(fp, suspect{crashes: crashes, since: now})
}

// Check returns the verdict on a request that is about to be queued or started.
// O(targets with runs), for a suspect O(runs + visible instances).
func (t *Tracker) Check(fp uint64, now time.Time) Verdict {
	verdict := t.CheckLocal(fp, now)
	if (verdict == RunAlone || verdict == Wait && !t.unresolved(fp)) && t.Holder(fp) != t.self {
		return Redirect
	}
	return verdict
}

// CheckLocal is like Check for a request whose own run broke at this entry. The request
// is retried here, whichever instance is the holder, since its caller would otherwise
// lose it. O(targets with runs), for a suspect O(runs).
func (t *Tracker) CheckLocal(fp uint64, now time.Time) Verdict {
	s := t.suspects[fp]
	switch {
	case t.unresolved(fp):
		return Wait
	case !s.uncleared() || t.expired(s, now):
		return Run
	case s.refused():
		return Refuse
	case t.suspectRunning():
		return Wait
	}
	return RunAlone
}

// expired reports whether RefuseFor has passed since the last change of a state.
func (t *Tracker) expired(s suspect, now time.Time) bool {
	return now.Sub(s.since) >= t.params.RefuseFor
}

// unresolved reports whether a run of the request lost its connection and it is not
// known yet whether the target crashed.
func (t *Tracker) unresolved(fp uint64) bool {
	for _, onTarget := range t.running {
		if r := onTarget[fp]; r != nil && r.broken > 0 {
			return true
		}
	}
	return false
}

// suspectRunning reports whether this entry is running a suspect.
func (t *Tracker) suspectRunning() bool {
	for _, onTarget := range t.running {
		for fp, r := range onTarget {
			if r.active > 0 && t.suspects[fp].uncleared() {
				return true
			}
		}
	}
	return false
}

// Holder returns the instance that runs a suspect, which is the visible instance with
// the greatest rendezvous weight for the fingerprint. O(visible instances).
func (t *Tracker) Holder(fp uint64) fleet.InstanceID {
	var holder fleet.InstanceID
	highest := uint64(0)
	for _, id := range t.visible {
		score := membership.Score(fp, membership.Hash(string(id)))
		if holder == "" || score > highest || (score == highest && id < holder) {
			holder, highest = id, score
		}
	}
	return holder
}

// setState sets the state of a fingerprint and marks it as changed. It evicts another
// fingerprint if there are already MaxSuspects.
func (t *Tracker) setState(fp uint64, s suspect) {
	if _, ok := t.suspects[fp]; !ok && len(t.suspects) >= t.params.MaxSuspects {
		t.evict()
	}
	t.suspects[fp] = s
	t.changed[fp] = struct{}{}
}

// evict removes the oldest cleared suspect, or the oldest suspect if none is cleared.
func (t *Tracker) evict() {
	var victim uint64
	var victimState suspect
	found := false
	for fp, s := range t.suspects {
		preferred := s.cleared && !victimState.cleared
		older := s.cleared == victimState.cleared && cmp.Compare(s.since.UnixNano(), victimState.since.UnixNano()) < 0
		if !found || preferred || older {
			victim, victimState, found = fp, s, true
		}
	}
	t.remove(victim)
}

func (t *Tracker) remove(fp uint64) {
	delete(t.suspects, fp)
	delete(t.changed, fp)
}

// Merge merges a peer's suspects; for each fingerprint the more advanced state wins.
func (t *Tracker) Merge(ss []wire.Suspect, now time.Time) {
	for _, w := range ss {
		s := suspect{crashes: w.Crashes, cleared: w.Cleared, since: now}
		if s.crashes > 0 && t.suspects[w.Fingerprint].less(s) {
			t.setState(w.Fingerprint, s)
		}
	}
}

// Changed returns the states that advanced since the last call, to be sent to all
// peers.
func (t *Tracker) Changed() []wire.Suspect {
	ss := t.collect(func(fp uint64) bool { _, ok := t.changed[fp]; return ok })
	clear(t.changed)
	return ss
}

// All returns every state, for a peer that has received none.
func (t *Tracker) All() []wire.Suspect {
	return t.collect(func(uint64) bool { return true })
}

// collect returns the states of the fingerprints for which want returns true.
func (t *Tracker) collect(want func(uint64) bool) []wire.Suspect {
	var ss []wire.Suspect
	for fp, s := range t.suspects {
		if want(fp) {
			ss = append(ss, wire.Suspect{Fingerprint: fp, Crashes: s.crashes, Cleared: s.cleared})
		}
	}
	return ss
}

// Expire removes suspects older than RefuseFor and counts a crash where a broken
// connection has remained unresolved for ResolveAfter. O(suspects + runs).
func (t *Tracker) Expire(now time.Time) {
	for fp, s := range t.suspects {
		if t.expired(s, now) {
			t.remove(fp)
		}
	}
	for target, onTarget := range t.running {
		for fp, r := range onTarget {
			if r.broken > 0 && now.Sub(r.brokenAt) >= t.params.ResolveAfter {
				r.broken = 0
				t.recordCrash(fp, now)
				t.removeIfUnused(fp, target)
			}
		}
	}
}
