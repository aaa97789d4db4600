package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simFault is one fault of a plan: its kind, the nodes that it affects, the delay before
// it and its duration.
type simFault struct {
	kind, node, other int
	after, lasts      time.Duration
}

// Kinds of faults.
const (
	faultCutOneWay = iota
	faultIsolate
	faultPause
	faultRestart
	faultList
	faultCold
	faultCrash
	faultReadsDown
	faultNoise
	faultNoPoll
	faultPartition
	faultKinds
)

// drawFault draws one fault.
func drawFault(t *rapid.T) simFault {
	return simFault{
		kind:  rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
		node:  rapid.IntRange(0, 5).Draw(t, "node"),
		other: rapid.IntRange(0, 5).Draw(t, "other"),
		after: time.Duration(rapid.IntRange(0, 100).Draw(t, "after")) * simStep,
		lasts: time.Duration(rapid.IntRange(10, 250).Draw(t, "lasts")) * simStep,
	}
}

// cut drops messages from one node to another for the given duration.
func (s *sim) cut(from, to *simNode, d time.Duration) {
	s.cuts[[2]*simNode{from, to}] = s.now.Add(d)
}

// inject starts a fault now.
func (s *sim) inject(f simFault) {
	n := s.nodes[f.node%len(s.nodes)]
	other := s.nodes[f.other%len(s.nodes)]
	target := s.targets[f.other%len(s.targets)]
	switch f.kind {
	case faultCutOneWay:
		s.cut(n, other, f.lasts)
	case faultIsolate:
		for _, peer := range s.nodes {
			s.cut(n, peer, f.lasts)
			s.cut(peer, n, f.lasts)
		}
	case faultPartition:
		s.partition(f)
	case faultPause:
		n.pausedUntil = s.now.Add(f.lasts)
	case faultRestart:
		s.restart(n)
	case faultList:
		s.publish(n, f)
	case faultCold:
		s.setCold(target, !target.cold)
	case faultCrash:
		s.crash(target)
	case faultReadsDown:
		if s.now.Sub(s.lists[len(s.lists)-1].at) > s.params.CutOffTime {
			s.readsDownUntil = s.now.Add(f.lasts)
		}
	case faultNoise:
		s.noisyUntil = s.now.Add(f.lasts)
		s.lossRate = float64(f.other) / 8
		s.maxExtraDelay = time.Duration(f.node) * time.Second
	case faultNoPoll:
		s.noPollUntil[n] = s.now.Add(f.lasts)
	}
}

// crash restarts a target cold. Its work is lost, and the entries see their connections
// break.
func (s *sim) crash(t *simTarget) {
	t.boot++
	t.booted = s.now
	t.completed = 0
	s.setCold(t, true)
	for _, w := range t.running {
		if w.entry.incarnation == w.incarnation {
			w.entry.ended = append(w.entry.ended, w)
			w.entry.ledger.MarkBroken(t.ID, s.clock(w.entry))
		}
	}
	t.running = nil
	t.history[len(t.history)-1] = simFigures{cold: true}
}

// partition cuts the messages between two groups of nodes. A bit of f.node+1, chosen by
// the node's index modulo 3, determines the node's group.
func (s *sim) partition(f simFault) {
	for i, a := range s.nodes {
		for j, b := range s.nodes {
			if (f.node+1)>>(i%3)&1 != (f.node+1)>>(j%3)&1 {
				s.cut(a, b, f.lasts)
			}
		}
	}
}

// publish makes a new version of the list, if the last one has reached every node.
func (s *sim) publish(n *simNode, f simFault) {
	last := s.lists[len(s.lists)-1].at
	if s.now.Before(s.readsDownUntil) || s.now.Sub(last) <= s.params.CutOffTime {
		return
	}
	if f.other == 0 {
		n = nil
	}
	s.lists = append(s.lists, simList{at: s.now, instances: s.listed(n)})
}

func (s *sim) setCold(t *simTarget, cold bool) {
	t.cold = cold
	t.coldFrom = s.now
}

// simTargets are the targets of the model.
var simTargets = []Target{
	{ID: "one", DataCentre: "d", Limit: 1, ColdLimit: 1},
	{ID: "few", DataCentre: "d", Limit: 5, ColdLimit: 1},
	{ID: "many", DataCentre: "d", Limit: 16, ColdLimit: 2},
}

// runPlan injects a plan of faults after a time without faults.
func (s *sim) runPlan(plan []simFault) {
	s.run(2 * s.params.HoldDown)
	for _, f := range plan {
		s.run(f.after)
		s.inject(f)
	}
	s.run(15 * time.Second)
}

// drawAndRun draws a fleet and a plan of faults, and runs the plan.
func drawAndRun(t *rapid.T) *sim {
	inside := rapid.IntRange(2, 5).Draw(t, "inside")
	lag := rapid.SampledFrom([]time.Duration{simStep, 2 * time.Second}).Draw(t, "lag")
	loan := rapid.SampledFrom([]time.Duration{2 * time.Second, 5 * time.Second}).Draw(t, "loan")
	s := newSim(rapid.Uint64().Draw(t, "seed"), inside, simTargets)
	s.begin(loan, lag)
	s.runPlan(rapid.SliceOfN(rapid.Custom(drawFault), 1, 30).Draw(t, "faults"))
	return s
}

func TestWorkNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawAndRun(t)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// heal ends all faults and stops new work.
func (s *sim) heal() {
	clear(s.cuts)
	clear(s.noPollUntil)
	s.readsDownUntil, s.noisyUntil = s.now, s.now
	for _, n := range s.nodes {
		n.pausedUntil = s.now
	}
	s.lists = append(s.lists, simList{at: s.now, instances: s.listed(nil)})
	for _, t := range s.targets {
		s.setCold(t, false)
	}
	s.healed = true
}

// recoveryTime returns the time after the last fault within which the owner holds the
// whole limit; see the package comment.
func recoveryTime(p Params) time.Duration {
	detect := p.UnreachableAfter + simListLag + simRead
	gain := max(p.HoldDown, p.borrowDelay())
	report := p.PermitTime + p.Margin + 2*p.ReportLag + simMaxAge + 3*simPoll
	return detect + gain + report
}

func TestOwnerRecoversWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawAndRun(t)
		s.heal()
		s.run(simStep)
		for _, target := range s.targets {
			target.completed += 1000
			for _, w := range target.running {
				w.ends = s.now
			}
		}
		s.run(recoveryTime(s.params))
		for _, target := range s.targets {
			owner, _ := s.nodes[0].ledger.Owner(target.ID, s.clock(s.nodes[0]))
			for _, n := range s.nodes {
				if n.id != owner {
					continue
				}
				if got := n.ledger.Available(target.ID, s.clock(n)); got != target.Limit {
					t.Fatalf("%s: owner %s can grant %d of %d: %+v", target.ID, n.id, got, target.Limit, n.ledger.State(target.ID))
				}
			}
		}
	})
}

// maxRuns is the number of runs within which a defect must be found.
const maxRuns = 200

// TestBrokenVariantsExceedLimit checks that the model detects each defect that is
// introduced on purpose, and that the same runs without it exceed no limit.
func TestBrokenVariantsExceedLimit(t *testing.T) {
	const second = time.Second
	isolated := []simFault{{kind: faultIsolate, lasts: 20 * second}, {kind: faultList, other: 1, after: 12 * second}}
	paused := []simFault{{kind: faultPause, lasts: 7 * second}, {kind: faultPause, node: 1, lasts: 7 * second, after: second}}
	noisy := []simFault{{kind: faultNoise, node: 3, lasts: 20 * second}, {kind: faultIsolate, lasts: 20 * second, after: 3 * second}}
	variants := []struct {
		name   string
		plan   []simFault
		change func(*sim)
	}{
		{"loan anchored at receipt", noisy, func(s *sim) { s.defects.anchorAtReceipt = true }},
		{"reports ignored", isolated, func(s *sim) { s.defects.emptyReports = true }},
		{"permits not checked", paused, func(s *sim) { s.defects.uncheckedUse, s.holdChance = true, 0.9 }},
	}
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			for seed := range uint64(maxRuns) {
				if s := runDirected(seed, variant.plan, func(*sim) {}); s.violation != "" {
					t.Fatalf("without the defect, run %d: %s", seed, s.violation)
				}
				if s := runDirected(seed, variant.plan, variant.change); s.violation != "" {
					t.Logf("run %d: %s", seed, s.violation)
					return
				}
			}
			t.Fatalf("no violation in %d runs", maxRuns)
		})
	}
}

// runDirected runs a given plan of faults on a new model.
func runDirected(seed uint64, plan []simFault, change func(*sim)) *sim {
	s := newSim(seed, 2+int(seed%3), simTargets)
	change(s)
	s.begin(5*time.Second, simStep)
	s.runPlan(plan)
	return s
}
