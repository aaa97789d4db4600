package scheduler

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/exchange"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Limits for broken targets and for requests that crash targets, both of which instances
// report to each other.
const (
	// peerBrokenAvoid is how long a target is avoided after a peer reported it as broken.
	peerBrokenAvoid = 500 * time.Millisecond
	// suspectLimit is the number of runs with a broken connection after which a request
	// is refused.
	suspectLimit = 3
	// suspectTTL is how long such a request is refused.
	suspectTTL = 5 * time.Minute
	// maxSuspects limits the number of requests with a crash count.
	maxSuspects = 1024
)

// suspect counts the runs of one request in which the connection to the target broke,
// which indicates a crash.
type suspect struct {
	crashes int
	// updatedAt is when crashes last increased.
	updatedAt clock.Instant
}

// FillHeartbeat fills a heartbeat to a peer with the loads and usage counters of the
// given scope, the broken targets, and the requests that may crash targets.
func (s *Scheduler) FillHeartbeat(hb *wire.Heartbeat, peer fleet.InstanceID, scope wire.Scope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	ownLoad := make(map[fleet.TargetID]placement.Load, len(s.targets))
	for id, t := range s.targets {
		ownLoad[id] = t.ownLoad
		if t.brokenAt != 0 && now.Sub(t.brokenAt) < wire.BrokenRetention {
			hb.BrokenTargets = append(hb.BrokenTargets, id)
		}
	}
	slices.Sort(hb.BrokenTargets)
	s.exchange.FillHeartbeat(hb, peer, scope, ownLoad, s.usageTotals)
	for fp, x := range s.suspects {
		if x.crashes >= suspectLimit-1 {
			hb.Suspects = append(hb.Suspects, wire.Suspect{Fingerprint: fp, Crashes: x.crashes})
		}
	}
}

// HandleHeartbeat applies a heartbeat received from a peer. It returns what changed in
// the use of peers' reports.
func (s *Scheduler) HandleHeartbeat(from wire.Hello, hb *wire.Heartbeat) exchange.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for customer, delta := range s.exchange.HandleHeartbeat(from, hb, now) {
		s.meter.AddDemand(customer, delta.Requested, now)
		s.meter.AddUsage(customer, delta.Started, now)
	}
	s.avoidBrokenTargets(hb.BrokenTargets, now)
	for _, x := range hb.Suspects {
		s.raiseCrashCount(x.Fingerprint, x.Crashes, now)
	}
	s.startQueued()
	return s.exchange.TakeChanges()
}

// avoidBrokenTargets avoids targets that a peer reported as broken, and treats them as
// cold afterwards. s.mu must be held.
func (s *Scheduler) avoidBrokenTargets(broken []fleet.TargetID, now clock.Instant) {
	for _, id := range broken {
		e, ok := s.inventory.Get(id)
		if !ok {
			continue
		}
		t := s.target(id)
		t.avoidUntil = max(t.avoidUntil, now.Add(peerBrokenAvoid))
		if s.catalog == nil {
			continue
		}
		if service, ok := s.catalog.Service(e.Service); ok {
			s.inventory.MarkBroken(id, service.ColdPeriod, now)
		}
	}
}

// recordCrash counts a run that ended with a broken connection. s.mu must be held.
func (s *Scheduler) recordCrash(fp uint64, now clock.Instant) {
	crashes := 1
	if x := s.suspects[fp]; x != nil {
		crashes = x.crashes + 1
	}
	s.raiseCrashCount(fp, crashes, now)
}

// raiseCrashCount raises the crash count of a request to the given count if that is
// higher. s.mu must be held.
func (s *Scheduler) raiseCrashCount(fp uint64, crashes int, now clock.Instant) {
	x := s.suspects[fp]
	if x == nil {
		s.evictSuspect(now)
		x = &suspect{}
		s.suspects[fp] = x
	}
	if crashes > x.crashes {
		x.crashes, x.updatedAt = crashes, now
	}
}

// evictSuspect removes the oldest suspect if there are maxSuspects. s.mu must be held.
func (s *Scheduler) evictSuspect(now clock.Instant) {
	if len(s.suspects) < maxSuspects {
		return
	}
	var oldest uint64
	updatedAt := now
	for fp, x := range s.suspects {
		if x.updatedAt <= updatedAt {
			oldest, updatedAt = fp, x.updatedAt
		}
	}
	delete(s.suspects, oldest)
}

// isSuspect reports whether a request is to be refused because it crashes targets. s.mu
// must be held.
func (s *Scheduler) isSuspect(fp uint64, now clock.Instant) bool {
	x := s.suspects[fp]
	return x != nil && x.crashes >= suspectLimit && now.Sub(x.updatedAt) < suspectTTL
}
