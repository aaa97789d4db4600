package scheduler

import (
	"cmp"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Constants of what instances tell each other.
const (
	// loadMemory is how long a peer's report of its load holds: a few heartbeats. A
	// peer that is cut off goes on with what it runs for seconds, but no longer adds.
	loadMemory = 2 * time.Second
	// brokenAvoid is how long a target is left alone on a peer's word.
	brokenAvoid = 500 * time.Millisecond
	// suspectLimit is the number of targets that a request may break off at before it
	// is refused.
	suspectLimit = 3
	// suspectMemory is how long such a request is remembered.
	suspectMemory = 5 * time.Minute
	maxSuspects   = 1024
)

// peerLoads is the newest report of one peer.
type peerLoads struct {
	incarnation fleet.Incarnation
	at          clock.Instant
	loads       map[fleet.TargetID]placement.Load
	usage       map[fleet.CustomerID]wire.CustomerUsage
}

// suspect counts the runs of one request that broke off.
type suspect struct {
	breaks int
	at     clock.Instant
}

// Describe fills a heartbeat with this instance's loads and counters.
func (s *Scheduler) Describe(hb *wire.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for id, t := range s.loads {
		if t.own != (placement.Load{}) {
			hb.Loads = append(hb.Loads, wire.TargetLoad{Target: id, Running: t.own.Running, Unread: t.own.Unread, Memory: t.own.Memory})
		}
		if t.brokenAt != 0 && now.Sub(t.brokenAt) < wire.BrokenMemory {
			hb.Broken = append(hb.Broken, id)
		}
	}
	for id, t := range s.totals {
		hb.Usage = append(hb.Usage, wire.CustomerUsage{Customer: id, Asked: int64(t.asked), Started: int64(t.started)})
	}
	for fp, x := range s.suspects {
		if x.breaks >= suspectLimit-1 {
			hb.Suspects = append(hb.Suspects, wire.Suspect{Fingerprint: fp, Crashes: x.breaks})
		}
	}
	// A fixed order compresses better.
	slices.SortFunc(hb.Loads, func(a, b wire.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	slices.SortFunc(hb.Usage, func(a, b wire.CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	slices.Sort(hb.Broken)
}

// Hear takes in a peer's heartbeat.
func (s *Scheduler) Hear(from fleet.InstanceID, hb *wire.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	p := s.peers[from]
	fresh := p == nil || p.incarnation != hb.Incarnation
	if fresh {
		p = &peerLoads{incarnation: hb.Incarnation, usage: make(map[fleet.CustomerID]wire.CustomerUsage)}
		s.peers[from] = p
	}
	p.at = now
	p.loads = make(map[fleet.TargetID]placement.Load, len(hb.Loads))
	for _, l := range hb.Loads {
		p.loads[l.Target] = placement.Load{Running: l.Running, Unread: l.Unread, Memory: l.Memory}
	}
	s.hearUsage(p, hb.Usage, fresh, now)
	s.hearBroken(hb.Broken, now)
	for _, x := range hb.Suspects {
		s.raiseSuspect(x.Fingerprint, x.Crashes, now)
	}
	s.pump()
}

// hearUsage adds what a peer's counters rose by. The first report of a peer only sets
// the base: how long it took to count is unknown.
func (s *Scheduler) hearUsage(p *peerLoads, usage []wire.CustomerUsage, fresh bool, now clock.Instant) {
	for _, u := range usage {
		before := p.usage[u.Customer]
		p.usage[u.Customer] = u
		if fresh {
			continue
		}
		s.meter.Asked(u.Customer, float64(u.Asked-before.Asked), now)
		s.meter.Started(u.Customer, float64(u.Started-before.Started), now)
	}
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

// peerLoad returns the load that peers put on a target.
func (s *Scheduler) peerLoad(id fleet.TargetID) placement.Load {
	var total placement.Load
	now := s.options.Now()
	for _, p := range s.peers {
		if now.Sub(p.at) <= loadMemory {
			total = total.Add(p.loads[id])
		}
	}
	return total
}

// forgetPeers drops the reports of peers that are gone for long.
func (s *Scheduler) forgetPeers() {
	now := s.options.Now()
	for id, p := range s.peers {
		if now.Sub(p.at) > time.Minute && !s.isAlive(id) {
			delete(s.peers, id)
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
