package placement

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/membership"
)

// IsWithin reports whether the candidate has room for the request and is within the limit.
func (c *Candidate) IsWithin(r Request, limit Limit) bool {
	return c.hasRoom(r) && limit.allows(c, c.wait(r))
}

// Detour returns a candidate within the limit that costs at most a given time more than the preferred one, which is
// over the limit: shares decide how full a target may be, not on which one a request runs. It returns the choice
// unchanged if there is none. Candidates are drawn as Pick draws them, so that instances with the same old loads do
// not all turn to the same one.
func (s Spread) Detour(r Request, candidates []Candidate, limit Limit, most time.Duration, choice Choice) Choice {
	if choice.Index < 0 || choice.Within {
		return choice
	}
	_, all := survey(r, candidates)
	steepness := float64(s.steepness(all.meanWait))
	missing := max(r.Shared-candidates[choice.Index].Cached, 0)
	least := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		wait := c.wait(r)
		over := c.cost(r, wait) - all.lowest
		if over > most || !c.IsWithin(r, limit) || r.isLate(c, wait) || r.Shared-c.Cached-missing >= maxSpreadPrefill {
			continue
		}
		value := float64(over) - steepness*math.Log(unit(membership.Score(s.Seed, c.Key)))
		if value < least {
			choice.Index, choice.Wait, choice.TimeToFirstEvent, choice.Within = i, wait, c.timeToFirstEvent(r, wait), true
			least = value
		}
	}
	return choice
}
