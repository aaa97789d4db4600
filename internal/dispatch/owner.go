package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Accounts are the customers' service accounts, as far as an Owner reads and changes
// them. *fairness.Accounts implements it.
type Accounts interface {
	VirtualTime(c fleet.CustomerID) int64
	// Standing returns a customer's virtual time and share.
	Standing(c fleet.CustomerID) (virtualTime int64, share int)
	// Epoch changes whenever a virtual time may have fallen.
	Epoch() uint64
	ActivateAt(c fleet.CustomerID, floor int64)
	Deactivate(c fleet.CustomerID)
	Clamp(members []fleet.CustomerID)
}

// Limiter reports how many more requests may start on a target.
type Limiter interface {
	Available(t fleet.TargetID, now time.Time) int
}

// Target is a target that the instance owns.
type Target struct {
	ID        fleet.TargetID
	Workloads []fleet.Workload
	// Limit is the limit in force. Scores depend on the proportion of it that is free.
	Limit int
	// Load is the target's load, from 0 (idle) to 1 (full).
	Load  float64
	Ready bool
}

// ownedTarget is a target with its state for the current decision.
type ownedTarget struct {
	Target
	free  int
	score float64
	// reserved is set while the target is kept for a request that must run alone.
	reserved bool
}

// GrantTimeout is how long a grant that the entry has not acknowledged counts as in
// flight. It must exceed the permit time plus a heartbeat's interval and delay. A lost
// grant is issued again after this time.
const GrantTimeout = 2 * time.Second

// grant is a grant that the entry has not yet acknowledged.
type grant struct {
	seq      uint64
	at       time.Time
	demand   *demand
	estimate fleet.Cost
}

// entryState is an owner's state for one entry.
type entryState struct {
	// generation counts the SetDemand calls.
	generation uint64
	demands    map[demandKey]*demand
	// inFlight holds the unacknowledged grants in the order in which they were sent.
	inFlight []grant
}

type demandKey struct {
	customer fleet.CustomerID
	workload fleet.Workload
}

// Owner chooses the next grant for the targets that one instance owns.
type Owner struct {
	accounts Accounts
	policy   Policy
	score    Score
	rng      *rand.Rand
	// epoch is the epoch of the accounts when all keys were last recomputed.
	epoch uint64
	// grantCount is the number of grants recorded, from which lastGrant is set.
	grantCount int64
	targets    []ownedTarget
	classes    map[fleet.Workload]*class
	classList  []*class
	customers  map[fleet.CustomerID]*customer
	entries    map[fleet.InstanceID]*entryState
	// scratch is memory that Tick reuses.
	scratch []fleet.CustomerID
	alone   aloneState
	isLocal func(fleet.InstanceID) bool
}

// NewOwner returns an Owner without targets. A nil policy means Fair and a nil score
// DefaultScore. rng breaks ties between customers.
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

// SetLocalEntries sets the function that reports whether an entry is in the owner's
// data centre. By default all entries are.
func (o *Owner) SetLocalEntries(isLocal func(fleet.InstanceID) bool) { o.isLocal = isLocal }

// SetTargets replaces the targets that this instance owns. O(targets · workloads).
func (o *Owner) SetTargets(ts []Target) {
	o.targets = o.targets[:0]
	for _, c := range o.classList {
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

// class returns the class of workload w, which it creates if needed.
func (o *Owner) class(w fleet.Workload) *class {
	c, ok := o.classes[w]
	if !ok {
		c = &class{workload: w}
		o.classes[w] = c
		o.classList = append(o.classList, c)
	}
	return c
}

// dropIdleClasses removes the classes that have neither targets nor members.
func (o *Owner) dropIdleClasses() {
	members := map[*class]bool{}
	for _, c := range o.customers {
		for _, m := range c.members {
			members[m.class] = true
		}
	}
	o.classList = slices.DeleteFunc(o.classList, func(c *class) bool {
		idle := len(c.targets) == 0 && !members[c]
		if idle {
			delete(o.classes, c.workload)
		}
		return idle
	})
}

// SetDemand replaces an entry's demand with the full state from its heartbeat.
// acknowledged is the heartbeat's GrantSeq. Grants up to it are reflected in ds and in
// the service counters of the same heartbeat; later grants are subtracted from ds. The
// caller must merge these counters first. O(len(ds) · log customers).
func (o *Owner) SetDemand(entry fleet.InstanceID, ds []wire.Demand, acknowledged uint64, now time.Time) {
	e, ok := o.entries[entry]
	if !ok {
		e = &entryState{demands: map[demandKey]*demand{}}
		o.entries[entry] = e
	}
	o.checkEpoch()
	o.pruneInFlight(e, acknowledged, now)
	e.generation++
	for _, wd := range ds {
		d := o.demand(entry, e, demandKey{wd.Customer, wd.Workload})
		d.generation = e.generation
		d.estimate = wd.Estimate
		d.since = now.Add(-time.Duration(wd.WaitMillis) * time.Millisecond)
		o.setWaiting(d, wd.Waiting)
	}
	for k, d := range e.demands {
		if d.generation == e.generation {
			continue
		}
		o.setWaiting(d, 0)
		if d.inFlight == 0 {
			o.removeDemand(e, k, d)
		}
	}
}

// pruneInFlight releases an entry's grants up to the acknowledged sequence number, and
// those that have timed out.
func (o *Owner) pruneInFlight(e *entryState, acknowledged uint64, now time.Time) {
	n := 0
	for n < len(e.inFlight) {
		g := &e.inFlight[n]
		if g.seq > acknowledged && now.Sub(g.at) < GrantTimeout {
			break
		}
		o.releaseGrant(e.inFlight[n])
		n++
	}
	e.inFlight = append(e.inFlight[:0], e.inFlight[n:]...)
}

// releaseGrant stops counting a grant as in flight.
func (o *Owner) releaseGrant(g grant) {
	g.demand.inFlight--
	g.demand.member.customer.pending -= g.estimate
	o.updateMember(g.demand.member)
	o.updateKeys(g.demand.member.customer)
}

// demand returns the state of an entry's demand, which it creates if needed.
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

// member returns the member for k, which it creates if needed.
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
	m := &member{customer: c, class: cl, heapIndex: -1}
	c.members = append(c.members, m)
	return m
}

// removeDemand removes an entry's demand, and its member and customer if they have no
// other.
func (o *Owner) removeDemand(e *entryState, k demandKey, d *demand) {
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
	o.updateMember(d.member)
}

// updateMember recomputes a member's available requests and adds it to the heap of its
// class, removes it or moves it accordingly.
func (o *Owner) updateMember(m *member) {
	available := 0
	for _, d := range m.demands {
		available += d.available()
	}
	m.class.ungranted += available - m.available
	m.available = available
	switch {
	case available > 0 && m.heapIndex < 0:
		o.activate(m)
	case available == 0 && m.heapIndex >= 0:
		m.class.remove(m)
	case m.heapIndex >= 0:
		m.key = o.key(m)
		m.class.fix(m)
	}
}

// activate adds a member to the heap of its class. If its customer was idle, the
// customer's virtual time is raised to the least one in the heap or, if the heap is
// empty, to that of the customer served last.
func (o *Owner) activate(m *member) {
	cl := m.class
	floor := o.accounts.VirtualTime(cl.lastServed)
	if top := o.top(cl); top != nil {
		floor = o.accounts.VirtualTime(top.customer.id)
	}
	o.accounts.ActivateAt(m.customer.id, floor)
	m.tieBreak = o.rng.Uint32()
	m.key = o.key(m)
	cl.push(m)
}

// updateKeys recomputes a customer's keys in all classes after its pending cost
// changed.
func (o *Owner) updateKeys(c *customer) {
	for _, m := range c.members {
		if m.heapIndex >= 0 {
			m.key = o.key(m)
			m.class.fix(m)
		}
	}
}

// key returns the member's current key by the owner's policy.
func (o *Owner) key(m *member) int64 {
	c := m.customer
	virtualTime, share := o.accounts.Standing(c.id)
	contender := Contender{
		Customer:    c.id,
		Share:       share,
		VirtualTime: virtualTime,
		Pending:     c.pending,
		LastGrant:   c.lastGrant,
	}
	if d := m.longestWaiting(); d != nil {
		contender.OldestEnqueued = d.since
	}
	return o.policy.Key(contender)
}

// RemoveEntry removes an entry that has ended, with its demand and unacknowledged
// grants.
func (o *Owner) RemoveEntry(entry fleet.InstanceID) {
	delete(o.alone.demands, entry)
	e, ok := o.entries[entry]
	if !ok {
		return
	}
	for _, g := range e.inFlight {
		o.releaseGrant(g)
	}
	for k, d := range e.demands {
		o.setWaiting(d, 0)
		o.removeDemand(e, k, d)
	}
	delete(o.entries, entry)
}

// Granted records that a decision was sent to its entry as grant seq. Until it is
// called, Next may return the same decision again. It has no effect on a decision of
// NextAlone. O(entries + log customers).
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
	o.grantCount++
	m := dm.member
	m.customer.pending += d.Estimate
	m.customer.lastGrant = o.grantCount
	m.class.lastServed = d.Customer
	m.tieBreak = o.rng.Uint32()
	o.updateMember(m)
	o.updateKeys(m.customer)
}

// Returned records that an entry returned a grant or can no longer use it.
func (o *Owner) Returned(entry fleet.InstanceID, seq uint64) {
	e, ok := o.entries[entry]
	if !ok {
		return
	}
	for i, g := range e.inFlight {
		if g.seq == seq {
			e.inFlight = slices.Delete(e.inFlight, i, i+1)
			o.releaseGrant(g)
			return
		}
	}
}

// Tick limits how far the customers of each class may lag behind each other. Call it
// about once a second. O(n log n) for n backlogged customers.
func (o *Owner) Tick() {
	for _, c := range o.classList {
		o.scratch = o.scratch[:0]
		for _, m := range c.heap {
			o.scratch = append(o.scratch, m.customer.id)
		}
		o.accounts.Clamp(o.scratch)
	}
}
