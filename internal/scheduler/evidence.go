package scheduler

import (
	"slices"
	"strconv"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/quarantine"
)

// Limits of the broken runs that are kept until it is known whether their target crashed.
const (
	// crashKnownFor is how long a broken run and a known crash are kept. A restarted target is
	// listed with its new start within that time.
	crashKnownFor = 8 * time.Second
	maxBrokenRuns = 512
)

// brokenRun is a run whose connection broke before the target had begun to answer.
type brokenRun struct {
	target      fleet.TargetID
	startMillis int64
	at          clock.Instant
	traits      *quarantine.Traits
}

// startKey identifies a target and its start.
func startKey(id fleet.TargetID, startMillis int64) uint64 {
	return membership.Hash(string(id) + "@" + strconv.FormatInt(startMillis, 10))
}

// traitsOf returns what the job may share with others that crash targets. Parts of other
// services are other traits of the same group.
func traitsOf(j *Job) *quarantine.Traits {
	t := &quarantine.Traits{Whole: j.Fingerprint, Customer: uint32(membership.Hash(string(j.Customer)))}
	for _, p := range j.Parts[:max(len(j.Parts)-1, 0)] {
		t.Parts = append(t.Parts, membership.Hash(string(j.Service.ID)+"/"+p.ID))
		t.Groups = append(t.Groups, membership.Hash("/"+p.ID))
	}
	return t
}

// Answering records that the target has begun to answer and gone on: no shared part of the
// prompt crashes it. Further calls have no effect.
func (p *Placement) Answering() {
	if p.answering {
		return
	}
	p.answering = true
	if len(p.job.traits.Parts) == 0 {
		return
	}
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.RecordAnswering(p.job.traits, s.options.Now())
}

// NeedsCrashCheck reports whether the placement ended with a broken connection of which it
// is not known whether the target crashed, or that it carries a copy.
func (p *Placement) NeedsCrashCheck() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Backup != nil || s.offersBackups(p.job.Service) && !s.backups.record.Knows(p.Target.ID, p.Target.StartMillis) {
		return true
	}
	return slices.ContainsFunc(s.brokenRuns, func(r brokenRun) bool { return r.traits == p.job.traits })
}

// ConfirmCrash records that the target is down.
func (p *Placement) ConfirmCrash() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	// The end of a planned stop is no crash.
	if s.inventory.IsServing(p.Target.ID, p.Target.StartMillis) {
		s.recordCrash(p.Target.ID, p.Target.StartMillis, s.options.Now())
		s.noteCrash(p.Target.ID, p.Target.StartMillis, s.options.Now())
	}
}

// addBrokenRun holds a run that broke before the target had begun to answer against the
// parts of its prompt, at once if the target is known to have crashed. s.mu must be held.
func (s *Scheduler) addBrokenRun(p *Placement, now clock.Instant) {
	id, start := p.Target.ID, p.Target.StartMillis
	if len(p.job.traits.Parts) == 0 || !s.inventory.IsServing(id, start) {
		return
	}
	if at, ok := s.crashes[startKey(id, start)]; ok {
		s.evidence.RecordCrash(startKey(id, start), p.job.traits, at, now)
		return
	}
	s.brokenRuns = slices.DeleteFunc(s.brokenRuns, func(r brokenRun) bool { return now.Sub(r.at) > crashKnownFor })
	if len(s.brokenRuns) < maxBrokenRuns {
		s.brokenRuns = append(s.brokenRuns, brokenRun{target: id, startMillis: start, at: now, traits: p.job.traits})
	}
}

// recordCrash holds the crash of a target against the parts of the runs that broke there. s.mu
// must be held.
func (s *Scheduler) recordCrash(id fleet.TargetID, startMillis int64, now clock.Instant) {
	key := startKey(id, startMillis)
	for known, at := range s.crashes {
		if now.Sub(at) > crashKnownFor {
			delete(s.crashes, known)
		}
	}
	s.brokenRuns = slices.DeleteFunc(s.brokenRuns, func(r brokenRun) bool {
		if r.target != id || r.startMillis != startMillis {
			return false
		}
		if _, ok := s.crashes[key]; !ok {
			s.crashes[key] = r.at
		}
		s.evidence.RecordCrash(key, r.traits, s.crashes[key], now)
		return true
	})
}

// recordRestarts records the crashes that the new starts of listed targets show. s.mu must be
// held.
func (s *Scheduler) recordRestarts() {
	now := s.options.Now()
	for _, r := range slices.Clone(s.brokenRuns) {
		if e, ok := s.inventory.Get(r.target); ok && e.StartMillis > r.startMillis && now.Sub(r.at) <= crashKnownFor {
			s.recordCrash(r.target, r.startMillis, now)
		}
	}
}

// judge says whether a job may run. s.mu must be held.
func (s *Scheduler) judge(j *Job, now clock.Instant) quarantine.Judgement {
	return s.evidence.Check(j.traits, now, func(trait uint64) (position, instances int) {
		return s.position(strconv.FormatUint(trait, 16), s.entries), len(s.entries)
	})
}

// position returns this instance's position, from 0, in the rendezvous order of instances for a
// key, and the number of instances if it is not one of them. It takes
// O(instances · log instances) time.
func (s *Scheduler) position(key string, instances []fleet.InstanceID) int {
	if i := slices.Index(membership.Rank(key, instances), s.options.Self); i >= 0 {
		return i
	}
	return len(instances)
}

// aliveIDs returns the live instances. s.mu must be held.
func (s *Scheduler) aliveIDs() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(s.alive))
	for _, m := range s.alive {
		ids = append(ids, m.ID)
	}
	return ids
}

// refuseSuspect returns the refusal of a job that may crash targets. s.mu must be held.
func (s *Scheduler) refuseSuspect(j *Job, judgement quarantine.Judgement, now clock.Instant) *Refusal {
	r := &Refusal{Reason: ReasonCrashesTargets, RetryAfter: judgement.TrialIn, Inputs: s.inputs(j, now)}
	r.Inputs.Suspect = judgement
	return r
}

// TakeEvidenceChanges returns which traits have been refused or allowed since the last call.
func (s *Scheduler) TakeEvidenceChanges() []quarantine.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.TakeChanges()
}
