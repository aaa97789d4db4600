package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/affinity"
	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/fairness"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/observe"
	"medlarwind.dev/medlarwind/internal/quarantine"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Constants of the core's loop.
const (
	// eventBacklog bounds the events waiting for the core.
	eventBacklog = 4096
	// eventBatch bounds the further events handled before the core makes decisions.
	eventBatch = 64
	// tickInterval is the time between two checks of timeouts and deadlines.
	tickInterval = 50 * time.Millisecond
	// grantBatch bounds the grants of one round.
	grantBatch = 256
	// slowTickInterval is the time between two runs of the expensive maintenance work.
	slowTickInterval = time.Second
)

// transport is the part of peer.Transport that the core uses.
type transport interface {
	SendHeartbeat(to fleet.InstanceID, hb *wire.Heartbeat) bool
	SendGrant(to fleet.InstanceID, g *wire.Grant) bool
	SetPeers(peers []fleet.ListedInstance)
	Connected() []wire.Hello
}

// loadPoller queues polls of targets. Its method never blocks.
type loadPoller interface{ submit(poll) }

// configObserver receives the configuration versions that peers report and the list in
// force.
type configObserver interface {
	Observe(config.Observation)
	SetList(fleet.List)
}

// coreOptions holds the fixed parameters of a core.
type coreOptions struct {
	self              fleet.InstanceID
	incarnation       fleet.Incarnation
	centre            fleet.DataCentreID
	heartbeat         time.Duration
	limits            limit.Params
	queue             dispatch.QueueParams
	fairness          fairness.Params
	policy            dispatch.Policy
	noServiceExchange bool
	rng               *rand.Rand
}

// core makes all decisions of one instance. Only the goroutine that executes run may
// access its mutable state; other goroutines send events.
type core struct {
	options   coreOptions
	events    chan event
	done      chan struct{}
	log       zerolog.Logger
	decisions *observe.DecisionLog
	metrics   *observe.Metrics
	transport transport
	directory *directory
	poller    loadPoller
	watcher   configObserver
	admission *admission

	ledger     *limit.Ledger
	accounts   *fairness.Accounts
	queue      *dispatch.Queue
	planner    *dispatch.Planner
	owner      *dispatch.Owner
	quarantine *quarantine.Tracker
	affinity   *affinity.Cache

	snapshot *config.Snapshot
	list     fleet.List
	targets  map[fleet.TargetID]targetInfo
	// owners caches the current owners of the targets.
	owners   owners
	lastPoll map[fleet.TargetID]time.Time
	// suspended holds owned targets that get no work until a load report arrives that
	// was requested at or after the given time.
	suspended map[fleet.TargetID]time.Time
	// broken holds targets of other owners whose connection to this instance broke, and
	// reportedBroken holds owned targets that an entry reported as broken, each with the
	// time.
	broken          map[fleet.TargetID]time.Time
	reportedBroken  map[fleet.TargetID]time.Time
	brokenBoots     map[fleet.TargetID][]brokenBoot
	caches          map[fleet.TargetID]*cacheReader
	orders          map[orderKey]orderEntry
	orderJobs       chan orderJob
	lastResolvePoll time.Time
	peers           map[fleet.InstanceID]*peerState
	// registered is the demand of the last plan, by peer id.
	registered map[fleet.InstanceID][]wire.Demand
	waiting    map[uint64]*waiter
	// parked holds suspects that the quarantine keeps waiting.
	parked []*waiter
	leases map[*lease]struct{}

	lastRequestID uint64
	selfGrantSeq  uint64
	demandChanged bool
	ownedChanged  bool
	settled       bool
	draining      bool
	// largeFleet is set if the fleet is so large that idle heartbeats between data
	// centres are sent less often.
	largeFleet   bool
	drainStart   time.Time
	closed       bool
	lastSlowTick time.Time
	planRound    uint64
	// nextHeartbeat is the earliest time at which a heartbeat may be due, and wakeAt is
	// the time for which wakeTimer is set.
	nextHeartbeat, wakeAt time.Time
	wakeTimer             *time.Timer
}

// targetInfo combines what the rules and the list say about one target.
type targetInfo struct {
	addr         string
	workloads    []fleet.Workload
	outOfService bool
}

func newCore(o coreOptions, log zerolog.Logger, d *directory, now time.Time) *core {
	accounts := fairness.New(o.incarnation, o.fairness)
	hints := affinity.New()
	c := &core{
		options:        o,
		events:         make(chan event, eventBacklog),
		done:           make(chan struct{}),
		log:            log,
		decisions:      observe.NewDecisionLog(log),
		metrics:        observe.NewMetrics(time.Now),
		directory:      d,
		ledger:         limit.New(o.self, o.incarnation, o.limits, now),
		accounts:       accounts,
		queue:          dispatch.NewQueue(o.queue, hints),
		planner:        dispatch.NewPlanner(o.self, dispatch.PlannerParams{VirtualTime: accounts.VirtualTime}),
		owner:          dispatch.NewOwner(accounts, o.policy, nil, o.rng),
		quarantine:     quarantine.New(o.self, quarantine.Params{}),
		targets:        make(map[fleet.TargetID]targetInfo),
		lastPoll:       make(map[fleet.TargetID]time.Time),
		suspended:      make(map[fleet.TargetID]time.Time),
		broken:         make(map[fleet.TargetID]time.Time),
		reportedBroken: make(map[fleet.TargetID]time.Time),
		brokenBoots:    make(map[fleet.TargetID][]brokenBoot),
		caches:         make(map[fleet.TargetID]*cacheReader),
		affinity:       hints,
		orders:         make(map[orderKey]orderEntry),
		orderJobs:      make(chan orderJob, orderBacklog),
		peers:          make(map[fleet.InstanceID]*peerState),
		waiting:        make(map[uint64]*waiter),
		leases:         make(map[*lease]struct{}),
	}
	c.owner.SetLocalEntries(c.isLocal)
	c.admission = &admission{events: c.events, done: c.done}
	return c
}

// run handles events and ticks until ctx ends.
func (c *core) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.wakeTimer = time.NewTimer(time.Hour)
	defer c.wakeTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.handle(e)
		case <-ticker.C:
			c.tick(time.Now())
		case <-c.wakeTimer.C:
		}
		c.decide(time.Now())
	}
}

// handle applies an event and at most eventBatch events that are queued behind it.
func (c *core) handle(e event) {
	e.apply(c, time.Now())
	for range eventBatch {
		select {
		case e = <-c.events:
			e.apply(c, time.Now())
		default:
			return
		}
	}
}

// decide registers demand, grants starts on owned targets and sends due heartbeats.
func (c *core) decide(now time.Time) {
	c.accounts.Tick(now)
	if c.ownedChanged {
		c.refreshOwned(now)
	}
	c.planDemand(now)
	c.grant(now)
	c.sendHeartbeats(now)
}

// tick handles expired deadlines, silent peers and parked suspects, and runs the
// maintenance work every slowTickInterval.
func (c *core) tick(now time.Time) {
	c.expireWaiting(now)
	c.updateSilent(now)
	c.pollBrokenBoots(now)
	c.recheckParked(now)
	c.ownedChanged = true
	c.demandChanged = c.demandChanged || c.queue.Len() > 0
	if now.Sub(c.lastSlowTick) < slowTickInterval {
		return
	}
	c.lastSlowTick = now
	c.planRound++
	c.reconcilePeers()
	c.pollCaches(now)
	c.sendOrders(now)
	c.owner.Tick()
	c.quarantine.Expire(now)
}

// apply starts a planned stop: callers and peers are directed to other instances.
func (drainEvent) apply(c *core, now time.Time) {
	c.draining = true
	c.drainStart = now
	c.ledger.SetLeaving(true)
	c.publishEntries()
	c.markAllDirty()
	c.recordDraining(observe.DrainBegun, now)
}

// apply stops accepting new work and refuses the waiting requests as not run, except for
// requests that may already have run: these are finished on this instance.
func (e closeEvent) apply(c *core, now time.Time) {
	c.closed = true
	c.recordDraining(observe.DrainClosed, now)
	for _, w := range c.waiting {
		if !w.work.MayHaveRun {
			c.queue.Remove(w.id)
			c.refuse(w, c.drainOutcome(w), now)
		}
	}
	parked := c.parked
	c.parked = nil
	for _, w := range parked {
		if w.work.MayHaveRun {
			c.parked = append(c.parked, w)
			continue
		}
		c.refuse(w, c.drainOutcome(w), now)
	}
	c.demandChanged = true
	close(e.done)
}
