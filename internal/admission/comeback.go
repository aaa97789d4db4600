package admission

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/membership"
)

const (
	// spreadPart is the part of a pause over which the times given out at one moment are spread.
	spreadPart = 0.25
	// defaultGap separates the turns of a customer none of whose requests started within the last second.
	defaultGap = 100 * time.Millisecond
)

// Comeback is what the time depends on at which a refused caller is told to come back.
type Comeback struct {
	// Least is the shortest pause, Most the longest one that leaves the caller time to be served.
	Least, Most time.Duration
	// Expected is when the request would start if it waited now, 0 if that is not known.
	Expected time.Duration
	// LastTurn is the turn given to the customer's previous refused request, 0 for none. StartsPerSecond is how many
	// of its requests start.
	LastTurn        clock.Instant
	StartsPerSecond float64
	// Seed identifies the request by its content: a request that is sent again gets the same spread.
	Seed uint64
}

// Pause returns the pause and the turn that it ends with. Turns of a customer follow each other at the rate at which its
// requests start, so that each further request gets a later one. Turns that come too late for the caller are not kept:
// those callers are spread over the last part of the longest pause.
func (c Comeback) Pause(now clock.Instant) (time.Duration, clock.Instant) {
	gap := defaultGap
	if c.StartsPerSecond > 0 {
		gap = time.Duration(float64(time.Second) / max(c.StartsPerSecond, 1))
	}
	part := spreadPart * c.fraction()
	turn := now.Add(time.Duration((1 + part) * float64(max(c.Least, c.Expected))))
	if c.LastTurn != 0 {
		turn = max(turn, c.LastTurn.Add(gap))
	}
	pause := turn.Sub(now)
	if pause > c.Most {
		return max(time.Duration((1-part)*float64(c.Most)), 0), c.LastTurn
	}
	return pause, turn
}

// fraction maps the seed to a value from 0 to 1.
func (c Comeback) fraction() float64 {
	const bits = 52
	return float64(membership.Score(c.Seed, 0)>>(64-bits)) / (1 << bits)
}
