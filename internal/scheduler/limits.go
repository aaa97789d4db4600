package scheduler

import (
	"strconv"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/pacing"
	"medlarwind.dev/medlarwind/internal/placement"
)

// Bounds on the starts of the whole fleet on one target.
const (
	// coldWindow is the sliding window in which starts on a cold target are counted,
	// limitWindow that for a target that names a limit.
	coldWindow  = time.Second
	limitWindow = pacing.StartsKept
	// maxColdStarters limits the instances that send requests to one cold target.
	maxColdStarters = 6
	// minSharers is the least number of instances among which starts are divided: an instance
	// that sees no others takes only its part of a small fleet, because the others may just be
	// unreachable.
	minSharers = 6
	// borrowedFraction is the largest part of a limit that instances may take beyond their
	// shares while the others leave it unused. Reports are up to three heartbeats old, so that
	// for that time the others may use their shares as well.
	borrowedFraction = 0.4
	// maxFleetStarts is the multiple of a limit's starts at which an instance starts no more,
	// whatever its share: parts are computed from reports, and are rounded.
	maxFleetStarts = 1.2
	// usableFraction is the part of a limit up to which instances borrow.
	usableFraction = 0.9
	// waitingFor is how long an instance counts as waiting after a limit held a request back,
	// and how long it must have been waiting before it borrows, so that the others know of it.
	waitingFor = time.Second
)

// nextStart returns the earliest time from now on at which this instance may start a request
// of a service on a target, as far as the bounds on the starts of the whole fleet and the target's
// pause allow.
// s.mu must be held.
func (s *Scheduler) nextStart(j *Job, target *usableTarget, now clock.Instant) clock.Instant {
	next := max(now, target.state.pause.end(target.entry.StartMillis))
	if j.Service.ColdRate > 0 && target.entry.IsCold(now) {
		starts := &target.state.starts
		next = max(next, starts.Next(s.coldShare(target, j.Service.ColdRate), starts.Count(coldWindow, now), coldWindow, now))
	}
	if s.limits.IsEmpty() {
		return next
	}
	limit, ok := s.limits.Get(target.entry.ID, target.entry.StartMillis)
	if !ok {
		return next
	}
	atLimit := s.nextWithin(limit, j, target, now)
	if atLimit > now {
		target.state.holdBack(now)
	}
	return max(next, atLimit)
}

// nextWithin returns the earliest time from now on at which this instance may start a job on a
// target that names a limit. Starts from before the limit was known do not count. s.mu must be
// held.
func (s *Scheduler) nextWithin(limit pacing.Limit, j *Job, target *usableTarget, now clock.Instant) clock.Instant {
	// A target that takes less than one request in a window still gets that one: only an
	// answer tells that the limit has ended.
	starts := max(int(limit.PerSecond*limitWindow.Seconds()), 1)
	counter := &target.state.starts
	own := startsWithin(limit, counter, now)
	peers := s.exchange.PeerLoad(target.entry.ID, now)
	if float64(own+peers.Starts) >= maxFleetStarts*float64(starts) {
		return now.Add(limitWindow / time.Duration(starts))
	}
	share := s.startShare(starts, j, target, now)
	if own >= share {
		share += s.borrowed(starts, own, peers, target, now)
	}
	next := counter.Next(share, own, limitWindow, now)
	if share > 0 && own > 0 {
		// Half the mean interval between starts keeps an instance from using its share at once.
		next = max(next, counter.Last().Add(limitWindow/time.Duration(2*share)))
	}
	return next
}

// startShare returns how many of the starts that a target's limit allows in a window are this
// instance's: as many as its part of the fair demand of all customers, so that a customer whose
// requests come to few instances is not limited to the parts of these. Without a fair demand,
// as for plain services, the parts are equal. s.mu must be held.
func (s *Scheduler) startShare(starts int, j *Job, target *usableTarget, now clock.Instant) int {
	part, ok := s.demandPart(now)
	if !ok || j.Prompt == 0 {
		return pacing.Share(starts, max(len(s.alive), minSharers), s.rankOf(target))
	}
	return roundByChance(part*float64(starts), s.chancesOf(target, now).share)
}

// demandPart returns this instance's part of the fair demand, which is what each customer
// requested up to its nominal share. It returns false if there is none, or if the demand at
// other instances is not known. s.mu must be held.
func (s *Scheduler) demandPart(now clock.Instant) (float64, bool) {
	if reports, _ := s.exchange.Included(now); reports == 0 {
		return 0, false
	}
	p := &s.ownPart
	if p.computedAt == 0 || now.Sub(p.computedAt) >= shareInterval {
		*p = ownPart{computedAt: now, part: s.meter.FairPart(s.ownMeter, s.shares(now).nominal, now)}
	}
	return p.part, p.part > 0
}

// ownPart is this instance's part of the fair demand, which is recomputed every shareInterval.
type ownPart struct {
	computedAt clock.Instant
	part       float64
}

// startChances decide on the parts of one start at one target for a window. The windows of
// different instances begin at different times.
type startChances struct {
	// offset shifts the windows of this instance, period is the number of the current one.
	offset          time.Duration
	period          int64
	share, borrowed float64
}

// chancesOf returns the chances of the current window. s.mu must be held.
func (s *Scheduler) chancesOf(target *usableTarget, now clock.Instant) *startChances {
	c := &target.chances
	key := string(target.entry.ID)
	if c.offset == 0 {
		c.offset = 1 + time.Duration(chance(key, s.options.Self)*float64(limitWindow))
	}
	if period := int64((time.Duration(now) + c.offset) / limitWindow); period != c.period {
		c.period = period
		key += "/" + strconv.FormatInt(period, 10)
		c.share, c.borrowed = chance(key+"/share", s.options.Self), chance(key+"/borrowed", s.options.Self)
	}
	return c
}

// chance returns a number from 0 to 1 that is evenly distributed over instances and keys.
func chance(key string, id fleet.InstanceID) float64 {
	return float64(membership.Score(membership.Hash(key), membership.Hash(string(id)))>>11) / (1 << 53)
}

// roundByChance rounds a number of starts up if chance is below its fraction, so that the mean
// over instances and windows is kept, and down otherwise.
func roundByChance(starts, chance float64) int {
	whole := int(starts)
	if chance < starts-float64(whole) {
		whole++
	}
	return whole
}

// startsWithin counts the starts of this instance within limitWindow since the limit was known.
func startsWithin(limit pacing.Limit, starts *pacing.StartCounter, now clock.Instant) int {
	return starts.Count(min(limitWindow, now.Sub(limit.Since)+1), now)
}

// borrowed returns how many starts beyond its share this instance may make on a target, of
// those that the other instances leave unused: an equal part of them for each instance that
// waits. peers is what the others report of the target. s.mu must be held.
func (s *Scheduler) borrowed(starts, own int, peers placement.Load, target *usableTarget, now clock.Instant) int {
	t := target.state
	if now.Sub(t.waitingSince) < waitingFor || !t.isWaiting(now) {
		return 0
	}
	if reports, _ := s.exchange.Included(now); reports == 0 {
		return 0
	}
	unused := usableFraction*float64(starts) - float64(own+peers.Starts)
	part := min(unused, borrowedFraction*float64(starts)) / float64(peers.Waiting+1)
	return roundByChance(max(part, 0), s.chancesOf(target, now).borrowed)
}

// holdBack records that a limit held a request back.
func (t *targetState) holdBack(now clock.Instant) {
	if !t.isWaiting(now) {
		t.waitingSince = now
	}
	t.heldBackAt = now
}

// isWaiting reports whether a limit held a request back recently.
func (t *targetState) isWaiting(now clock.Instant) bool {
	return t.heldBackAt != 0 && now.Sub(t.heldBackAt) < waitingFor
}

// limitLoad returns what peers need to know of a target that names a limit: the starts of
// this instance and whether it would start more. s.mu must be held.
func (s *Scheduler) limitLoad(id fleet.TargetID, t *targetState, now clock.Instant) placement.Load {
	if s.limits.IsEmpty() {
		return placement.Load{}
	}
	e, ok := s.inventory.Get(id)
	if !ok {
		return placement.Load{}
	}
	limit, ok := s.limits.Get(id, e.StartMillis)
	if !ok {
		return placement.Load{}
	}
	load := placement.Load{Starts: startsWithin(limit, &t.starts, now)}
	if t.isWaiting(now) {
		load.Waiting = 1
	}
	return load
}

// coldShare returns the number of requests that this instance may start within coldWindow on a
// cold target. rate is the number of requests a second that the target accepts from the
// whole fleet. Rendezvous hashing selects the instances that share the rate.
func (s *Scheduler) coldShare(target *usableTarget, rate float64) int {
	starters := min(len(s.entries), maxColdStarters)
	rank := s.entryRankOf(target)
	if rank >= starters {
		return 0
	}
	return pacing.Share(int(rate*coldWindow.Seconds()), max(starters, minSharers), rank)
}

// rankOf returns this instance's position, from 0, among the live instances that share the
// starts on a target, and the number of instances if it is not one of them. s.mu must be held.
func (s *Scheduler) rankOf(target *usableTarget) int {
	if !target.rankKnown {
		target.rank, target.rankKnown = s.position(string(target.entry.ID), s.aliveIDs()), true
		if target.rank >= len(s.alive) {
			target.rank = max(target.rank, minSharers)
		}
	}
	return target.rank
}

// entryRankOf returns this instance's position, from 0, among the entries that share the starts on
// a cold target, and the number of entries, or minSharers if that is more, if it is not one of them.
// s.mu must be held.
func (s *Scheduler) entryRankOf(target *usableTarget) int {
	if !target.entryRankKnown {
		target.entryRank, target.entryRankKnown = s.position(string(target.entry.ID), s.entries), true
		if target.entryRank >= len(s.entries) {
			target.entryRank = max(target.entryRank, minSharers)
		}
	}
	return target.entryRank
}

// ObserveLimit records the limit on requests a second that the target named in its answer,
// or that it named none.
func (p *Placement) ObserveLimit(perSecond float64, named bool) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Observe(p.Target.ID, p.Target.StartMillis, perSecond, named, s.options.Now())
}

// LimitChange is a change of a target's limit, with the requests that this instance started
// there within the last second.
type LimitChange struct {
	pacing.LimitChange
	OwnStarts int
}

// TakeLimitChanges returns the limits of targets that changed since the last call.
func (s *Scheduler) TakeLimitChanges() []LimitChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	var changes []LimitChange
	for _, c := range s.limits.TakeChanges() {
		changes = append(changes, LimitChange{LimitChange: c, OwnStarts: s.target(c.Target).starts.Count(time.Second, now)})
	}
	return changes
}
