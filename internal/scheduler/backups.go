package scheduler

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/backup"
	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Constants of the copies of runs.
const (
	// longRunWeight is the weight of the newest run in the mean time of a route's large runs.
	longRunWeight = 0.05
	// maxLongRunRoutes bounds the routes of which that mean is kept.
	maxLongRunRoutes = 256
	// maxAbandonedCopies bounds the copies that wait for their release, maxCopyHold the time for which
	// one counts in the load of its target. What exceeds them is not counted any more.
	maxAbandonedCopies = 512
	maxCopyHold        = 30 * time.Second
)

// Backup is a copy of a run's memory that a second target takes while the run grows.
type Backup struct {
	// Target holds the copy, of Tokens at the run's end.
	Target inventory.Target
	Tokens int
	// Chance is the probability of a crash within the run, CrashAge the age of the newest crash that it
	// rests on.
	Chance   float64
	CrashAge time.Duration
	// Saves and Costs are the expected time saved and the cost.
	Saves, Costs time.Duration
	share        float64
	// holdTime is how long the target keeps the copy of a run that has not ended well.
	holdTime time.Duration
}

// Addr returns the address of the target that holds the copy, empty for no copy.
func (b *Backup) Addr() string {
	if b == nil {
		return ""
	}
	return b.Target.Addr
}

// copyLoad is what copies of this instance use at a target, as the source or the holder.
type copyLoad struct {
	tokens int
	share  float64
}

// abandonedCopy is a copy that its target keeps although the run has ended.
type abandonedCopy struct {
	target fleet.TargetID
	tokens int
	until  clock.Instant
}

// backups is what the scheduler knows of the copies of runs.
type backups struct {
	record backup.Record
	loads  map[fleet.TargetID]copyLoad
	// running and copied are the numbers of running generations and of those with a copy.
	running, copied int
	// longRuns are the mean times of the large runs of each route that completed.
	longRuns   map[string]time.Duration
	abandoned  []abandonedCopy
	candidates []backup.Candidate
	counters   BackupCounters
}

// BackupCounters count the copies of runs.
type BackupCounters struct {
	// Crashes counts the crashes of targets that were recorded, RecentCrashes those that count now.
	Crashes       int64 `json:"crashes"`
	RecentCrashes int   `json:"recent_crashes"`
	// Carried counts the runs with a copy, CarriedTokens their tokens, Current those that run now.
	Carried       int64 `json:"carried"`
	CarriedTokens int64 `json:"carried_tokens"`
	Current       int   `json:"current"`
	// Continued counts the runs that were placed on the target of their copy, Refused those that were not
	// because their requests crash targets, Late those whose copy or time had run out.
	Continued int64 `json:"continued"`
	Refused   int64 `json:"refused"`
	Late      int64 `json:"late"`
}

func newBackups() backups {
	return backups{loads: make(map[fleet.TargetID]copyLoad), longRuns: make(map[string]time.Duration)}
}

// BackupCounters returns the counters of the copies of runs.
func (s *Scheduler) BackupCounters() BackupCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.backups.counters
	c.RecentCrashes, c.Current = s.backups.record.Len(s.options.Now()), s.backups.copied
	return c
}

// offersBackups reports whether runs of the service may carry copies. s.mu must be held.
func (s *Scheduler) offersBackups(service *catalog.Service) bool {
	return service.Engine != nil && service.Engine.Backups && s.options.Features.Enabled(feature.RunBackups) && s.fetchesPrefixes(service)
}

// noteCrash records the crash of a start of a target, unless the target was to end. s.mu must be held.
func (s *Scheduler) noteCrash(id fleet.TargetID, startMillis int64, now clock.Instant) {
	if s.catalog == nil || !s.inventory.IsServing(id, startMillis) {
		return
	}
	e, _ := s.inventory.Get(id)
	service, ok := s.catalog.Service(e.Service)
	if ok && s.offersBackups(service) &&
		s.backups.record.Add(backup.Crash{Target: id, StartMillis: startMillis, DataCentre: e.DataCentre, Service: e.Service, At: now}) {
		s.backups.counters.Crashes++
	}
}

// beginBackup counts a generation that starts on a target, and chooses where its copy goes if it carries
// one. Of a request that may have run before, or runs beside another run, the engines could not tell the
// copies apart. s.mu must be held.
func (s *Scheduler) beginBackup(p *Placement, target *usableTarget, now clock.Instant) {
	j := p.job
	if j.Prompt == 0 {
		return
	}
	b := &s.backups
	b.running++
	if !s.offersBackups(j.Service) || j.replacing || j.ran || j.ID == "" || j.Route.Kind != catalog.Stream || b.record.Len(now) == 0 {
		return
	}
	e := j.Service.Engine
	run := backup.Run{
		ID: j.idHash, Target: p.Target.ID, Service: j.Service.ID, DataCentre: p.Target.DataCentre, Tokens: j.Prompt + j.Output,
		Time: s.longRunTime(j), Prefill: time.Duration(float64(p.load.Unread) / s.meanSpeed(j.Service.ID) * float64(time.Millisecond)),
		Repeatable: j.Route.Repeatable(), Setup: transferSetup, TokenTransfer: time.Duration(tokenTransfer(e) * float64(time.Millisecond)),
		SourceShare: b.loads[p.Target.ID].share, Copies: b.copied, Running: b.running,
	}
	list := s.targetListFor(j, now)
	sizes := backup.Sizes{Service: len(list.targets)}
	for i := range list.targets {
		if list.targets[i].entry.DataCentre == p.Target.DataCentre {
			sizes.DataCentre++
		}
	}
	c, ok := backup.Choose(&run, &b.record, sizes, func() []backup.Candidate { return s.copyHolders(j, target, list, now) }, now)
	if !ok {
		return
	}
	p.Backup = &Backup{
		Target: list.targets[list.index[b.candidates[c.Index].Target]].entry.Target, Tokens: run.Tokens, Chance: c.Chance, CrashAge: c.CrashAge,
		Saves: c.Saves, Costs: c.Costs, share: c.LinkShare, holdTime: min(e.HandleTime, maxCopyHold),
	}
	b.copied++
	b.counters.Carried++
	b.counters.CarriedTokens += int64(run.Tokens)
	b.add(p.Target.ID, 0, c.LinkShare)
	b.add(p.Backup.Target.ID, run.Tokens, c.LinkShare)
	s.target(p.Backup.Target.ID).ownLoad.Memory += run.Tokens
}

// copyHolders returns the targets that may take a copy of a run on a target: those that may get the job
// itself, are not cold and do not fail. The slice is valid until the next call. s.mu must be held.
func (s *Scheduler) copyHolders(j *Job, on *usableTarget, list *targetList, now clock.Instant) []backup.Candidate {
	found := s.backups.candidates[:0]
	for i := range list.targets {
		target := &list.targets[i]
		t, e := target.state, target.entry
		if target.entry.ID == on.entry.ID || !j.allows(target) || e.IsCold(now) || now < t.avoidUntil || t.consecutiveFailures > 0 ||
			now < t.pause.end(e.StartMillis) {
			continue
		}
		copies := s.backups.loads[e.ID]
		found = append(found, backup.Candidate{
			Target: e.ID, DataCentre: e.DataCentre, Memory: j.Service.Engine.MemoryTokens,
			Used: t.ownLoad.Memory + s.exchange.PeerLoad(e.ID, now).Memory, Copied: copies.tokens, LinkShare: copies.share, Path: pathTime(on, target),
		})
	}
	s.backups.candidates = found
	return found
}

// longRunTime returns the expected time of a large run of the job's route. s.mu must be held.
func (s *Scheduler) longRunTime(j *Job) time.Duration {
	if mean, ok := s.backups.longRuns[j.Route.Name]; ok {
		return mean
	}
	return initialRunTime
}

// add changes what copies use at a target.
func (b *backups) add(id fleet.TargetID, tokens int, share float64) {
	l := b.loads[id]
	l.tokens += tokens
	l.share += share
	// Sums of fractions need not return to 0 exactly.
	if l.tokens <= 0 && l.share < 1e-9 {
		delete(b.loads, id)
		return
	}
	b.loads[id] = l
}

// endBackup counts the end of a generation and releases its copy: at once if the run ended well, else
// when the target frees it. s.mu must be held.
func (s *Scheduler) endBackup(p *Placement, o Outcome, now clock.Instant) {
	if p.job.Prompt == 0 || p.continues {
		return
	}
	b := &s.backups
	b.running--
	switch o {
	case Rejected, Unreachable, DialTimedOut, Unsent:
	default:
		p.job.ran = true
	}
	if o == Completed && p.job.Prompt+p.job.Output >= backup.MinTokens && s.offersBackups(p.job.Service) {
		b.observeLongRun(p.job.Route.Name, now.Sub(p.started))
	}
	c := p.Backup
	if c == nil {
		return
	}
	b.copied--
	b.add(p.Target.ID, 0, -c.share)
	b.add(c.Target.ID, 0, -c.share)
	if o == Completed || !p.job.ran || c.holdTime == 0 || len(b.abandoned) >= maxAbandonedCopies {
		s.releaseCopy(c.Target.ID, c.Tokens)
		return
	}
	p.copyAbandoned = now
	b.abandoned = append(b.abandoned, abandonedCopy{c.Target.ID, c.Tokens, now.Add(c.holdTime)})
}

// observeLongRun adds a completed run to the mean of its route.
func (b *backups) observeLongRun(route string, took time.Duration) {
	if _, ok := b.longRuns[route]; !ok {
		if len(b.longRuns) >= maxLongRunRoutes {
			// Routes that are gone are not told apart; the means of the others are learned again.
			clear(b.longRuns)
		}
		b.longRuns[route] = initialRunTime
	}
	b.longRuns[route] += time.Duration(longRunWeight * float64(took-b.longRuns[route]))
}

// releaseCopy ends the load of a copy at its target. s.mu must be held.
func (s *Scheduler) releaseCopy(id fleet.TargetID, tokens int) {
	s.backups.add(id, -tokens, 0)
	s.target(id).ownLoad.Memory -= tokens
}

// expireCopies releases the copies that their targets have freed. s.mu must be held.
func (s *Scheduler) expireCopies(now clock.Instant) {
	b := &s.backups
	kept := b.abandoned[:0]
	for _, c := range b.abandoned {
		if now < c.until {
			kept = append(kept, c)
			continue
		}
		s.releaseCopy(c.target, c.tokens)
	}
	b.abandoned = kept
}

// takeCopy releases the copy of a run that goes on from it, whose memory counts as that of the run. s.mu
// must be held.
func (s *Scheduler) takeCopy(p *Placement) {
	b := &s.backups
	for i, c := range b.abandoned {
		if c.target == p.Backup.Target.ID && c.tokens == p.Backup.Tokens && c.until == p.copyAbandoned.Add(p.Backup.holdTime) {
			b.abandoned = slices.Delete(b.abandoned, i, i+1)
			s.releaseCopy(c.target, c.tokens)
			return
		}
	}
}

// ContinueResult says whether a broken run was placed on the target of its copy.
type ContinueResult string

// Results of Continue.
const (
	ContinuePlaced ContinueResult = "placed"
	// ContinueSuspect: the request is refused because it crashes targets.
	ContinueSuspect ContinueResult = "crashes_targets"
	// ContinueLate: too little time is left, or the target has freed the copy.
	ContinueLate ContinueResult = "too_late"
	// ContinueLeft: the target of the copy is not listed any more, leaves, or the list is old.
	ContinueLeft ContinueResult = "target_left"
)

// Continue places a broken run, whose placement has ended, on the target that holds its copy. The run is
// the same one there: it draws on no retry budget and is not charged again. A request that is refused because it
// crashes targets does not go on, either. It may be called once for a placement with a Backup.
func (p *Placement) Continue() (*Placement, ContinueResult) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now, j, c := s.options.Now(), p.job, p.Backup
	if j.Deadline.Sub(now) <= minReplacementTime || p.copyAbandoned != 0 && now.Sub(p.copyAbandoned) >= c.holdTime {
		s.backups.counters.Late++
		return nil, ContinueLate
	}
	if !s.isListingCurrent(now) || !s.inventory.IsUsable(c.Target.ID, c.Target.StartMillis) {
		return nil, ContinueLeft
	}
	judgement := s.judge(j, now)
	if judgement.Refused {
		s.backups.counters.Refused++
		return nil, ContinueSuspect
	}
	if judgement.Trial {
		s.evidence.RecordTrial(j.traits, now)
	}
	s.backups.counters.Continued++
	next := &Placement{
		Target: c.Target, Cached: j.Prompt, scheduler: s, job: j, started: now, continues: true,
		// The prompt is not prefilled again: its parts neither crash this target nor are shown to be sound by it.
		answering: true,
		load:      placement.Load{Running: 1, Memory: c.Tokens},
	}
	s.takeCopy(p)
	t := s.target(c.Target.ID)
	t.ownLoad = t.ownLoad.Add(next.load)
	t.starts.Add(now)
	return next, ContinuePlaced
}

// Continues reports whether the placement is that of a run that goes on from its copy.
func (p *Placement) Continues() bool { return p.continues }
