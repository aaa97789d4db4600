package scheduler

import (
	"maps"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/isolation"
	"medlarwind.dev/medlarwind/internal/placement"
)

// isolationInterval is the time between two decisions on which engines are set aside for long prefills.
const isolationInterval = time.Second

// prefillIsolation is the state of the isolation of long prefills.
type prefillIsolation struct {
	services  map[fleet.ServiceID]*isolatedService
	overload  isolation.Overload
	updatedAt clock.Instant
	counters  IsolationCounters
}

// isolatedService is the state of one service of engines.
type isolatedService struct {
	// enabled is set while the engines fetch prefixes from each other, since the shared part of a long prompt would
	// otherwise be read again on an engine set aside, and there is no overload.
	enabled bool
	share   isolation.Share
	// counts is how many engines of each data centre are set aside.
	counts map[fleet.DataCentreID]int
}

// IsolationCounters count the long prefills that this instance sent to engines that are set aside for
// them and to others, and the other requests that it sent to engines set aside.
type IsolationCounters struct {
	LongSetAside   int64 `json:"long_set_aside"`
	LongElsewhere  int64 `json:"long_elsewhere"`
	OthersSetAside int64 `json:"others_set_aside"`
}

// IsolationChange is a change of the engines that are set aside for long prefills of a service.
type IsolationChange struct {
	Service fleet.ServiceID
	// Targets is how many are set aside of all Usable ones, Share the part of all tokens to be prefilled
	// that long prefills have.
	Targets, Usable int
	Share           float64
}

// IsolationCounters returns the counters of the isolation of long prefills.
func (s *Scheduler) IsolationCounters() IsolationCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolation.counters
}

// isolates returns the state of the job's service if its long prefills may be kept apart, nil otherwise. s.mu
// must be held.
func (s *Scheduler) isolates(j *Job) *isolatedService {
	if j.Service.Engine == nil || !s.fetchesPrefixes(j.Service) {
		return nil
	}
	return s.isolation.services[j.Service.ID]
}

// noteArrival adds a new generation to the share of long prefills. s.mu must be held.
func (s *Scheduler) noteArrival(j *Job, now clock.Instant) {
	state := s.isolates(j)
	if state == nil {
		return
	}
	state.share.Observe(j.ownTokens(), s.isLongPrefill(j), now)
}

// ownTokens returns the number of prompt tokens that no other request shares.
func (j *Job) ownTokens() int { return j.Prompt - j.sharedTokens }

// isLongPrefill reports whether the job's own part of the prompt would hold up the streams on an engine of mean
// speed. The shared part counts as cached or fetched. s.mu must be held.
func (s *Scheduler) isLongPrefill(j *Job) bool {
	return isolation.IsLong(j.ownTokens(), s.meanSpeed(j.Service.ID), j.Route.GapSLO)
}

// updateIsolation decides now and then which engines are set aside. s.mu must be held.
func (s *Scheduler) updateIsolation(now clock.Instant) {
	if s.catalog == nil || !s.options.Features.Enabled(feature.PrefillIsolation) || s.isolation.updatedAt != 0 && now.Sub(s.isolation.updatedAt) < isolationInterval {
		return
	}
	s.isolation.updatedAt = now
	overload := s.isolation.overload.Update(s.meter.Requested(now), s.meter.Throughput(now))
	changed := false
	for id, list := range s.targetLists {
		state := s.isolation.services[id]
		if state == nil {
			state = &isolatedService{}
			s.isolation.services[id] = state
		}
		service, ok := s.catalog.Service(id)
		state.enabled = ok && !overload && s.fetchesPrefixes(service)
		_, counts := isolation.Choose(list.isolationTargets(), state.shareInForce(), state.counts)
		if !maps.Equal(counts, state.counts) {
			state.counts = counts
			s.noteIsolationChange(id, list, state)
			changed = true
		}
	}
	if changed {
		s.invalidateTargetLists()
	}
}

// shareInForce returns the share of long prefills, 0 while they are not kept apart.
func (i *isolatedService) shareInForce() float64 {
	if !i.enabled {
		return 0
	}
	return i.share.Value()
}

// noteIsolationChange keeps a change until it is taken. s.mu must be held.
func (s *Scheduler) noteIsolationChange(id fleet.ServiceID, list *targetList, state *isolatedService) {
	change := IsolationChange{Service: id, Usable: len(list.targets), Share: state.share.Value()}
	for _, n := range state.counts {
		change.Targets += n
	}
	if len(s.isolationChanges) < maxIsolationChanges {
		s.isolationChanges = append(s.isolationChanges, change)
	}
}

// maxIsolationChanges bounds the changes kept until they are taken.
const maxIsolationChanges = 64

// TakeIsolationChanges returns the changes of the engines set aside since the last call.
func (s *Scheduler) TakeIsolationChanges() []IsolationChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.isolationChanges
	s.isolationChanges = nil
	return changes
}

// isolationTargets returns the targets as the choice of those set aside needs them.
func (l *targetList) isolationTargets() []isolation.Target {
	all := make([]isolation.Target, len(l.targets))
	for i := range l.targets {
		all[i] = isolation.Target{Order: l.targets[i].hash, DataCentre: l.targets[i].entry.DataCentre}
	}
	return all
}

// setAside marks the targets of a new list that are set aside for long prefills. s.mu must be held.
func (s *Scheduler) setAside(id fleet.ServiceID, list *targetList) {
	state := s.isolation.services[id]
	if state == nil || !state.enabled || len(state.counts) == 0 {
		return
	}
	chosen, _ := isolation.Choose(list.isolationTargets(), state.shareInForce(), state.counts)
	for i := range list.targets {
		list.targets[i].setAside = chosen[i]
		list.isolates = list.isolates || chosen[i]
	}
}

// isApart reports whether the target is one of those that are not meant for the job: an engine set aside if
// its prefill is short, one of the others if it is long.
func (j *Job) isApart(list *targetList, target *usableTarget) bool {
	return list.isolates && target.setAside != j.longPrefill
}

// interference returns the cost of sending a job to a target that is not meant for it: the delay of an event that its
// own stream or the streams beside it may suffer. s.mu must be held.
func (j *Job) interference(list *targetList, target *usableTarget) time.Duration {
	if !j.isApart(list, target) {
		return 0
	}
	return j.Route.GapSLO
}

// allowOwnPrefill lets a long prefill wait for as long as it takes itself: the engines that are set aside read
// such prompts one after the other, so that a shorter wait would refuse it while they have room. s.mu must be held.
func (s *Scheduler) allowOwnPrefill(j *Job, limit placement.Limit) placement.Limit {
	if j.longPrefill {
		own := time.Duration(float64(j.ownTokens()) / s.meanSpeed(j.Service.ID) * float64(time.Millisecond))
		limit.Wait = max(limit.Wait, own)
	}
	return limit
}

// countIsolation counts a start. s.mu must be held.
func (s *Scheduler) countIsolation(j *Job, target *usableTarget) {
	switch {
	case j.longPrefill && target.setAside:
		s.isolation.counters.LongSetAside++
	case j.longPrefill:
		s.isolation.counters.LongElsewhere++
	case target.setAside:
		s.isolation.counters.OthersSetAside++
	}
}
