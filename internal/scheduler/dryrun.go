package scheduler

import (
	"maps"
	"slices"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
)

// dryRunCopy returns a scheduler on which jobs of one service can be decided without a change of s. Decisions read
// through state that reading brings up to date: sliding windows, shares and sums that are computed anew after some time,
// limits that note when they held a request back. All of this is copied. What decisions only read is shared, so that
// s.mu must be held while the copy is used. It takes O(customers + targets) time.
func (s *Scheduler) dryRunCopy(service fleet.ServiceID, now clock.Instant) *Scheduler {
	d := &Scheduler{
		dryRun: true, options: s.options, catalog: s.catalog, inventory: s.inventory.View(service), meter: s.meter.Clone(),
		ownMeter: s.ownMeter, ownPart: s.ownPart, cache: s.cache, prefixes: s.prefixes, alive: s.alive, entries: s.entries,
		speeds: s.speeds, speedsAt: s.speedsAt, meanSpeeds: s.meanSpeeds, isolation: s.isolation, loads: s.loads,
		failedReadAt: s.failedReadAt, processor: s.processor, targets: make(map[fleet.TargetID]*targetState),
		exchange: s.exchange.Clone(), limits: s.limits, evidence: s.evidence.Clone(), startCounters: s.startCounters,
		overLimit: maps.Clone(s.overLimit), vainPassAt: s.vainPassAt, fairShares: s.fairShares,
		targetLists: make(map[fleet.ServiceID]*targetList), generation: s.generation, selfHash: s.selfHash, paced: s.paced,
	}
	d.prefixes.located = located{}
	d.loads.reports = s.loads.reports.Clone()
	if !s.limits.IsEmpty() {
		// Only limits are divided by this instance's part of the demand.
		d.ownMeter = s.ownMeter.Clone()
	}
	for _, w := range s.queue {
		copied := *w
		d.queue = append(d.queue, &copied)
	}
	if list, ok := s.targetLists[service]; ok {
		copied := *list
		copied.targets = slices.Clone(list.targets)
		for i := range copied.targets {
			copied.targets[i].state = d.copyState(copied.targets[i].entry.ID, copied.targets[i].state)
		}
		d.targetLists[service] = &copied
		return d
	}
	for _, e := range d.inventory.Usable(service, 0, now) {
		if t, ok := s.targets[e.ID]; ok {
			d.copyState(e.ID, t)
		}
	}
	return d
}

// copyState adds a copy of a target's state to the copy of a scheduler.
func (s *Scheduler) copyState(id fleet.TargetID, t *targetState) *targetState {
	copied := *t
	s.targets[id] = &copied
	return &copied
}

// wouldStart returns the placement that start would make, without its effects. s.mu must be held.
func (s *Scheduler) wouldStart(j *Job, target *usableTarget, choice placement.Choice, now clock.Instant) *Placement {
	return &Placement{Target: target.entry.Target, Wait: choice.Wait, scheduler: s, job: j, started: now}
}
