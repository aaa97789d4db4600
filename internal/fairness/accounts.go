// Package fairness keeps the fleet-wide service accounts of customers and derives
// their virtual times, from which owners choose the customer to serve next.
//
// Service is divided by the customer's share when it is charged, and counted in
// grow-only counters, one for each pair of incarnation and customer; counters merge
// by maximum. The virtual time of a customer is the sum of its counters plus its
// lift. The lift is a max-register: it rises when an idle customer becomes
// backlogged, and when a customer falls too far behind those it competes with.
//
// Since the share is applied when service is charged, a change of shares changes no
// virtual time. Since all registers merge by maximum, late, repeated and reordered
// messages do no harm.
//
// The package does no I/O and starts no goroutine. Methods of an Accounts value must
// not be called concurrently.
package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// MaxCustomers bounds the customers of an Accounts value, configured or not.
const MaxCustomers = wire.MaxListLength

// Customer is a configured customer.
type Customer struct {
	ID fleet.CustomerID
	// Share is the customer's weight, at least 1.
	Share int
}

// Params configures an Accounts value. Zero fields take the defaults.
type Params struct {
	// MaxLag is the greatest lag, in cost units per share, that a customer keeps
	// behind the next customer ahead of it; see Accounts.Clamp.
	MaxLag fleet.Cost
	// IdleAfter is how long a customer must have had no demand here and no service
	// anywhere before it counts as idle. It should be at least the age that
	// information from peers can have, since a customer without demand here may be
	// waiting at other owners.
	IdleAfter time.Duration
	// SettleFor is how long after the first Tick the instance lifts no customer.
	// Until it has received all counters, its virtual times are too low by different
	// amounts, and a lift derived from them would spread to the whole fleet.
	SettleFor time.Duration
	// PublishThreshold is the unsent growth of an own counter at which the counter
	// becomes due for sending at once, in cost units per share.
	PublishThreshold fleet.Cost
	// FlushInterval bounds how long a growth below PublishThreshold stays unsent.
	FlushInterval time.Duration
	// MaxRemoteCounters bounds the counters of other incarnations, live or ended, that
	// are kept individually. Beyond it the incarnation that ended first is folded
	// into one sum for each customer.
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

// account is the state of one customer. Amounts are in cost units per share
// unless stated otherwise.
type account struct {
	id    fleet.CustomerID
	share fleet.Cost
	// unfolded is the sum of the counters that are kept individually, own included.
	unfolded fleet.Cost
	// foldedLocally is the sum of the counters folded at this instance; folded is the
	// largest such sum of any instance, as far as received.
	foldedLocally, folded fleet.Cost
	// own is this incarnation's counter; published is its value at its last entry
	// in the change list.
	own, published fleet.Cost
	lift           fleet.Cost
	// cost is the cost charged at this instance, and remainder the part of it not yet
	// counted in own because it was less than share. Both are in cost units.
	cost, remainder fleet.Cost
	// backlogged is true while the customer has demand here; lastActive is when it
	// last had demand here or was served anywhere.
	backlogged bool
	lastActive time.Time
	estimate   estimate
	// unsent is true while the account is listed in Accounts.unsent.
	unsent bool

	ownRecord, foldedRecord, liftRecord recordID
}

// total returns the sum of the customer's counters as received so far.
func (c *account) total() fleet.Cost {
	return c.unfolded + c.folded
}

// virtualTime returns the customer's total plus its lift.
func (c *account) virtualTime() int64 {
	return int64(c.total() + c.lift)
}

// Accounts holds one instance's replica of the service accounts.
type Accounts struct {
	self           fleet.Incarnation
	params         Params
	now            time.Time
	startedAt      time.Time
	flushedAt      time.Time
	index          map[fleet.CustomerID]int32
	accounts       []account
	remoteCounters map[fleet.Incarnation]*remoteCounters
	// remoteCount is the number of counters in remoteCounters; foldQueue lists
	// incarnations in the order in which they were first seen or ended.
	remoteCount        int
	foldQueue          []fleet.Incarnation
	foldedIncarnations map[fleet.Incarnation]struct{}
	changes            changeList
	peers              map[fleet.InstanceID]*peerState
	// unsent lists accounts whose own counter may have unsent growth.
	unsent []int32
	// sortBuffer is reused by calls of Clamp.
	sortBuffer []int32
	epoch      uint64
}

// New returns accounts for the incarnation self without any customer.
func New(self fleet.Incarnation, p Params) *Accounts {
	return &Accounts{
		self:               self,
		params:             p.withDefaults(),
		index:              map[fleet.CustomerID]int32{},
		remoteCounters:     map[fleet.Incarnation]*remoteCounters{},
		foldedIncarnations: map[fleet.Incarnation]struct{}{},
		changes:            newChangeList(),
		peers:              map[fleet.InstanceID]*peerState{},
	}
}

// SetCustomers sets the shares of the configured customers, which apply to later
// charges. Accounts of customers that are no longer configured are kept, with a share
// of 1. O(customers).
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

// intern returns the index of the customer's account and creates the account if
// needed. It returns false if there are already MaxCustomers accounts.
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

// Epoch returns a number that changes whenever a virtual time may have fallen, which
// happens only when counters are folded. Otherwise virtual times only rise.
func (a *Accounts) Epoch() uint64 { return a.epoch }

// Tick advances the clock of the accounts and publishes small unsent changes once
// every FlushInterval. O(customers charged since the last flush).
func (a *Accounts) Tick(now time.Time) {
	a.now = now
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	if now.Sub(a.flushedAt) < a.params.FlushInterval {
		return
	}
	a.flushedAt = now
	for _, i := range a.unsent {
		a.accounts[i].unsent = false
		a.publishOwn(i)
	}
	a.unsent = a.unsent[:0]
}

// Charge adds service, in cost units, of requests whose entry is this instance.
// A cost that is not positive is ignored, so the counter only grows. O(1).
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
	acc.unfolded += units
	if acc.own-acc.published >= a.params.PublishThreshold {
		a.publishOwn(i)
		return
	}
	if !acc.unsent {
		acc.unsent = true
		a.unsent = append(a.unsent, i)
	}
}

// publishOwn makes a customer's own counter due for sending if it has grown.
func (a *Accounts) publishOwn(i int32) {
	acc := &a.accounts[i]
	if acc.own == acc.published {
		return
	}
	acc.published = acc.own
	a.changes.touch(acc.ownRecord)
}

// VirtualTime returns a customer's virtual time in cost units per share, or 0 for
// an unknown customer. O(1).
func (a *Accounts) VirtualTime(c fleet.CustomerID) int64 {
	i, ok := a.index[c]
	if !ok {
		return 0
	}
	return a.accounts[i].virtualTime()
}

// Standing returns a customer's virtual time and share, or 0 and 1 for an unknown
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

// Activate marks a customer as backlogged. An idle customer is lifted to the least
// virtual time of the backlogged customers, so that it accumulates no credit while
// idle, unless the instance started less than SettleFor ago. O(customers).
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

// ActivateAt is like Activate, but the caller passes the floor: the least virtual time
// of the customers with which this one competes. O(1).
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

// settled reports whether the instance has had time to receive all counters.
func (a *Accounts) settled() bool {
	return !a.startedAt.IsZero() && a.now.Sub(a.startedAt) >= a.params.SettleFor
}

// liftTo raises a customer's virtual time to at least vt. It does nothing until the
// accounts have settled.
func (a *Accounts) liftTo(i int32, vt int64) {
	acc := &a.accounts[i]
	missing := vt - acc.virtualTime()
	if missing <= 0 || !a.settled() {
		return
	}
	acc.lift += fleet.Cost(missing)
	a.changes.touch(acc.liftRecord)
}

// Clamp bounds how far members, which compete with each other, lag behind one another.
// Where two neighbours in the order of virtual time are more than MaxLag apart, all
// members below the gap are lifted by the same amount, which leaves a gap of half of
// MaxLag.
// Differences below the gap are kept, so customers that compete only with each other
// stay in order while another one, which is served elsewhere as well, runs ahead of
// them. O(n log n) for n members.
func (a *Accounts) Clamp(members []fleet.CustomerID) {
	a.sortBuffer = a.sortBuffer[:0]
	for _, c := range members {
		if i, ok := a.index[c]; ok {
			a.sortBuffer = append(a.sortBuffer, i)
		}
	}
	slices.SortFunc(a.sortBuffer, func(x, y int32) int {
		return cmp.Compare(a.accounts[y].virtualTime(), a.accounts[x].virtualTime())
	})
	maxLag := int64(a.params.MaxLag)
	above, shift := int64(math.MaxInt64), int64(0)
	for n, i := range a.sortBuffer {
		vt := a.accounts[i].virtualTime()
		if n > 0 && above-vt-shift > maxLag {
			shift = above - vt - maxLag/2
		}
		a.liftTo(i, vt+shift)
		above = vt + shift
	}
}
