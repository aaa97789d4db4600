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

// Constants of the baselines.
const (
	// baselineWait is the part of a caller's patience that a call may wait.
	baselineWait = 0.1
	// gateFrom is the part of the places from which the gate by customer holds, gateOver
	// what a customer may have started against the mean.
	gateFrom, gateOver = 0.6, 1.3
)

// baseline is a simpler policy: each router runs at most some requests on an engine, and
// what does not fit waits in order.
type baseline struct {
	spec Spec
	// cap bounds a router's requests on one engine.
	cap int
	// shared makes one router of all, which knows everything.
	shared bool
	// home sends a prompt to the engine that rendezvous hashing names for its longest
	// shared part; otherwise the least busy engine takes it.
	home bool
	// gate holds back customers that have started more than the others.
	gate bool

	mu      sync.Mutex
	engines []fleet.TargetID
	running []map[fleet.TargetID]int
	queues  [][]*waiting
	started []map[fleet.CustomerID][]startedTokens
}

// startedTokens is what was started for a customer at a time.
type startedTokens struct {
	at     time.Time
	tokens float64
}

// waiting is a call in a router's queue.
type waiting struct {
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
	b.queues = make([][]*waiting, s.Routers)
	return b
}

func (b *baseline) admit(ctx context.Context, x *call, router int, elapsed time.Duration) (ticket, error) {
	if b.shared {
		router = 0
	}
	w := &waiting{x: x, grant: make(chan fleet.TargetID, 1)}
	b.mu.Lock()
	b.queues[router] = append(b.queues[router], w)
	b.pump(router)
	b.mu.Unlock()
	timer := time.NewTimer(time.Duration(baselineWait * float64(x.class.CallerTimeout-elapsed)))
	defer timer.Stop()
	select {
	case id := <-w.grant:
		return &counted{b: b, router: router, id: id}, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.queues[router], w); i >= 0 {
		b.queues[router] = slices.Delete(b.queues[router], i, i+1)
		return nil, &refusal{retryAfter: time.Second}
	}
	return &counted{b: b, router: router, id: <-w.grant}, nil
}

// pump starts what fits, in the order of arrival. The mutex is held.
func (b *baseline) pump(router int) {
	var left []*waiting
	for _, w := range b.queues[router] {
		id, ok := b.choose(router, w.x)
		if !ok || b.held(router, w.x) {
			left = append(left, w)
			continue
		}
		b.running[router][id]++
		tokens := startedTokens{time.Now(), float64(w.x.prompt + 2*w.x.output)}
		b.started[router][w.x.customer] = append(b.started[router][w.x.customer], tokens)
		w.grant <- id
	}
	b.queues[router] = left
}

// choose returns the engine for a call, if one has a place.
func (b *baseline) choose(router int, x *call) (fleet.TargetID, bool) {
	order := slices.Clone(b.engines)
	busy := func(id fleet.TargetID) int { return b.running[router][id] }
	if b.home {
		key := membership.Hash(x.parts[max(len(x.parts)-2, 0)].ID)
		score := func(id fleet.TargetID) uint64 { return membership.Score(key, membership.Hash(string(id))) }
		slices.SortFunc(order, func(a, c fleet.TargetID) int { return cmp.Compare(score(c), score(a)) })
	} else {
		slices.SortStableFunc(order, func(a, c fleet.TargetID) int { return cmp.Compare(busy(a), busy(c)) })
	}
	for _, id := range order {
		if busy(id) < b.cap {
			return id, true
		}
	}
	return "", false
}

// held reports whether the gate holds a call back.
func (b *baseline) held(router int, x *call) bool {
	if !b.gate {
		return false
	}
	taken := 0
	for _, n := range b.running[router] {
		taken += n
	}
	if float64(taken) < gateFrom*float64(b.cap*len(b.engines)) {
		return false
	}
	total, customers := 0.0, 0
	for id := range b.started[router] {
		if n := b.recent(router, id); n > 0 {
			total += n
			customers++
		}
	}
	return customers > 0 && b.recent(router, x.customer) > gateOver*total/float64(customers)
}

func (b *baseline) recent(router int, id fleet.CustomerID) float64 {
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

func (b *baseline) exchange()                {}
func (b *baseline) restarted(fleet.TargetID) {}

func (b *baseline) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for router := range b.queues {
		b.pump(router)
	}
}

// counted is a place on an engine.
type counted struct {
	b      *baseline
	router int
	id     fleet.TargetID
}

func (t *counted) engine() fleet.TargetID { return t.id }
func (t *counted) read()                  {}

func (t *counted) end(error) {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.b.running[t.router][t.id]--
	t.b.pump(t.router)
}
