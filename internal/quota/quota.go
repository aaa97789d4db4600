// Package quota divides the engines' throughput between customers by max-min
// fairness: those that ask for less than an even share get all they ask, the others
// get the same share of what is left.
//
// It answers a load in which a few customers ask for several times the fleet's
// capacity for seconds, while others ask for little: without it the large ones fill
// every queue. It is pure; one goroutine at a time uses a Meter.
package quota

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// bucketCount is the number of buckets of a window; more make it slide more smoothly.
const bucketCount = 16

// Meter counts what each customer asked for and what was started for it, in tokens,
// over a sliding window and over the whole fleet.
type Meter struct {
	window    time.Duration
	bucket    time.Duration
	customers map[fleet.CustomerID]*usage
}

// usage is one customer's window.
type usage struct {
	last    int64
	asked   [bucketCount]float64
	started [bucketCount]float64
}

// NewMeter returns a meter with a window.
func NewMeter(window time.Duration) *Meter {
	return &Meter{window: window, bucket: window / bucketCount, customers: make(map[fleet.CustomerID]*usage)}
}

// AddDemand counts tokens that a customer asked for.
func (m *Meter) AddDemand(c fleet.CustomerID, tokens float64, now clock.Instant) {
	u := m.at(c, now)
	u.asked[u.last%bucketCount] += tokens
}

// AddUsage counts tokens of a customer's request that was sent to a target. A negative
// amount takes back a request that did not run.
func (m *Meter) AddUsage(c fleet.CustomerID, tokens float64, now clock.Instant) {
	u := m.at(c, now)
	u.started[u.last%bucketCount] += tokens
}

// at returns a customer's window moved to now.
func (m *Meter) at(c fleet.CustomerID, now clock.Instant) *usage {
	u := m.customers[c]
	if u == nil {
		u = &usage{last: m.index(now)}
		m.customers[c] = u
	}
	u.advance(m.index(now))
	return u
}

func (m *Meter) index(now clock.Instant) int64 { return int64(time.Duration(now) / m.bucket) }

// advance clears the buckets between the last one and index.
func (u *usage) advance(index int64) {
	for i := max(u.last+1, index-bucketCount+1); i <= index; i++ {
		u.asked[i%bucketCount], u.started[i%bucketCount] = 0, 0
	}
	u.last = max(u.last, index)
}

// Usage returns the tokens started for a customer within the window.
func (m *Meter) Usage(c fleet.CustomerID, now clock.Instant) float64 {
	return sum(&m.at(c, now).started)
}

// Demand returns the tokens that a customer asked for within the window.
func (m *Meter) Demand(c fleet.CustomerID, now clock.Instant) float64 {
	return sum(&m.at(c, now).asked)
}

func sum(buckets *[bucketCount]float64) float64 {
	total := 0.0
	for _, b := range buckets {
		total += b
	}
	return total
}

// FairShare returns the even share: the most that a customer which asks for more gets
// within a window, when the fleet produces perSecond tokens a second. It is infinite
// in effect (all that was asked) when everything fits. O(customers · log).
func (m *Meter) FairShare(perSecond float64, now clock.Instant) float64 {
	demands := make([]float64, 0, len(m.customers))
	for c := range m.customers {
		if d := m.Demand(c, now); d > 0 {
			demands = append(demands, d)
		}
	}
	return MaxMinShare(demands, perSecond*m.window.Seconds())
}

// Throughput returns the tokens a second that were started for all customers together
// within the window. O(customers).
func (m *Meter) Throughput(now clock.Instant) float64 {
	total := 0.0
	for c := range m.customers {
		total += m.Usage(c, now)
	}
	return total / m.window.Seconds()
}

// MaxMinShare returns the max-min share of capacity between demands: the sum of
// min(demand, share) is the capacity, or every demand is met.
func MaxMinShare(demands []float64, capacity float64) float64 {
	slices.SortFunc(demands, func(a, b float64) int { return cmp.Compare(a, b) })
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		if d > even {
			return even
		}
		left -= d
	}
	return capacity
}
