// Package dispatch decides which request runs next and where. Its entry side,
// Queue and Spread, holds waiting requests and plans with which owners they are
// registered. Its owner side, Owner, chooses the customer, entry and target of the
// next grant.
//
// The package is pure: time and randomness are passed in, and it starts no
// goroutine. One goroutine owns each value; no method may be called concurrently
// with another of the same value.
package dispatch

import (
	"container/heap"
	"container/list"
	"fmt"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Request is one request that waits at an entry.
type Request struct {
	// ID is unique at the entry.
	ID       uint64
	Customer fleet.CustomerID
	Workload fleet.Workload
	// Estimate is the expected cost in cost units.
	Estimate fleet.Cost
	// PromptHash is a hash of the whole prompt; PrefixHashes are those of its
	// prefixes, shortest first.
	PromptHash   uint64
	PrefixHashes []uint64
	// Fingerprint is the quarantine's hash of customer, workload and content.
	Fingerprint uint64
	// Alone says that the request must be the only one on its target.
	Alone bool
	// Deadline is when the request is refused if it has not started, zero for never.
	Deadline time.Time
	Enqueued time.Time
}

// Affinity tells what is cached where.
type Affinity interface {
	// Cached returns how many of the prefixes, shortest first, the target is
	// believed to hold.
	Cached(t fleet.TargetID, prefixes []uint64) int
}

// QueueParams are the bounds of a Queue. Zero fields take the defaults.
type QueueParams struct {
	// MaxPerCustomer and MaxTotal bound the waiting requests.
	MaxPerCustomer, MaxTotal int
	// ReservedPerCustomer is how many requests a customer may have waiting even when Total is
	// reached, so that others cannot shut it out.
	ReservedPerCustomer int
	// MaxReorderAge is the wait after which a request is not overtaken any more.
	MaxReorderAge time.Duration
	// MaxScan bounds the requests that Take compares.
	MaxScan int
}

// Defaults of QueueParams, and the bounds of a refusal's retry time.
const (
	DefaultMaxPerCustomer      = 256
	DefaultMaxTotal            = 8192
	DefaultReservedPerCustomer = 2
	DefaultMaxReorderAge       = 2 * time.Second
	DefaultMaxScan             = 32
	MinRetryAfter              = 500 * time.Millisecond
	MaxRetryAfter              = 30 * time.Second
)

func (p QueueParams) withDefaults() QueueParams {
	setDefault(&p.MaxPerCustomer, DefaultMaxPerCustomer)
	setDefault(&p.MaxTotal, DefaultMaxTotal)
	setDefault(&p.ReservedPerCustomer, DefaultReservedPerCustomer)
	setDefault(&p.MaxReorderAge, DefaultMaxReorderAge)
	setDefault(&p.MaxScan, DefaultMaxScan)
	return p
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// QueueFullError refuses a request that was not queued and did not run.
type QueueFullError struct {
	Customer fleet.CustomerID
	// Waiting is how many requests waited within the bound that was reached.
	Waiting int
	// RetryAfter is when a place is expected to be free.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue of customer %s is full with %d waiting; retry after %v", e.Customer, e.Waiting, e.RetryAfter)
}

// lane holds the waiting requests of one customer for one workload, oldest first.
type lane struct {
	key   laneKey
	items list.List
	pos   int
}

type laneKey struct {
	customer fleet.CustomerID
	workload fleet.Workload
	alone    bool
}

// item is a waiting request in its lane and in the heap of deadlines.
type item struct {
	Request
	lane    *lane
	element *list.Element
	pos     int
}

// backlog counts a customer's waiting requests and when one last left.
type backlog struct {
	waiting   int
	lastTaken time.Time
	// interval is the running mean time between two starts.
	interval time.Duration
}

// Queue holds the requests that wait at one entry.
type Queue struct {
	params    QueueParams
	limits    map[fleet.CustomerID]int
	affinity  Affinity
	lanes     map[laneKey]*lane
	ordered   []*lane
	backlogs  map[fleet.CustomerID]*backlog
	items     map[uint64]*item
	deadlines deadlineHeap
}

// NewQueue returns an empty queue. affinity may be nil.
func NewQueue(p QueueParams, affinity Affinity) *Queue {
	return &Queue{
		params:   p.withDefaults(),
		affinity: affinity,
		lanes:    map[laneKey]*lane{},
		backlogs: map[fleet.CustomerID]*backlog{},
		items:    map[uint64]*item{},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// SetLimits replaces the bounds of the customers that the rules give one; the others
// have PerCustomer. The queue keeps the map. What waits already stays.
func (q *Queue) SetLimits(limits map[fleet.CustomerID]int) { q.limits = limits }

func (q *Queue) limitOf(c fleet.CustomerID) int {
	if limit, ok := q.limits[c]; ok {
		return limit
	}
	return q.params.MaxPerCustomer
}

// Add queues a request, or refuses it at once with a *FullError.
// O(log waiting).
func (q *Queue) Add(r Request, now time.Time) error {
	b, ok := q.backlogs[r.Customer]
	if !ok {
		b = &backlog{lastTaken: now}
		q.backlogs[r.Customer] = b
	}
	full := b.waiting >= q.limitOf(r.Customer)
	crowded := len(q.items) >= q.params.MaxTotal && b.waiting >= q.params.ReservedPerCustomer
	if full || crowded {
		return &QueueFullError{Customer: r.Customer, Waiting: b.waiting, RetryAfter: b.retryAfter(now)}
	}
	if r.Enqueued.IsZero() {
		r.Enqueued = now
	}
	l := q.lane(laneKey{r.Customer, r.Workload, r.Alone})
	it := &item{Request: r, lane: l, pos: -1}
	it.element = l.items.PushBack(it)
	q.items[r.ID] = it
	b.waiting++
	if !r.Deadline.IsZero() {
		heap.Push(&q.deadlines, it)
	}
	return nil
}

// retryAfter is the time until the customer's next start is expected, which is
// when a place becomes free.
func (b *backlog) retryAfter(now time.Time) time.Duration {
	expected := max(b.interval, now.Sub(b.lastTaken))
	return min(MaxRetryAfter, max(MinRetryAfter, expected))
}

// started takes a start at now into the mean time between starts.
func (b *backlog) started(now time.Time) {
	const weight = 4
	b.interval += (now.Sub(b.lastTaken) - b.interval) / weight
	b.lastTaken = now
}

func (q *Queue) lane(k laneKey) *lane {
	l, ok := q.lanes[k]
	if !ok {
		l = &lane{key: k, pos: len(q.ordered)}
		q.lanes[k] = l
		q.ordered = append(q.ordered, l)
	}
	return l
}

// Remove takes a request out and reports whether it was waiting. O(log waiting).
func (q *Queue) Remove(id uint64) bool {
	it, ok := q.items[id]
	if ok {
		q.remove(it)
	}
	return ok
}

func (q *Queue) remove(it *item) {
	delete(q.items, it.ID)
	if it.pos >= 0 {
		heap.Remove(&q.deadlines, it.pos)
	}
	it.lane.items.Remove(it.element)
	if it.lane.items.Len() == 0 {
		q.dropLane(it.lane)
	}
	b := q.backlogs[it.Customer]
	b.waiting--
	if b.waiting == 0 {
		delete(q.backlogs, it.Customer)
	}
}

func (q *Queue) dropLane(l *lane) {
	last := len(q.ordered) - 1
	q.ordered[l.pos] = q.ordered[last]
	q.ordered[l.pos].pos = l.pos
	q.ordered = q.ordered[:last]
	delete(q.lanes, l.key)
}

// Take removes and returns the request of the customer that is to run on target t:
// the oldest, unless it has waited less than AgeLimit and another among the first
// Scan has more of its prefixes cached there. A request that has waited AgeLimit is
// overtaken by none. O(Scan + log waiting).
func (q *Queue) Take(c fleet.CustomerID, w fleet.Workload, t fleet.TargetID, now time.Time) (Request, bool) {
	l, ok := q.lanes[laneKey{c, w, false}]
	if !ok {
		return Request{}, false
	}
	return q.start(q.choose(l, t, now), now), true
}

// TakeAlone removes and returns the oldest request of the customer that must run
// alone. O(log waiting).
func (q *Queue) TakeAlone(c fleet.CustomerID, w fleet.Workload, now time.Time) (Request, bool) {
	l, ok := q.lanes[laneKey{c, w, true}]
	if !ok {
		return Request{}, false
	}
	return q.start(l.items.Front().Value.(*item), now), true
}

func (q *Queue) start(it *item, now time.Time) Request {
	q.backlogs[it.Customer].started(now)
	q.remove(it)
	return it.Request
}

// choose returns the request of a lane that suits the target best.
func (q *Queue) choose(l *lane, t fleet.TargetID, now time.Time) *item {
	best := l.items.Front().Value.(*item)
	if q.affinity == nil || now.Sub(best.Enqueued) >= q.params.MaxReorderAge {
		return best
	}
	most := q.affinity.Cached(t, best.PrefixHashes)
	e := l.items.Front().Next()
	for n := 1; e != nil && n < q.params.MaxScan; n++ {
		it := e.Value.(*item)
		if cached := q.affinity.Cached(t, it.PrefixHashes); cached > most {
			best, most = it, cached
		}
		e = e.Next()
	}
	return best
}

// Demand returns the whole state of what waits and may share a target.
// O(customers waiting).
func (q *Queue) Demand(now time.Time) []wire.Demand { return q.demand(false, now) }

// DemandAlone returns the whole state of what must run alone.
func (q *Queue) DemandAlone(now time.Time) []wire.Demand { return q.demand(true, now) }

func (q *Queue) demand(alone bool, now time.Time) []wire.Demand {
	ds := make([]wire.Demand, 0, len(q.ordered))
	for _, l := range q.ordered {
		if l.key.alone != alone {
			continue
		}
		oldest := l.items.Front().Value.(*item)
		ds = append(ds, wire.Demand{
			Customer:   l.key.customer,
			Workload:   l.key.workload,
			Waiting:    l.items.Len(),
			Estimate:   oldest.Estimate,
			WaitMillis: now.Sub(oldest.Enqueued).Milliseconds(),
			Alone:      alone,
		})
	}
	return ds
}

// TakeExpired removes and returns the requests whose deadline has passed; none of them
// has run. O(expired · log waiting).
func (q *Queue) TakeExpired(now time.Time) []Request {
	var rs []Request
	for len(q.deadlines) > 0 && !q.deadlines[0].Deadline.After(now) {
		it := q.deadlines[0]
		q.remove(it)
		rs = append(rs, it.Request)
	}
	return rs
}

// deadlineHeap orders waiting requests by deadline.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.pos = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	it.pos = -1
	*h = old[:len(old)-1]
	return it
}
