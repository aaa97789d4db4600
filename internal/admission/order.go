package admission

import (
	"cmp"
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Waiting is what the order of a waiting request depends on.
type Waiting struct {
	// Rank is the urgency of the customer, or else of the route; 0 is the most urgent.
	Rank int
	// Late says that the request can no longer be served within its objective.
	Late bool
	// Position is the customer's usage relative to its share.
	Position float64
	// Slack is the time left to the deadline, as a multiple of the time that the prompt takes. A caller that comes
	// back has less time left than one that comes for the first time.
	Slack float64
	Since clock.Instant
}

// Compare returns a negative number if a starts before b: by rank, requests that can be on time before those that
// cannot, then by position, by slack, and by arrival. The order depends on nothing that differs between instances but
// the usage that they know of.
func Compare(a, b Waiting) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank), compareBool(a.Late, b.Late), cmp.Compare(a.Position, b.Position),
		cmp.Compare(a.Slack, b.Slack), cmp.Compare(a.Since, b.Since),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Position returns a usage relative to a share. If no share is known, usages are compared as they are.
func Position(used, share float64) float64 {
	if share <= 0 || math.IsInf(share, 1) {
		return used
	}
	return used / share
}

// Slack returns the time left as a multiple of the time that a request takes.
func Slack(left, takes time.Duration) float64 {
	return float64(left) / float64(max(takes, time.Millisecond))
}

// CannotBeOnTime reports whether a request that has waited for some time misses its objective even if it starts now.
func CannotBeOnTime(objective, waited, takes time.Duration) bool {
	return objective > 0 && waited+takes > objective
}

// Constants of Outlook.
const (
	// minAhead is the number of requests that may wait ahead of one in any case: a rate that was measured while
	// little was asked says nothing of what could start.
	minAhead = 8
	// rateGrowth multiplies the measured rate, since the rate can rise.
	rateGrowth = 2
)

// Outlook is what is known of when a request will start.
type Outlook struct {
	// Ahead is the number of requests that start before it.
	Ahead int
	// StartsPerSecond is the rate at which its service started requests at this instance.
	StartsPerSecond float64
}

// StartsWithin reports whether the request can start before its wait ends.
func (o Outlook) StartsWithin(wait time.Duration) bool {
	return float64(o.Ahead) < max(minAhead, rateGrowth*o.StartsPerSecond*wait.Seconds())
}

// Expected returns the expected time to the start, 0 if no rate is known.
func (o Outlook) Expected() time.Duration {
	if o.StartsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(o.Ahead+1) / o.StartsPerSecond * float64(time.Second))
}
