// Package quarantine finds requests that crash the targets that run them, by a
// fingerprint of customer, workload and content, and bounds what they can take
// down.
//
// Requests that ran on a target when its boot id changed become suspects. One
// whose connection broke waits until the target's next report tells a crash from a
// network fault, so that a partition makes no suspects by itself. A suspect runs
// next only alone on a target, one suspect at a time at each instance, and only at
// the one instance that rendezvous hashing over the visible instances names for
// its fingerprint. After a crash while it ran alone it is refused for RefuseFor.
// Finishing clears it.
//
// The number of targets that one request can take down within RefuseFor, however
// often its caller sends it again after a failure, is MaxTargets in a connected
// fleet and MaxTargets·k in a fleet partitioned into k parts, if the failure is
// told to the caller only after the suspicion has reached the instances of its
// part. A caller that sends n copies before the first crash can take down n - 1
// more, and as many again, since each entry whose run broke tries it once alone.
//
// The state of a fingerprint is a counter that merges by maximum. An odd crash
// count means one crash since the last clearing, an even one two; a crash after a
// clearing advances the count to the next odd number. The package is pure; one
// goroutine owns a Tracker.
package quarantine

import (
	"cmp"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/wire"
)

// MaxCrashedTargets is the number of targets that one request can take down in a
// connected fleet: one among others and one alone.
const MaxCrashedTargets = 2

// Verdict says what an entry does with a request.
type Verdict int

// The verdicts of Check.
const (
	// Run lets the request run like any other.
	Run Verdict = iota
	// RunAlone lets it run only as the single request on its target.
	RunAlone
	// Wait keeps it waiting, since another suspect runs here or the fate of its
	// last target is not known yet.
	Wait
	// Redirect refuses it as not run; the instance that Holder names runs it.
	Redirect
	// Refuse refuses it as run and failed.
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

// Params are the constants of a Tracker. Zero fields take the defaults.
type Params struct {
	// RefuseFor is how long a suspect is remembered after its last crash.
	RefuseFor time.Duration
	// ResolveAfter is how long a broken connection waits for the target's word
	// before it counts as a crash.
	ResolveAfter time.Duration
	// MaxSuspects bounds the fingerprints remembered.
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

// unsafe reports whether the request needs care.
func (s suspect) unsafe() bool { return s.crashes > 0 && !s.cleared }

// refused reports whether it crashed a target alone since the last clearing.
func (s suspect) refused() bool { return s.unsafe() && s.crashes%2 == 0 }

// less orders states of one fingerprint by age.
func (s suspect) less(t suspect) bool {
	if s.crashes != t.crashes {
		return s.crashes < t.crashes
	}
	return !s.cleared && t.cleared
}

// Tracker holds what one instance knows of suspects and of its own running work.
type Tracker struct {
	params   Params
	self     fleet.InstanceID
	visible  []fleet.InstanceID
	suspects map[uint64]suspect
	// running holds the runs of a fingerprint on each target, from this entry.
	running map[fleet.TargetID]map[uint64]*runs
	changed map[uint64]struct{}
}

// runs counts the runs of one fingerprint on one target.
type runs struct {
	active int
	// broken runs lost their connection at brokenAt, the latest of them.
	broken   int
	brokenAt time.Time
}

// New returns a tracker without suspects for the instance self.
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

// SetVisible sets the instances that take new work and are seen from here, among
// which rendezvous hashing names the holder of a fingerprint.
func (t *Tracker) SetVisible(ids []fleet.InstanceID) {
	t.visible = append(t.visible[:0], ids...)
}

// MarkStarted notes that this entry started a request on a target. Here and below, the
// target is best named by its id and boot id together, so that a crash accuses
// nothing that started after it.
func (t *Tracker) MarkStarted(fp uint64, target fleet.TargetID) {
	there, ok := t.running[target]
	if !ok {
		there = map[uint64]*runs{}
		t.running[target] = there
	}
	if there[fp] == nil {
		there[fp] = &runs{}
	}
	there[fp].active++
}

// MarkEnded notes that a run on a target ended while the target lives. finished says
// that it ran to its end, which clears a suspect.
func (t *Tracker) MarkEnded(fp uint64, target fleet.TargetID, finished bool, now time.Time) {
	r := t.running[target][fp]
	if r == nil || r.active == 0 {
		return
	}
	r.active--
	t.tidy(fp, target)
	s := t.suspects[fp]
	if finished && s.unsafe() {
		t.advance(fp, suspect{crashes: s.crashes, cleared: true, since: now})
	}
}

// tidy drops the record of a fingerprint without runs.
func (t *Tracker) tidy(fp uint64, target fleet.TargetID) {
	there := t.running[target]
	if r := there[fp]; r.active > 0 || r.broken > 0 {
		return
	}
	delete(there, fp)
	if len(there) == 0 {
		delete(t.running, target)
	}
}

// MarkBroken notes that a run lost its connection to the target and that it is not
// known yet whether the target crashed. Crashed, Survived or, after ResolveAfter,
// Expire decides.
func (t *Tracker) MarkBroken(fp uint64, target fleet.TargetID, now time.Time) {
	r := t.running[target][fp]
	if r == nil || r.active == 0 {
		return
	}
	r.active--
	r.broken++
	r.brokenAt = now
}

// MarkSurvived notes a report of the target, taken at the given time, with the boot id
// that it had before: connections that broke earlier were no crash.
// O(running there).
func (t *Tracker) MarkSurvived(target fleet.TargetID, at time.Time) {
	for fp, r := range t.running[target] {
		if r.broken > 0 && r.brokenAt.Before(at) {
			r.broken = 0
			t.tidy(fp, target)
		}
	}
}

// MarkCrashed notes that a target changed its boot id while requests of this entry ran
// on it or had lost their connection to it. It returns their fingerprints, which
// are now suspects and run no more. O(running there).
func (t *Tracker) MarkCrashed(target fleet.TargetID, now time.Time) []uint64 {
	there := t.running[target]
	fps := make([]uint64, 0, len(there))
	for fp := range there {
		fps = append(fps, fp)
		t.suspect(fp, now)
	}
	delete(t.running, target)
	return fps
}

// suspect counts a crash against a fingerprint.
func (t *Tracker) suspect(fp uint64, now time.Time) {
	s := t.suspects[fp]
	crashes := s.crashes + 1
	if s.cleared && crashes%2 == 0 {
		crashes++
	}
	t.advance(fp, suspect{crashes: crashes, since: now})
}

// Check says what to do with a request that is about to be queued or started.
// O(targets with running work), for a suspect O(running work).
func (t *Tracker) Check(fp uint64, now time.Time) Verdict {
	verdict := t.CheckLocal(fp, now)
	if (verdict == RunAlone || verdict == Wait && !t.unresolved(fp)) && t.Holder(fp) != t.self {
		return Redirect
	}
	return verdict
}

// CheckLocal is Check for a request whose own run broke at this entry: it is tried
// again here, whichever instance is the holder, since its caller would otherwise
// lose it. O(running work) for a suspect.
func (t *Tracker) CheckLocal(fp uint64, now time.Time) Verdict {
	s := t.suspects[fp]
	switch {
	case t.unresolved(fp):
		return Wait
	case !s.unsafe() || t.expired(s, now):
		return Run
	case s.refused():
		return Refuse
	case t.suspectRuns():
		return Wait
	}
	return RunAlone
}

func (t *Tracker) expired(s suspect, now time.Time) bool {
	return now.Sub(s.since) >= t.params.RefuseFor
}

// unresolved reports whether a run of the request lost its connection and it is
// not known why.
func (t *Tracker) unresolved(fp uint64) bool {
	for _, there := range t.running {
		if r := there[fp]; r != nil && r.broken > 0 {
			return true
		}
	}
	return false
}

// suspectRuns reports whether this entry runs a suspect now.
func (t *Tracker) suspectRuns() bool {
	for _, there := range t.running {
		for fp, r := range there {
			if r.active > 0 && t.suspects[fp].unsafe() {
				return true
			}
		}
	}
	return false
}

// Holder returns the instance that runs a suspect: the one with the greatest
// rendezvous weight for the fingerprint. O(visible instances).
func (t *Tracker) Holder(fp uint64) fleet.InstanceID {
	var holder fleet.InstanceID
	most := uint64(0)
	for _, id := range t.visible {
		w := membership.Score(fp, membership.Hash(string(id)))
		if holder == "" || w > most || (w == most && id < holder) {
			holder, most = id, w
		}
	}
	return holder
}

// advance sets a fingerprint's state and makes room if there are too many.
func (t *Tracker) advance(fp uint64, s suspect) {
	if _, ok := t.suspects[fp]; !ok && len(t.suspects) >= t.params.MaxSuspects {
		t.evict()
	}
	t.suspects[fp] = s
	t.changed[fp] = struct{}{}
}

// evict forgets a cleared suspect if there is one, else the oldest.
func (t *Tracker) evict() {
	var victim uint64
	var worst suspect
	found := false
	for fp, s := range t.suspects {
		better := s.cleared && !worst.cleared
		older := s.cleared == worst.cleared && cmp.Compare(s.since.UnixNano(), worst.since.UnixNano()) < 0
		if !found || better || older {
			victim, worst, found = fp, s, true
		}
	}
	t.forget(victim)
}

func (t *Tracker) forget(fp uint64) {
	delete(t.suspects, fp)
	delete(t.changed, fp)
}

// Merge takes in a peer's suspects; the further state wins.
func (t *Tracker) Merge(ss []wire.Suspect, now time.Time) {
	for _, w := range ss {
		s := suspect{crashes: w.Crashes, cleared: w.Cleared, since: now}
		if s.crashes > 0 && t.suspects[w.Fingerprint].less(s) {
			t.advance(w.Fingerprint, s)
		}
	}
}

// Changed returns the states that advanced since the last call, for all peers.
func (t *Tracker) Changed() []wire.Suspect {
	ss := t.collect(func(fp uint64) bool { _, ok := t.changed[fp]; return ok })
	clear(t.changed)
	return ss
}

// All returns every state, for a peer that starts with nothing.
func (t *Tracker) All() []wire.Suspect {
	return t.collect(func(uint64) bool { return true })
}

func (t *Tracker) collect(want func(uint64) bool) []wire.Suspect {
	var ss []wire.Suspect
	for fp, s := range t.suspects {
		if want(fp) {
			ss = append(ss, wire.Suspect{Fingerprint: fp, Crashes: s.crashes, Cleared: s.cleared})
		}
	}
	return ss
}

// Expire forgets suspects older than RefuseFor and counts a crash where a broken
// connection stayed unexplained for ResolveAfter. O(suspects + running).
func (t *Tracker) Expire(now time.Time) {
	for fp, s := range t.suspects {
		if t.expired(s, now) {
			t.forget(fp)
		}
	}
	for target, there := range t.running {
		for fp, r := range there {
			if r.broken > 0 && now.Sub(r.brokenAt) >= t.params.ResolveAfter {
				r.broken = 0
				t.suspect(fp, now)
				t.tidy(fp, target)
			}
		}
	}
}
