// Package quota divides the engines' throughput between customers by max-min fairness:
// customers that demand less than an even share get all that they demand, and the others
// get equal shares of the rest.
//
// It handles a load in which a few customers demand several times the fleet's capacity
// for seconds while others demand little: without it, the large ones would fill every
// queue. The package does no I/O. A Meter is not safe for concurrent use.
package quota

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// bucketCount is the number of buckets of a window. More buckets make it slide more
// smoothly.
const bucketCount = 16

// Meter counts the tokens that each customer of the whole fleet demanded and used, over a
// sliding window. Tokens count as used from the time their request is sent to a target.
type Meter struct {
	window      time.Duration
	bucketWidth time.Duration
	customers   map[fleet.CustomerID]*customerWindow
}

// customerWindow holds the sliding window of one customer.
type customerWindow struct {
	lastBucket int64
	demand     [bucketCount]float64
	usage      [bucketCount]float64
}

// NewMeter returns an empty Meter with the given window.
func NewMeter(window time.Duration) *Meter {
	return &Meter{window: window, bucketWidth: window / bucketCount, customers: make(map[fleet.CustomerID]*customerWindow)}
}

// AddDemand counts tokens that a customer requested.
func (m *Meter) AddDemand(c fleet.CustomerID, tokens float64, now clock.Instant) {
	w := m.windowAt(c, now)
	w.demand[w.lastBucket%bucketCount] += tokens
}

// AddUsage counts the tokens of a customer's request that was sent to a target. A
// negative amount takes back a request that did not run.
func (m *Meter) AddUsage(c fleet.CustomerID, tokens float64, now clock.Instant) {
	w := m.windowAt(c, now)
	w.usage[w.lastBucket%bucketCount] += tokens
}

// windowAt returns a customer's window, advanced to now, creating it if needed.
func (m *Meter) windowAt(c fleet.CustomerID, now clock.Instant) *customerWindow {
	w := m.customers[c]
	if w == nil {
		w = &customerWindow{lastBucket: m.bucketIndex(now)}
		m.customers[c] = w
	}
	w.advance(m.bucketIndex(now))
	return w
}

// bucketIndex returns the index of the bucket that contains now, counted from the clock's
// zero.
func (m *Meter) bucketIndex(now clock.Instant) int64 {
	return int64(time.Duration(now) / m.bucketWidth)
}

// advance moves the end of the window to the bucket with the given index and clears the
// buckets that it enters. It does nothing if the window already ends there or later.
func (w *customerWindow) advance(index int64) {
	for i := max(w.lastBucket+1, index-bucketCount+1); i <= index; i++ {
		w.demand[i%bucketCount], w.usage[i%bucketCount] = 0, 0
	}
	w.lastBucket = max(w.lastBucket, index)
}

// Usage returns the tokens that a customer used within the window.
func (m *Meter) Usage(c fleet.CustomerID, now clock.Instant) float64 {
	return sum(&m.windowAt(c, now).usage)
}

// Demand returns the tokens that a customer requested within the window.
func (m *Meter) Demand(c fleet.CustomerID, now clock.Instant) float64 {
	return sum(&m.windowAt(c, now).demand)
}

func sum(buckets *[bucketCount]float64) float64 {
	total := 0.0
	for _, b := range buckets {
		total += b
	}
	return total
}

// FairShare returns the max-min fair share within a window, in tokens, when the fleet
// processes tokensPerSecond. Customers that demand more than this share get only the
// share. When all demands can be met, it is the capacity of the whole window, which limits
// no customer. It takes O(n log n) time for n customers.
func (m *Meter) FairShare(tokensPerSecond float64, now clock.Instant) float64 {
	demands := make([]float64, 0, len(m.customers))
	for c := range m.customers {
		if d := m.Demand(c, now); d > 0 {
			demands = append(demands, d)
		}
	}
	return MaxMinShare(demands, tokensPerSecond*m.window.Seconds())
}

// FairPart returns which part of the fair demand another meter counted, which counts some of the
// same requests: of what each customer requested within the window, up to the given share. It is
// 0 without demand. It takes O(n) time for n customers.
func (m *Meter) FairPart(some *Meter, share float64, now clock.Instant) float64 {
	part, all := 0.0, 0.0
	for c := range m.customers {
		demand := m.Demand(c, now)
		if demand <= 0 {
			continue
		}
		fair := min(demand, share)
		all += fair
		if w := some.customers[c]; w != nil {
			part += fair * min(some.Demand(c, now)/demand, 1)
		}
	}
	if all == 0 {
		return 0
	}
	return part / all
}

// recentBuckets is the number of buckets that show what a customer requests now.
const recentBuckets = 5

// LeastServed returns the lowest usage of a starved customer, or false if none is starved: a
// customer that now gets less than the given fraction of what it requests, and used less
// than that fraction of the effective share within the window. One that requests no more than
// its nominal share, or that used nothing, is not starved, because nobody can take the
// nominal share from it: if it is not served, the cause is its own. It takes O(n) time for n
// customers.
func (m *Meter) LeastServed(fraction, nominal, effective float64, now clock.Instant) (float64, bool) {
	least, found := fraction*effective, false
	for c := range m.customers {
		w := m.windowAt(c, now)
		demand, usage := w.recent()
		used := sum(&w.usage)
		if used <= 0 || sum(&w.demand) <= nominal {
			continue
		}
		// The recent usage of a customer is negative if an older request of it did not run.
		if max(usage, 0) < fraction*demand && used < least {
			least, found = used, true
		}
	}
	return least, found
}

// recent returns the demand and the usage in the last buckets.
func (w *customerWindow) recent() (demand, usage float64) {
	for i := max(w.lastBucket-recentBuckets+1, 0); i <= w.lastBucket; i++ {
		demand += w.demand[i%bucketCount]
		usage += w.usage[i%bucketCount]
	}
	return demand, usage
}

// Throughput returns the tokens per second that all customers together used within the
// window. It takes O(n) time for n customers.
func (m *Meter) Throughput(now clock.Instant) float64 {
	total := 0.0
	for c := range m.customers {
		total += m.Usage(c, now)
	}
	return total / m.window.Seconds()
}

// Requested returns the tokens per second that all customers together requested within the window. It
// takes O(n) time for n customers.
func (m *Meter) Requested(now clock.Instant) float64 {
	total := 0.0
	for c := range m.customers {
		total += m.Demand(c, now)
	}
	return total / m.window.Seconds()
}

// CustomerTokens are the tokens that a customer demanded and used within the window.
type CustomerTokens struct {
	Customer      fleet.CustomerID
	Demand, Usage float64
}

// Largest returns the n customers with the largest demand, in descending order, and the
// number of customers with any demand. It takes O(m·n) time for m customers.
func (m *Meter) Largest(n int, now clock.Instant) (largest []CustomerTokens, customers int) {
	for c := range m.customers {
		demand := m.Demand(c, now)
		if demand <= 0 {
			continue
		}
		customers++
		if len(largest) == n && demand <= largest[n-1].Demand {
			continue
		}
		at, _ := slices.BinarySearchFunc(largest, demand, func(e CustomerTokens, d float64) int { return cmp.Compare(d, e.Demand) })
		largest = slices.Insert(largest, at, CustomerTokens{Customer: c, Demand: demand, Usage: m.Usage(c, now)})
		largest = largest[:min(len(largest), n)]
	}
	return largest, customers
}

// MaxMinShare returns the max-min fair share of capacity between demands: either the sum
// of min(demand, share) equals the capacity, or every demand is met. It sorts demands in
// place.
func MaxMinShare(demands []float64, capacity float64) float64 {
	slices.SortFunc(demands, func(a, b float64) int { return cmp.Compare(a, b) })
	remaining := capacity
	for i, d := range demands {
		evenShare := remaining / float64(len(demands)-i)
		if d > evenShare {
			return evenShare
		}
		remaining -= d
	}
	return capacity
}
