package ingress

import (
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

const (
	// timeoutPeriod is how long the longest budget of a route's callers counts: one to
	// two such periods.
	timeoutPeriod = 30 * time.Second
	// firstTrySpread is the part of the longest budget within which callers differ at
	// their first try.
	firstTrySpread = 0.16
	// maxTimeoutRoutes bounds the routes remembered.
	maxTimeoutRoutes = 4096
)

// callerTimeouts learns how long a route's callers wait in all, from the budgets that they
// state. A budget that is well below the longest belongs to a caller that has come
// back. It is safe for concurrent use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*budgetMaxima
}

// budgetMaxima is the budgetMaxima budget of the present and the former period.
type budgetMaxima struct {
	period        int64
	now, previous time.Duration
}

// elapsed returns how long ago a caller first tried, as far as its budget shows: 0 for
// what may be a first try. It also returns the longest budget.
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
