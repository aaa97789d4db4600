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
	// heartbeatInterval, maxDelay and grantLease are in steps. maxDelay is the greatest
	// delay of a message, and grantLease the time after which a lost grant is returned.
	heartbeatInterval, maxDelay, grantLease = 4, 6, 40
	// maxConsecutiveLosses is the greatest number of heartbeats lost in a row.
	maxConsecutiveLosses = 3
	flushInterval        = 20 * step
	// maxStaleness bounds, in steps, the age of what an instance knows about a
	// reachable one.
	maxStaleness = (maxConsecutiveLosses+1)*heartbeatInterval + maxDelay + int(flushInterval/step) + 1
)

// client is a customer of a simulated fleet.
type client struct {
	id    fleet.CustomerID
	share int
	cost  fleet.Cost
	// workloads are those of its requests, model(0) if empty.
	workloads []fleet.Workload
	// entries are the nodes at which it has requests. waiting returns how many wait at
	// each of them at step t.
	entries []int
	waiting func(t int) int
}

// work is a request that runs on a target.
type work struct {
	fairness.RequestCharge
	client int
	used   fleet.Cost
	target fleet.TargetID
}

// peerLink is the state that one node keeps for its messages to and from another.
type peerLink struct {
	seq, received, grantSeq, grantReceived uint64
	lost                                   int
	// lastHeartbeat is the step at which the last heartbeat was received. After
	// maxStaleness without one, the entry is removed.
	lastHeartbeat int
}

type node struct {
	incarnation fleet.Incarnation
	acc         *fairness.Accounts
	owner       *Owner
	links       []peerLink
	running     []*work
}

// simulation is a fleet of owners and their accounts, connected by a faulty network.
// The simulation itself enforces the limits of the targets.
type simulation struct {
	slots
	rng     *rand.Rand
	loss    float64
	cut     func(t, from, to int) bool
	noMerge bool
	// records bounds the counters and lifts in a heartbeat.
	records      int
	newNode      func(i int) *node
	incarnations fleet.Incarnation
	nodes        []*node
	byID         map[fleet.InstanceID]int
	clients      []client
	events       map[int][]func()
	// t is the current step.
	t    int
	rate fleet.Cost
	// served is the true service of each client. lastServed is the step of its last
	// service.
	served     []fleet.Cost
	lastServed []int
}

func instance(i int) fleet.InstanceID { return fleet.InstanceID(rune('A' + i)) }

// newSimulation returns a simulation in which each node owns targets with the given
// limits. The j-th target of each node serves model(j).
func newSimulation(rng *rand.Rand, cs []client, limits [][]int, p fairness.Params, policy Policy) *simulation {
	s := &simulation{
		slots: slots{map[fleet.TargetID]int{}, map[fleet.TargetID]int{}}, rng: rng, clients: cs, rate: 5, records: 1000,
		byID: map[fleet.InstanceID]int{}, events: map[int][]func(){}, served: make([]fleet.Cost, len(cs)), lastServed: make([]int, len(cs)),
		cut: func(int, int, int) bool { return false },
	}
	var customers []fairness.Customer
	for _, c := range cs {
		customers = append(customers, fairness.Customer{ID: c.id, Share: c.share})
	}
	s.newNode = func(i int) *node {
		s.incarnations++
		n := &node{incarnation: s.incarnations, acc: fairness.New(s.incarnations, p), links: make([]peerLink, len(limits))}
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
		s.nodes = append(s.nodes, s.newNode(i))
		s.byID[instance(i)] = i
	}
	return s
}

// restart replaces node i with one without state. Its running work is lost.
func (s *simulation) restart(i int) {
	old := s.nodes[i]
	for _, w := range old.running {
		s.running[w.target]--
	}
	s.nodes[i] = s.newNode(i)
	for j, n := range s.nodes {
		n.links[i] = peerLink{lastHeartbeat: s.t, seq: n.links[i].seq}
		s.nodes[i].links[j].lastHeartbeat = s.t
	}
}

func (s *simulation) now() time.Time { return time.Unix(1, 0).Add(time.Duration(s.t) * step) }

// after schedules f to run the given number of steps from now, but at least one.
func (s *simulation) after(steps int, f func()) {
	at := s.t + max(1, steps)
	s.events[at] = append(s.events[at], f)
}

// run advances the simulation and calls afterStep after each step.
func (s *simulation) run(steps int, afterStep func()) {
	for range steps {
		s.t++
		for _, f := range s.events[s.t] {
			f()
		}
		delete(s.events, s.t)
		for i, n := range s.nodes {
			n.acc.Tick(s.now())
			s.serve(n)
			for j := range n.links {
				if s.t-n.links[j].lastHeartbeat == maxStaleness {
					n.owner.RemoveEntry(instance(j))
				}
			}
			if s.t%heartbeatInterval == 0 {
				s.heartbeats(i)
			}
			if s.t%50 == 0 {
				n.owner.Tick()
			}
			s.grants(i)
		}
		afterStep()
	}
}

// serve advances the requests that run at a node by one step.
func (s *simulation) serve(n *node) {
	remaining := n.running[:0]
	for _, w := range n.running {
		more := min(s.rate, s.clients[w.client].cost-w.used)
		w.used += more
		s.served[w.client] += more
		s.lastServed[w.client] = s.t
		n.acc.Update(&w.RequestCharge, w.used)
		if w.used < s.clients[w.client].cost {
			remaining = append(remaining, w)
			continue
		}
		n.acc.Finish(&w.RequestCharge, w.used)
		s.running[w.target]--
	}
	n.running = remaining
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
		hb := &wire.Heartbeat{Incarnation: from.incarnation, Seq: l.seq, EchoSeq: l.received, EchoIncarnation: s.nodes[j].incarnation, GrantSeq: l.grantReceived, Demand: s.demand(i)}
		if i != j {
			from.acc.FillHeartbeat(instance(j), hb, s.records)
		}
		if s.cut(s.t, i, j) || (i != j && l.lost < maxConsecutiveLosses && s.rng.Float64() < s.loss) {
			l.lost++
			continue
		}
		l.lost = 0
		s.after(s.delay(i, j), func() { s.receive(i, j, hb) })
		if s.rng.Float64() < s.loss {
			s.after(2*maxDelay, func() { s.receive(i, j, hb) })
		}
	}
}

// delay returns the delay of a message from node i to node j. It is random, so that
// messages overtake each other.
func (s *simulation) delay(i, j int) int {
	if i == j {
		return 1
	}
	return 1 + s.rng.IntN(maxDelay)
}

func (s *simulation) receive(i, j int, hb *wire.Heartbeat) {
	to := s.nodes[j]
	if hb.Incarnation != s.nodes[i].incarnation {
		return
	}
	if !s.noMerge {
		to.acc.Merge(hb.ServiceCounter, hb.Offsets)
	}
	if hb.EchoIncarnation == to.incarnation {
		to.acc.Acknowledge(instance(i), hb.Incarnation, hb.EchoSeq)
	}
	if l := &to.links[i]; hb.Seq > l.received {
		l.received, l.lastHeartbeat = hb.Seq, s.t
		to.owner.SetDemand(instance(i), hb.Demand, hb.GrantSeq, s.now())
	}
}

// grants sends the decisions of owner i. A lost grant is returned after grantLease.
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
			s.after(grantLease, func() { s.returnGrant(i, d, seq) })
			continue
		}
		s.after(s.delay(i, e), func() { s.start(i, e, d, seq) })
	}
}

// returnGrant frees the slot of a grant that was lost or not used.
func (s *simulation) returnGrant(i int, d Decision, seq uint64) {
	s.running[d.Target]--
	s.nodes[i].owner.Returned(d.Entry, seq)
}

// start runs a received grant at entry e, or returns it if nothing waits there.
func (s *simulation) start(i, e int, d Decision, seq uint64) {
	l := &s.nodes[e].links[i]
	l.grantReceived = max(l.grantReceived, seq)
	for k, c := range s.clients {
		if c.id != d.Customer {
			continue
		}
		if c.waiting(s.t) == 0 {
			s.returnGrant(i, d, seq)
			return
		}
		w := &work{RequestCharge: s.nodes[e].acc.Start(c.id, 1), client: k, target: d.Target}
		s.nodes[e].running = append(s.nodes[e].running, w)
	}
}
