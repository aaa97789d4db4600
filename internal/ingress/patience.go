package ingress

import (
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

const (
	// timeoutPeriod is the period for which the longest budget of a route is recorded. A
	// budget is taken into account for one to two such periods.
	timeoutPeriod = 30 * time.Second
	// firstTrySpread is the fraction of the longest budget by which the budget of a first
	// try may be shorter.
	firstTrySpread = 0.16
	// maxTimeoutRoutes limits the routes recorded. When it is reached, all are dropped.
	maxTimeoutRoutes = 4096
)

// callerTimeouts estimates the caller timeout of each route, which is how long its callers
// wait in total, from the budgets that they state. A budget well below the longest means
// that the caller is retrying. It is safe for concurrent use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*budgetMaxima
}

// budgetMaxima holds the longest budget of the current period (field now) and of the
// previous one.
type budgetMaxima struct {
	period        int64
	now, previous time.Duration
}

// elapsed records a budget and returns the time since the caller's first try, estimated
// from the budget; it is 0 if the request may be a first try. It also returns the longest
// budget. Both are 0 if the caller states no budget.
func (t *callerTimeouts) elapsed(route string, budget time.Duration, now clock.Instant) (elapsed, maxBudget time.Duration) {
	if budget <= 0 {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.routes[route]
	if m == nil {
		if t.routes == nil || len(t.routes) >= maxTimeoutRoutes {
			t.routes = make(map[string]*budgetMaxima)
		}
		m = &budgetMaxima{}
		t.routes[route] = m
	}
	return m.elapsed(budget, now)
}

// peek returns what elapsed would return, without recording the budget.
func (t *callerTimeouts) peek(route string, budget time.Duration, now clock.Instant) (elapsed, maxBudget time.Duration) {
	if budget <= 0 {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var m budgetMaxima
	if known := t.routes[route]; known != nil {
		m = *known
	}
	return m.elapsed(budget, now)
}

// elapsed does the work of callerTimeouts.elapsed for one route.
func (m *budgetMaxima) elapsed(budget time.Duration, now clock.Instant) (elapsed, maxBudget time.Duration) {
	if period := int64(time.Duration(now) / timeoutPeriod); period != m.period {
		m.previous = 0
		if period == m.period+1 {
			m.previous = m.now
		}
		m.period, m.now = period, 0
	}
	m.now = max(m.now, budget)
	maxBudget = max(m.now, m.previous)
	if float64(budget) >= (1-firstTrySpread)*float64(maxBudget) {
		return 0, maxBudget
	}
	return maxBudget - budget, maxBudget
}
