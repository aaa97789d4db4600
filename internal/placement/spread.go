package placement

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/membership"
)

// Constants of Spread; docs/design/0017-even-load.md compares other ways with them.
const (
	// steepnessOfAge is the steepness as a fraction of the age of the loads.
	steepnessOfAge = 0.2
	// steepnessOfWait bounds the steepness to a fraction of the mean wait of all candidates, full ones included: what is unknown of a
	// load is of the order of the load, and idle targets are not worth a detour to another region.
	steepnessOfWait = 0.5
	// windowSteepness is how far a cost may be above the lowest, as a multiple of the steepness. A
	// candidate at its end is drawn 55 times less often than the best one.
	windowSteepness = 4
	// steepnessOfObjective bounds the steepness to a fraction of the request's objective, so that no candidate
	// is drawn that costs a whole objective more than the best.
	steepnessOfObjective = 1.0 / windowSteepness
	// maxSpreadPrefill is the number of tokens of shared parts from which a candidate that would prefill
	// so many more than the best one is not drawn. Drawn away from their cached parts, requests with short
	// shared parts made engines prefill a half more of these again.
	maxSpreadPrefill = 64
)

// Spread draws the target of a request among those whose costs are near the lowest, so that instances that
// decide at the same moment on the same stale loads do not all choose the same target. A candidate's
// probability falls by e for each steepness by which its cost is above the lowest. The steepness is a
// fraction of the age of the loads, bounded by the mean wait and the objective: with current loads, or idle targets, the draw is
// among equal costs only.
//
// The draw depends on Seed and the candidates' keys only: a repeated decision on the same loads
// has the same result, and a candidate that comes or goes moves only the requests that it gets or had.
type Spread struct {
	// Seed is a hash of the request and the instance.
	Seed uint64
	// Age is the greatest age of the peers' loads, Objective the time aimed at for the first event, 0 for none.
	Age, Objective time.Duration
}

// Pick returns the drawn candidate, or false if none has room. It draws among candidates within the limit. If the
// one with the lowest cost is not, it is returned as the function Pick does: shares decide on that target.
func (s Spread) Pick(r Request, candidates []Candidate, limit Limit) (Choice, bool) {
	choice, all := survey(r, candidates)
	if choice.Index < 0 {
		return choice, false
	}
	best := &candidates[choice.Index]
	if choice.Within = limit.allows(best, choice.Wait); !choice.Within {
		return choice, true
	}
	steepness := s.steepness(all.meanWait)
	window := windowSteepness * steepness
	missing := max(r.Shared-best.Cached, 0)
	// Each candidate gets an exponentially distributed value whose rate is its weight; the least is drawn
	// with a probability in proportion to the weight. Since weights are at most 1, the lower bound 1-u
	// of -log(u) dismisses most candidates before their cost is computed.
	least := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		u := unit(membership.Score(s.Seed, c.Key))
		if 1-u >= least || !c.hasRoom(r) {
			continue
		}
		wait := c.wait(r)
		over := c.cost(r, wait) - all.lowest
		if over > window || r.Shared-c.Cached-missing >= maxSpreadPrefill || !limit.allows(c, wait) || r.isLate(c, wait) {
			continue
		}
		value := -math.Log(u)
		if over > 0 {
			value *= math.Exp(float64(over) / float64(steepness))
		}
		if value < least {
			choice.Index, choice.Wait, choice.TimeToFirstEvent, least = i, wait, c.timeToFirstEvent(r, wait), value
		}
	}
	return choice, true
}

// steepness returns the difference in cost by which a candidate's probability falls by e.
func (s Spread) steepness(meanWait time.Duration) time.Duration {
	steepness := min(time.Duration(steepnessOfAge*float64(s.Age)), time.Duration(steepnessOfWait*float64(meanWait)))
	if s.Objective > 0 {
		steepness = min(steepness, time.Duration(steepnessOfObjective*float64(s.Objective)))
	}
	return max(steepness, 0)
}

// unit maps a hash to a value between 0 and 1, both excluded.
func unit(hash uint64) float64 {
	const bits = 52
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}
