package placement

import "time"

// Copy describes a candidate's copy of a request's shared parts, where it is known which targets keep
// them and targets can fetch them from each other. The zero value stands for all other requests.
type Copy struct {
	// Located reports whether it is known which targets keep the parts. Cached then holds what the
	// target keeps, is prefilling for another request, or would fetch.
	Located bool
	// First reports that no target is known to hold the parts and that the candidate is the one that
	// is to prefill them.
	First bool
	// Transfer is the time in which the target fetches what it lacks, 0 if it fetches nothing.
	// Joins reports that it is fetching the same for another request already.
	Transfer time.Duration
	Joins    bool
	// Doubt is the expected cost of a wrong belief: the time to prefill what would be missing, times the
	// probability that it is.
	Doubt time.Duration
}

// copyCost returns what a further copy of the shared parts on the candidate costs others, besides the
// time of the request itself.
//
// A copy evicts as many tokens of other parts, which are then fetched again: the time of one more
// transfer. Tokens that must be prefilled also delay all requests that run on the target, because an
// engine prefills between their tokens: the prefill time for each of them. The first copy has to be
// prefilled somewhere and costs nothing more at its home.
func (c *Candidate) copyCost(r Request) time.Duration {
	lacking := max(r.Shared-c.Cached, 0)
	if !c.Copy.Located {
		return recomputeWeight * prefillTime(lacking, AssumedSpeed)
	}
	cost := c.Copy.Doubt
	if !c.Copy.Joins {
		cost += c.Copy.Transfer
	}
	if !c.Copy.First {
		cost += time.Duration(1+c.Load.Running) * c.prefillTime(lacking)
	}
	return cost
}
