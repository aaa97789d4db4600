package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"medlarwind.dev/medlarwind/internal/fairness"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

const (
	step = 10 * time.Millisecond
	// beat is the heartbeat interval, lag the greatest delay of a message and
	// lease the life of a lost grant, in steps.
	beat, lag, lease = 4, 6, 40
	// inRow is the greatest number of heartbeats lost in a row.
	inRow = 3
	flush = 20 * step
	// infoAge bounds the age of what an instance knows of a reachable one, in steps.
	infoAge = (inRow+1)*beat + lag + int(flush/step) + 1
)

// client is one customer of a simulated fleet.
type client struct {
	id    fleet.CustomerID
	share int
	cost  fleet.Cost
	// workloads are those of its requests, model(0) if empty.
	workloads []fleet.Workload
	// entries are where it has requests; waiting says how many there at step t.
	entries []int
	waiting func(t int) int
}

type work struct {
	fairness.RequestCharge
	client int
	used   fleet.Cost
	target fleet.TargetID
}

type peerLink struct {
	seq, received, grantSeq, grantReceived uint64
	lost                                   int
	// heard is the step of the last heartbeat received; an entry not heard of for
	// the information age is removed.
	heard int
}

type node struct {
	inc     fleet.Incarnation
	acc     *fairness.Accounts
	owner   *Owner
	links   []peerLink
	running []*work
}

// simulation is a fleet of decision cores joined by a faulty network. Limits are
// counted by the simulation itself.
type simulation struct {
	slots
	rng     *rand.Rand
	loss    float64
	cut     func(t, from, to int) bool
	noMerge bool
	// records bounds the counters and lifts of a heartbeat.
	records int
	fresh   func(i int) *node
	incs    fleet.Incarnation
	nodes   []*node
	byID    map[fleet.InstanceID]int
	clients []client
	queue   map[int][]func()
	t       int
	rate    fleet.Cost
	// served is the true service of each client; lastServed the step of its last.
	served     []fleet.Cost
	lastServed []int
}

func instance(i int) fleet.InstanceID { return fleet.InstanceID(rune('A' + i)) }

// newSimulation gives each node targets of the given limits; the j-th target of
// each serves model(j).
func newSimulation(rng *rand.Rand, cs []client, limits [][]int, p fairness.Params, policy Policy) *simulation {
	s := &simulation{
		slots: slots{map[fleet.TargetID]int{}, map[fleet.TargetID]int{}}, rng: rng, clients: cs, rate: 5, records: 1000,
		byID: map[fleet.InstanceID]int{}, queue: map[int][]func(){}, served: make([]fleet.Cost, len(cs)), lastServed: make([]int, len(cs)),
		cut: func(int, int, int) bool { return false },
	}
	var customers []fairness.Customer
	for _, c := range cs {
		customers = append(customers, fairness.Customer{ID: c.id, Share: c.share})
	}
	s.fresh = func(i int) *node {
		s.incs++
		n := &node{inc: s.incs, acc: fairness.New(s.incs, p), links: make([]peerLink, len(limits))}
		n.acc.SetCustomers(customers)
		n.owner = NewOwner(n.acc, policy, nil, rand.New(rand.NewPCG(uint64(i), rng.Uint64())))
		var ts []Target
		for j, l := range limits[i] {
			id := fleet.TargetID(fmt.Sprintf("t%d-%d", i, j))
			s.limit[id] = l
			ts = append(ts, Target{ID: id, Workloads: []fleet.Workload{model(j)}, Limit: l, Ready: true})
		}
		n.owner.SetTargets(ts)
		return n
	}
	for i := range limits {
		s.nodes = append(s.nodes, s.fresh(i))
		s.byID[instance(i)] = i
	}
	return s
}

// restart replaces node i by one that knows nothing; its running work is lost.
func (s *simulation) restart(i int) {
	old := s.nodes[i]
	for _, w := range old.running {
		s.running[w.target]--
	}
	s.nodes[i] = s.fresh(i)
	for j, n := range s.nodes {
		n.links[i] = peerLink{heard: s.t, seq: n.links[i].seq}
		s.nodes[i].links[j].heard = s.t
	}
}

func (s *simulation) now() time.Time { return time.Unix(1, 0).Add(time.Duration(s.t) * step) }

// after runs f within the greatest delay, at random, so that messages overtake
// each other.
func (s *simulation) after(steps int, f func()) {
	at := s.t + max(1, steps)
	s.queue[at] = append(s.queue[at], f)
}

func (s *simulation) run(steps int, each func()) {
	for range steps {
		s.t++
		for _, f := range s.queue[s.t] {
			f()
		}
		delete(s.queue, s.t)
		for i, n := range s.nodes {
			n.acc.Tick(s.now())
			s.serve(n)
			for j := range n.links {
				if s.t-n.links[j].heard == infoAge {
					n.owner.RemoveEntry(instance(j))
				}
			}
			if s.t%beat == 0 {
				s.heartbeats(i)
			}
			if s.t%50 == 0 {
				n.owner.Tick()
			}
			s.grants(i)
		}
		each()
	}
}

func (s *simulation) serve(n *node) {
	left := n.running[:0]
	for _, w := range n.running {
		more := min(s.rate, s.clients[w.client].cost-w.used)
		w.used += more
		s.served[w.client] += more
		s.lastServed[w.client] = s.t
		n.acc.Update(&w.RequestCharge, w.used)
		if w.used < s.clients[w.client].cost {
			left = append(left, w)
			continue
		}
		n.acc.Finish(&w.RequestCharge, w.used)
		s.running[w.target]--
	}
	n.running = left
}

func (s *simulation) demand(i int) []wire.Demand {
	var ds []wire.Demand
	for _, c := range s.clients {
		for _, e := range c.entries {
			if e != i || c.waiting(s.t) == 0 {
				continue
			}
			for _, w := range c.workloads {
				ds = append(ds, wire.Demand{Customer: c.id, Workload: w, Waiting: c.waiting(s.t), Estimate: s.nodes[i].acc.Estimate(c.id, 1)})
			}
		}
	}
	return ds
}

func (s *simulation) heartbeats(i int) {
	from := s.nodes[i]
	for j := range s.nodes {
		l := &from.links[j]
		l.seq++
		hb := &wire.Heartbeat{Incarnation: from.inc, Seq: l.seq, EchoSeq: l.received, EchoIncarnation: s.nodes[j].inc, GrantSeq: l.grantReceived, Demand: s.demand(i)}
		if i != j {
			from.acc.FillHeartbeat(instance(j), hb, s.records)
		}
		if s.cut(s.t, i, j) || (i != j && l.lost < inRow && s.rng.Float64() < s.loss) {
			l.lost++
			continue
		}
		l.lost = 0
		s.after(s.delay(i, j), func() { s.receive(i, j, hb) })
		if s.rng.Float64() < s.loss {
			s.after(2*lag, func() { s.receive(i, j, hb) })
		}
	}
}

func (s *simulation) delay(i, j int) int {
	if i == j {
		return 1
	}
	return 1 + s.rng.IntN(lag)
}

func (s *simulation) receive(i, j int, hb *wire.Heartbeat) {
	to := s.nodes[j]
	if hb.Incarnation != s.nodes[i].inc {
		return
	}
	if !s.noMerge {
		to.acc.Merge(hb.ServiceCounter, hb.Offsets)
	}
	if hb.EchoIncarnation == to.inc {
		to.acc.Acknowledge(instance(i), hb.Incarnation, hb.EchoSeq)
	}
	if l := &to.links[i]; hb.Seq > l.received {
		l.received, l.heard = hb.Seq, s.t
		to.owner.SetDemand(instance(i), hb.Demand, hb.GrantSeq, s.now())
	}
}

// grants sends what owner i decides; a lost grant's lease runs out.
func (s *simulation) grants(i int) {
	for {
		d, ok := s.nodes[i].owner.Next(s, s.now())
		if !ok {
			return
		}
		e := s.byID[d.Entry]
		l := &s.nodes[i].links[e]
		l.grantSeq++
		seq := l.grantSeq
		s.nodes[i].owner.Granted(d, seq)
		s.running[d.Target]++
		if s.cut(s.t, i, e) || s.rng.Float64() < s.loss {
			s.after(lease, func() { s.giveBack(i, d, seq) })
			continue
		}
		s.after(s.delay(i, e), func() { s.start(i, e, d, seq) })
	}
}

func (s *simulation) giveBack(i int, d Decision, seq uint64) {
	s.running[d.Target]--
	s.nodes[i].owner.Returned(d.Entry, seq)
}

func (s *simulation) start(i, e int, d Decision, seq uint64) {
	l := &s.nodes[e].links[i]
	l.grantReceived = max(l.grantReceived, seq)
	for k, c := range s.clients {
		if c.id != d.Customer {
			continue
		}
		if c.waiting(s.t) == 0 {
			s.giveBack(i, d, seq)
			return
		}
		w := &work{RequestCharge: s.nodes[e].acc.Start(c.id, 1), client: k, target: d.Target}
		s.nodes[e].running = append(s.nodes[e].running, w)
	}
}
