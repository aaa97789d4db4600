// Package dispatch decides which request runs next and on which target. On the entry
// side, Queue holds the waiting requests and Planner decides with which owners they are
// registered. On the owner side, Owner chooses the customer, entry and target of the
// next grant.
//
// Callers pass in the time and the source of random numbers, and the package starts no
// goroutines. Its types are not safe for concurrent use.
package dispatch

import (
	"container/heap"
	"container/list"
	"fmt"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Request is a request that waits at an entry.
type Request struct {
	// ID is unique at the entry.
	ID       uint64
	Customer fleet.CustomerID
	Workload fleet.Workload
	// Estimate is the expected cost in cost units.
	Estimate fleet.Cost
	// PromptHash is a hash of the whole prompt. PrefixHashes are hashes of its
	// prefixes, shortest first.
	PromptHash   uint64
	PrefixHashes []uint64
	// Fingerprint is the quarantine's hash of customer, workload and content.
	Fingerprint uint64
	// Alone is set if the request must be the only one on its target.
	Alone bool
	// Deadline is when the request is refused if it has not started; zero means never.
	Deadline time.Time
	Enqueued time.Time
}

// Affinity reports which prompt prefixes the targets have cached.
type Affinity interface {
	// Cached returns how many of the prefixes, shortest first, the target probably
	// holds.
	Cached(t fleet.TargetID, prefixes []uint64) int
}

// QueueParams are the limits of a Queue. Zero fields take their defaults.
type QueueParams struct {
	// MaxPerCustomer and MaxTotal bound the number of waiting requests.
	MaxPerCustomer, MaxTotal int
	// ReservedPerCustomer is how many requests each customer may have waiting even when
	// MaxTotal is reached, so that other customers cannot lock it out.
	ReservedPerCustomer int
	// MaxReorderAge is the wait after which a request is no longer overtaken.
	MaxReorderAge time.Duration
	// MaxScan bounds the number of requests that Take compares.
	MaxScan int
}

// Defaults of QueueParams, and the bounds of QueueFullError.RetryAfter.
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

// QueueFullError reports that a request was refused because the queue is full. The
// request was not queued and did not run.
type QueueFullError struct {
	Customer fleet.CustomerID
	// Waiting is the number of the customer's requests that were waiting.
	Waiting int
	// RetryAfter is the expected time until a place is free.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue of customer %s is full with %d waiting; retry after %v", e.Customer, e.Waiting, e.RetryAfter)
}

// lane holds the waiting requests of one customer for one workload, oldest first.
type lane struct {
	key   laneKey
	items list.List
	// index is the position in Queue.laneList.
	index int
}

type laneKey struct {
	customer fleet.CustomerID
	workload fleet.Workload
	alone    bool
}

// item is a waiting request with its positions in its lane and in the heap of
// deadlines.
type item struct {
	Request
	lane    *lane
	element *list.Element
	// heapIndex is the position in the heap of deadlines, or -1 if there is no
	// deadline.
	heapIndex int
}

// backlog counts a customer's waiting requests and measures how often they start.
type backlog struct {
	waiting int
	// lastStart is when a request last started, or when the backlog began.
	lastStart time.Time
	// meanInterval is the moving average of the time between two starts.
	meanInterval time.Duration
}

// Queue holds the requests that wait at one entry.
type Queue struct {
	params    QueueParams
	limits    map[fleet.CustomerID]int
	affinity  Affinity
	lanes     map[laneKey]*lane
	laneList  []*lane
	backlogs  map[fleet.CustomerID]*backlog
	items     map[uint64]*item
	deadlines deadlineHeap
}

// NewQueue returns an empty queue. Without an affinity, which may be nil, each lane is
// served in arrival order.
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

// SetLimits replaces the customers' own bounds; a customer without one is bounded by
// MaxPerCustomer. The queue keeps the map. Requests that already wait are not removed.
func (q *Queue) SetLimits(limits map[fleet.CustomerID]int) { q.limits = limits }

// limitOf returns the bound of a customer's waiting requests.
func (q *Queue) limitOf(c fleet.CustomerID) int {
	if limit, ok := q.limits[c]; ok {
		return limit
	}
	return q.params.MaxPerCustomer
}

// Add queues a request, or refuses it with a *QueueFullError. O(log waiting).
func (q *Queue) Add(r Request, now time.Time) error {
	b, ok := q.backlogs[r.Customer]
	if !ok {
		b = &backlog{lastStart: now}
		q.backlogs[r.Customer] = b
	}
	customerFull := b.waiting >= q.limitOf(r.Customer)
	queueFull := len(q.items) >= q.params.MaxTotal && b.waiting >= q.params.ReservedPerCustomer
	if customerFull || queueFull {
		return &QueueFullError{Customer: r.Customer, Waiting: b.waiting, RetryAfter: b.retryAfter(now)}
	}
	if r.Enqueued.IsZero() {
		r.Enqueued = now
	}
	l := q.lane(laneKey{r.Customer, r.Workload, r.Alone})
	it := &item{Request: r, lane: l, heapIndex: -1}
	it.element = l.items.PushBack(it)
	q.items[r.ID] = it
	b.waiting++
	if !r.Deadline.IsZero() {
		heap.Push(&q.deadlines, it)
	}
	return nil
}

// retryAfter returns the expected time until the customer's next start, which frees a
// place. The result is limited to between MinRetryAfter and MaxRetryAfter.
func (b *backlog) retryAfter(now time.Time) time.Duration {
	expected := max(b.meanInterval, now.Sub(b.lastStart))
	return min(MaxRetryAfter, max(MinRetryAfter, expected))
}

// recordStart adds a start at now to the moving average.
func (b *backlog) recordStart(now time.Time) {
	const smoothingDivisor = 4
	b.meanInterval += (now.Sub(b.lastStart) - b.meanInterval) / smoothingDivisor
	b.lastStart = now
}

// lane returns the lane of k, which it creates if needed.
func (q *Queue) lane(k laneKey) *lane {
	l, ok := q.lanes[k]
	if !ok {
		l = &lane{key: k, index: len(q.laneList)}
		q.lanes[k] = l
		q.laneList = append(q.laneList, l)
	}
	return l
}

// Remove removes a request and reports whether it was waiting. O(log waiting).
func (q *Queue) Remove(id uint64) bool {
	it, ok := q.items[id]
	if ok {
		q.remove(it)
	}
	return ok
}

func (q *Queue) remove(it *item) {
	delete(q.items, it.ID)
	if it.heapIndex >= 0 {
		heap.Remove(&q.deadlines, it.heapIndex)
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
	last := len(q.laneList) - 1
	q.laneList[l.index] = q.laneList[last]
	q.laneList[l.index].index = l.index
	q.laneList = q.laneList[:last]
	delete(q.lanes, l.key)
}

// Take removes and returns the customer's request that is to run on target t: the
// oldest, unless it has waited less than MaxReorderAge and another among the first
// MaxScan has more of its prefixes cached there. A request that has waited
// MaxReorderAge is never overtaken. O(MaxScan + log waiting).
func (q *Queue) Take(c fleet.CustomerID, w fleet.Workload, t fleet.TargetID, now time.Time) (Request, bool) {
	l, ok := q.lanes[laneKey{c, w, false}]
	if !ok {
		return Request{}, false
	}
	return q.start(q.choose(l, t, now), now), true
}

// TakeAlone removes and returns the customer's oldest request that must run alone.
// O(log waiting).
func (q *Queue) TakeAlone(c fleet.CustomerID, w fleet.Workload, now time.Time) (Request, bool) {
	l, ok := q.lanes[laneKey{c, w, true}]
	if !ok {
		return Request{}, false
	}
	return q.start(l.items.Front().Value.(*item), now), true
}

// start removes a request from the queue and records its start.
func (q *Queue) start(it *item, now time.Time) Request {
	q.backlogs[it.Customer].recordStart(now)
	q.remove(it)
	return it.Request
}

// choose returns the request of a lane that is to run on target t, as described at
// Take.
func (q *Queue) choose(l *lane, t fleet.TargetID, now time.Time) *item {
	best := l.items.Front().Value.(*item)
	if q.affinity == nil || now.Sub(best.Enqueued) >= q.params.MaxReorderAge {
		return best
	}
	mostCached := q.affinity.Cached(t, best.PrefixHashes)
	e := l.items.Front().Next()
	for n := 1; e != nil && n < q.params.MaxScan; n++ {
		it := e.Value.(*item)
		if cached := q.affinity.Cached(t, it.PrefixHashes); cached > mostCached {
			best, mostCached = it, cached
		}
		e = e.Next()
	}
	return best
}

// Demand returns the full demand of the requests that may share a target. O(customers
// waiting).
func (q *Queue) Demand(now time.Time) []wire.Demand { return q.demand(false, now) }

// DemandAlone returns the full demand of the requests that must run alone.
func (q *Queue) DemandAlone(now time.Time) []wire.Demand { return q.demand(true, now) }

func (q *Queue) demand(alone bool, now time.Time) []wire.Demand {
	ds := make([]wire.Demand, 0, len(q.laneList))
	for _, l := range q.laneList {
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

// TakeExpired removes and returns the requests whose deadline has passed. None of them
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

// deadlineHeap is a container/heap of waiting requests, earliest deadline first.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	it.heapIndex = -1
	*h = old[:len(old)-1]
	return it
}
