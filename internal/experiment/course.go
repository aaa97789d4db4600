package experiment

import (
	"context"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/peer"
)

// Phases of a run.
const (
	sampleStep = 100 * time.Millisecond
	// returnDuration is how long sampling goes on after the data centre is back in service.
	returnDuration = 20 * time.Second
	// dialGracePeriod is the time for dials that are in progress at the end to finish.
	dialGracePeriod = 5 * time.Second
	// outageIndex is the index of the data centre that is taken out of service.
	outageIndex = 2
)

// sample is the state of the fleet at one point in time.
type sample struct {
	at      time.Time
	service []int64
	// running holds the number of running requests of each engine.
	running []int
}

// recording holds the samples, times and counters of one run.
type recording struct {
	samples                  []sample
	steadyStart, steadyEnd   time.Time
	outageStart, outageEnd   time.Time
	loadStopped              time.Time
	countersBefore           map[fleet.InstanceID]peer.Counters
	countersAfter            map[fleet.InstanceID]peer.Counters
	arrivals                 map[fleet.DataCentreID][]time.Time
	overLimit, coldOverloads int
}

// execute runs the scenario: it warms up, measures the steady phase and, if the
// scenario has an outage, takes a data centre out of service and back.
func (w *testEnv) execute(ctx context.Context) *recording {
	c := &recording{}
	loaded, stop := context.WithCancel(ctx)
	var group, watchers sync.WaitGroup
	watched, stopWatch := context.WithCancel(ctx)
	w.startLoad(loaded, &group)
	watchers.Go(func() { w.collectSamples(watched, c) })
	time.Sleep(w.scenario.warmUp)
	c.countersBefore, c.steadyStart = w.controlCounters(), time.Now()
	time.Sleep(w.scenario.steady)
	c.countersAfter, c.steadyEnd = w.controlCounters(), time.Now()
	if w.scenario.outage > 0 {
		w.runOutage(c)
	}
	stopWatch()
	watchers.Wait()
	c.loadStopped = time.Now()
	stop()
	group.Wait()
	c.arrivals = w.matchArrivals()
	for _, e := range w.fleet.Engines {
		peak := e.Peak()
		c.overLimit = max(c.overLimit, peak.Running-engineLimit)
		c.coldOverloads += peak.ColdOverloads
	}
	return c
}

// runOutage takes a data centre out of service and back, and records when.
func (w *testEnv) runOutage(c *recording) {
	c.outageStart = time.Now()
	w.fleet.PublishRules(w.fleet.Spec.Rules(centreID(outageIndex)))
	time.Sleep(w.scenario.outage)
	c.outageEnd = time.Now()
	w.fleet.PublishRules(w.fleet.Spec.Rules())
	time.Sleep(returnDuration)
}

// collectSamples appends a sample to c every sampleStep until ctx is done.
func (w *testEnv) collectSamples(ctx context.Context, c *recording) {
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
