package instance

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/wire"
)

// fleetSize is the size of the fleet that surrounds the measured core.
type fleetSize struct {
	instances, centres, regions, customers, targets, models int
	// backlogged is the number of customers with waiting requests in the core's data
	// centre, requests the starts per second at one entry, and changed the number of
	// service counters in one heartbeat.
	backlogged, requests, changed int
}

var fleetSizes = map[string]fleetSize{
	"today": {instances: 6, centres: 3, regions: 3, customers: 15, targets: 23, models: 2, backlogged: 4, requests: 4, changed: 3},
	// The backlogged customers are distributed over all data centres, each at three entries.
	"design": {instances: 380, centres: 21, regions: 8, customers: 15_000, targets: 12_000, models: 7, backlogged: 214, requests: 37, changed: 30},
	// All backlogged customers are in one data centre.
	"crowded": {instances: 380, centres: 21, regions: 8, customers: 15_000, targets: 12_000, models: 7, backlogged: 1500, requests: 37, changed: 30},
}

const (
	benchSelf              fleet.InstanceID = "i000"
	benchSlots                              = 8
	benchStep                               = tickInterval
	benchHeartbeatInterval                  = 500 * time.Millisecond // the default setting
	chargesPerRequest                       = 15                     // 236 tokens of output in steps of chargeStep
)

// benchPeer simulates one peer. It acknowledges heartbeats, lends escrow, runs what it is
// granted, and grants starts on its target.
type benchPeer struct {
	hello         wire.Hello
	seq           uint64
	echo          uint64
	view          uint64
	demand        []wire.Demand
	owned         fleet.TargetID
	receivedGrant uint64
	sentGrant     uint64
	running       []benchRun
}

type benchRun struct {
	target fleet.TargetID
	until  time.Time
}

// benchCore drives one core in simulated time. It implements the core's transport, poller
// and watcher.
type benchCore struct {
	*core
	size       fleetSize
	clock      time.Time
	steps      int
	peers      []*benchPeer
	byID       map[fleet.InstanceID]*benchPeer
	localPeers int
	polls      []poll
	waiters    []*waiter
	rng        *rand.Rand
	cpuTime    map[string]time.Duration
	counts     map[string]int
}

func (w *benchCore) SendHeartbeat(to fleet.InstanceID, hb *wire.Heartbeat) bool {
	w.byID[to].echo = hb.Seq
	w.counts["sent"]++
	return true
}

func (w *benchCore) SendGrant(to fleet.InstanceID, g *wire.Grant) bool {
	p := w.byID[to]
	p.receivedGrant = g.Seq
	hold := time.Duration(float64(time.Second) * float64(w.size.targets*benchSlots) / float64(w.size.instances*w.size.requests))
	p.running = append(p.running, benchRun{target: g.Target, until: w.clock.Add(hold)})
	w.counts["granted"]++
	return true
}

func (w *benchCore) Connected() []wire.Hello {
	hellos := make([]wire.Hello, len(w.peers))
	for i, p := range w.peers {
		hellos[i] = p.hello
	}
	return hellos
}

func (w *benchCore) SetPeers([]fleet.ListedInstance) {}
func (w *benchCore) Observe(config.Observation)      {}
func (w *benchCore) SetList(fleet.List)              {}
func (w *benchCore) submit(p poll)                   { w.polls = append(w.polls, p) }

func benchCentre(n int, s fleetSize) fleet.DataCentreID {
	return fleet.DataCentreID(fmt.Sprintf("dc-%02d", n%s.centres))
}

func benchModel(n int, s fleetSize) fleet.ModelID {
	return fleet.ModelID(fmt.Sprintf("model-%d", n%s.models))
}

func benchRules(s fleetSize) []byte {
	var out strings.Builder
	for i := range s.centres {
		fmt.Fprintf(&out, "datacentre dc-%02d region region-%d in # Lin, operations\n", i, i%s.regions)
	}
	for i := range s.models {
		fmt.Fprintf(&out, "model model-%d input 1 output 4 # Wu, inspection\n", i)
	}
	for i := range s.customers {
		key := sha256.Sum256(fmt.Appendf(nil, "secret %d", i))
		fmt.Fprintf(&out, "customer mill-%05d share %d queue 64 key sha256:%x # Chen, auction floor\n", i, 1+i%9, key)
	}
	for i := range s.targets {
		fmt.Fprintf(&out, "target e%05d datacentre dc-%02d serves %s limit %d cold 1 fencing checked sender ignored # Wu, inspection\n",
			i, i%s.centres, benchModel(i/s.centres, s), benchSlots)
	}
	return []byte(out.String())
}

func benchList(s fleetSize) fleet.List {
	list := fleet.List{Version: 1}
	for i := range s.instances {
		list.Instances = append(list.Instances, fleet.ListedInstance{ID: fleet.InstanceID(fmt.Sprintf("i%03d", i)),
			DataCentre: benchCentre(i, s), CallerAddr: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250),
			PeerAddr: fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250), State: fleet.StateLive})
	}
	for i := range s.targets {
		list.Targets = append(list.Targets, fleet.ListedTarget{ID: fleet.TargetID(fmt.Sprintf("e%05d", i)),
			DataCentre: benchCentre(i, s), Addr: fmt.Sprintf("10.%d.%d.%d:8000", 1+i/62500, i/250%250, i%250), State: fleet.StateLive})
	}
	return list
}

// newBenchCore returns a core in steady state: it holds all units of the targets that it
// owns, is connected to every peer, and has backlogged customers both as an entry and as
// an owner.
func newBenchCore(b testing.TB, s fleetSize) *benchCore {
	w := &benchCore{size: s, clock: time.Now(), byID: map[fleet.InstanceID]*benchPeer{}, rng: rand.New(rand.NewPCG(1, 2)),
		cpuTime: map[string]time.Duration{}, counts: map[string]int{}}
	store := config.NewStore()
	if _, err := store.Offer(1, benchRules(s), config.SourceService); err != nil {
		b.Fatal(err)
	}
	d := &directory{self: benchSelf, centre: benchCentre(0, s), lifetime: time.Second, store: store}
	w.core = newCore(coreOptions{self: benchSelf, incarnation: 1, centre: d.centre, heartbeat: benchHeartbeatInterval,
		limits: limit.DefaultParams(), queue: dispatch.QueueParams{}, rng: w.rng}, zerolog.Nop(), d, w.clock)
	w.transport, w.poller, w.watcher = w, w, w
	w.wakeTimer = time.NewTimer(time.Hour)
	b.Cleanup(func() { w.wakeTimer.Stop() })
	list := benchList(s)
	w.addPeers(list)
	configEvent{snapshot: store.Current()}.apply(w.core, w.clock)
	listEvent{list: list}.apply(w.core, w.clock)
	settledEvent{}.apply(w.core, w.clock)
	for _, p := range w.peers {
		peerEvent{from: p.hello, connected: true}.apply(w.core, w.clock)
	}
	for i := range max(1, s.backlogged/(w.localPeers+1)) {
		for range 5 {
			w.admit(i)
		}
	}
	for range 20 {
		w.runSecond()
	}
	clear(w.cpuTime)
	clear(w.counts)
	return w
}

// addPeers creates the peers, those in the core's data centre first.
func (w *benchCore) addPeers(list fleet.List) {
	members := map[fleet.DataCentreID][]fleet.InstanceID{}
	for _, l := range list.Instances {
		members[l.DataCentre] = append(members[l.DataCentre], l.ID)
	}
	var remote []*benchPeer
	for i, l := range list.Instances[1:] {
		hello := wire.Hello{ProtocolVersion: wire.ProtocolVersion, Instance: l.ID, Incarnation: fleet.Incarnation(i + 2), DataCentre: l.DataCentre}
		p := &benchPeer{hello: hello, view: uint64(membership.NewView(members[l.DataCentre]))}
		w.byID[l.ID] = p
		if l.DataCentre == benchCentre(0, w.size) {
			w.peers = append(w.peers, p)
		} else {
			remote = append(remote, p)
		}
	}
	w.localPeers = len(w.peers)
	w.peers = append(w.peers, remote...)
	for _, t := range list.Targets {
		if owner, _ := membership.Owner(string(t.ID), members[t.DataCentre]); owner != benchSelf {
			w.byID[owner].owned = t.ID
		}
	}
	for i := range w.size.backlogged {
		p := w.peers[i%w.localPeers]
		p.demand = append(p.demand, wire.Demand{Customer: w.customer(i), Workload: w.workload(i), Waiting: 5, Estimate: 900})
	}
}

func (w *benchCore) customer(i int) fleet.CustomerID {
	return fleet.CustomerID(fmt.Sprintf("mill-%05d", i))
}

func (w *benchCore) workload(i int) fleet.Workload {
	return fleet.Workload{Model: benchModel(i, w.size)}
}

// apply handles one event as the core's loop does.
func (w *benchCore) apply(e event) {
	e.apply(w.core, w.clock)
	w.decide(w.clock)
}

func (w *benchCore) admit(i int) {
	work := entry.AdmissionRequest{RequestID: "r", Customer: w.customer(i), Workload: w.workload(i), PromptTokens: 900,
		Fingerprint: w.rng.Uint64(), Deadline: w.clock.Add(time.Hour), Attempt: 1}
	waiting := &waiter{work: work, reply: make(chan admitResult, 1)}
	w.waiters = append(w.waiters, waiting)
	w.apply(admitEvent{waiting})
}

// measure runs a function, which does n operations, and adds the thread's CPU time and n
// to the totals of a name.
func (w *benchCore) measure(name string, n int, run func()) {
	before := threadTime()
	run()
	w.cpuTime[name] += threadTime() - before
	w.counts[name] += n
}

// threadTime returns the CPU time of the calling thread.
func threadTime() time.Duration {
	const threadClock = 3 // CLOCK_THREAD_CPUTIME_ID
	var t syscall.Timespec
	_, _, _ = syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, threadClock, uintptr(unsafe.Pointer(&t)), 0)
	return time.Duration(t.Nano())
}

// runSecond simulates one second of the instance.
func (w *benchCore) runSecond() {
	steps := int(time.Second / benchStep)
	for step := range steps {
		w.clock = w.clock.Add(benchStep)
		w.measure("tick", 1, func() { w.tick(w.clock); w.decide(w.clock) })
		w.steps++
		for i, p := range w.peers {
			if (i+w.steps)%int(w.peerInterval(i)/benchStep) == 0 {
				heartbeat := heartbeatEvent{from: p.hello, heartbeat: w.heartbeat(p)}
				w.measure("received", 1, func() { w.apply(heartbeat) })
			}
		}
		w.report()
		w.requests((w.size.requests*(step+1))/steps - (w.size.requests*step)/steps)
	}
	w.measure("list", 1, func() { w.apply(listEvent{list: w.list}) })
}

// peerInterval returns the time between two heartbeats of a peer, given by its index.
func (w *benchCore) peerInterval(peer int) time.Duration {
	if w.largeFleet && peer >= w.localPeers {
		return remoteIdleInterval
	}
	return benchHeartbeatInterval
}

// heartbeat returns a peer's next heartbeat.
func (w *benchCore) heartbeat(p *benchPeer) *wire.Heartbeat {
	p.seq++
	hb := &wire.Heartbeat{Incarnation: p.hello.Incarnation, Seq: p.seq, EchoSeq: p.echo, EchoIncarnation: w.options.incarnation,
		View: p.view, LendsEscrow: true, ConfigVersion: 1, ConfigDigest: w.snapshot.Digest, Demand: p.demand, GrantSeq: p.receivedGrant}
	counts := map[fleet.TargetID]int{}
	kept := p.running[:0]
	for _, r := range p.running {
		if r.until.After(w.clock) {
			kept = append(kept, r)
			counts[r.target]++
		}
	}
	p.running = kept
	for t, n := range counts {
		hb.Running = append(hb.Running, wire.Running{Target: t, Count: n})
	}
	for i := range w.size.models {
		hb.Spare = append(hb.Spare, wire.Spare{Workload: w.workload(i)})
	}
	for range w.size.changed {
		total := fleet.Cost(w.clock.UnixMilli() / 10)
		hb.ServiceCounter = append(hb.ServiceCounter, wire.ServiceCounter{Incarnation: hb.Incarnation, Customer: w.customer(w.rng.IntN(w.size.customers)), Total: total})
	}
	return hb
}

// report answers the queued load polls with a load report.
func (w *benchCore) report() {
	polls := w.polls
	w.polls = nil
	for _, p := range polls {
		e := reportEvent{target: p.target, requested: w.clock, received: w.clock, report: fleet.LoadReport{BootID: "b", State: fleet.TargetReady, Completed: 100}}
		w.measure("report", 1, func() { w.apply(e) })
	}
}

// requests runs n requests that peers grant: each is granted, begun, charged and ended, and
// another request of the same customer is admitted. It also runs the requests that the
// core granted to itself.
func (w *benchCore) requests(n int) {
	waiters := w.waiters
	w.waiters = nil
	for _, waiting := range waiters {
		select {
		case a := <-waiting.reply:
			w.measure("request", 1, func() { w.runRequest(a.lease, waiting) })
		default:
			w.waiters = append(w.waiters, waiting)
		}
	}
	for range n {
		p := w.peers[w.rng.IntN(w.localPeers)]
		work := &w.waiters[w.rng.IntN(len(w.waiters))].work
		p.sentGrant++
		g := &wire.Grant{Incarnation: p.hello.Incarnation, Seq: p.sentGrant, EchoIncarnation: w.options.incarnation, EchoSeq: p.echo,
			Customer: work.Customer, Workload: work.Workload, Target: p.owned, BootID: "b"}
		w.measure("request", 1, func() {
			w.apply(grantEvent{from: p.hello, grant: g})
			w.runGranted()
		})
	}
}

func (w *benchCore) runGranted() {
	for i, waiting := range w.waiters {
		select {
		case a := <-waiting.reply:
			w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
			w.runRequest(a.lease, waiting)
			return
		default:
		}
	}
}

func (w *benchCore) runRequest(l *lease, waiting *waiter) {
	usable := make(chan bool, 1)
	w.apply(beginEvent{lease: l, reply: usable})
	for i := range chargesPerRequest {
		w.apply(chargeEvent{lease: l, input: 900, output: int64(i+1) * chargeStep})
	}
	w.apply(endEvent{lease: l, kind: entry.EndFinished, input: 900, output: chargesPerRequest * chargeStep})
	var customer int
	fmt.Sscanf(string(waiting.work.Customer), "mill-%d", &customer)
	w.admit(customer)
}

// BenchmarkCore simulates seconds of one instance's core without its connections. It
// reports the CPU time per event and in total, for the decisions on requests, ticks,
// heartbeats received and built, load reports, and reads of an unchanged list.
func BenchmarkCore(b *testing.B) {
	for name, size := range fleetSizes {
		b.Run(name, func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			w := newBenchCore(b, size)
			for b.Loop() {
				w.runSecond()
			}
			seconds := float64(b.N)
			total := time.Duration(0)
			for phase, cpuTime := range w.cpuTime {
				total += cpuTime
				b.ReportMetric(float64(cpuTime)/float64(max(1, w.counts[phase]))/1e3, phase+"-µs")
			}
			b.ReportMetric(float64(w.counts["sent"])/seconds, "sent/s")
			b.ReportMetric(float64(w.counts["granted"])/seconds, "granted/s")
			b.ReportMetric(float64(w.counts["request"])/seconds, "requests/s")
			b.ReportMetric(total.Seconds()*100/seconds, "%core")
		})
	}
}

// BenchmarkMemory reports the heap size of one core in steady state without connections,
// including its configuration and list, after a garbage collection.
func BenchmarkMemory(b *testing.B) {
	for name, size := range fleetSizes {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapAfterCollection()
				w := newBenchCore(b, size)
				b.ReportMetric(float64(heapAfterCollection()-before)/(1<<20), "heap-MiB")
				runtime.KeepAlive(w)
			}
		})
	}
}

func heapAfterCollection() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkApplyChange applies versions of the rules that differ in one line on a customer
// or a target, and new versions of the list.
func BenchmarkApplyChange(b *testing.B) {
	for name, size := range fleetSizes {
		w := newBenchCore(b, size)
		for what, line := range map[string][2]string{"customer": {"mill-00001 share 2", "mill-00001 share 3"}, "target": {"limit 8", "limit 7"}} {
			b.Run(name+"/"+what, func(b *testing.B) {
				text := string(benchRules(size))
				var versions [2]*config.Snapshot
				for i, old := range line {
					store := config.NewStore()
					if _, err := store.Offer(1, []byte(strings.Replace(text, line[0], old, 1)), config.SourceService); err != nil {
						b.Fatal(err)
					}
					versions[i] = store.Current()
				}
				for i := 0; b.Loop(); i++ {
					w.apply(configEvent{snapshot: versions[i%2]})
				}
			})
		}
		b.Run(name+"/list", func(b *testing.B) {
			for b.Loop() {
				list := w.list
				list.Version++
				w.apply(listEvent{list: list})
			}
		})
	}
}
