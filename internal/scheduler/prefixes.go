package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/prefixindex"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Constants of prefix fetches.
const (
	// maxTransferRatio is the largest part of the time to prefill a token that its transfer may take.
	maxTransferRatio = 0.25
	// transferSetup is the time until a transfer begins. The configuration does not state it; it is
	// the longer of the two that are published.
	transferSetup = 5 * time.Millisecond
	// prefixesInterval is the time between two updates of what targets must have evicted.
	prefixesInterval = 200 * time.Millisecond
	// defaultHoldTime is how long a request holds its memory at an engine, as long as no request has
	// ended. holdWeight is the weight of the newest request in the mean.
	defaultHoldTime = time.Second
	holdWeight      = 0.02
)

// longPrefix is a prefix of a prompt that the prefix index tracks.
type longPrefix struct {
	hash   uint64
	tokens int
}

// Fetch is a transfer of a prefix from one target to another.
type Fetch struct {
	// Source is the target that is believed to keep the prefix.
	Source inventory.Target
	// Tokens is the number of tokens to transfer, Age the time since the source was last known to
	// keep them.
	Tokens int
	Age    time.Duration
	prefix uint64
	time   time.Duration
}

// Addr returns the address of the source, empty if there is nothing to fetch.
func (f *Fetch) Addr() string {
	if f == nil {
		return ""
	}
	return f.Source.Addr
}

// took returns the expected time of the transfer.
func (f *Fetch) took() time.Duration {
	if f == nil {
		return 0
	}
	return f.time
}

// prefixState is what the scheduler knows of the prefixes that targets keep.
type prefixState struct {
	index     *prefixindex.Index
	updatedAt clock.Instant
	// holdTimes are the mean times for which requests of a service hold their memory.
	holdTimes map[fleet.ServiceID]time.Duration
	counters  PrefixCounters
	// located describes the targets that hold the long prefix of the job that is being decided on.
	located located
}

// PrefixCounters count the prefix fetches of an instance.
type PrefixCounters struct {
	prefixindex.Stats
	// Fetches counts the requests that named a source, FetchedTokens the tokens to be transferred,
	// LateFetches those whose first event came too late for a transfer.
	Fetches, FetchedTokens, LateFetches int64
}

func newPrefixState() prefixState {
	return prefixState{index: prefixindex.New(), holdTimes: make(map[fleet.ServiceID]time.Duration)}
}

// PrefixCounters returns the counters of prefix fetches and of the prefix index.
func (s *Scheduler) PrefixCounters() PrefixCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.prefixes.counters
	c.Stats = s.prefixes.index.Stats()
	return c
}

// fetchesPrefixes reports whether targets of the service fetch prefixes from each other: the part
// is switched on, the sizes are known, and a transfer is fast enough compared with the engines'
// speed. s.mu must be held.
func (s *Scheduler) fetchesPrefixes(service *catalog.Service) bool {
	e := service.Engine
	return e != nil && e.TokenBytes > 0 && e.LinkMbps > 0 && s.options.Features.Enabled(feature.PrefixFetch) &&
		tokenTransfer(e)*s.meanSpeed(service.ID) <= maxTransferRatio
}

// tokenTransfer returns the time to transfer one token, in milliseconds.
func tokenTransfer(e *catalog.Engine) float64 { return float64(e.TokenBytes) * 8 / (e.LinkMbps * 1000) }

// planFetch chooses from where the target fetches what it lacks of the job's long prefix, and counts
// that as cached in the candidate. It also returns the number of tokens of the prefix that the target
// then needs not prefill. s.mu must be held.
func (s *Scheduler) planFetch(j *Job, target *usableTarget, c *placement.Candidate, now clock.Instant) (*Fetch, int) {
	l := &s.prefixes.located
	s.locate(j, s.targetListFor(j, now), now)
	if !l.inForce {
		return nil, 0
	}
	f, believed := s.fetchOf(j, target, now)
	if f == nil {
		return nil, believed
	}
	c.Cached = max(c.Cached, l.tokens)
	s.prefixes.index.BeginFetch(f.Source.ID, f.time, now)
	s.prefixes.counters.Fetches++
	s.prefixes.counters.FetchedTokens += int64(f.Tokens)
	return f, believed
}

// fetchOf returns what the target would fetch, nil for nothing, and the number of tokens of the located prefix that it
// then needs not prefill. It changes nothing. locate must have been called for the job. s.mu must be held.
func (s *Scheduler) fetchOf(j *Job, target *usableTarget, now clock.Instant) (*Fetch, int) {
	l := &s.prefixes.located
	kept, _ := s.heldTokens(j, target, now)
	tokens := l.tokens - kept
	source, took := s.bestSource(j, target, tokens)
	if source == nil {
		return nil, kept
	}
	from := source.target.entry.Target
	prefix := j.hashOf(l.tokens)
	return &Fetch{
		Source: from, Tokens: tokens, Age: s.prefixes.index.Get(from.ID, from.StartMillis, prefix).Age(now), prefix: prefix, time: took,
	}, l.tokens
}

// heldTokens returns the number of tokens of the job's longest prefix that the target keeps, and of
// the longest that it is prefilling. s.mu must be held.
func (s *Scheduler) heldTokens(j *Job, target *usableTarget, now clock.Instant) (kept, prefilling int) {
	for _, p := range j.longPrefixes {
		e := s.prefixes.index.Get(target.entry.ID, target.entry.StartMillis, p.hash)
		switch {
		case e == nil:
		case e.Kept():
			return p.tokens, prefilling
		case prefilling == 0 && e.Prefilling(now):
			prefilling = p.tokens
		}
	}
	return 0, prefilling
}

// sourceOf returns the target of an entry if the job may fetch from it: it keeps the prefix, may get
// the job itself, is not cold and does not fail. s.mu must be held.
func (s *Scheduler) sourceOf(j *Job, e *prefixindex.Entry, list *targetList, now clock.Instant) *usableTarget {
	if !e.Kept() || !s.prefixes.index.IsSource(e.Target, now) {
		return nil
	}
	i, ok := list.index[e.Target]
	if !ok {
		return nil
	}
	source := &list.targets[i]
	t := source.state
	switch {
	case !s.prefixes.index.IsStart(e.Target, source.entry.StartMillis), !j.allows(source), source.entry.IsCold(now):
		return nil
	case now < t.avoidUntil, t.consecutiveFailures > 0, now < t.pause.end(source.entry.StartMillis):
		return nil
	}
	return source
}

// beginPrefixes records the long prefixes of a request that is sent to a target. s.mu must be held.
func (s *Scheduler) beginPrefixes(p *Placement, now clock.Instant) {
	if !s.fetchesPrefixes(p.job.Service) {
		return
	}
	x := s.prefixes.index
	taken := p.job.Prompt + p.job.Output
	if len(p.job.longPrefixes) > 0 {
		// Expire counts the entries themselves.
		taken -= p.job.longPrefixes[0].tokens
	}
	x.TakeIn(p.Target.ID, p.Target.StartMillis, taken, now)
	for _, l := range p.job.longPrefixes {
		if e := x.Get(p.Target.ID, p.Target.StartMillis, l.hash); e == nil || !e.Kept() {
			x.Begin(p.Target.ID, p.Target.StartMillis, l.hash, l.tokens, now)
		}
	}
}

// observePrefixes records the long prefixes that the target keeps since its first event, and whether
// the event came so late that what was believed to be cached or fetched had to be prefilled. That
// shows only if the target had less work before the request than the prefix is. s.mu must be held.
func (s *Scheduler) observePrefixes(p *Placement, t *targetState, now clock.Instant) {
	if len(p.job.longPrefixes) == 0 || !s.fetchesPrefixes(p.job.Service) {
		return
	}
	x := s.prefixes.index
	if p.believed > 0 && t.speed > 0 && p.aheadUnread <= p.believed && s.processor.Delay < maxObservedDelay {
		prefill := time.Duration(float64(p.toPrefill+p.believed) / t.speed * float64(time.Millisecond))
		late := now.Sub(p.started) > prefill+p.distance
		if f := p.Fetch; f != nil {
			x.EndFetch(f.Source.ID, f.Source.StartMillis, f.prefix, late, now)
			if late {
				s.prefixes.counters.LateFetches++
			}
		} else {
			x.Miss(p.Target.ID, p.Target.StartMillis, p.job.longPrefixes[0].hash, late, now)
		}
	}
	for _, l := range p.job.longPrefixes {
		x.Keep(p.Target.ID, p.Target.StartMillis, l.hash, l.tokens, now)
	}
}

// endPrefixes records the end of a request: the engine has used its prefixes until now. s.mu must be
// held.
func (s *Scheduler) endPrefixes(p *Placement, o Outcome, now clock.Instant) {
	if o != Completed || p.continues || p.job.Prompt == 0 || !s.fetchesPrefixes(p.job.Service) {
		return
	}
	id := p.job.Service.ID
	mean, ok := s.prefixes.holdTimes[id]
	if !ok {
		mean = defaultHoldTime
	}
	s.prefixes.holdTimes[id] = mean + time.Duration(holdWeight*float64(now.Sub(p.started)-mean))
	for _, l := range p.job.longPrefixes {
		if e := s.prefixes.index.Get(p.Target.ID, p.Target.StartMillis, l.hash); e != nil && e.Kept() {
			s.prefixes.index.Keep(p.Target.ID, p.Target.StartMillis, l.hash, l.tokens, now)
		}
	}
}

// updatePrefixes drops what targets must have evicted. The rate at which peers' requests bring tokens
// to a target is the memory that they hold there over the mean time for which a request holds its
// memory (Little's law). s.mu must be held.
func (s *Scheduler) updatePrefixes() {
	now := s.options.Now()
	if s.prefixes.updatedAt != 0 && now.Sub(s.prefixes.updatedAt) < prefixesInterval || s.catalog == nil {
		return
	}
	s.prefixes.updatedAt = now
	for id, t := range s.targets {
		e, ok := s.inventory.Get(id)
		if !ok {
			continue
		}
		service, ok := s.catalog.Service(e.Service)
		if !ok || !s.fetchesPrefixes(service) {
			continue
		}
		hold, ok := s.prefixes.holdTimes[service.ID]
		if !ok {
			hold = defaultHoldTime
		}
		peers := s.exchange.PeerLoad(id, now)
		s.prefixes.index.Expire(prefixindex.Usage{
			Target: id, StartMillis: e.StartMillis, Memory: service.Engine.MemoryTokens,
			Running: t.ownLoad.Memory + peers.Memory, PeerPerSecond: float64(max(peers.Memory, 0)) / max(hold, time.Millisecond).Seconds(),
		}, now)
	}
}

// reportPrefixes returns what a peer is to learn of prefixes. In a large fleet a relay passes on what
// it has learnt: all to the instances of its data centre, and what was observed in its data centre to
// the relays of others. A peer that has another relay as its first source gets nothing from this one.
// s.mu must be held.
func (s *Scheduler) reportPrefixes(hb *wire.Heartbeat, peer fleet.InstanceID, now clock.Instant) []wire.KeptPrefix {
	if hb.Standby || !s.options.Features.Enabled(feature.PrefixFetch) {
		return nil
	}
	farthest := prefixindex.Own
	switch hb.Scope {
	case wire.ScopeNone:
		return nil
	case wire.ScopeOwn:
	case wire.ScopeDataCentre:
		farthest = prefixindex.DataCentre
	case wire.ScopeRest, wire.ScopeKept:
		farthest = prefixindex.Elsewhere
	}
	return s.prefixes.index.Report(peer, farthest, now)
}

// mergePrefixes takes over what a peer reports of prefixes. s.mu must be held.
func (s *Scheduler) mergePrefixes(from wire.Hello, hb *wire.Heartbeat, now clock.Instant) {
	if len(hb.KeptPrefixes) == 0 || !s.options.Features.Enabled(feature.PrefixFetch) {
		return
	}
	origin := prefixindex.Elsewhere
	if hb.Scope == wire.ScopeOwn && from.DataCentre == s.options.DataCentre {
		origin = prefixindex.DataCentre
	}
	s.prefixes.index.Merge(hb.KeptPrefixes, from.Instance, origin, s.inventory.IsServing, now)
}
