// Package scheduler decides for one instance which request starts when and on which
// target. It joins the pure decisions (shares of customers, placement, pacing, the
// table of targets) and owns their state.
//
// A mutex guards the state, in place of a goroutine that owns it: requests meet it
// twice each, hold it for tens of microseconds, and a wake-up of another goroutine
// would cost as much as the decision. Nothing blocks under the mutex.
//
// Instances exchange what they run by heartbeats, as whole states. The view of a
// target's load is thus exact for this instance's part and a heartbeat old for the
// others'.
package scheduler

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/affinity"
	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/exchange"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/pacing"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/quota"
	"medlarwind.dev/medlarwind/internal/roster"
)

// Options are the constants of a Scheduler.
type Options struct {
	Self fleet.InstanceID
	// DataCentre is this instance's; Regions maps data centres to regions.
	DataCentre fleet.DataCentreID
	Regions    map[fleet.DataCentreID]fleet.RegionID
	Now        clock.Source
	// ShareWindow is the time over which customers' shares are kept.
	ShareWindow time.Duration
	// RetryRatio and RetryExtra bound the second sends of the whole fleet for each
	// service within RetryWindow.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// Scheduler holds the state of the decisions.
type Scheduler struct {
	options Options

	mu        sync.Mutex
	catalog   *catalog.Catalog
	inventory *inventory.Inventory
	meter     *quota.Meter
	cache     *affinity.Cache
	alive     []roster.Member
	loads     map[fleet.TargetID]*targetState
	exchange  *exchange.Table
	budgets   map[fleet.ServiceID]*pacing.Budget
	suspects  map[uint64]*suspect
	totals    map[fleet.CustomerID]exchange.Usage
	queue     []*waiter
	levels    levels
	// usable holds the targets of each service for the listing that listing numbers.
	usable  map[fleet.ServiceID]*prospects
	listing uint64
	// candidateBuffer and prospectBuffer are reused from one decision to the next.
	candidateBuffer []placement.Candidate
	prospectBuffer  []*prospect
}

// targetState is what this instance knows of one target by its own requests.
type targetState struct {
	own    placement.Load
	starts pacing.Starts
	// failing is the smoothed part of failures among recent requests.
	failing float64
	// avoidUntil keeps work away after failures in a row.
	avoidUntil clock.Instant
	failures   int
	// brokenAt is when a connection last broke or failed, told to peers.
	brokenAt clock.Instant
	trial    bool
}

// New returns a scheduler that knows no configuration and no target.
func New(o Options) *Scheduler {
	return &Scheduler{
		options:   o,
		inventory: inventory.New(),
		meter:     quota.NewMeter(o.ShareWindow),
		cache:     affinity.New(),
		loads:     make(map[fleet.TargetID]*targetState),
		exchange:  exchange.New(o.DataCentre),
		budgets:   make(map[fleet.ServiceID]*pacing.Budget),
		suspects:  make(map[uint64]*suspect),
		totals:    make(map[fleet.CustomerID]exchange.Usage),
		usable:    make(map[fleet.ServiceID]*prospects),
		listing:   1,
	}
}

// SetCatalog puts a configuration in force.
func (s *Scheduler) SetCatalog(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = c
	s.forgetProspects()
}

// SetTargets takes in a listing.
func (s *Scheduler) SetTargets(listed []inventory.Target, evacuated []fleet.DataCentreID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory.Update(listed, evacuated, s.options.Now())
	s.forgetProspects()
	s.forgetTargets()
	s.pump()
}

// forgetTargets drops what is known of targets that are gone and run nothing of this
// instance's: each start of a target has a new id. Recent starts stay counted, since a
// target whose entry lapsed may come back cold. The mutex is held.
func (s *Scheduler) forgetTargets() {
	now := s.options.Now()
	for id, t := range s.loads {
		if _, listed := s.inventory.Get(id); !listed && t.own == (placement.Load{}) && t.starts.Count(now) == 0 {
			delete(s.loads, id)
		}
	}
}

// NoteOutage notes that the listing is out of reach.
func (s *Scheduler) NoteOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inventory.NoteOutage(s.options.Now())
}

// SetAlive takes in the view of the fleet, this instance included.
func (s *Scheduler) SetAlive(alive []roster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.EqualFunc(s.alive, alive, func(a, b roster.Member) bool { return a.ID == b.ID }) {
		s.forgetProspects()
	}
	s.alive = alive
	s.exchange.Forget(s.options.Now())
}

// Tick does what depends on time alone: queued jobs, targets that are absent.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inventory.Expire(s.options.Now()) {
		s.forgetProspects()
	}
	s.pump()
}

// QueueLength returns the number of queued jobs.
func (s *Scheduler) QueueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// RecordArrival counts a new job; it is called once for each request of a caller.
func (s *Scheduler) RecordArrival(j *Job) {
	j.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.budget(j.Service.ID).First(now)
	if j.Prompt == 0 {
		return
	}
	s.meter.AddDemand(j.Customer, j.weight(), now)
	s.count(j.Customer, j.weight(), 0)
}

// Admit waits until the job may be sent to a target. again says that it was sent
// before, which draws on the budget of second sends. The error is a *Refusal, and
// then the job has not run on account of this call.
func (s *Scheduler) Admit(ctx context.Context, j *Job, again bool) (*Placement, error) {
	j.prepare()
	s.mu.Lock()
	now := s.options.Now()
	if again && !s.budget(j.Service.ID).Take(now) {
		s.mu.Unlock()
		return nil, &Refusal{Reason: ReasonRetryBudget}
	}
	verdict := s.decide(j, now)
	if verdict.placement != nil || verdict.refusal != nil {
		s.mu.Unlock()
		if verdict.refusal != nil {
			return nil, verdict.refusal
		}
		return verdict.placement, nil
	}
	w, refusal := s.enqueue(j, now)
	s.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return s.await(ctx, w)
}

func (s *Scheduler) budget(id fleet.ServiceID) *pacing.Budget {
	b := s.budgets[id]
	if b == nil {
		b = &pacing.Budget{Window: s.options.RetryWindow}
		s.budgets[id] = b
	}
	// The constant is divided between the instances that are seen, and never more
	// widely than between minBudgetParts, so that a view that lacks instances does
	// not exceed it. A part of the ratio stays unused for the edges of windows.
	b.Ratio = s.options.RetryRatio * budgetUse
	b.Extra = s.options.RetryExtra * budgetUse / float64(max(len(s.alive), minBudgetParts))
	return b
}

// Constants of the budget of second sends.
const (
	budgetUse      = 0.7
	minBudgetParts = 8
)

// count adds to what this instance tells of a customer's tokens.
func (s *Scheduler) count(c fleet.CustomerID, asked, started float64) {
	u := s.totals[c]
	s.totals[c] = exchange.Usage{Asked: u.Asked + asked, Started: u.Started + started}
}

func (s *Scheduler) target(id fleet.TargetID) *targetState {
	t := s.loads[id]
	if t == nil {
		t = &targetState{}
		s.loads[id] = t
	}
	return t
}

// levels are even shares of a window, in tokens.
type levels struct {
	at clock.Instant
	// owed is the even share of the published throughput, reached that of what the
	// engines really do, which is more while prompts are held in their caches.
	owed, reached float64
}

// shares returns the even shares, computed a few times a second.
func (s *Scheduler) shares(now clock.Instant) levels {
	if s.catalog == nil || s.catalog.Limits.TokensPerSecond <= 0 {
		return levels{owed: math.Inf(1), reached: math.Inf(1)}
	}
	if s.levels.at == 0 || now.Sub(s.levels.at) >= levelInterval {
		published := s.catalog.Limits.TokensPerSecond
		s.levels = levels{
			at:      now,
			owed:    s.meter.FairShare(published, now),
			reached: s.meter.FairShare(max(published, reachMore*s.meter.Throughput(now)), now),
		}
	}
	return s.levels
}

// Constants of the even shares.
const (
	// levelInterval is the time between two computations.
	levelInterval = 50 * time.Millisecond
	// reachMore lets customers ask for a little more than the engines do now, so that
	// the share grows while they have room.
	reachMore = 1.2
)
