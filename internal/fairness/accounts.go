// Package fairness keeps the fleet-wide service accounts of customers and turns
// them into virtual times, by which owners choose whom to serve next.
//
// Service is divided by the customer's share when it is charged, and counted in
// grow-only counters, one for each pair of incarnation and customer; counters merge
// by maximum. The virtual time of a customer is the sum of its counters, plus a
// lift. A change of shares therefore moves no virtual time. The lift is a max-register: it
// rises when an idle customer becomes backlogged, and when a customer has fallen
// too far behind those it competes with. Late, repeated and reordered messages
// therefore do no harm.
//
// The package is pure and starts no goroutine. One goroutine owns an Accounts
// value; no method may be called concurrently with another.
package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// MaxCustomers bounds the customers an Accounts value knows, configured or not.
const MaxCustomers = wire.MaxEntries

// Customer is a configured customer.
type Customer struct {
	ID fleet.CustomerID
	// Share is the customer's weight, at least 1.
	Share int
}

// Params are the constants of an Accounts value. Zero fields take the defaults.
type Params struct {
	// MaxLag is the greatest lag, in cost units for one share, that a customer keeps
	// behind the next one ahead of it.
	MaxLag fleet.Cost
	// IdleAfter is how long a customer must have had no demand here and no service
	// anywhere before it counts as idle. It should cover the information age: a
	// customer without demand here may wait at other owners.
	IdleAfter time.Duration
	// SettleFor is how long after its first Tick an instance lifts nobody: until it
	// has heard all counters, differences in virtual time are not real, and a lift
	// made from them would be the whole fleet's.
	SettleFor time.Duration
	// PublishThreshold is the unsent growth of an own counter that makes it worth
	// sending at once, in cost units for one share.
	PublishThreshold fleet.Cost
	// FlushInterval bounds how long a growth below Threshold stays unsent.
	FlushInterval time.Duration
	// MaxRemoteCounters bounds the counters of ended incarnations that are kept one by one,
	// those of live ones included; beyond it the oldest are folded into one sum.
	MaxRemoteCounters int
	// FirstEstimate is the expected output cost of a customer's first request.
	FirstEstimate fleet.Cost
}

// Defaults of Params.
const (
	DefaultMaxLag            fleet.Cost = 200_000
	DefaultIdleAfter                    = 2 * time.Second
	DefaultSettleFor                    = 5 * time.Second
	DefaultPublishThreshold  fleet.Cost = 1_000
	DefaultFlushInterval                = time.Second
	DefaultMaxRemoteCounters            = 1 << 20
	DefaultFirstEstimate     fleet.Cost = 500
)

func (p Params) withDefaults() Params {
	if p.MaxLag <= 0 {
		p.MaxLag = DefaultMaxLag
	}
	if p.IdleAfter <= 0 {
		p.IdleAfter = DefaultIdleAfter
	}
	if p.SettleFor <= 0 {
		p.SettleFor = DefaultSettleFor
	}
	if p.PublishThreshold <= 0 {
		p.PublishThreshold = DefaultPublishThreshold
	}
	if p.FlushInterval <= 0 {
		p.FlushInterval = DefaultFlushInterval
	}
	if p.MaxRemoteCounters <= 0 {
		p.MaxRemoteCounters = DefaultMaxRemoteCounters
	}
	if p.FirstEstimate <= 0 {
		p.FirstEstimate = DefaultFirstEstimate
	}
	return p
}

// account is the state of one customer. Unless said otherwise its amounts are in
// cost units for one share.
type account struct {
	id    fleet.CustomerID
	share fleet.Cost
	// live is the sum of the counters kept one by one, own included.
	live fleet.Cost
	// foldedHere is the sum of the counters folded here; folded is the largest such
	// sum known, here or at a peer.
	foldedHere, folded fleet.Cost
	// own is this incarnation's counter; published is its value when it was last
	// put into the change order.
	own, published fleet.Cost
	lift           fleet.Cost
	// cost is what was charged here, in cost units; remainder is the part of it too
	// small to count in own yet.
	cost, remainder fleet.Cost
	// backlogged says that the customer has demand here; lastActive is when it last
	// had, or was served anywhere.
	backlogged bool
	lastActive time.Time
	estimate   estimate
	unsent     bool

	ownRecord, foldedRecord, liftRecord recordID
}

// total returns the sum of the customer's counters as known here.
func (c *account) total() fleet.Cost {
	return c.live + c.folded
}

func (c *account) virtualTime() int64 {
	return int64(c.total() + c.lift)
}

// Accounts holds the service accounts as one instance knows them.
type Accounts struct {
	self     fleet.Incarnation
	params   Params
	now      time.Time
	started  time.Time
	flushed  time.Time
	index    map[fleet.CustomerID]int32
	accounts []account
	foreign  map[fleet.Incarnation]*foreign
	// foreignCount is the number of counters in foreign; ended lists incarnations
	// in the order in which they were known or ended.
	foreignCount int
	ended        []fleet.Incarnation
	folded       map[fleet.Incarnation]struct{}
	changes      changeOrder
	peers        map[fleet.InstanceID]*peerState
	unsent       []int32
	order        []int32
	epoch        uint64
}

// New returns accounts for the incarnation self without any customer.
func New(self fleet.Incarnation, p Params) *Accounts {
	return &Accounts{
		self:    self,
		params:  p.withDefaults(),
		index:   map[fleet.CustomerID]int32{},
		foreign: map[fleet.Incarnation]*foreign{},
		folded:  map[fleet.Incarnation]struct{}{},
		changes: newChangeOrder(),
		peers:   map[fleet.InstanceID]*peerState{},
	}
}

// SetCustomers sets the shares of the configured customers, for what is charged
// from now on. Accounts of customers that are no longer configured stay, with a
// share of 1. O(customers).
func (a *Accounts) SetCustomers(cs []Customer) {
	for i := range a.accounts {
		a.accounts[i].share = 1
	}
	for _, c := range cs {
		if i, ok := a.intern(c.ID); ok {
			a.accounts[i].share = fleet.Cost(max(1, c.Share))
		}
	}
}

// intern returns the index of the customer's account, which it makes if there is
// room for another.
func (a *Accounts) intern(id fleet.CustomerID) (int32, bool) {
	if i, ok := a.index[id]; ok {
		return i, true
	}
	if len(a.accounts) >= MaxCustomers {
		return 0, false
	}
	i := int32(len(a.accounts))
	a.index[id] = i
	a.accounts = append(a.accounts, account{
		id:           id,
		share:        1,
		ownRecord:    a.changes.add(record{kind: ownCounter, customer: i, incarnation: a.self}),
		foldedRecord: a.changes.add(record{kind: foldedSum, customer: i, incarnation: FoldedIncarnation}),
		liftRecord:   a.changes.add(record{kind: lift, customer: i}),
	})
	return i, true
}

// Epoch changes whenever a virtual time may have fallen, which is when counters were
// folded. In between, virtual times only rise.
func (a *Accounts) Epoch() uint64 { return a.epoch }

// Tick advances the accounts' clock and makes small unsent changes due for
// sending every FlushAfter. O(customers charged since the last flush).
func (a *Accounts) Tick(now time.Time) {
	a.now = now
	if a.started.IsZero() {
		a.started = now
	}
	if now.Sub(a.flushed) < a.params.FlushInterval {
		return
	}
	a.flushed = now
	for _, i := range a.unsent {
		a.accounts[i].unsent = false
		a.publishOwn(i)
	}
	a.unsent = a.unsent[:0]
}

// Charge adds service, in cost units, that this instance saw as an entry. Cost
// that is not positive is ignored, so the counter only grows. O(1).
func (a *Accounts) Charge(c fleet.CustomerID, cost fleet.Cost) {
	i, ok := a.intern(c)
	if !ok || cost <= 0 {
		return
	}
	acc := &a.accounts[i]
	acc.lastActive = a.now
	acc.cost += cost
	acc.remainder += cost
	units := acc.remainder / acc.share
	acc.remainder -= units * acc.share
	acc.own += units
	acc.live += units
	if acc.own-acc.published >= a.params.PublishThreshold {
		a.publishOwn(i)
		return
	}
	if !acc.unsent {
		acc.unsent = true
		a.unsent = append(a.unsent, i)
	}
}

func (a *Accounts) publishOwn(i int32) {
	acc := &a.accounts[i]
	if acc.own == acc.published {
		return
	}
	acc.published = acc.own
	a.changes.touch(acc.ownRecord)
}

// VirtualTime returns a customer's virtual time in cost units for one share. It
// is 0 for an unknown customer. O(1).
func (a *Accounts) VirtualTime(c fleet.CustomerID) int64 {
	i, ok := a.index[c]
	if !ok {
		return 0
	}
	return a.accounts[i].virtualTime()
}

// Standing returns a customer's virtual time and share, 0 and 1 for an unknown
// customer. O(1).
func (a *Accounts) Standing(c fleet.CustomerID) (virtualTime int64, share int) {
	i, ok := a.index[c]
	if !ok {
		return 0, 1
	}
	acc := &a.accounts[i]
	return acc.virtualTime(), int(acc.share)
}

// idle reports whether the customer has had no demand here and no service anywhere
// for at least IdleAfter.
func (a *Accounts) idle(acc *account) bool {
	if acc.backlogged {
		return false
	}
	return acc.lastActive.IsZero() || a.now.Sub(acc.lastActive) >= a.params.IdleAfter
}

// Activate marks a customer backlogged. One that was idle is lifted to the least
// virtual time of the backlogged, so that it banked no credit, unless the instance
// has just started. O(customers).
func (a *Accounts) Activate(c fleet.CustomerID) {
	floor, found := int64(0), false
	for i := range a.accounts {
		acc := &a.accounts[i]
		if !acc.backlogged {
			continue
		}
		if v := acc.virtualTime(); !found || v < floor {
			floor, found = v, true
		}
	}
	a.ActivateAt(c, floor)
}

// ActivateAt is Activate for a caller that knows the least virtual time of those
// with which the customer competes. O(1).
func (a *Accounts) ActivateAt(c fleet.CustomerID, floor int64) {
	i, ok := a.intern(c)
	if !ok {
		return
	}
	acc := &a.accounts[i]
	if a.idle(acc) {
		a.liftTo(i, floor)
	}
	acc.backlogged = true
}

// Deactivate marks a customer as having no demand here. O(1).
func (a *Accounts) Deactivate(c fleet.CustomerID) {
	i, ok := a.index[c]
	if !ok {
		return
	}
	a.accounts[i].backlogged = false
	a.accounts[i].lastActive = a.now
}

// settled reports whether the instance has had time to hear all counters.
func (a *Accounts) settled() bool {
	return !a.started.IsZero() && a.now.Sub(a.started) >= a.params.SettleFor
}

// liftTo raises a virtual time to at least vt.
func (a *Accounts) liftTo(i int32, vt int64) {
	acc := &a.accounts[i]
	missing := vt - acc.virtualTime()
	if missing <= 0 || !a.settled() {
		return
	}
	acc.lift += fleet.Cost(missing)
	a.changes.touch(acc.liftRecord)
}

// Clamp bounds how far members, which compete with each other, lag behind. Where
// two neighbours in the order of virtual time are more than Clamp apart, all below
// the gap are lifted by one amount until half of Clamp is left. Differences below
// the gap are kept: customers that compete only with each other stay in order
// while a third one, which is served elsewhere as well, runs ahead of them.
// O(n log n) for n members.
func (a *Accounts) Clamp(members []fleet.CustomerID) {
	a.order = a.order[:0]
	for _, c := range members {
		if i, ok := a.index[c]; ok {
			a.order = append(a.order, i)
		}
	}
	slices.SortFunc(a.order, func(x, y int32) int {
		return cmp.Compare(a.accounts[y].virtualTime(), a.accounts[x].virtualTime())
	})
	clamp := int64(a.params.MaxLag)
	above, shift := int64(math.MaxInt64), int64(0)
	for n, i := range a.order {
		vt := a.accounts[i].virtualTime()
		if n > 0 && above-vt-shift > clamp {
			shift = above - vt - clamp/2
		}
		a.liftTo(i, vt+shift)
		above = vt + shift
	}
}
