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
// A copy evicts as many tokens of other parts, also if it is fetched; at an engine whose memory is full within
// seconds these are soon prefilled again. It costs as much as for parts of which it is not known who keeps them: with
// a cost of some hundred milliseconds parts were prefilled again twice as often while many requests failed
// (docs/design/0016-prefix-fetch.md). The first copy has to be prefilled somewhere and costs nothing more at its home.
func (c *Candidate) copyCost(r Request) time.Duration {
	lacking := max(r.Shared-c.Cached, 0)
	if !c.Copy.Located {
		return recomputeWeight * prefillTime(lacking, AssumedSpeed)
	}
	added := 0
	if c.Copy.Transfer > 0 && !c.Copy.Joins {
		added = r.Shared
	}
	if !c.Copy.First {
		added += lacking
	}
	return c.Copy.Doubt + recomputeWeight*prefillTime(added, AssumedSpeed)
}
