package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// heartbeatInterval is the time between the heartbeats of a testNode.
const heartbeatInterval = 500 * time.Millisecond

var errUnreachable = errors.New("unreachable")

// testService is a fake configuration service. Readers can be cut off from it, and it
// can return stale versions.
type testService struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{}
	down    bool
	cut     map[fleet.InstanceID]bool
	// stale is the highest version that readers are given, 0 for the newest.
	stale uint64
	// faulty is a version whose document is invalid.
	faulty uint64
	reads  int
}

func (s *testService) publish(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *testService) set(change func(s *testService)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *testService) read(ctx context.Context, reader fleet.InstanceID, after uint64) (uint64, []byte, error) {
	s.set(func(s *testService) { s.reads++ })
	for {
		s.mu.Lock()
		version, changed, unreachable := s.version, s.changed, s.down || s.cut[reader]
		if s.stale != 0 {
			version = min(version, s.stale)
		}
		s.mu.Unlock()
		if !sleep(ctx, 5*time.Millisecond) || unreachable {
			return 0, nil, errUnreachable
		}
		if version > after {
			if version == s.faulty {
				return version, []byte("model\n"), nil
			}
			return version, document(version), nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-changed:
		}
	}
}

// testNode is one instance with its store and watcher. It implements Source and
// PeerFetcher.
type testNode struct {
	f          *testFleet
	id         fleet.InstanceID
	store      *Store
	dataCentre fleet.DataCentreID
	watcher    *Watcher
	stop       context.CancelFunc
}

func (n *testNode) Config(ctx context.Context, after uint64) (uint64, []byte, error) {
	return n.f.service.read(ctx, n.id, after)
}

func (n *testNode) FetchConfig(ctx context.Context, peer fleet.InstanceID, request wire.ConfigRequest) (wire.ConfigReply, error) {
	delay, lost := n.f.drawDelivery()
	if !sleep(ctx, delay) {
		return wire.ConfigReply{}, ctx.Err()
	}
	target := n.f.node(peer)
	if lost || target == nil {
		<-ctx.Done()
		return wire.ConfigReply{}, errUnreachable
	}
	return target.store.Answer(request, target.watcher.Settled())
}

// heartbeat periodically sends the version in force to the other nodes of the data
// centre and to the readers of the other data centres.
func (n *testNode) heartbeat(ctx context.Context) {
	peers := gatePeers(n.f.list.Instances, n.id, n.dataCentre, n.f.options.Readers)
	for sleep(ctx, heartbeatInterval) {
		observation := Observation{Peer: n.id}
		if current := n.store.Current(); current != nil {
			observation.Version, observation.Digest = current.Version, current.Digest
		}
		for _, peer := range peers {
			delay, lost := n.f.drawDelivery()
			if lost {
				continue
			}
			time.AfterFunc(delay, func() {
				if target := n.f.node(peer); target != nil {
					target.watcher.Observe(observation)
				}
			})
		}
	}
}

// testFleet is a fleet of nodes with a lossy network between them.
type testFleet struct {
	service *testService
	options Options
	list    fleet.List
	// lossPercent is the percentage of messages that are lost. The others take up to
	// maxDelay.
	lossPercent int
	maxDelay    time.Duration

	group sync.WaitGroup
	mu    sync.Mutex
	rand  *rand.Rand
	nodes map[fleet.InstanceID]*testNode
}

func newTestFleet(dataCentres, instances int, seed uint64) *testFleet {
	f := &testFleet{
		service:  &testService{changed: make(chan struct{}), cut: make(map[fleet.InstanceID]bool)},
		options:  DefaultOptions(),
		maxDelay: 50 * time.Millisecond,
		rand:     rand.New(rand.NewPCG(seed, 0)),
		nodes:    make(map[fleet.InstanceID]*testNode),
	}
	for d := range dataCentres {
		for i := range instances {
			f.list.Instances = append(f.list.Instances, fleet.ListedInstance{
				ID:         fleet.InstanceID(fmt.Sprintf("i-%d-%02d", d, i)),
				DataCentre: fleet.DataCentreID(fmt.Sprintf("dc-%d", d)), State: fleet.StateLive,
			})
		}
	}
	return f
}

// drawDelivery randomly draws the delay of a message and whether it is lost.
func (f *testFleet) drawDelivery() (delay time.Duration, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rand.Int64N(int64(f.maxDelay))), f.rand.IntN(100) < f.lossPercent
}

// node returns a node, nil if it is not running.
func (f *testFleet) node(id fleet.InstanceID) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

// start starts a listed instance with an empty store.
func (f *testFleet) start(instance fleet.ListedInstance) *testNode {
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{f: f, id: instance.ID, dataCentre: instance.DataCentre, store: NewStore(), stop: stop}
	options := f.options
	options.Self, options.DataCentre = instance.ID, instance.DataCentre
	f.mu.Lock()
	n.watcher = NewWatcher(options, n.store, n, n, f.rand, zerolog.Nop())
	f.nodes[n.id] = n
	f.mu.Unlock()
	n.watcher.SetList(f.list)
	f.group.Go(func() { n.watcher.Run(ctx) })
	f.group.Go(func() { n.heartbeat(ctx) })
	return n
}

func (f *testFleet) startAll() {
	for _, instance := range f.list.Instances {
		f.start(instance)
	}
}

// kill stops a node without waiting for its goroutines.
func (f *testFleet) kill(id fleet.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[id]; n != nil {
		n.stop()
	}
	delete(f.nodes, id)
}

// setLoss sets the percentage of messages that are lost.
func (f *testFleet) setLoss(percent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossPercent = percent
}

// stopAll stops all nodes and waits until their goroutines have ended and the
// messages in flight have been delivered.
func (f *testFleet) stopAll() {
	for _, instance := range f.list.Instances {
		f.kill(instance.ID)
	}
	f.group.Wait()
	time.Sleep(f.maxDelay)
}

// readers returns the first readers of each data centre.
func (f *testFleet) readers() []fleet.InstanceID {
	var all []fleet.InstanceID
	for _, dataCentre := range dataCentresOf(f.list.Instances) {
		order := readerOrder(f.list.Instances, dataCentre)
		all = append(all, order[:min(f.options.Readers, len(order))]...)
	}
	return all
}

// behind returns the running nodes whose version is lower than the given one.
func (f *testFleet) behind(version uint64) []fleet.InstanceID {
	var all []fleet.InstanceID
	for _, instance := range f.list.Instances {
		if n := f.node(instance.ID); n != nil && n.store.Version() < version {
			all = append(all, n.id)
		}
	}
	return all
}

// waitUntilInForce waits until a version is in force at every running node, but no
// longer than maxPropagationTime. It returns the time waited, with a resolution of a
// tenth of a second.
func (f *testFleet) waitUntilInForce(version uint64) time.Duration {
	const period = 100 * time.Millisecond
	var waited time.Duration
	for waited < maxPropagationTime && f.behind(version) != nil {
		time.Sleep(period)
		waited += period
	}
	return waited
}
