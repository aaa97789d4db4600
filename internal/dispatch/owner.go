package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Accounts are the customers' service accounts that an Owner reads and lifts;
// *fairness.Accounts is one.
type Accounts interface {
	VirtualTime(c fleet.CustomerID) int64
	Standing(c fleet.CustomerID) (virtualTime int64, share int)
	// Epoch changes when a virtual time may have fallen.
	Epoch() uint64
	ActivateAt(c fleet.CustomerID, floor int64)
	Deactivate(c fleet.CustomerID)
	Clamp(members []fleet.CustomerID)
}

// Limiter says how many requests may start on a target.
type Limiter interface {
	Available(t fleet.TargetID, now time.Time) int
}

// Target is an owned target.
type Target struct {
	ID        fleet.TargetID
	Workloads []fleet.Workload
	// Limit is the limit in force, for the proportion that is free.
	Limit int
	// Load is the target's own measure of load, 0 idle to 1 full.
	Load  float64
	Ready bool
}

// ownedTarget is a target and its state in the current decision.
type ownedTarget struct {
	Target
	free  int
	score float64
	// reserved says that the target is kept for a request that must run alone.
	reserved bool
}

// GrantTimeout is how long an unacknowledged grant counts as on its way. It must
// exceed the permit time by a heartbeat's interval and delay; a grant that was lost
// is then given anew.
const GrantTimeout = 2 * time.Second

// grant is one that the entry has not yet acknowledged.
type grant struct {
	seq      uint64
	at       time.Time
	demand   *demand
	estimate fleet.Cost
}

// entryState is what an owner keeps for one entry.
type entryState struct {
	round    uint64
	demands  map[demandKey]*demand
	inFlight []grant
}

type demandKey struct {
	customer fleet.CustomerID
	workload fleet.Workload
}

// Owner chooses the next grant for the targets that one instance owns.
type Owner struct {
	accounts  Accounts
	policy    Policy
	score     Score
	rng       *rand.Rand
	epoch     uint64
	turn      int64
	targets   []ownedTarget
	classes   map[fleet.Workload]*class
	ordered   []*class
	customers map[fleet.CustomerID]*customer
	entries   map[fleet.InstanceID]*entryState
	scratch   []fleet.CustomerID
	alone     aloneState
	near      func(fleet.InstanceID) bool
}

// NewOwner returns an owner of no targets. A nil policy means Fair and a nil score
// DefaultScore. rng breaks ties.
func NewOwner(accounts Accounts, policy Policy, score Score, rng *rand.Rand) *Owner {
	if policy == nil {
		policy = Fair{}
	}
	if score == nil {
		score = DefaultScore
	}
	return &Owner{
		accounts:  accounts,
		policy:    policy,
		score:     score,
		rng:       rng,
		classes:   map[fleet.Workload]*class{},
		customers: map[fleet.CustomerID]*customer{},
		entries:   map[fleet.InstanceID]*entryState{},
	}
}

// SetLocalEntries tells which entries are in the owner's data centre; all are by default.
func (o *Owner) SetLocalEntries(near func(fleet.InstanceID) bool) { o.near = near }

// SetTargets replaces the targets that this instance owns. O(targets · workloads).
func (o *Owner) SetTargets(ts []Target) {
	o.targets = o.targets[:0]
	for _, c := range o.ordered {
		c.targets = c.targets[:0]
	}
	for i, t := range ts {
		o.targets = append(o.targets, ownedTarget{Target: t})
		for _, w := range t.Workloads {
			c := o.class(w)
			c.targets = append(c.targets, i)
		}
	}
	o.dropIdleClasses()
	o.reserve(o.alone.reserved)
}

func (o *Owner) class(w fleet.Workload) *class {
	c, ok := o.classes[w]
	if !ok {
		c = &class{workload: w}
		o.classes[w] = c
		o.ordered = append(o.ordered, c)
	}
	return c
}

func (o *Owner) dropIdleClasses() {
	members := map[*class]bool{}
	for _, c := range o.customers {
		for _, m := range c.members {
			members[m.class] = true
		}
	}
	o.ordered = slices.DeleteFunc(o.ordered, func(c *class) bool {
		idle := len(c.targets) == 0 && !members[c]
		if idle {
			delete(o.classes, c.workload)
		}
		return idle
	})
}

// SetDemand replaces what waits at an entry by the whole state that a heartbeat
// carried. acknowledged is the heartbeat's GrantSeq: grants up to it are reflected
// in ds and in the service counters of the same heartbeat, which must be merged
// first; later ones are subtracted from ds. O(len(ds) · log customers).
func (o *Owner) SetDemand(entry fleet.InstanceID, ds []wire.Demand, acknowledged uint64, now time.Time) {
	e, ok := o.entries[entry]
	if !ok {
		e = &entryState{demands: map[demandKey]*demand{}}
		o.entries[entry] = e
	}
	o.checkEpoch()
	o.settle(e, acknowledged, now)
	e.round++
	for _, wd := range ds {
		d := o.demand(entry, e, demandKey{wd.Customer, wd.Workload})
		d.round = e.round
		d.estimate = wd.Estimate
		d.since = now.Add(-time.Duration(wd.WaitMillis) * time.Millisecond)
		o.setWaiting(d, wd.Waiting)
	}
	for k, d := range e.demands {
		if d.round == e.round {
			continue
		}
		o.setWaiting(d, 0)
		if d.inFlight == 0 {
			o.drop(e, k, d)
		}
	}
}

// settle forgets the grants in flight up to a sequence number, and those that are
// too old to be used.
func (o *Owner) settle(e *entryState, acknowledged uint64, now time.Time) {
	n := 0
	for n < len(e.inFlight) {
		g := &e.inFlight[n]
		if g.seq > acknowledged && now.Sub(g.at) < GrantTimeout {
			break
		}
		o.release(e.inFlight[n])
		n++
	}
	e.inFlight = append(e.inFlight[:0], e.inFlight[n:]...)
}

func (o *Owner) release(g grant) {
	g.demand.inFlight--
	g.demand.member.customer.pending -= g.estimate
	o.update(g.demand.member)
	o.fixAll(g.demand.member.customer)
}

// demand returns the state of an entry's demand, which it makes if needed.
func (o *Owner) demand(entry fleet.InstanceID, e *entryState, k demandKey) *demand {
	if d, ok := e.demands[k]; ok {
		return d
	}
	m := o.member(k)
	d := &demand{entry: entry, member: m}
	m.demands = append(m.demands, d)
	e.demands[k] = d
	return d
}

func (o *Owner) member(k demandKey) *member {
	c, ok := o.customers[k.customer]
	if !ok {
		c = &customer{id: k.customer}
		o.customers[k.customer] = c
	}
	cl := o.class(k.workload)
	for _, m := range c.members {
		if m.class == cl {
			return m
		}
	}
	m := &member{customer: c, class: cl, pos: -1}
	c.members = append(c.members, m)
	return m
}

func (o *Owner) drop(e *entryState, k demandKey, d *demand) {
	delete(e.demands, k)
	m := d.member
	m.demands = slices.DeleteFunc(m.demands, func(x *demand) bool { return x == d })
	if len(m.demands) > 0 {
		return
	}
	c := m.customer
	c.members = slices.DeleteFunc(c.members, func(x *member) bool { return x == m })
	if len(c.members) == 0 {
		delete(o.customers, c.id)
		o.accounts.Deactivate(c.id)
	}
}

func (o *Owner) setWaiting(d *demand, waiting int) {
	d.waiting = max(0, waiting)
	o.update(d.member)
}

// update brings the member's place in its class in line with its demands.
func (o *Owner) update(m *member) {
	available := 0
	for _, d := range m.demands {
		available += d.available()
	}
	m.class.ungranted += available - m.available
	m.available = available
	switch {
	case available > 0 && m.pos < 0:
		o.enter(m)
	case available == 0 && m.pos >= 0:
		m.class.remove(m)
	case m.pos >= 0:
		m.key = o.key(m)
		m.class.fix(m)
	}
}

// enter puts a member into its class. A customer that was idle is lifted to the
// least virtual time there, or to that of the customer served last.
func (o *Owner) enter(m *member) {
	cl := m.class
	floor := o.accounts.VirtualTime(cl.last)
	if top := o.top(cl); top != nil {
		floor = o.accounts.VirtualTime(top.customer.id)
	}
	o.accounts.ActivateAt(m.customer.id, floor)
	m.tie = o.rng.Uint32()
	m.key = o.key(m)
	cl.push(m)
}

// fixAll corrects a customer's keys in all classes after its pending cost fell.
func (o *Owner) fixAll(c *customer) {
	for _, m := range c.members {
		if m.pos >= 0 {
			m.key = o.key(m)
			m.class.fix(m)
		}
	}
}

func (o *Owner) key(m *member) int64 {
	c := m.customer
	virtualTime, share := o.accounts.Standing(c.id)
	contender := Contender{
		Customer:    c.id,
		Share:       share,
		VirtualTime: virtualTime,
		Pending:     c.pending,
		LastGrant:   c.lastTurn,
	}
	if d := m.longestWaiting(); d != nil {
		contender.OldestEnqueued = d.since
	}
	return o.policy.Key(contender)
}

// RemoveEntry forgets an entry that has ended, with its demand and the grants it
// has not acknowledged.
func (o *Owner) RemoveEntry(entry fleet.InstanceID) {
	delete(o.alone.demands, entry)
	e, ok := o.entries[entry]
	if !ok {
		return
	}
	for _, g := range e.inFlight {
		o.release(g)
	}
	for k, d := range e.demands {
		o.setWaiting(d, 0)
		o.drop(e, k, d)
	}
	delete(o.entries, entry)
}

// Granted notes that a decision was sent to its entry as grant seq. Until it is
// called, Next may return the same decision again. A grant alone needs no call. O(entries + log customers).
func (o *Owner) Granted(d Decision, seq uint64) {
	e, ok := o.entries[d.Entry]
	if !ok || d.Alone {
		return
	}
	dm, ok := e.demands[demandKey{d.Customer, d.Workload}]
	if !ok {
		return
	}
	e.inFlight = append(e.inFlight, grant{seq: seq, at: d.At, demand: dm, estimate: d.Estimate})
	dm.inFlight++
	o.turn++
	m := dm.member
	m.customer.pending += d.Estimate
	m.customer.lastTurn = o.turn
	m.class.last = d.Customer
	m.tie = o.rng.Uint32()
	o.update(m)
	o.fixAll(m.customer)
}

// Returned notes that an entry gave a grant back or can no longer use it.
func (o *Owner) Returned(entry fleet.InstanceID, seq uint64) {
	e, ok := o.entries[entry]
	if !ok {
		return
	}
	for i, g := range e.inFlight {
		if g.seq == seq {
			e.inFlight = slices.Delete(e.inFlight, i, i+1)
			o.release(g)
			return
		}
	}
}

// Tick clamps the lags within each class. Call it about once a second.
// O(n log n) for n backlogged customers.
func (o *Owner) Tick() {
	for _, c := range o.ordered {
		o.scratch = o.scratch[:0]
		for _, m := range c.heap {
			o.scratch = append(o.scratch, m.customer.id)
		}
		o.accounts.Clamp(o.scratch)
	}
}
