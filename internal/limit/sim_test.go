package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Time steps, periods and greatest delays of the model in which the ledgers run. idle can
// change once in each simIdlePeriod.
const (
	simStep       = 50 * time.Millisecond
	simHeartbeat  = 250 * time.Millisecond
	simPoll       = 400 * time.Millisecond
	simRead       = 500 * time.Millisecond
	simListLag    = 2400 * time.Millisecond
	simMaxAge     = 300 * time.Millisecond
	simIdlePeriod = 1500 * time.Millisecond
	simMaxDial    = 100 * time.Millisecond
)

// simDefects are defects of the ledger or its inputs that a test introduces on purpose.
type simDefects struct {
	anchorAtReceipt bool
	emptyReports    bool
	uncheckedUse    bool
}

// simWork is one request that runs on a target or whose connection is being opened.
type simWork struct {
	entry       *simNode
	incarnation fleet.Incarnation
	permit      Permit
	arrives     time.Time
	ends        time.Time
	abandoned   bool
}

// simTarget is the true state of one target.
type simTarget struct {
	Target
	boot, completed int64
	booted          time.Time
	coldFrom        time.Time
	cold            bool
	running         []*simWork
	history         []simFigures
}

// simFigures are the true figures of a target at one step.
type simFigures struct {
	running   int
	completed int64
	cold      bool
}

// simNode is one instance. Its clock has an offset and a drift, and phase shifts its
// periodic work. ended is the work that has ended and is not yet passed to Done.
type simNode struct {
	id          fleet.InstanceID
	dataCentre  fleet.DataCentreID
	ledger      *Ledger
	incarnation fleet.Incarnation
	pausedUntil time.Time
	offset      time.Duration
	drift       float64
	phase       time.Duration
	listLag     time.Duration
	listVersion int
	lastOwners  simOwners
	unused      []Permit
	ended       []*simWork
}

// simMessage is a heartbeat or a grant in transit.
type simMessage struct {
	from, to  *simNode
	at        time.Time
	heartbeat *wire.Heartbeat
	grant     *wire.Grant
}

// simList is one version of the platform's list.
type simList struct {
	at        time.Time
	instances []fleet.ListedInstance
}

// sim is the whole model.
type sim struct {
	start, now     time.Time
	rng            *rand.Rand
	params         Params
	defects        simDefects
	nodes          []*simNode
	targets        []*simTarget
	queue          []simMessage
	lists          []simList
	cuts           map[[2]*simNode]time.Time
	readsDownUntil time.Time
	noPollUntil    map[*simNode]time.Time
	lossRate       float64
	maxExtraDelay  time.Duration
	noisyUntil     time.Time
	healed         bool
	// idle is set while owners grant nothing. It changes at random unless steady is
	// set. holdChance is the probability that an entry keeps a permit unused in one step.
	idle, steady bool
	holdChance   float64
	violation    string
}

// newSim returns a model with insideCount instances in the targets' data centre and one
// outside it.
func newSim(seed uint64, insideCount int, targets []Target) *sim {
	start := time.Unix(100000, 0)
	s := &sim{
		start: start, now: start, params: DefaultParams(), holdChance: 0.3,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		cuts:        make(map[[2]*simNode]time.Time),
		noPollUntil: make(map[*simNode]time.Time),
	}
	for i := range insideCount + 1 {
		n := &simNode{
			id: fleet.InstanceID(fmt.Sprint("i", i)), dataCentre: "d",
			offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
			drift:  (s.rng.Float64() - 0.5) / 100,
			phase:  simStep * time.Duration(s.rng.IntN(20)),
		}
		if i == insideCount {
			n.dataCentre = "outside"
		}
		s.nodes = append(s.nodes, n)
	}
	for _, t := range targets {
		s.targets = append(s.targets, &simTarget{Target: t, boot: 1, completed: 1000, booted: start})
	}
	s.lists = []simList{{at: start, instances: s.listed(nil)}}
	return s
}

// begin starts all instances.
func (s *sim) begin(loan, lag time.Duration) {
	s.params.LoanTime = loan
	s.params.ReportLag = lag
	s.params.HoldDown = s.params.MinHoldDown()
	for _, n := range s.nodes {
		s.restart(n)
	}
}

// listed returns the list of all instances except out.
func (s *sim) listed(out *simNode) []fleet.ListedInstance {
	var instances []fleet.ListedInstance
	for _, n := range s.nodes {
		if n != out {
			instances = append(instances, fleet.ListedInstance{ID: n.id, DataCentre: n.dataCentre, State: fleet.StateLive})
		}
	}
	return instances
}

// clock returns the node's own time.
func (s *sim) clock(n *simNode) time.Time {
	elapsed := float64(s.now.Sub(s.start)) * (1 + n.drift)
	return s.start.Add(n.offset + time.Duration(elapsed))
}

func (s *sim) restart(n *simNode) {
	n.incarnation = fleet.Incarnation(s.rng.Uint64() | 1)
	n.ledger = New(n.id, n.incarnation, s.params, s.clock(n))
	n.lastOwners = simOwners{}
	n.unused, n.ended = nil, nil
	n.listLag = time.Duration(s.rng.Int64N(int64(simListLag)))
	for _, t := range s.targets {
		for _, w := range t.running {
			if w.entry == n && s.rng.IntN(2) == 0 {
				w.ends = s.now.Add(time.Duration(s.rng.Int64N(int64(3 * time.Second))))
			}
		}
	}
}

// due reports whether a node's work with the given period is due in this step.
func (s *sim) due(n *simNode, every time.Duration) bool {
	return (s.now.Sub(s.start)+n.phase)%every == 0
}

// step advances the model by simStep.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	if !s.steady && s.now.Sub(s.start)%simIdlePeriod == 0 {
		s.idle = s.rng.IntN(3) == 0
	}
	for _, t := range s.targets {
		s.stepTarget(t)
	}
	s.deliver()
	for _, i := range s.rng.Perm(len(s.nodes)) {
		if n := s.nodes[i]; !s.now.Before(n.pausedUntil) {
			s.stepNode(n)
		}
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// stepTarget ends the work that is over and records the target's figures.
func (s *sim) stepTarget(t *simTarget) {
	t.running = slices.DeleteFunc(t.running, func(w *simWork) bool {
		if w.arrives.After(s.now) || w.ends.After(s.now) {
			return false
		}
		t.completed++
		if w.entry.incarnation == w.incarnation && !w.abandoned {
			w.entry.ended = append(w.entry.ended, w)
		}
		return true
	})
	t.history = append(t.history, simFigures{running: s.count(t), completed: t.completed, cold: t.cold})
}

// count returns the work that runs on a target and checks the limit.
func (s *sim) count(t *simTarget) int {
	running, arrived := 0, false
	for _, w := range t.running {
		if w.arrives.After(s.now) {
			continue
		}
		running++
		arrived = arrived || s.now.Sub(w.arrives) < simStep
	}
	known := s.params.CutOffTime + 2*s.params.ReportLag + s.params.PermitTime + s.params.Margin + simMaxAge
	limit := t.Limit
	if t.cold && s.now.Sub(t.coldFrom) > known {
		limit = t.ColdLimit
	}
	if arrived && running > limit && s.violation == "" {
		s.violation = fmt.Sprintf("%v: %d run on %s, limit in force %d", s.now.Sub(s.start), running, t.ID, limit)
	}
	return running
}

// deliver delivers the messages that are due, in random order.
func (s *sim) deliver() {
	var due, later []simMessage
	for _, m := range s.queue {
		if m.at.After(s.now) || s.now.Before(m.to.pausedUntil) {
			later = append(later, m)
		} else {
			due = append(due, m)
		}
	}
	s.queue = later
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		s.receive(m)
	}
}

func (s *sim) receive(m simMessage) {
	now := s.clock(m.to)
	if m.grant != nil {
		if permit, err := m.to.ledger.ReceiveGrant(m.from.id, m.grant, now); err == nil {
			m.to.unused = append(m.to.unused, permit)
		}
		return
	}
	if s.defects.anchorAtReceipt {
		sent := &m.to.ledger.peer(m.from.id, now).sent
		sent.ring[m.heartbeat.EchoSeq%sentWindow].at = now
	}
	m.to.ledger.ReceiveHeartbeat(m.from.id, m.heartbeat, now)
}

// send queues a message, which may be lost, delayed or duplicated.
func (s *sim) send(m simMessage) {
	if s.now.Before(s.cuts[[2]*simNode{m.from, m.to}]) {
		return
	}
	delay, copies := time.Duration(s.rng.Int64N(int64(80*time.Millisecond))), 1
	if s.now.Before(s.noisyUntil) {
		if s.rng.Float64() < s.lossRate {
			return
		}
		copies += s.rng.IntN(2)
		delay += time.Duration(s.rng.Int64N(int64(s.maxExtraDelay) + 1))
	}
	for i := range copies {
		m.at = s.now.Add(delay * time.Duration(1+i))
		s.queue = append(s.queue, m)
	}
}
