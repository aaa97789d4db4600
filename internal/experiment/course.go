package experiment

import (
	"context"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/peer"
)

// Times of a run.
const (
	sampleStep = 100 * time.Millisecond
	// returned is the time that is watched after the data centre is back.
	returned = 20 * time.Second
	// closing is the time for dials under way at the end.
	closing = 5 * time.Second
	// outIndex is the data centre that is taken out.
	outIndex = 2
)

// sample is the state of the fleet at one moment.
type sample struct {
	at      time.Time
	service []int64
	// running holds the requests in each engine.
	running []int
}

// course is a run's record.
type course struct {
	samples      []sample
	begin, end   time.Time
	out, back    time.Time
	stopped      time.Time
	before       map[fleet.InstanceID]peer.Counters
	after        map[fleet.InstanceID]peer.Counters
	arrivals     map[fleet.DataCentreID][]time.Time
	excess, cold int
}

// carryOut runs the scenario: it warms up, measures, and takes a data centre out.
func (w *world) carryOut(ctx context.Context) *course {
	c := &course{}
	loaded, stop := context.WithCancel(ctx)
	var group, watchers sync.WaitGroup
	watched, stopWatch := context.WithCancel(ctx)
	w.startLoad(loaded, &group)
	watchers.Go(func() { w.watch(watched, c) })
	time.Sleep(w.scenario.warm)
	c.before, c.begin = w.controlCounters(), time.Now()
	time.Sleep(w.scenario.steady)
	c.after, c.end = w.controlCounters(), time.Now()
	if w.scenario.outage > 0 {
		w.takeOut(c)
	}
	stopWatch()
	watchers.Wait()
	c.stopped = time.Now()
	stop()
	group.Wait()
	c.arrivals = w.join()
	for _, e := range w.fleet.Engines {
		peak := e.Peak()
		c.excess = max(c.excess, peak.Running-engineLimit)
		c.cold += peak.ColdOverloads
	}
	return c
}

// takeOut takes a data centre out and brings it back.
func (w *world) takeOut(c *course) {
	c.out = time.Now()
	w.fleet.PublishRules(w.fleet.Spec.Rules(centreID(outIndex)))
	time.Sleep(w.scenario.outage)
	c.back = time.Now()
	w.fleet.PublishRules(w.fleet.Spec.Rules())
	time.Sleep(returned)
}

// watch takes samples until ctx ends.
func (w *world) watch(ctx context.Context, c *course) {
	for sleep(ctx, sampleStep) {
		s := sample{at: time.Now()}
		for i := range w.records.service {
			s.service = append(s.service, w.records.service[i].Load())
		}
		for _, e := range w.fleet.Engines {
			s.running = append(s.running, e.CurrentLoad().Running)
		}
		c.samples = append(c.samples, s)
	}
}
