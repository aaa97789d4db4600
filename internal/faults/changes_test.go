//go:build !race

package faults

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
)

// Required bounds, and durations of the cells with a change.
const (
	// maxDrainTime is how long after publication a data centre that is taken out of
	// service may still get new work.
	maxDrainTime = 3 * time.Second
	// maxApplyTime is the maximum time until a change is in force everywhere.
	maxApplyTime = 6 * time.Second
	// faultDuration is how long a fault lasts in these cells.
	faultDuration = 8 * time.Second
	// loadTokens is the length of the answers to the background load.
	loadTokens = 40
)

// change is one column of the second part of the matrix: an action of the operators or
// the platform during the fault.
type change struct {
	name string
	run  func(w *testEnv, p *probe)
}

var fleetChanges = []change{
	{"configuration change", changeConfiguration},
	{"data centre taken out and back", takeCentreOutAndBack},
	{"target drains", drainTarget},
	{"graceful stop of an instance", gracefulStop},
}

func TestEveryFaultDuringEveryChange(t *testing.T) {
	for _, f := range allFaults {
		for _, c := range fleetChanges {
			t.Run(f.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runChange(t, f, c) })
			})
		}
	}
}

// runChange runs a change under load during a fault and checks the invariants.
func runChange(t *testing.T, f fault, c change) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	w := newTestEnv(t, ctx)
	defer w.close()
	p := w.newProbe()
	w.warmUp()
	watch := w.watchVersions()
	load := w.startLoad()
	f.inject(w, p)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		c.run(w, p)
	}()
	time.Sleep(faultDuration)
	heal(w, p, []fault{f})
	<-changed
	load.stop()
	w.checkRecovery(w.fleet.Members[2], w.fleet.Members[5])
	watch.stop()
	w.check()
}

// load sends requests of both customers through all entries; each caller sends one
// request after the other.
type load struct {
	cancel chan struct{}
	group  sync.WaitGroup
}

func (w *testEnv) startLoad() *load {
	l := &load{cancel: make(chan struct{})}
	for i := range 12 {
		customer := w.fleet.Spec.Customers[i%2]
		c := w.fleet.Client(w.newCaller(), customer, w.fleet.Members[i%6], w.fleet.Members[(i+2)%6])
		l.group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.cancel:
					return
				default:
				}
				w.generate(c, fmt.Sprintf("load %d.%d", i, n), loadTokens, nil)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *load) stop() {
	close(l.cancel)
	l.group.Wait()
}

// versionWatch checks that no ready instance goes back to an older configuration, even
// after a restart.
type versionWatch struct {
	cancel chan struct{}
	ended  chan struct{}
}

func (w *testEnv) watchVersions() *versionWatch {
	v := &versionWatch{cancel: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(v.ended)
		highest := make(map[fleet.InstanceID]uint64)
		for {
			select {
			case <-v.cancel:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for id, version := range w.versions() {
				if version < highest[id] {
					w.t.Errorf("%s went back from configuration %d to %d", id, highest[id], version)
				}
				highest[id] = max(highest[id], version)
			}
		}
	}()
	return v
}

func (v *versionWatch) stop() {
	close(v.cancel)
	<-v.ended
}

// versions returns the configuration versions in force at the ready instances.
func (w *testEnv) versions() map[fleet.InstanceID]uint64 {
	versions := make(map[fleet.InstanceID]uint64)
	for _, m := range w.fleet.Members {
		i := m.Running()
		if i == nil {
			continue
		}
		status, err := i.Status(w.ctx)
		if err == nil && status.Ready {
			versions[m.ID] = status.ConfigVersion
		}
	}
	return versions
}

// awaitVersion waits until every ready instance has at least the given version.
func (w *testEnv) awaitVersion(version uint64, bound time.Duration) {
	deadline := time.Now().Add(bound)
	for {
		late := ""
		for id, has := range w.versions() {
			if has < version {
				late = fmt.Sprintf("%s has configuration %d", id, has)
			}
		}
		if late == "" {
			return
		}
		if time.Now().After(deadline) {
			w.t.Errorf("configuration %d is not in force everywhere after %s: %s", version, bound, late)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// changeConfiguration publishes one change at once, which must be in force everywhere
// within the bound after the fault ends, and another one after the fault.
func changeConfiguration(w *testEnv, _ *probe) {
	version := w.publish(w.fleet.Spec.Rules())
	w.awaitVersion(version, faultDuration+maxApplyTime)
	time.Sleep(faultDuration)
	version = w.publish(w.fleet.Spec.Rules())
	w.awaitVersion(version, maxApplyTime)
}

// publish publishes rules with a version above any that a fault may have published.
func (w *testEnv) publish(text []byte) uint64 {
	w.version = max(w.version, 200) + 1
	w.fleet.Platform.SetConfig(w.version, text)
	return w.version
}

// takeCentreOutAndBack takes a data centre out of service and back. No new work may
// start there after the bound, provided that its instances can receive the change or
// are cut off.
func takeCentreOutAndBack(w *testEnv, p *probe) {
	out := p.entry.DataCentre
	version := w.publish(w.fleet.Spec.Rules(out))
	time.Sleep(maxDrainTime)
	before := w.startsIn(out)
	time.Sleep(faultDuration - maxDrainTime - time.Second)
	if after := w.startsIn(out); after > before && w.published(version, out) {
		w.t.Errorf("%d requests started in %s more than %s after it was taken out of service", after-before, out, maxDrainTime)
	}
	time.Sleep(2 * time.Second)
	version = w.publish(w.fleet.Spec.Rules())
	w.awaitVersion(version, faultDuration+maxApplyTime)
	returned := time.Now()
	before = w.startsIn(out)
	for w.startsIn(out) == before {
		if time.Since(returned) > maxRecoveryTime {
			w.t.Errorf("%s gets no work %s after it is back in service", out, maxRecoveryTime)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// published reports whether the version reached any instance. A platform that is down
// or stale for all instances publishes nothing.
func (w *testEnv) published(version uint64, _ fleet.DataCentreID) bool {
	for _, has := range w.versions() {
		if has >= version {
			return true
		}
	}
	return false
}

// startsIn returns the number of requests that started on the engines of a data centre.
func (w *testEnv) startsIn(centre fleet.DataCentreID) int {
	n := 0
	for _, e := range w.fleet.Engines {
		if e.DataCentre == centre {
			n += startsOn(e)
		}
	}
	return n
}

func startsOn(e *localfleet.EngineMember) int {
	n := 0
	for _, a := range e.Arrivals() {
		if a.Refused == "" && !a.Resume {
			n++
		}
	}
	return n
}

// drainTarget drains an engine of another data centre: the engine reports it first, the
// target list later.
func drainTarget(w *testEnv, _ *probe) {
	e := w.fleet.Engines[2]
	e.SetLeaving()
	time.Sleep(maxDrainTime)
	before := startsOn(e)
	time.Sleep(faultDuration)
	if after := startsOn(e); after > before {
		w.t.Errorf("%d requests started on %s more than %s after it began to drain", after-before, e.ID, maxDrainTime)
	}
}

// gracefulStop drains, under load, an instance that the fault does not affect. No
// request that the instance runs may be aborted.
func gracefulStop(w *testEnv, _ *probe) {
	m := w.fleet.Members[3]
	i := m.Running()
	if i == nil {
		return
	}
	c := w.fleet.Client(w.newCaller(), w.fleet.Spec.Customers[0], m)
	if _, err := c.Locate(w.ctx); err != nil {
		return
	}
	ended := make(chan result, 1)
	go func() { ended <- w.generate(c, "long answer", 4000, nil) }()
	time.Sleep(500 * time.Millisecond)
	if err := i.Drain(w.ctx); err != nil {
		w.t.Errorf("graceful stop: %v", err)
	}
	r := <-ended
	if r.err != nil && errorKind(r.err) != 1 {
		w.t.Errorf("a graceful stop aborted a request: %v", r.err)
	}
	w.fleet.Kill(m)
	if err := w.fleet.StartMember(m); err != nil {
		w.t.Error(err)
	}
}
