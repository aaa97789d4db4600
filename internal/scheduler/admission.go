package scheduler

import (
	"maps"
	"time"

	"medlarwind.dev/medlarwind/internal/admission"
	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/pacing"
	"medlarwind.dev/medlarwind/internal/placement"
)

// roomInterval is the time between two looks at which targets of a service have room. A look costs about as much as a
// decision.
const roomInterval = 5 * time.Millisecond

// admissionState is the state of admission that decisions share.
type admissionState struct {
	rooms  map[fleet.ServiceID]serviceRoom
	starts map[fleet.ServiceID]*pacing.StartCounter
	// turns are the last times at which customers were told to come back.
	turns    map[turnKey]clock.Instant
	counters AdmissionCounters
}

// clone returns a copy for a dry run. The counters of starts are only read there.
func (a *admissionState) clone() admissionState {
	copied := *a
	copied.rooms, copied.turns = maps.Clone(a.rooms), maps.Clone(a.turns)
	return copied
}

// serviceRoom is how many targets of a service had room.
type serviceRoom struct {
	at clock.Instant
	// enough is set if so many targets had room that nobody needed to wait.
	enough bool
	// enoughAt is when enough was last set, 0 if it never was.
	enoughAt clock.Instant
}

// AdmissionCounters count what the admission order did at this instance.
type AdmissionCounters struct {
	// Detours are starts on another target than the preferred one, which was over the limit.
	Detours int64 `json:"detours"`
	// LeadsIgnored are decisions on customers ahead of a starved one that were not held back, because
	// targets had room.
	LeadsIgnored int64 `json:"leads_ignored"`
	// TooLate are refusals of requests that no target could have answered before their deadlines, NoStart of
	// requests behind more others than start before their waits end.
	TooLate int64 `json:"too_late"`
	NoStart int64 `json:"no_start"`
}

// AdmissionCounters returns the counters of admission.
func (s *Scheduler) AdmissionCounters() AdmissionCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.counters
}

// ordersAdmission reports whether package admission decides on the requests of a service. s.mu must be held.
func (s *Scheduler) ordersAdmission(service *catalog.Service) bool {
	return s.options.Features.Enabled(feature.AdmissionOrder) && s.fetchesPrefixes(service)
}

// spareLimit returns the limit of a customer over its nominal share. s.mu must be held.
func (s *Scheduler) spareLimit(j *Job, used float64, shares fairShares, now clock.Instant) placement.Limit {
	if !s.ordersAdmission(j.Service) {
		return shares.spareLimit(used, j.isLate(), s.meanSpeed(j.Service.ID))
	}
	spare := admission.Spare{
		Objective: j.Route.FirstByteSLO, Used: used, Effective: shares.effective, Lead: shares.lead, Late: j.isLate(),
	}
	if used > shares.lead {
		spare.HasRoom = s.room(j, now).enough
		if spare.HasRoom {
			s.admission.counters.LeadsIgnored++
		}
	}
	return spare.Limit()
}

// room returns which room the targets of the job's service have. s.mu must be held.
func (s *Scheduler) room(j *Job, now clock.Instant) serviceRoom {
	room, ok := s.admission.rooms[j.Service.ID]
	if !ok || now.Sub(room.at) >= roomInterval {
		room = s.lookForRoom(j, room.enoughAt, now)
		if s.admission.rooms == nil {
			s.admission.rooms = make(map[fleet.ServiceID]serviceRoom)
		}
		s.admission.rooms[j.Service.ID] = room
	}
	return room
}

// hadRoom reports whether targets had room for all within the given time, so that a job that waits as long can expect
// to start: the loads of targets vary by a prefill or two. s.mu must be held.
func (s *Scheduler) hadRoom(j *Job, within time.Duration, now clock.Instant) bool {
	if !s.ordersAdmission(j.Service) {
		return false
	}
	room := s.room(j, now)
	return room.enoughAt != 0 && now.Sub(room.enoughAt) <= within
}

// lookForRoom looks which targets of the job's service have room. s.mu must be held.
func (s *Scheduler) lookForRoom(j *Job, enoughAt, now clock.Instant) serviceRoom {
	list, limit, withRoom := s.targetListFor(j, now), admission.Room(j.Route.FirstByteSLO), 0
	for i := range list.targets {
		target := &list.targets[i]
		if now < target.state.avoidUntil || target.state.probing {
			continue
		}
		peers := s.exchange.PeerLoad(target.entry.ID, now)
		c := placement.Candidate{
			Load: s.ownLoad(target.state, peers, now).Add(peers), Slots: target.entry.Slots, Speed: target.state.speed,
		}
		s.applyReport(j, &c, target, now)
		if c.IsWithin(placement.Request{}, limit) {
			withRoom++
		}
	}
	room := serviceRoom{at: now, enough: admission.IsEnough(withRoom, len(list.targets)), enoughAt: enoughAt}
	if room.enough {
		room.enoughAt = now
	}
	return room
}

// detour replaces a choice that is over the limit by a target within it that costs little more. s.mu must be held.
func (s *Scheduler) detour(j *Job, r placement.Request, candidates []placement.Candidate, limit placement.Limit, spread placement.Spread, choice placement.Choice) placement.Choice {
	if choice.Within || !s.ordersAdmission(j.Service) {
		return choice
	}
	choice = spread.Detour(r, candidates, limit, admission.MaxDetour(j.Route.FirstByteSLO), choice)
	if choice.Within {
		s.admission.counters.Detours++
	}
	return choice
}
