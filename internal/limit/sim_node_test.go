package limit

import (
	"fmt"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// stepNode does all periodic work of an instance that is due.
func (s *sim) stepNode(n *simNode) {
	now := s.clock(n)
	for _, w := range n.ended {
		n.ledger.Done(&w.permit, now)
	}
	n.ended = nil
	s.abandon(n, now)
	s.checkEpoch(n, now)
	if s.due(n, simRead) && !s.now.Before(s.readsDownUntil) {
		s.read(n)
	}
	if s.due(n, simHeartbeat) {
		for _, to := range s.nodes {
			if to != n {
				hb := &wire.Heartbeat{}
				n.ledger.FillHeartbeat(to.id, hb, now)
				s.send(simMessage{from: n, to: to, heartbeat: hb})
			}
		}
	}
	if s.due(n, simPoll) && !s.now.Before(s.noPollUntil[n]) {
		for _, id := range n.ledger.Owned(now) {
			s.poll(n, id)
		}
	}
	if !s.healed && !s.idle {
		s.grant(n, now)
	}
	s.use(n, now)
}

// abandon closes connections at random; the target notices within ReportLag.
func (s *sim) abandon(n *simNode, now time.Time) {
	for _, t := range s.targets {
		for _, w := range t.running {
			if w.entry == n && w.incarnation == n.incarnation && !w.abandoned && s.rng.IntN(400) == 0 {
				w.abandoned = true
				w.ends = s.now.Add(time.Duration(s.rng.Int64N(int64(s.params.ReportLag))))
				n.ledger.Abandon(&w.permit, now)
			}
		}
	}
}

// read passes a node the newest version of the list that has reached it.
func (s *sim) read(n *simNode) {
	for i, list := range s.lists {
		if !list.at.Add(n.listLag).After(s.now) {
			n.listVersion = max(n.listVersion, i)
		}
	}
	var targets []Target
	for _, t := range s.targets {
		targets = append(targets, t.Target)
	}
	n.ledger.SetMembers(s.lists[n.listVersion].instances, nil, s.clock(n))
	n.ledger.SetTargets(targets, s.clock(n))
}

// poll passes a node a load report whose figures are up to ReportLag older than its
// stated age.
func (s *sim) poll(n *simNode, id fleet.TargetID) {
	t := s.targets[slices.IndexFunc(s.targets, func(t *simTarget) bool { return t.ID == id })]
	age := time.Duration(s.rng.Int64N(int64(simMaxAge)))
	old := age + time.Duration(s.rng.Int64N(int64(s.params.ReportLag)+1))
	steps := min(int(old/simStep), int(s.now.Sub(t.booted)/simStep), len(t.history)-1)
	figures := t.history[len(t.history)-1-steps]
	report := fleet.LoadReport{
		BootID: fmt.Sprint(t.boot), State: fleet.TargetReady, Completed: figures.completed,
		Running: figures.running, AgeMillis: age.Milliseconds(),
	}
	if figures.cold {
		report.State = fleet.TargetCold
	}
	if s.defects.emptyReports {
		report.Running = 0
	}
	n.ledger.Report(id, report, s.clock(n), s.clock(n))
}

// grant grants all available starts of a node to random entries.
func (s *sim) grant(n *simNode, now time.Time) {
	for _, t := range s.targets {
		for n.ledger.Available(t.ID, now) > 0 {
			to := s.nodes[s.rng.IntN(len(s.nodes))]
			g, ok := n.ledger.Grant(t.ID, to.id, "c", fleet.Workload{Model: "m"}, now)
			if !ok {
				break
			}
			if to != n {
				s.send(simMessage{from: n, to: to, grant: &g})
			} else if permit, err := n.ledger.GrantSelf(&g, now); err == nil {
				n.unused = append(n.unused, permit)
			}
		}
	}
}

// use starts, returns or keeps each unused permit of a node.
func (s *sim) use(n *simNode, now time.Time) {
	n.unused = slices.DeleteFunc(n.unused, func(permit Permit) bool {
		if s.rng.Float64() < s.holdChance && now.Before(permit.Expires) {
			return false
		}
		usable := n.ledger.Use(&permit, now) || s.defects.uncheckedUse
		if !usable || s.rng.IntN(8) == 0 {
			n.ledger.Done(&permit, now)
			return true
		}
		arrives := s.now.Add(time.Duration(s.rng.Int64N(int64(simMaxDial))))
		length := time.Duration(s.rng.ExpFloat64() * float64(4*time.Second))
		if s.healed {
			length = 0
		}
		t := s.targets[slices.IndexFunc(s.targets, func(t *simTarget) bool { return t.ID == permit.Target })]
		t.running = append(t.running, &simWork{
			entry: n, incarnation: n.incarnation, permit: permit,
			arrives: arrives, ends: arrives.Add(length),
		})
		return true
	})
}
