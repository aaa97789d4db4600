// Package isolation keeps long prefills apart from the streams that they would hold up.
//
// The load that it answers: engines batch the chunks of a prompt with the tokens of all requests that
// run beside it, so that each step takes several times as long while a long prompt is read. An event of a
// stream needs a number of steps. A prompt of 20,000 tokens thereby holds back an event of each stream on its
// engine for longer than the route's objective for the gap; with 1 such prompt in 14 spread over all engines,
// a quarter of the streams is late. Where they share a few engines, few streams run beside them.
//
// The package does no I/O and reads no clock.
package isolation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// gapPart is the part of the objective for the gap that a prefill may take before it counts as long. The
// steps of an event are not known exactly, and a second prefill may run beside the first.
const gapPart = 0.5

// IsLong reports whether an engine that prefills perMillisecond tokens a millisecond would hold up the streams
// that run on it, whose objective for the gap between events is given, by prefilling a number of tokens.
func IsLong(tokens int, perMillisecond float64, gap time.Duration) bool {
	return gap > 0 && perMillisecond > 0 && float64(tokens)/perMillisecond >= gapPart*float64(gap)/float64(time.Millisecond)
}

// shareHalfLife is the time in which the weight of a request in the share halves. Prompts vary so widely
// that a shorter one would move engines to and fro.
const shareHalfLife = 10 * time.Second

// Share measures which part of all tokens to be prefilled belongs to long prefills. The zero value is empty.
// It must not be used concurrently.
type Share struct {
	long, all float64
	at        clock.Instant
}

// Observe adds a request.
func (s *Share) Observe(tokens int, long bool, now clock.Instant) {
	weight := math.Exp2(-max(now.Sub(s.at), 0).Seconds() / shareHalfLife.Seconds())
	s.long, s.all, s.at = s.long*weight, s.all*weight+float64(tokens), max(s.at, now)
	if long {
		s.long += float64(tokens)
	}
}

// minObserved is the number of tokens below which the share is not known: some hundred requests.
const minObserved = 500_000

// Value returns the share, 0 while too little has been observed.
func (s *Share) Value() float64 {
	if s.all < minObserved {
		return 0
	}
	return s.long / s.all
}

// Limits of the demand, as a multiple of what is started. While much more is asked for than engines take, no
// engine is set aside: each of them is needed for whatever has the best claim. The limits differ, since each
// change moves the homes of prompt parts.
const (
	overloadFrom = 1.5
	overloadTo   = 1.2
)

// Overload tells whether much more is asked for than is started. The zero value says no.
type Overload struct{ on bool }

// Update takes the tokens that were requested and started within the same time, and reports whether that is an
// overload.
func (o *Overload) Update(requested, started float64) bool {
	switch {
	case requested > overloadFrom*started:
		o.on = true
	case requested < overloadTo*started:
		o.on = false
	}
	return o.on
}

// Target is an engine that may be set aside.
type Target struct {
	// Order is the engine's place in an order that all instances agree on, such as a rendezvous score.
	Order      uint64
	DataCentre fleet.DataCentreID
}

// Limits of the engines that are set aside.
const (
	// maxPart is the greatest part of a data centre's engines that is set aside.
	maxPart = 0.33
	// minTargets is the least number of engines of a data centre of which one is set aside: with fewer, the
	// others would have too little room.
	minTargets = 4
	// keepMargin is how far the share must be off before the number of a data centre's engines changes,
	// in engines: each change moves the homes of prompt parts.
	keepMargin = 0.75
)

// Count returns how many of n engines of a data centre are set aside for a share of long prefills. before is
// the number until now. Every instance computes it from the requests that it sees itself; where instances
// differ, the smaller set is a part of the larger.
func Count(n int, share float64, before int) int {
	if n < minTargets || share <= 0 {
		return 0
	}
	most := max(int(maxPart*float64(n)), 1)
	want := share * float64(n)
	if before > 0 && before <= most && want > float64(before)-1-keepMargin && want < float64(before)+keepMargin {
		return before
	}
	return min(int(math.Ceil(want)), most)
}

// Choose returns which targets are set aside for long prefills, and their number in each data centre that has any. before
// holds the numbers until now. O(n log n) for n targets.
func Choose(targets []Target, share float64, before map[fleet.DataCentreID]int) ([]bool, map[fleet.DataCentreID]int) {
	members := make(map[fleet.DataCentreID][]int)
	for i, t := range targets {
		members[t.DataCentre] = append(members[t.DataCentre], i)
	}
	chosen, counts := make([]bool, len(targets)), make(map[fleet.DataCentreID]int, len(members))
	for dc, indices := range members {
		slices.SortFunc(indices, func(a, b int) int { return cmp.Compare(targets[b].Order, targets[a].Order) })
		n := Count(len(indices), share, before[dc])
		if n == 0 {
			continue
		}
		counts[dc] = n
		for _, i := range indices[:n] {
			chosen[i] = true
		}
	}
	return chosen, counts
}
