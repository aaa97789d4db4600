package config

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// maxPropagationTime is the time within which a version must come into force everywhere.
const maxPropagationTime = 6 * time.Second

// TestInForceEverywhere checks, without a fault and under several faults, that every
// running instance has the latest version maxPropagationTime after its publication.
// Versions are published in bursts that start at a random time.
func TestInForceEverywhere(t *testing.T) {
	tests := []struct {
		name string
		// fault is injected right before the first burst of versions.
		fault func(f *testFleet)
	}{
		{"no fault", func(f *testFleet) {}},
		{"a fifth of the messages lost", func(f *testFleet) { f.setLoss(20) }},
		{"all readers killed", func(f *testFleet) {
			for _, id := range f.readers() {
				f.kill(id)
			}
		}},
		{"all readers of one data centre cut off from the service", func(f *testFleet) {
			f.service.set(func(s *testService) {
				for _, id := range f.readers()[:f.options.Readers] {
					s.cut[id] = true
				}
			})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(5) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(3, 6, seed)
					phase := rand.New(rand.NewPCG(seed, 1)).Int64N(int64(30 * time.Second))
					f.service.publish(1)
					f.startAll()
					time.Sleep(20*time.Second + time.Duration(phase))
					test.fault(f)
					for version := uint64(6); version < 16; version += 5 {
						for earlier := version - 4; earlier < version; earlier++ {
							f.service.publish(earlier)
							time.Sleep(300 * time.Millisecond)
						}
						f.service.publish(version)
						longest = max(longest, f.waitUntilInForce(version))
						if late := f.behind(version); late != nil {
							t.Errorf("seed %d: version %d is not in force at %v", seed, version, late)
						}
					}
					f.stopAll()
				})
			}
			t.Logf("longest time until a version was in force everywhere: %v", longest)
		})
	}
}

// TestServiceRecovers checks that instances can start and take work while the service
// is down, and that a new version comes into force soon after it has recovered.
func TestServiceRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(3, 4, 1)
		f.service.publish(1)
		f.startAll()
		time.Sleep(20 * time.Second)
		f.service.set(func(s *testService) { s.down = true })
		f.service.publish(2)
		time.Sleep(10 * time.Minute)
		restarted := f.list.Instances[0]
		f.kill(restarted.ID)
		n := f.start(restarted)
		time.Sleep(f.options.Gate.StartWait + time.Second)
		if !n.watcher.Settled() || n.store.Version() != 1 {
			t.Errorf("restarted while the service is down: settled %v, version %d, want true and 1", n.watcher.Settled(), n.store.Version())
		}
		f.service.set(func(s *testService) { s.down = false })
		time.Sleep(3*f.options.BackoffMax/2 + maxPropagationTime)
		if late := f.behind(2); late != nil {
			t.Errorf("version 2 is not in force at %v", late)
		}
		f.stopAll()
	})
}

// TestFaultyVersions checks that each reader reads an invalid document from the
// service only once and keeps the previous version in force, and that an invalid
// document with a high version from a peer does not hide the service's next version.
func TestFaultyVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 2, 1)
		f.service.faulty = 2
		f.service.publish(1)
		f.startAll()
		time.Sleep(20 * time.Second)
		f.service.set(func(s *testService) { s.reads = 0 })
		f.service.publish(2)
		const span = 30 * time.Second
		time.Sleep(span / 2)
		for _, id := range f.readers() {
			f.node(id).store.Offer(1<<60, []byte("model\n"), "peer")
		}
		time.Sleep(span / 2)
		f.service.set(func(s *testService) {
			if bound := maxReads(f.options, 1, 2, 1, span); float64(s.reads) > bound {
				t.Errorf("%d reads with an invalid version published, want at most %.0f", s.reads, bound)
			}
		})
		for version := uint64(1); version <= 3; version += 2 {
			if version == 3 {
				f.service.publish(3)
				time.Sleep(maxPropagationTime)
			}
			for _, id := range f.readers() {
				if got := f.node(id).store.Version(); got != version {
					t.Errorf("version %d is in force, want %d", got, version)
				}
			}
		}
		f.stopAll()
	})
}

// maxReads returns the maximum number of reads by a fleet within d. The readers of
// each data centre read after each wait or change, and the other instances at the
// shortest fallback interval. MinReadInterval can only lower the number.
func maxReads(o Options, dataCentres, instances int, changes int, d time.Duration) float64 {
	readers := float64(min(o.Readers, instances))
	others := float64(instances) - readers
	waits := d.Seconds() / (o.WatchTimeout.Seconds() * (1 - jitterFraction))
	fallbacks := d.Seconds() / (o.FallbackInterval.Seconds() / 2)
	return float64(dataCentres) * (readers*(1+waits+float64(changes)) + others*(1+fallbacks))
}

// TestReads checks that the number of reads from the service stays within the bound
// of maxReads for fleets of three sizes, and logs both.
func TestReads(t *testing.T) {
	const span = 2 * time.Minute
	for _, instances := range []int{2, 6, 18} {
		for _, changes := range []int{0, 24} {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(2, instances, 1)
				f.startAll()
				time.Sleep(20 * time.Second)
				f.service.set(func(s *testService) { s.reads = 0 })
				for change := range changes {
					f.service.publish(uint64(change + 1))
					time.Sleep(span / time.Duration(changes))
				}
				if changes == 0 {
					time.Sleep(span)
				}
				f.stopAll()
				bound := maxReads(f.options, 2, instances, changes, span)
				if reads := float64(f.service.reads); reads > bound {
					t.Errorf("%d instances, %d changes: %.0f reads, want at most %.0f", 2*instances, changes, reads, bound)
				}
				t.Logf("%d instances, %d changes: %d reads in %v, bound %.0f", 2*instances, changes, f.service.reads, span, bound)
			})
		}
	}
}

func TestElection(t *testing.T) {
	f := newTestFleet(21, 18, 1)
	random := rand.New(rand.NewPCG(1, 1))
	order := readerOrder(f.list.Instances, "dc-3")
	random.Shuffle(len(f.list.Instances), func(i, j int) {
		f.list.Instances[i], f.list.Instances[j] = f.list.Instances[j], f.list.Instances[i]
	})
	if again := readerOrder(f.list.Instances, "dc-3"); len(order) != 18 || !slices.Equal(order, again) {
		t.Errorf("readerOrder() depends on the order of the list: %v, %v", order, again)
	}
	unreachable := map[fleet.InstanceID]bool{order[0]: true, order[2]: true}
	want := []int{0, 0, 1, 1, 2}
	for i, rank := range want {
		if got := readerRank(order, order[i], func(id fleet.InstanceID) bool { return unreachable[id] }); got != rank {
			t.Errorf("readerRank() at position %d = %d, want %d", i, got, rank)
		}
	}
	peers := gatePeers(f.list.Instances, order[5], "dc-3", 2)
	if len(peers) != 17+20*2 {
		t.Errorf("gatePeers() returned %d peers, want 57", len(peers))
	}
}
