package replay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Parameters of the baseline policies.
const (
	// baselineWaitFraction is the fraction of a caller's remaining time that a call may
	// spend in the queue.
	baselineWaitFraction = 0.1
	// The customer gate is active while at least gateMinOccupancy of a router's slots are
	// occupied. It then admits only customers whose recently started tokens are at most
	// gateMaxRatio times the mean over customers with any.
	gateMinOccupancy, gateMaxRatio = 0.6, 1.3
)

// baseline is a policy without a scheduler: each router runs a bounded number of calls on
// each engine and queues the others in order of arrival.
type baseline struct {
	spec Spec
	// maxRunning is the number of calls that a router may run on one engine.
	maxRunning int
	// central sends all calls through a single router, which sees the whole load.
	central bool
	// prefixAffinity selects engines by rendezvous hashing of the longest shared part of
	// the prompt, instead of selecting the least busy engine.
	prefixAffinity bool
	// customerGate delays calls of customers that recently started more tokens than the
	// others.
	customerGate bool

	mu      sync.Mutex
	engines []fleet.TargetID
	running []map[fleet.TargetID]int
	queues  [][]*queuedCall
	started []map[fleet.CustomerID][]startedTokens
}

// startedTokens is the cost in tokens of one call and the time at which it started.
type startedTokens struct {
	at     time.Time
	tokens float64
}

// queuedCall is a call in a router's queue.
type queuedCall struct {
	x     *call
	grant chan fleet.TargetID
}

func newBaseline(s Spec, engines []*engine, b *baseline) *baseline {
	b.spec = s
	for _, e := range engines {
		b.engines = append(b.engines, e.id)
	}
	for range s.Routers {
		b.running = append(b.running, make(map[fleet.TargetID]int))
		b.started = append(b.started, make(map[fleet.CustomerID][]startedTokens))
	}
	b.queues = make([][]*queuedCall, s.Routers)
	return b
}

func (b *baseline) admit(ctx context.Context, x *call, router int, elapsed time.Duration) (ticket, error) {
	if b.central {
		router = 0
	}
	w := &queuedCall{x: x, grant: make(chan fleet.TargetID, 1)}
	b.mu.Lock()
	b.queues[router] = append(b.queues[router], w)
	b.startQueued(router)
	b.mu.Unlock()
	timer := time.NewTimer(time.Duration(baselineWaitFraction * float64(x.class.CallerTimeout-elapsed)))
	defer timer.Stop()
	select {
	case id := <-w.grant:
		return &baselineTicket{b: b, router: router, id: id}, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.queues[router], w); i >= 0 {
		b.queues[router] = slices.Delete(b.queues[router], i, i+1)
		return nil, &refusal{retryAfter: time.Second}
	}
	return &baselineTicket{b: b, router: router, id: <-w.grant}, nil
}

// startQueued starts the queued calls for which an engine has a free slot, in order of
// arrival. b.mu must be held.
func (b *baseline) startQueued(router int) {
	var remaining []*queuedCall
	for _, w := range b.queues[router] {
		id, ok := b.choose(router, w.x)
		if !ok || b.gated(router, w.x) {
			remaining = append(remaining, w)
			continue
		}
		b.running[router][id]++
		tokens := startedTokens{time.Now(), float64(w.x.prompt + 2*w.x.output)}
		b.started[router][w.x.customer] = append(b.started[router][w.x.customer], tokens)
		w.grant <- id
	}
	b.queues[router] = remaining
}

// choose returns the engine for a call, and false if no engine has a free slot. b.mu must
// be held.
func (b *baseline) choose(router int, x *call) (fleet.TargetID, bool) {
	order := slices.Clone(b.engines)
	busy := func(id fleet.TargetID) int { return b.running[router][id] }
	if b.prefixAffinity {
		key := membership.Hash(x.parts[max(len(x.parts)-2, 0)].ID)
		score := func(id fleet.TargetID) uint64 { return membership.Score(key, membership.Hash(string(id))) }
		slices.SortFunc(order, func(a, c fleet.TargetID) int { return cmp.Compare(score(c), score(a)) })
	} else {
		slices.SortStableFunc(order, func(a, c fleet.TargetID) int { return cmp.Compare(busy(a), busy(c)) })
	}
	for _, id := range order {
		if busy(id) < b.maxRunning {
			return id, true
		}
	}
	return "", false
}

// gated reports whether the customer gate delays a call. b.mu must be held.
func (b *baseline) gated(router int, x *call) bool {
	if !b.customerGate {
		return false
	}
	occupied := 0
	for _, n := range b.running[router] {
		occupied += n
	}
	if float64(occupied) < gateMinOccupancy*float64(b.maxRunning*len(b.engines)) {
		return false
	}
	total, customers := 0.0, 0
	for id := range b.started[router] {
		if n := b.recentTokens(router, id); n > 0 {
			total += n
			customers++
		}
	}
	return customers > 0 && b.recentTokens(router, x.customer) > gateMaxRatio*total/float64(customers)
}

// recentTokens returns the tokens that a router started for a customer within the last
// shareWindow, and drops older entries. b.mu must be held.
func (b *baseline) recentTokens(router int, id fleet.CustomerID) float64 {
	list := b.started[router][id]
	for len(list) > 0 && time.Since(list[0].at) > shareWindow {
		list = list[1:]
	}
	b.started[router][id] = list
	total := 0.0
	for _, s := range list {
		total += s.tokens
	}
	return total
}

func (b *baseline) exchange()                      {}
func (b *baseline) engineRestarted(fleet.TargetID) {}

func (b *baseline) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for router := range b.queues {
		b.startQueued(router)
	}
}

// baselineTicket holds one slot of a router on an engine.
type baselineTicket struct {
	b      *baseline
	router int
	id     fleet.TargetID
}

func (t *baselineTicket) engine() fleet.TargetID { return t.id }
func (t *baselineTicket) prefillDone()           {}

func (t *baselineTicket) end(error) {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.b.running[t.router][t.id]--
	t.b.startQueued(t.router)
}

// fetchFrom implements ticket: the baselines fetch nothing.
func (t *baselineTicket) fetchFrom() fleet.TargetID { return "" }
