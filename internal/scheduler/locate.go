package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/prefixindex"
)

// sourcesPerDataCentre is the number of sources kept for each data centre: the best one, and another
// for the case that the candidate is the best one itself.
const sourcesPerDataCentre = 2

// located describes which targets hold the long prefix of a job. It is computed once for a decision,
// since the sources are the same for all candidates but for the distance.
type located struct {
	inForce bool
	// held reports whether any usable target keeps or prefills a long prefix of the job.
	held bool
	// sources holds the best sources of the longest prefix that has any, tokens is its length.
	sources []locatedSource
	tokens  int
}

// locatedSource is a possible source with the wait for its link and the expected cost of a wrong belief.
type locatedSource struct {
	target          *usableTarget
	linkWait, doubt time.Duration
}

// locate finds the targets that hold the job's long prefix. s.mu must be held.
func (s *Scheduler) locate(j *Job, list *targetList, now clock.Instant) {
	l := &s.prefixes.located
	*l = located{sources: l.sources[:0], inForce: len(j.longPrefixes) > 0 && s.fetchesPrefixes(j.Service)}
	if !l.inForce {
		return
	}
	for _, p := range j.longPrefixes {
		for _, e := range s.prefixes.index.Holders(p.hash) {
			if _, usable := list.index[e.Target]; usable && (e.Kept() || e.Prefilling(now)) {
				l.held = true
			}
			if len(l.sources) > 0 && l.tokens != p.tokens {
				continue
			}
			if source := s.sourceOf(j, e, list, now); source != nil {
				l.tokens = p.tokens
				l.add(locatedSource{target: source, linkWait: s.prefixes.index.LinkWait(e.Target, now), doubt: s.doubt(j, e.Belief(), p.tokens)})
			}
		}
	}
}

// add keeps a source if it is among the best of its data centre.
func (l *located) add(n locatedSource) {
	worst, found := -1, 0
	for i := range l.sources {
		if l.sources[i].target.entry.DataCentre != n.target.entry.DataCentre {
			continue
		}
		if found++; worst < 0 || l.sources[worst].better(&l.sources[i]) {
			worst = i
		}
	}
	switch {
	case found < sourcesPerDataCentre:
		l.sources = append(l.sources, n)
	case n.better(&l.sources[worst]):
		l.sources[worst] = n
	}
}

// better reports whether a is the better source of two in one data centre.
func (a *locatedSource) better(b *locatedSource) bool {
	if costA, costB := a.linkWait+a.doubt, b.linkWait+b.doubt; costA != costB {
		return costA < costB
	}
	return a.target.entry.ID < b.target.entry.ID
}

// doubt returns the expected cost of a belief in a number of cached tokens. s.mu must be held.
func (s *Scheduler) doubt(j *Job, belief float64, tokens int) time.Duration {
	return time.Duration((1 - belief) * float64(tokens) / s.meanSpeed(j.Service.ID) * float64(time.Millisecond))
}

// describeCopy fills in what a candidate keeps of the job's shared parts, or fetches. locate must have
// been called for the job. s.mu must be held.
func (s *Scheduler) describeCopy(j *Job, target *usableTarget, c *placement.Candidate, now clock.Instant) {
	l := &s.prefixes.located
	c.Copy.Located = true
	kept, prefilling := s.heldTokens(j, target, now)
	c.Cached = max(kept, prefilling, j.shortCached(s.cache.Cached(target.startID, j.prefixes)))
	if kept > 0 {
		e := s.prefixes.index.Get(target.entry.ID, target.entry.StartMillis, j.hashOf(kept))
		c.Copy.Doubt = s.doubt(j, e.Belief(), kept)
	}
	if source, took := s.bestSource(j, target, l.tokens-kept); source != nil {
		c.Cached = max(c.Cached, l.tokens)
		c.Copy.Transfer, c.Copy.Joins = took, prefilling >= l.tokens
		c.Copy.Doubt += source.doubt
	}
	c.Copy.First = !l.held && c.Rank == 0
}

// bestSource returns the source from which the target gets a number of tokens of the located prefix at
// the least cost, with the time of the transfer. It returns nil if none does in less time than the
// tokens are prefilled in. s.mu must be held.
func (s *Scheduler) bestSource(j *Job, target *usableTarget, tokens int) (best *locatedSource, took time.Duration) {
	if tokens < prefixindex.MinTokens {
		return nil, 0
	}
	l := &s.prefixes.located
	var lowest time.Duration
	for i := range l.sources {
		source := &l.sources[i]
		if source.target == target {
			continue
		}
		if cost := source.linkWait + source.doubt + pathTime(source.target, target); best == nil || cost < lowest {
			best, lowest = source, cost
		}
	}
	if best == nil {
		return nil, 0
	}
	e := j.Service.Engine
	took = lowest - best.doubt + transferSetup + time.Duration(float64(tokens)*tokenTransfer(e)*float64(time.Millisecond))
	if took >= time.Duration(float64(tokens)/s.meanSpeed(j.Service.ID)*float64(time.Millisecond)) {
		return nil, 0
	}
	return best, took
}

// pathTime returns the cost of the distance between two targets, as a time.
func pathTime(a, b *usableTarget) time.Duration {
	switch {
	case a.entry.DataCentre == b.entry.DataCentre:
		return 0
	case a.region == b.region:
		return dataCentreDistance
	}
	return regionDistance
}

// shortCached returns the number of tokens in those of the first n parts that the prefix index is too
// coarse for.
func (j *Job) shortCached(n int) int {
	tokens := 0
	for _, p := range j.Parts[:min(n, max(len(j.Parts)-1, 0))] {
		if tokens+p.Tokens >= prefixindex.MinTokens {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// hashOf returns the hash of the long prefix with a number of tokens.
func (j *Job) hashOf(tokens int) uint64 {
	for _, p := range j.longPrefixes {
		if p.tokens == tokens {
			return p.hash
		}
	}
	return 0
}
