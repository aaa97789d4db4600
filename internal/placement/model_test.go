package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/membership"
)

// The model plays a fleet of routers before engines in steps of a millisecond. It has what makes
// figures stale (heartbeats each 200 ms, relays, network delays) and what makes targets unequal
// (speeds, spells of slowness, prefix caches), and no limits of shares, memory or processors.

// Constants of the modelled deployment.
const (
	modelEngines   = 60
	modelSlots     = 24
	modelSpeed     = 157.0 // prompt tokens a millisecond at speed 1
	modelCache     = 400_000
	modelCentres   = 6
	modelParts     = 1222
	heartbeatMs    = 200
	slowFactor     = 2.5
	slowMs         = 600
	slowShare      = 0.15
	meanPace       = 1 + slowShare*(slowFactor-1)
	paceDecayMs    = 300
	maxQueuedMs    = 1500
	busyInstances  = 14
	busyShare      = 0.85
	warmUpMs       = 5000
	overloadedWait = 1 // waiting requests from which a target counts as overloaded
)

// kind is one kind of requests. Prompts consist of a shared part and of own tokens.
type kind struct {
	rate              float64 // requests a millisecond
	shared, own       int
	decodeMs, aim     float64
	parts             int
	worth, worthLater float64
	service           float64 // processing time of a plain call in ms
}

var generationKinds = []kind{
	{rate: 0.350, shared: 5382, own: 6610, decodeMs: 42 * 9 * 3.55, aim: 500, parts: modelParts, worth: 3.8, worthLater: 1.1},
	{rate: 0.323, shared: 198, own: 628, decodeMs: 32 * 9 * 3.55, aim: 300, parts: 300, worth: 2.6, worthLater: 0.78},
	{rate: 0.715, shared: 568, own: 1800, decodeMs: 3 * 9 * 3.55, aim: 400, parts: 300, worth: 0.31, worthLater: 0.092},
}

// plainKinds are calls to a plain service with six targets of six slots, three quarters in use.
var plainKinds = []kind{{rate: 0.75, service: 30, aim: 250, worth: 1, worthLater: 0.3}}

type modelRequest struct {
	id         uint64
	kind       *kind
	part       uint64
	instance   int
	arrived    int
	unread     float64 // tokens, or milliseconds of a plain call, left at the target
	decode     float64
	registered Load
	answered   bool
}

type modelTarget struct {
	hash     uint64
	centre   int
	speed    float64
	slowTill int
	pace     []float32 // one for each millisecond
	running  []*modelRequest
	waiting  []*modelRequest
	read     float64
	used     map[uint64]float64 // tokens read when each part was last used
}

// modelInstance is one router. peers are the loads of all others as it knows them.
type modelInstance struct {
	hash        uint64
	centre      int
	phase       int
	weight      float64
	own, peers  []Load
	snapshot    []Load
	since       []Load // own sends since the last figures of peers
	reportAt    int
	paceAt      []int
	queue       []*modelRequest
	seen, total float64
}

type model struct {
	rng       *rand.Rand
	now       int
	kinds     []kind
	slots     int
	targets   []*modelTarget
	instances []*modelInstance
	weights   float64
	centreSum [][]Load // by centre, as its relay knows it
	sent      [][]Load // by centre, as the relays of the others know it
	later     map[int][]func()
	choose    chooser
	usePace   bool
	nextID    uint64
	buffer    []Candidate
	result    modelResult
	loads     [][]int // one row a second, for the swings
}

// chooser returns the index of the chosen candidate, -1 for none. Candidates may be changed.
type chooser func(m *model, in *modelInstance, r Request, x *modelRequest, candidates []Candidate) int

func newModel(seed uint64, instances int, load float64, kinds []kind, choose chooser, usePace bool) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 7)), kinds: slices.Clone(kinds), slots: modelSlots, choose: choose, usePace: usePace, later: map[int][]func(){}}
	targets := modelEngines
	if kinds[0].service > 0 {
		targets, m.slots = 6, 6
	}
	for i := range m.kinds {
		m.kinds[i].rate *= load
	}
	speeds := []float64{0.55, 1.2, 0.9, 1.3, 1.2, 1.1}
	for i := range targets {
		m.targets = append(m.targets, &modelTarget{hash: m.rng.Uint64(), centre: i % modelCentres, speed: speeds[i/modelCentres%len(speeds)], used: map[uint64]float64{}})
	}
	if targets == 6 {
		for i, t := range m.targets {
			t.speed = speeds[i]
		}
	}
	newLoads := func() []Load { return make([]Load, targets) }
	for i := range instances {
		w := busyShare / float64(min(busyInstances, instances))
		if instances > busyInstances && i >= busyInstances {
			w = (1 - busyShare) / float64(instances-busyInstances)
		}
		in := &modelInstance{hash: m.rng.Uint64(), centre: i % modelCentres, phase: m.rng.IntN(heartbeatMs), weight: w, own: newLoads(), peers: newLoads(), snapshot: newLoads(), since: newLoads(), paceAt: make([]int, targets)}
		m.instances, m.weights = append(m.instances, in), m.weights+w
	}
	for range modelCentres {
		m.centreSum, m.sent = append(m.centreSum, newLoads()), append(m.sent, newLoads())
	}
	return m
}

func (m *model) mesh() bool { return len(m.instances) <= 12 }

// age is the greatest age in milliseconds of an instance's figures of its peers.
func (m *model) age(in *modelInstance) int {
	age := m.now - in.reportAt
	if !m.mesh() {
		age += 2 * heartbeatMs
	}
	return age
}

func (m *model) after(ms float64, f func()) {
	at := m.now + max(1, int(math.Round(ms)))
	m.later[at] = append(m.later[at], f)
}

// oneWay is the network delay in ms, distance the cost that placement adds.
func oneWay(a, b int) (delay float64, distance time.Duration) {
	switch {
	case a == b:
		return 0.2, 0
	case a/2 == b/2:
		return 1.4, 5 * time.Millisecond
	}
	return 20, 45 * time.Millisecond
}

func (m *model) run(ms int) *modelResult {
	for ; m.now < ms; m.now++ {
		for i := range m.kinds {
			for range m.poisson(m.kinds[i].rate) {
				m.arrive(&m.kinds[i])
			}
		}
		for _, f := range m.later[m.now] {
			f()
		}
		delete(m.later, m.now)
		for i, t := range m.targets {
			m.step(i, t)
		}
		for _, in := range m.instances {
			m.retry(in)
			if m.now%heartbeatMs == in.phase {
				m.heartbeat(in)
			}
		}
		if !m.mesh() {
			m.relay()
		}
		m.sample()
	}
	m.result.finish(m)
	return &m.result
}

func (m *model) poisson(mean float64) (n int) {
	for p := m.rng.Float64(); p > math.Exp(-mean); n++ {
		p *= m.rng.Float64()
	}
	return n
}

func (m *model) arrive(k *kind) {
	m.nextID++
	w, at := m.rng.Float64()*m.weights, 0
	for at < len(m.instances)-1 && w >= m.instances[at].weight {
		w -= m.instances[at].weight
		at++
	}
	x := &modelRequest{id: membership.Hash(string(rune(m.nextID)) + "x"), kind: k, instance: at, arrived: m.now}
	if k.parts > 0 { // Zipf with exponent 1
		rank := math.Exp(m.rng.Float64()*math.Log(float64(k.parts))) - 1
		x.part = membership.Score(uint64(k.shared), uint64(rank)+1)
	}
	in := m.instances[at]
	in.total++
	if !m.place(in, x) {
		in.queue = append(in.queue, x)
	}
}

func (m *model) retry(in *modelInstance) {
	if len(in.queue) == 0 || m.now%10 != in.phase%10 {
		return
	}
	in.queue = slices.DeleteFunc(in.queue, func(x *modelRequest) bool {
		if m.now-x.arrived > maxQueuedMs {
			m.result.refuse(m, x)
			return true
		}
		return m.place(in, x)
	})
}

// candidates describes the targets as the instance believes them to be.
func (m *model) candidates(in *modelInstance, x *modelRequest) []Candidate {
	home, rank1 := 0, 0
	var first, second uint64
	for i, t := range m.targets {
		if s := membership.Score(x.part, t.hash); s > first {
			second, rank1, first, home = first, home, s, i
		} else if s > second {
			second, rank1 = s, i
		}
	}
	all := m.buffer[:0]
	for i, t := range m.targets {
		_, distance := oneWay(in.centre, t.centre)
		pace := 1.0
		if m.usePace {
			pace = m.pace(in, i, t)
		}
		c := Candidate{Load: in.own[i].Add(in.peers[i]), Slots: m.slots, Distance: distance, Speed: modelSpeed * t.speed / pace, Key: t.hash}
		if k := x.kind; k.service > 0 {
			// Candidate has no pace for plain services: the longer processing counts as distance.
			longer := k.service * (pace/t.speed - 1) * (1 + float64(c.Load.Running)/float64(m.slots))
			c.Slots, c.Distance = 2*c.Slots, c.Distance+time.Duration(longer*float64(time.Millisecond))
		} else if c.Rank = MaxRank; i == home {
			c.Rank, c.Cached = 0, x.kind.shared
		} else if i == rank1 {
			c.Rank = 1
		}
		all = append(all, c)
	}
	m.buffer = all
	return all
}

// pace is the believed pace of a target: what it last reported to the instance or, with the delay
// of heartbeats, to others, decaying to the mean.
func (m *model) pace(in *modelInstance, i int, t *modelTarget) float64 {
	delay := heartbeatMs
	if !m.mesh() {
		delay = 2 * heartbeatMs
	}
	at := max(in.paceAt[i], m.now-delay)
	if at < 0 || at >= len(t.pace) {
		return meanPace
	}
	return meanPace + (float64(t.pace[at])-meanPace)*math.Exp(-float64(m.now-at)/paceDecayMs)
}

func (m *model) place(in *modelInstance, x *modelRequest) bool {
	k := x.kind
	r := Request{Prompt: k.shared + k.own, Shared: k.shared, ServiceTime: time.Duration(k.service * float64(time.Millisecond))}
	candidates := m.candidates(in, x)
	began := time.Now()
	at := m.choose(m, in, r, x, candidates)
	m.result.decided(time.Since(began))
	if at < 0 || candidates[at].wait(r) > time.Duration(k.aim*float64(time.Millisecond)) {
		return false
	}
	x.registered = Load{Running: 1, Unread: r.Prompt - candidates[at].Cached}
	in.own[at], in.since[at] = in.own[at].Add(x.registered), in.since[at].Add(x.registered)
	in.seen++
	m.result.started(m, at)
	delay, _ := oneWay(in.centre, m.targets[at].centre)
	m.after(delay, func() { t := m.targets[at]; t.waiting = append(t.waiting, x) })
	return true
}

// step plays a millisecond of a target.
func (m *model) step(at int, t *modelTarget) {
	if m.now >= t.slowTill && m.rng.Float64() < slowShare/(1-slowShare)/slowMs {
		t.slowTill = m.now + slowMs
	}
	pace := 1.0
	if m.now < t.slowTill {
		pace = slowFactor
	}
	t.pace = append(t.pace, float32(pace))
	for len(t.waiting) > 0 && len(t.running) < m.slots {
		x := t.waiting[0]
		t.waiting = t.waiting[1:]
		m.begin(t, x)
		t.running = append(t.running, x)
	}
	budget := modelSpeed * t.speed / pace
	for _, x := range t.running {
		if x.kind.service > 0 {
			x.unread -= t.speed / pace
		} else if x.unread > 0 {
			used := min(budget, x.unread)
			x.unread, budget, t.read = x.unread-used, budget-used, t.read+used
		} else {
			x.decode -= t.speed / pace
		}
		if x.unread <= 0 && !x.answered {
			x.answered = true
			m.answer(at, x)
		}
	}
	t.running = slices.DeleteFunc(t.running, func(x *modelRequest) bool {
		if x.unread > 0 || x.decode > 0 {
			return false
		}
		in := m.instances[x.instance]
		delay, _ := oneWay(in.centre, t.centre)
		m.after(delay, func() { in.own[at].Running-- })
		return true
	})
}

// begin finds out what the target has cached of a request.
func (m *model) begin(t *modelTarget, x *modelRequest) {
	k := x.kind
	if k.service > 0 {
		x.unread = k.service
		return
	}
	x.unread, x.decode = float64(k.own), k.decodeMs
	if used, ok := t.used[x.part]; !ok || t.read-used > modelCache {
		x.unread += float64(k.shared)
		m.result.readAgain(m, k.shared)
	}
	t.used[x.part] = t.read
}

func (m *model) answer(at int, x *modelRequest) {
	in := m.instances[x.instance]
	delay, _ := oneWay(in.centre, m.targets[at].centre)
	reported := m.now
	m.after(delay, func() {
		in.own[at].Unread -= x.registered.Unread
		in.paceAt[at] = max(in.paceAt[at], reported)
		m.result.answered(m, x)
	})
}

// heartbeat sends the instance's own loads to all others, or to the relay of its centre.
func (m *model) heartbeat(in *modelInstance) {
	for i, l := range in.own {
		d := Load{Running: l.Running - in.snapshot[i].Running, Unread: l.Unread - in.snapshot[i].Unread}
		in.snapshot[i] = l
		m.centreSum[in.centre][i] = m.centreSum[in.centre][i].Add(d)
		if m.mesh() {
			for _, other := range m.instances {
				if other != in {
					other.peers[i] = other.peers[i].Add(d)
				}
			}
		}
	}
	if m.mesh() {
		for _, other := range m.instances {
			other.reportAt = m.now
			clear(other.since)
		}
	}
}

// relay passes sums on: of a centre to the other relays, of all others to the instances of a centre.
func (m *model) relay() {
	for centre := range modelCentres {
		if m.now%heartbeatMs != (centre*61+17)%heartbeatMs {
			continue
		}
		copy(m.sent[centre], m.centreSum[centre])
		for _, in := range m.instances {
			if in.centre != centre {
				continue
			}
			for i := range in.peers {
				l := m.centreSum[centre][i]
				l.Running, l.Unread = l.Running-in.snapshot[i].Running, l.Unread-in.snapshot[i].Unread
				for other, sum := range m.sent {
					if other != centre {
						l = l.Add(sum[i])
					}
				}
				in.peers[i] = l
			}
			in.reportAt = m.now
			clear(in.since)
		}
	}
}
