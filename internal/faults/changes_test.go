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

// Bounds from the brief and the letter, and times of the changes' cells.
const (
	// outBound is how long after the publication a data centre that is taken out may
	// still get new work.
	outBound = 3 * time.Second
	// forceBound is how long a change may take to be in force everywhere.
	forceBound = 6 * time.Second
	// faultTime is how long a fault lasts in these cells.
	faultTime = 8 * time.Second
	// loadTokens is the length of the background load's answers.
	loadTokens = 40
)

// change is one column of the matrix's second part: something that operators or the
// platform do while the fault is there.
type change struct {
	name string
	run  func(w *world, p *probe)
}

var changesOfFleet = []change{
	{"configuration change", configurationChange},
	{"data centre leaves and returns", centreLeavesAndReturns},
	{"target leaves", targetLeaves},
	{"planned stop of an instance", plannedStop},
}

func TestEveryFaultDuringEveryChange(t *testing.T) {
	for _, f := range faultsOfBrief {
		for _, c := range changesOfFleet {
			t.Run(f.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runChange(t, f, c) })
			})
		}
	}
}

// runChange runs a change under load while a fault lasts, and checks.
func runChange(t *testing.T, f fault, c change) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	w := newWorld(t, ctx)
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
	time.Sleep(faultTime)
	heal(w, p, []fault{f})
	<-changed
	load.stop()
	w.recovers(w.fleet.Members[2], w.fleet.Members[5])
	watch.stop()
	w.check()
}

// load sends requests of both customers through all entries, one after the other
// for each caller.
type load struct {
	cancel chan struct{}
	group  sync.WaitGroup
}

func (w *world) startLoad() *load {
	l := &load{cancel: make(chan struct{})}
	for i := range 12 {
		customer := w.fleet.Spec.Customers[i%2]
		c := w.fleet.Client(w.caller(), customer, w.fleet.Members[i%6], w.fleet.Members[(i+2)%6])
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

// versionWatch checks that no instance that takes work goes back to an older
// configuration, also over restarts.
type versionWatch struct {
	cancel chan struct{}
	ended  chan struct{}
}

func (w *world) watchVersions() *versionWatch {
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

// versions are the configurations in force at instances that take work.
func (w *world) versions() map[fleet.InstanceID]uint64 {
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

// awaitVersion waits until every instance that takes work has a version.
func (w *world) awaitVersion(version uint64, bound time.Duration) {
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

// configurationChange publishes a change at once, which must be in force everywhere
// within the bound after the fault, and one after the fault.
func configurationChange(w *world, _ *probe) {
	version := w.publish(w.fleet.Spec.Rules())
	w.awaitVersion(version, faultTime+forceBound)
	time.Sleep(faultTime)
	version = w.publish(w.fleet.Spec.Rules())
	w.awaitVersion(version, forceBound)
}

// publish publishes rules as a version above all that a fault may have published.
func (w *world) publish(text []byte) uint64 {
	w.version = max(w.version, 200) + 1
	w.fleet.Platform.SetConfig(w.version, text)
	return w.version
}

// centreLeavesAndReturns takes a data centre out, in which no new work may start
// after the bound as long as its instances can learn of it or are cut off, and
// brings it back.
func centreLeavesAndReturns(w *world, p *probe) {
	out := p.entry.DataCentre
	version := w.publish(w.fleet.Spec.Rules(out))
	time.Sleep(outBound)
	before := w.startsIn(out)
	time.Sleep(faultTime - outBound - time.Second)
	if after := w.startsIn(out); after > before && w.knows(version, out) {
		w.t.Errorf("%d requests started in %s more than %s after it was taken out", after-before, out, outBound)
	}
	time.Sleep(2 * time.Second)
	version = w.publish(w.fleet.Spec.Rules())
	w.awaitVersion(version, faultTime+forceBound)
	returned := time.Now()
	before = w.startsIn(out)
	for w.startsIn(out) == before {
		if time.Since(returned) > recoveryBound {
			w.t.Errorf("%s gets no work %s after its return", out, recoveryBound)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// knows reports whether the platform published the version to any instance; a
// platform that is down or stale for all publishes nothing.
func (w *world) knows(version uint64, _ fleet.DataCentreID) bool {
	for _, has := range w.versions() {
		if has >= version {
			return true
		}
	}
	return false
}

// startsIn counts the requests that started on the engines of a data centre.
func (w *world) startsIn(centre fleet.DataCentreID) int {
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

// targetLeaves makes an engine of another data centre leave: it reports so, and the
// list says so later.
func targetLeaves(w *world, _ *probe) {
	e := w.fleet.Engines[2]
	e.SetLeaving()
	time.Sleep(outBound)
	before := startsOn(e)
	time.Sleep(faultTime)
	if after := startsOn(e); after > before {
		w.t.Errorf("%d requests started on %s more than %s after it began to leave", after-before, e.ID, outBound)
	}
}

// plannedStop drains an instance that the fault does not touch, under load; no
// request that it runs may be cut.
func plannedStop(w *world, _ *probe) {
	m := w.fleet.Members[3]
	i := m.Running()
	if i == nil {
		return
	}
	c := w.fleet.Client(w.caller(), w.fleet.Spec.Customers[0], m)
	if _, err := c.Locate(w.ctx); err != nil {
		return
	}
	ended := make(chan result, 1)
	go func() { ended <- w.generate(c, "long answer", 4000, nil) }()
	time.Sleep(500 * time.Millisecond)
	if err := i.Drain(w.ctx); err != nil {
		w.t.Errorf("planned stop: %v", err)
	}
	r := <-ended
	if r.err != nil && kindOf(r.err) != 1 {
		w.t.Errorf("a planned stop cut a request: %v", r.err)
	}
	w.fleet.Kill(m)
	if err := w.fleet.StartMember(m); err != nil {
		w.t.Error(err)
	}
}
