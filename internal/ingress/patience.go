package ingress

import (
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

const (
	// patiencePeriod is how long the longest budget of a route's callers counts: one to
	// two such periods.
	patiencePeriod = 30 * time.Second
	// patienceSpread is the part of the longest budget within which callers differ at
	// their first try.
	patienceSpread = 0.16
	// maxPatienceRoutes bounds the routes remembered.
	maxPatienceRoutes = 4096
)

// patience learns how long a route's callers wait in all, from the budgets that they
// state. A budget that is well below the longest belongs to a caller that has come
// back. It is safe for concurrent use.
type patience struct {
	mu     sync.Mutex
	routes map[string]*longest
}

// longest is the longest budget of the present and the former period.
type longest struct {
	period       int64
	now, earlier time.Duration
}

// elapsed returns how long ago a caller first tried, as far as its budget shows: 0 for
// what may be a first try. It also returns the longest budget.
func (p *patience) elapsed(route string, budget time.Duration, now clock.Instant) (elapsed, most time.Duration) {
	if budget <= 0 {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.routes[route]
	if l == nil {
		if p.routes == nil || len(p.routes) >= maxPatienceRoutes {
			p.routes = make(map[string]*longest)
		}
		l = &longest{}
		p.routes[route] = l
	}
	if period := int64(time.Duration(now) / patiencePeriod); period != l.period {
		l.earlier = 0
		if period == l.period+1 {
			l.earlier = l.now
		}
		l.period, l.now = period, 0
	}
	l.now = max(l.now, budget)
	most = max(l.now, l.earlier)
	if float64(budget) >= (1-patienceSpread)*float64(most) {
		return 0, most
	}
	return most - budget, most
}
