package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// backlogMargin is the factor by which an engine may be slower than estimated before its backlog
// is underestimated.
const backlogMargin = 1.5

// backlog estimates how many of the tokens that this instance sent to an engine are still to be
// prefilled, from the engine's speed. What is known exactly, from first events, is late when the
// instance's own processor is: without the estimate all engines look busy then, work is refused,
// and its return makes the processor later still.
type backlog struct {
	tokens float64
	at     clock.Instant
}

// add adds the tokens of a request that is sent now. drain must have been called before.
func (b *backlog) add(tokens int, now clock.Instant) {
	b.tokens += float64(tokens)
	b.at = now
}

// drain brings the estimate up to now. exact is the number of tokens of which no first event has
// come, perMillisecond the engine's speed and part the part of its work that is this instance's.
func (b *backlog) drain(exact int, perMillisecond, part float64, now clock.Instant) int {
	elapsed := float64(now.Sub(b.at)) / float64(time.Millisecond)
	b.tokens = min(max(b.tokens-elapsed*perMillisecond*part/backlogMargin, 0), float64(exact))
	b.at = now
	return int(b.tokens)
}
