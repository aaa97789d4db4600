package earlyrefusal

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Inputs are the values on which an early refusal rests.
type Inputs struct {
	// Delay is the smoothed delay of the instance's timers.
	Delay time.Duration
	// Used and Nominal are the customer's usage and share in tokens, both 0 if there is no limit.
	Used, Nominal float64
	// Reports is the number of peers' reports that Used includes, OldestReport the age of the oldest.
	Reports      int
	OldestReport time.Duration
	RetryAfter   time.Duration
}

// CustomerTally are the early refusals of one customer, and the inputs of the last of them.
type CustomerTally struct {
	Customer fleet.CustomerID
	Refused  int
	Last     Inputs
}

// maxTallied bounds the customers of a Tally.
const maxTallied = 256

// Tally sums up early refusals, so that they can be logged together. The zero value is empty. It must
// not be used concurrently.
type Tally struct {
	Refused   int
	customers map[fleet.CustomerID]*CustomerTally
}

// Add counts one refusal.
func (t *Tally) Add(c fleet.CustomerID, in Inputs) {
	t.Refused++
	e := t.customers[c]
	if e == nil {
		if len(t.customers) >= maxTallied {
			return
		}
		if t.customers == nil {
			t.customers = make(map[fleet.CustomerID]*CustomerTally)
		}
		e = &CustomerTally{Customer: c}
		t.customers[c] = e
	}
	e.Refused++
	e.Last = in
}

// Largest returns the n customers with the most refusals, in descending order, and the number of all.
func (t *Tally) Largest(n int) (largest []CustomerTally, customers int) {
	for _, e := range t.customers {
		largest = append(largest, *e)
	}
	slices.SortFunc(largest, func(a, b CustomerTally) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Customer, b.Customer))
	})
	return largest[:min(n, len(largest))], len(largest)
}
