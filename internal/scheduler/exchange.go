package scheduler

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Constants of what instances tell each other.
const (
	// brokenAvoid is how long a target is left alone on a peer's word.
	brokenAvoid = 500 * time.Millisecond
	// suspectLimit is the number of targets that a request may break off at before it
	// is refused.
	suspectLimit = 3
	// suspectMemory is how long such a request is remembered.
	suspectMemory = 5 * time.Minute
	maxSuspects   = 1024
)

// suspect counts the runs of one request that broke off.
type suspect struct {
	breaks int
	at     clock.Instant
}

// FillHeartbeat fills a heartbeat to a peer with loads and counters of a scope, and with what
// was found out about targets and requests.
func (s *Scheduler) FillHeartbeat(hb *wire.Heartbeat, to fleet.InstanceID, scope wire.Scope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	own := make(map[fleet.TargetID]placement.Load, len(s.loads))
	for id, t := range s.loads {
		own[id] = t.own
		if t.brokenAt != 0 && now.Sub(t.brokenAt) < wire.BrokenMemory {
			hb.Broken = append(hb.Broken, id)
		}
	}
	slices.Sort(hb.Broken)
	s.exchange.Describe(hb, to, scope, own, s.totals)
	for fp, x := range s.suspects {
		if x.breaks >= suspectLimit-1 {
			hb.Suspects = append(hb.Suspects, wire.Suspect{Fingerprint: fp, Crashes: x.breaks})
		}
	}
}

// HandleHeartbeat takes in a peer's heartbeat.
func (s *Scheduler) HandleHeartbeat(from wire.Hello, hb *wire.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for customer, rose := range s.exchange.Hear(from, hb, now) {
		s.meter.AddDemand(customer, rose.Asked, now)
		s.meter.AddUsage(customer, rose.Started, now)
	}
	s.hearBroken(hb.Broken, now)
	for _, x := range hb.Suspects {
		s.raiseSuspect(x.Fingerprint, x.Crashes, now)
	}
	s.pump()
}

// hearBroken leaves targets alone that broke off at a peer.
func (s *Scheduler) hearBroken(broken []fleet.TargetID, now clock.Instant) {
	for _, id := range broken {
		e, ok := s.inventory.Get(id)
		if !ok {
			continue
		}
		t := s.target(id)
		t.avoidUntil = max(t.avoidUntil, now.Add(brokenAvoid))
		if s.catalog == nil {
			continue
		}
		if service, ok := s.catalog.Service(e.Service); ok {
			s.inventory.NoteBroken(id, service.ColdFor, now)
		}
	}
}

// suspect counts a run that broke off.
func (s *Scheduler) suspect(fp uint64, now clock.Instant) {
	breaks := 1
	if x := s.suspects[fp]; x != nil {
		breaks = x.breaks + 1
	}
	s.raiseSuspect(fp, breaks, now)
}

// raiseSuspect keeps the larger count.
func (s *Scheduler) raiseSuspect(fp uint64, breaks int, now clock.Instant) {
	x := s.suspects[fp]
	if x == nil {
		s.makeRoomForSuspect(now)
		x = &suspect{}
		s.suspects[fp] = x
	}
	if breaks > x.breaks {
		x.breaks, x.at = breaks, now
	}
}

func (s *Scheduler) makeRoomForSuspect(now clock.Instant) {
	if len(s.suspects) < maxSuspects {
		return
	}
	var oldest uint64
	at := now
	for fp, x := range s.suspects {
		if x.at <= at {
			oldest, at = fp, x.at
		}
	}
	delete(s.suspects, oldest)
}

func (s *Scheduler) isSuspect(fp uint64, now clock.Instant) bool {
	x := s.suspects[fp]
	return x != nil && x.breaks >= suspectLimit && now.Sub(x.at) < suspectMemory
}
