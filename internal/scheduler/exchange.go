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

// peerBrokenAvoid is how long a target is avoided after a peer reported it as broken.
const peerBrokenAvoid = 500 * time.Millisecond

// FillHeartbeat fills a heartbeat to a peer with the loads and usage counters of the
// given scope, the broken targets, the evidence against requests that crash targets, the
// limits that targets name, the reports of their load, and the targets that said that they leave.
func (s *Scheduler) FillHeartbeat(hb *wire.Heartbeat, peer fleet.InstanceID, scope wire.Scope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	ownLoad := make(map[fleet.TargetID]placement.Load, len(s.targets))
	for id, t := range s.targets {
		ownLoad[id] = s.ownLoad(t, s.exchange.PeerLoad(id, now), now).Add(s.limitLoad(id, t, now))
		if t.brokenAt != 0 && now.Sub(t.brokenAt) < wire.BrokenRetention {
			hb.BrokenTargets = append(hb.BrokenTargets, id)
		}
	}
	slices.Sort(hb.BrokenTargets)
	s.exchange.FillHeartbeat(hb, peer, scope, ownLoad, s.usageTotals)
	hb.Evidence = s.evidence.Report(now)
	hb.Limits = s.limits.Report(now)
	hb.KeptPrefixes = s.reportPrefixes(hb, peer, now)
	s.shareLoads(hb, peer, scope, now)
	hb.LeavingTargets = s.inventory.ReportLeaving(now, s.random)
}

// IsIdle reports whether a peer has had no load, and no request, for a time.
func (s *Scheduler) IsIdle(peer fleet.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchange.IsIdle(peer, s.options.Now())
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
	s.evidence.Merge(hb.Evidence, now)
	s.limits.Merge(hb.Limits, s.isListed, now)
	s.mergePrefixes(from, hb, now)
	s.mergeLoads(from, hb, now)
	if s.inventory.MergeLeaving(hb.LeavingTargets, now) {
		s.invalidateTargetLists()
	}
	s.startQueued()
	return s.exchange.TakeChanges()
}

// avoidBrokenTargets avoids targets that a peer reported as broken, and treats them as
// cold afterwards, unless a run that has ended since disproves it. s.mu must be held.
func (s *Scheduler) avoidBrokenTargets(broken []fleet.TargetID, now clock.Instant) {
	for _, id := range broken {
		e, ok := s.inventory.Get(id)
		if !ok {
			continue
		}
		t := s.target(id)
		if !t.suspect(now) {
			continue
		}
		if t.suspicion.since == now {
			s.noteCrash(id, e.StartMillis, now)
		}
		t.avoidUntil = max(t.avoidUntil, now.Add(peerBrokenAvoid))
		if s.catalog == nil {
			continue
		}
		if service, ok := s.catalog.Service(e.Service); ok {
			s.inventory.MarkBroken(id, service.ColdPeriod, now)
		}
	}
}
