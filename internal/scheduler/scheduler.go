// Package scheduler decides for one instance when each request starts and on which
// target. It combines the fair shares of customers, target placement, pacing and the
// target inventory, and holds their state.
//
// The state is guarded by a mutex rather than owned by a goroutine: each request takes
// the mutex twice and holds it for tens of microseconds, and waking another goroutine
// would cost as much as the decision itself. Nothing blocks while the mutex is held.
//
// Instances report their load to each other in heartbeats, always as a complete snapshot.
// The load of a target is therefore exact for the requests of this instance and up to one
// heartbeat old for those of other instances.
package scheduler

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"medlarwind.dev/medlarwind/internal/affinity"
	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/exchange"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/locate"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/pacing"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/quarantine"
	"medlarwind.dev/medlarwind/internal/quota"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/speed"
)

// Options holds the settings of a Scheduler.
type Options struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	// DataCentre is the data centre of this instance. Regions maps data centres to
	// regions.
	DataCentre fleet.DataCentreID
	Regions    map[fleet.DataCentreID]fleet.RegionID
	Now        clock.Source
	// ShareWindow is the sliding window over which the shares of customers are computed.
	ShareWindow time.Duration
	// RetryRatio and RetryExtra limit the retries of the whole fleet for each service
	// within RetryWindow: to a fraction of the first attempts plus a constant.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ListingConfirmedAt returns when the list of targets was last known to be the newest. If it
	// is nil, the list counts as always current.
	ListingConfirmedAt func() clock.Instant
	// ListingMaxAge is the age from which the list no longer shows which targets get work, 0 for
	// none.
	ListingMaxAge time.Duration
	// Features are the parts that are switched on.
	Features feature.Set
}

// Scheduler places requests on targets and holds the state that this needs. It is safe
// for concurrent use.
type Scheduler struct {
	options Options

	mu        sync.Mutex
	catalog   *catalog.Catalog
	inventory *inventory.Inventory
	meter     *quota.Meter
	// ownMeter counts the demand at this instance alone.
	ownMeter *quota.Meter
	ownPart  ownPart
	cache    *affinity.Cache
	prefixes prefixState
	backups  backups
	alive    []roster.Member
	// entries are the live instances that callers are directed to. What the fleet divides between
	// instances goes to them, since the others get few requests.
	entries []fleet.InstanceID
	speeds  *speed.Estimator
	// speedsAt is when the speeds of all targets were last brought up to date.
	speedsAt clock.Instant
	// meanSpeeds are the mean speeds of the services' engines then.
	meanSpeeds map[fleet.ServiceID]float64
	oddTimes   []OddTime
	// isolation keeps long prefills apart; isolationChanges are its changes until they are taken.
	isolation        prefillIsolation
	isolationChanges []IsolationChange
	loads            loads
	// failedReadAt is when the target list could last not be read.
	failedReadAt clock.Instant
	// processor is how this instance's own processor keeps up.
	processor ProcessorState
	// late is set while processor refuses some generations. It may be read without mu.
	late         atomic.Bool
	targets      map[fleet.TargetID]*targetState
	exchange     *exchange.Table
	random       *rand.Rand
	retryBudgets map[fleet.ServiceID]*pacing.RetryBudget
	// limits holds the limits that targets name.
	limits   *pacing.LimitTable
	evidence *quarantine.Evidence
	// brokenRuns are the runs of which it is not known yet whether their target crashed, and
	// crashes the times of known crashes by startKey.
	brokenRuns  []brokenRun
	crashes     map[uint64]clock.Instant
	usageTotals map[fleet.CustomerID]exchange.Usage
	// recentUsage is the growth of usageTotals since the last ShareReport.
	recentUsage map[fleet.CustomerID]exchange.Usage
	// startCounters count the generations that each customer started at this instance
	// within the last second.
	startCounters map[fleet.CustomerID]*pacing.StartCounter
	queue         []*waiter
	// overLimit remembers for which requests no target was within the limit just now.
	overLimit overLimit
	// vainPassAt is the time of the last pass over the queue that found no job to start.
	vainPassAt clock.Instant
	fairShares fairShares
	// targetLists holds the usable targets of each service. generation increases whenever
	// the lists become invalid.
	targetLists map[fleet.ServiceID]*targetList
	generation  uint64
	// candidateBuffer and targetBuffer are reused from one decision to the next.
	candidateBuffer []placement.Candidate
	targetBuffer    []*usableTarget
	// selfHash is the hash of the instance's id.
	selfHash uint64
	// paced holds the services whose targets report a pace, as of the last update.
	paced  map[fleet.ServiceID]bool
	starts startCounts
	// dryRun is set in the copy on which Where decides: decide then starts nothing.
	dryRun bool
}

// targetState holds what this instance has observed of one target.
type targetState struct {
	ownLoad placement.Load
	starts  pacing.StartCounter
	// backlog estimates which part of ownLoad.Unread is still to be prefilled.
	backlog backlog
	// speed is the estimated speed of an engine in tokens a millisecond, 0 if it is not known.
	speed float64
	// slowness is how long calls take on a target of a plain service, as a factor of the service's time, 0 if it is
	// not known.
	slowness float64
	// failureRate is the smoothed fraction of recent requests that failed.
	failureRate float64
	// avoidUntil is the time until which the target gets no requests after failures.
	avoidUntil          clock.Instant
	consecutiveFailures int
	// silentAt is when a run that began after the last silence ended as silent.
	silentAt clock.Instant
	// silenceEnded says that a run that began after silentAt was answered. silentFailures is how many of
	// consecutiveFailures are silent runs.
	silenceEnded   bool
	silentFailures int
	// brokenAt is when a failed connection last marked the target as down, which is
	// reported to peers.
	brokenAt  clock.Instant
	suspicion suspicion
	pause     pause
	// heldBackAt is when a limit that the target names last held a request back, waitingSince
	// when it began to.
	heldBackAt, waitingSince clock.Instant
	// probing is set while a single request tests the target after consecutive failures.
	probing bool
}

// New returns a Scheduler without configuration and targets.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options:       o,
		inventory:     inventory.New(),
		meter:         quota.NewMeter(o.ShareWindow),
		ownMeter:      quota.NewMeter(o.ShareWindow),
		cache:         affinity.New(),
		prefixes:      newPrefixState(),
		backups:       newBackups(),
		paced:         make(map[fleet.ServiceID]bool),
		isolation:     prefillIsolation{services: make(map[fleet.ServiceID]*isolatedService)},
		speeds:        speed.New(placement.AssumedSpeed),
		meanSpeeds:    make(map[fleet.ServiceID]float64),
		loads:         newLoads(&o),
		overLimit:     make(overLimit),
		targets:       make(map[fleet.TargetID]*targetState),
		exchange:      exchange.New(o.DataCentre),
		random:        rand.New(rand.NewPCG(uint64(o.Incarnation), 0)),
		limits:        pacing.NewLimitTable(o.Incarnation),
		retryBudgets:  make(map[fleet.ServiceID]*pacing.RetryBudget),
		evidence:      quarantine.NewEvidence(),
		crashes:       make(map[uint64]clock.Instant),
		startCounters: make(map[fleet.CustomerID]*pacing.StartCounter),
		usageTotals:   make(map[fleet.CustomerID]exchange.Usage),
		recentUsage:   make(map[fleet.CustomerID]exchange.Usage),
		targetLists:   make(map[fleet.ServiceID]*targetList),
		generation:    1,
		selfHash:      membership.Hash(string(o.Self)),
	}
	s.inventory.MaxAge = o.ListingMaxAge
	return s
}

// SetCatalog replaces the configuration.
func (s *Scheduler) SetCatalog(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = c
	s.invalidateTargetLists()
}

// SetTargets replaces the list of targets and the list of evacuated data centres.
func (s *Scheduler) SetTargets(listed []inventory.Target, evacuated []fleet.DataCentreID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory.Update(listed, evacuated, s.options.Now())
	s.recordRestarts()
	s.invalidateTargetLists()
	s.dropUnlistedTargets()
	s.startQueued()
}

// dropUnlistedTargets drops the state of targets that are no longer listed and run no
// request of this instance. The state would otherwise grow without bound, because a
// restarted target can be listed under a new id. Targets to which requests were sent
// recently are kept, because a target whose registry entry lapsed may come back cold, and so are
// those that want none for a time.
// s.mu must be held.
func (s *Scheduler) dropUnlistedTargets() {
	now := s.options.Now()
	s.limits.Expire(s.isListed, now)
	s.speeds.Keep(s.isListed)
	s.prefixes.index.KeepListed(s.isListed)
	s.expireLoads()
	for id, t := range s.targets {
		if _, listed := s.inventory.Get(id); !listed && t.ownLoad == (placement.Load{}) && t.starts.Count(time.Second, now) == 0 && now >= t.pause.until {
			delete(s.targets, id)
		}
	}
}

func (s *Scheduler) isListed(id fleet.TargetID) bool {
	_, listed := s.inventory.Get(id)
	return listed
}

// Times of an outage of the target list.
const (
	// outageAge is the age of the list from which a failed read shows an outage. Below it, other
	// instances have read the list.
	outageAge = 1800 * time.Millisecond
	// failedReadKept is how long a failed read shows an outage. It covers the time between two
	// reads of an instance that does not read for others.
	failedReadKept = 2 * time.Second
)

// NoteFailedRead records that the target list could not be read now.
func (s *Scheduler) NoteFailedRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedReadAt = s.options.Now()
	s.isListingUnreachable(s.failedReadAt)
}

// isListingUnreachable reports whether reads of the target list fail and nobody else confirms it,
// and notes that as an outage. s.mu must be held.
func (s *Scheduler) isListingUnreachable(now clock.Instant) bool {
	if s.failedReadAt == 0 || now.Sub(s.failedReadAt) >= failedReadKept || s.listingAge(now) < outageAge {
		return false
	}
	s.inventory.NoteOutage(now)
	return true
}

// SetAlive replaces the list of live instances, which includes this instance.
func (s *Scheduler) SetAlive(alive []roster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.EqualFunc(s.alive, alive, func(a, b roster.Member) bool { return a.ID == b.ID && a.Leaving == b.Leaving }) {
		s.invalidateTargetLists()
		s.entries = s.entriesOf(alive)
	}
	s.alive = alive
	s.exchange.Expire(s.options.Now())
}

// SetProcessor records how this instance's own processor keeps up.
func (s *Scheduler) SetProcessor(p ProcessorState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processor = p
	s.late.Store(p.Delay >= shedSpareFrom)
}

// entriesOf returns the instances that callers are directed to, all if none is known to be.
func (s *Scheduler) entriesOf(alive []roster.Member) []fleet.InstanceID {
	chosen := locate.Entries(alive, s.options.Regions)
	var entries []fleet.InstanceID
	for _, m := range alive {
		if chosen[m.ID] || len(chosen) == 0 {
			entries = append(entries, m.ID)
		}
	}
	return entries
}

// Tick does the work that depends only on time: it expires absent targets and starts
// queued jobs. It must be called periodically.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.isListingUnreachable(now)
	if s.inventory.Expire(now) {
		s.invalidateTargetLists()
	}
	s.updateSpeeds()
	s.updatePrefixes()
	s.updatePaced(now)
	s.updateIsolation(now)
	s.expireCopies(now)
	s.startQueued()
}

// QueueLength returns the number of queued jobs.
func (s *Scheduler) QueueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// RecordArrival counts a new job towards the demand of its customer and the retry budget
// of its service. It must be called once for each request of a caller.
func (s *Scheduler) RecordArrival(j *Job) {
	j.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countArrival(j, s.options.Now())
}

// countArrival does the work of RecordArrival. s.mu must be held.
func (s *Scheduler) countArrival(j *Job, now clock.Instant) {
	s.retryBudget(j.Service.ID).AddRequest(now)
	if j.Prompt == 0 {
		return
	}
	s.meter.AddDemand(j.Customer, j.weight(), now)
	s.ownMeter.AddDemand(j.Customer, j.weight(), now)
	s.noteArrival(j, now)
	s.addUsage(j.Customer, j.weight(), 0)
}

// Admit waits until the job may be sent to a target. retry says that the job was sent
// before, in which case its placement draws on the retry budget. The error is a *Refusal, which
// means that this call did not run the job.
func (s *Scheduler) Admit(ctx context.Context, j *Job, retry bool) (*Placement, error) {
	j.prepare()
	s.mu.Lock()
	now := s.options.Now()
	j.considered = consideration{}
	var decision decision
	switch {
	case s.isListingCurrent(now):
		decision = s.place(j, retry, now)
	case !retry:
		decision.refusal = s.refusal(j, ReasonListingOld, now, now)
	}
	if decision.placement != nil || decision.refusal != nil {
		s.mu.Unlock()
		if decision.refusal != nil {
			return nil, decision.refusal
		}
		return decision.placement, nil
	}
	w, refusal := s.enqueue(j, retry, now)
	s.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return s.await(ctx, w)
}

// Replace places a job that already runs on a target, which must be excluded, on another
// one. It returns nil if the job may not start there now, or if its deadline is too close; it never
// waits. Only a returned placement draws on the retry budget.
func (s *Scheduler) Replace(j *Job) *Placement {
	j.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.isListingCurrent(now) || j.Deadline.Sub(now) <= minReplacementTime {
		return nil
	}
	j.replacing = true
	defer func() { j.replacing = false }()
	return s.place(j, true, now).placement
}

// place decides on a job. A retry is refused if the retry budget is used up, and draws on it
// if the job is placed. s.mu must be held.
func (s *Scheduler) place(j *Job, retry bool, now clock.Instant) decision {
	if !retry {
		if s.isShed(j, now) {
			return decision{refusal: s.refusal(j, ReasonInstanceBusy, now, now)}
		}
		return s.decide(j, now)
	}
	budget := s.retryBudget(j.Service.ID)
	if !budget.HasRetry(now) {
		refusal := &Refusal{Reason: ReasonRetryBudget, Inputs: s.inputs(j, now)}
		refusal.Inputs.Retries, refusal.Inputs.RetriesAllowed = budget.State(now)
		return decision{refusal: refusal}
	}
	d := s.decide(j, now)
	if d.placement != nil {
		budget.AllowRetry(now)
	}
	return d
}

// retryBudget returns the retry budget of a service, with its limits updated to the
// number of live instances. s.mu must be held.
func (s *Scheduler) retryBudget(id fleet.ServiceID) *pacing.RetryBudget {
	b := s.retryBudgets[id]
	if b == nil {
		b = &pacing.RetryBudget{Window: s.options.RetryWindow}
		s.retryBudgets[id] = b
	}
	// Only retryBudgetFraction of the budget is used; the rest is a margin for the edges of the
	// sliding windows.
	b.Ratio = s.options.RetryRatio * retryBudgetFraction
	b.Extra = s.options.RetryExtra * retryBudgetFraction * s.budgetPart()
	return b
}

// budgetPart returns this instance's part of what a retry budget allows in addition to a fraction
// of the requests: most of it is divided between the entries, the rest between the other
// instances, but always by at least minBudgetDivisor, so that an instance that sees only a few
// others does not exceed its part. s.mu must be held.
func (s *Scheduler) budgetPart() float64 {
	others := len(s.alive) - len(s.entries)
	switch {
	case others <= 0:
		return 1 / float64(max(len(s.alive), minBudgetDivisor))
	case slices.Contains(s.entries, s.options.Self):
		return entryBudgetFraction / float64(max(len(s.entries), minBudgetDivisor))
	}
	return (1 - entryBudgetFraction) / float64(max(others, minBudgetDivisor))
}

// Constants of the retry budget.
const (
	retryBudgetFraction = 0.7
	entryBudgetFraction = 0.8
	minBudgetDivisor    = 8
)

// addUsage adds to the token counters of a customer that are reported to peers. s.mu must
// be held.
func (s *Scheduler) addUsage(c fleet.CustomerID, requested, started float64) {
	for _, totals := range []map[fleet.CustomerID]exchange.Usage{s.usageTotals, s.recentUsage} {
		u := totals[c]
		totals[c] = exchange.Usage{Requested: u.Requested + requested, Started: u.Started + started}
	}
}

// target returns the state of a target, creating it if needed. s.mu must be held.
func (s *Scheduler) target(id fleet.TargetID) *targetState {
	t := s.targets[id]
	if t == nil {
		t = &targetState{}
		s.targets[id] = t
	}
	return t
}
