package scheduler

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/where"
)

// Where returns where a job would go if it was admitted now, and why. The job must be a new one. Nothing is started or
// counted, and no state is changed.
func (s *Scheduler) Where(j *Job) where.Answer {
	j.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	return s.dryRunCopy(j.Service.ID, now).where(j, now)
}

// where answers the question on a copy: it decides as Admit does, and then describes all targets.
func (s *Scheduler) where(j *Job, now clock.Instant) where.Answer {
	a := where.Answer{Route: j.Route.Name, Service: j.Service.ID, Candidates: []where.Candidate{}, LeftOut: []where.LeftOut{}}
	var d decision
	var w *waiter
	if s.isListingCurrent(now) {
		d = s.place(j, false, now)
	} else {
		d.refusal = s.refusal(j, ReasonListingOld, now, now)
	}
	if d.placement == nil && d.refusal == nil {
		w, d.refusal = s.enqueue(j, false, now)
	}
	j.longPrefill = s.targetListFor(j, now).isolates && s.isLongPrefill(j)
	choice, chosen := s.describe(j, &a, now)
	switch {
	case d.refusal != nil:
		a.Outcome = where.Refused
		a.Refusal = &where.Refusal{
			Status: http.StatusServiceUnavailable, Reason: string(d.refusal.Reason), RetryAfter: where.MillisOf(d.refusal.RetryAfter),
		}
	case d.placement != nil:
		a.Outcome, a.Target = where.Admitted, d.placement.Target.ID
		a.Trial = s.judge(j, now).Trial
	default:
		a.Outcome, a.Wait = where.Waits, s.expectedWait(j, w, choice, chosen, now)
	}
	s.describeBeliefs(j, &a, now)
	return a
}

// describe fills in the candidates and the targets left out, and returns the choice among the candidates, or false if
// none has room.
func (s *Scheduler) describe(j *Job, a *where.Answer, now clock.Instant) (placement.Choice, bool) {
	list := s.targetListFor(j, now)
	limit := s.loadLimit(j, now)
	candidates, from := s.candidates(j, list, now)
	choice, ok := s.pick(j, candidates, limit, now)
	r := s.request(j)
	r.TimeLeft = j.Deadline.Sub(now)
	if limit.Wait != math.MaxInt64 {
		a.Limit = &where.Limit{Wait: where.MillisOf(limit.Wait), Slots: limit.Slots}
	}
	if s.isSpread(j.Service) {
		within := where.MillisOf(s.spread(j, now).Window(r, candidates))
		a.DrawWithin = &within
	}
	if ok {
		a.Target = from[choice.Index].entry.ID
	}
	taken := make(map[*usableTarget]bool, len(from))
	for i, target := range from {
		taken[target] = true
		e := placement.Explain(r, &candidates[i], limit)
		if e.Room != placement.HasRoom {
			reason := map[placement.Room]where.Reason{
				placement.SlotsFull: where.SlotsFull, placement.MemoryFull: where.MemoryFull, placement.TooLate: where.FirstTooLate,
			}[e.Room]
			a.LeftOut = append(a.LeftOut, where.LeftOut{Target: target.entry.ID, Reason: reason})
			continue
		}
		c := s.describeCandidate(j, &candidates[i], target, &e, now)
		c.Chosen = ok && i == choice.Index
		a.Candidates = append(a.Candidates, c)
	}
	for i := range list.targets {
		if target := &list.targets[i]; !taken[target] {
			a.LeftOut = append(a.LeftOut, s.whyLeftOut(j, target, now))
		}
	}
	for _, t := range s.inventory.Unusable(j.Service.ID) {
		reason := where.Evacuated
		if t.Leaving {
			reason = where.Leaving
		}
		a.LeftOut = append(a.LeftOut, where.LeftOut{Target: t.ID, Reason: reason})
	}
	sortAnswer(a)
	return choice, ok
}

// sortAnswer puts the candidates and the targets left out in order and bounds their numbers. The chosen candidate stays.
func sortAnswer(a *where.Answer) {
	slices.SortFunc(a.Candidates, func(x, y where.Candidate) int {
		return cmp.Or(cmp.Compare(x.Cost.Total, y.Cost.Total), cmp.Compare(x.Target, y.Target))
	})
	if n := len(a.Candidates) - where.MaxCandidates; n > 0 {
		if i := slices.IndexFunc(a.Candidates, func(c where.Candidate) bool { return c.Chosen }); i >= where.MaxCandidates {
			a.Candidates[where.MaxCandidates-1] = a.Candidates[i]
		}
		a.Candidates, a.MoreCandidates = a.Candidates[:where.MaxCandidates], n
	}
	slices.SortFunc(a.LeftOut, func(x, y where.LeftOut) int { return cmp.Compare(x.Target, y.Target) })
	if n := len(a.LeftOut) - where.MaxLeftOut; n > 0 {
		a.LeftOut, a.MoreLeftOut = a.LeftOut[:where.MaxLeftOut], n
	}
}

// describeCandidate describes a candidate with room. candidates must have been called for the job last.
func (s *Scheduler) describeCandidate(j *Job, c *placement.Candidate, target *usableTarget, e *placement.Explanation, now clock.Instant) where.Candidate {
	out := where.Candidate{
		Target: target.entry.ID, DataCentre: target.entry.DataCentre, Within: e.Within,
		Cost: where.Cost{
			Total: where.MillisOf(e.Cost.Total()), Wait: where.MillisOf(e.Cost.Wait), Prefill: where.MillisOf(e.Cost.Prefill),
			Pace: where.MillisOf(e.Cost.Pace), Transfer: where.MillisOf(e.Cost.Transfer), Distance: where.MillisOf(e.Cost.Distance),
			Rank: where.MillisOf(e.Cost.Rank), Copy: where.MillisOf(e.Cost.Copy), Interference: where.MillisOf(e.Cost.Interference),
			Failures: where.MillisOf(e.Cost.Failures),
		},
		Wait: where.MillisOf(e.Wait), FirstEvent: where.MillisOf(e.TimeToFirstEvent), Rank: c.Rank,
		Running: c.Load.Running, Slots: c.Slots, Unread: c.Load.Unread, Cached: c.Cached, Speed: c.Speed, Pace: c.Pace,
	}
	if target.belief.Has(target.entry.StartMillis, now) {
		out.ReportAge = millisPointer(now.Sub(target.belief.At()))
	}
	if !s.prefixes.located.inForce {
		return out
	}
	if kept, _ := s.heldTokens(j, target, now); kept > 0 {
		out.CopyAge = millisPointer(s.prefixes.index.Get(target.entry.ID, target.entry.StartMillis, j.hashOf(kept)).Age(now))
	}
	if f, _ := s.fetchOf(j, target, now); f != nil {
		out.Fetch = &where.Fetch{Source: f.Source.ID, Tokens: f.Tokens, Age: where.MillisOf(f.Age)}
	}
	return out
}

func millisPointer(d time.Duration) *where.Millis {
	m := where.MillisOf(d)
	return &m
}

// whyLeftOut returns why candidates leaves a target out.
func (s *Scheduler) whyLeftOut(j *Job, target *usableTarget, now clock.Instant) where.LeftOut {
	out := where.LeftOut{Target: target.entry.ID}
	t := target.state
	switch {
	case !j.allows(target):
		out.Reason = where.OtherRegion
		return out
	case now < t.avoidUntil:
		out.Reason, out.Until = where.Avoided, millisPointer(t.avoidUntil.Sub(now))
		return out
	case t.probing:
		out.Reason = where.Probing
		return out
	}
	out.Until = millisPointer(s.nextStart(j, target, now).Sub(now))
	out.Reason = where.ColdStarts
	if now < t.pause.end(target.entry.StartMillis) {
		out.Reason = where.Paused
	} else if limit, ok := s.limits.Get(target.entry.ID, target.entry.StartMillis); ok && s.nextWithin(limit, j, target, now) > now {
		out.Reason = where.TargetLimit
	}
	return out
}

// expectedWait describes the wait of a queued job. The job can start once its preferred target is within the limit, as far
// as that is a matter of the work before it, or once a bound on starts allows it; and after those before it, at the rate at
// which this instance's generations started in the last second.
func (s *Scheduler) expectedWait(j *Job, w *waiter, choice placement.Choice, chosen bool, now clock.Instant) *where.Wait {
	s.sortQueue(now)
	out := &where.Wait{Before: slices.Index(s.queue, w), Limit: where.MillisOf(w.waitLimit)}
	var expected time.Duration
	if limit := s.loadLimit(j, now); chosen && choice.Wait > limit.Wait {
		expected = choice.Wait - limit.Wait
	} else if !chosen && j.heldUntil > now {
		expected = j.heldUntil.Sub(now)
	}
	started := 0
	for _, c := range s.startCounters {
		started += c.Count(time.Second, now)
	}
	if out.Before > 0 && started > 0 {
		expected = max(expected, time.Duration(out.Before)*time.Second/time.Duration(started))
	}
	if expected > 0 {
		out.Expected = millisPointer(expected)
	}
	return out
}

// describeBeliefs fills in the customer's share and the ages of what the instance knows.
func (s *Scheduler) describeBeliefs(j *Job, a *where.Answer, now clock.Instant) {
	reports, oldest := s.exchange.Included(now)
	a.Belief = &where.Belief{
		Listing: where.MillisOf(s.listingAge(now)), PeerLoads: where.MillisOf(s.loadAge(now)), Reports: reports,
		OldestReport: where.MillisOf(oldest), ProcessorDelay: where.MillisOf(s.processor.Delay),
	}
	if j.Prompt > 0 && s.hasTokenLimit() {
		shares := s.shares(now)
		a.Share = &where.Share{
			Used: s.meter.Usage(j.Customer, now), Nominal: shares.nominal, Effective: shares.effective, Lead: shares.finiteLead(),
		}
	}
}
