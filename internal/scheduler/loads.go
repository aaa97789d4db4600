package scheduler

import (
	"cmp"
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/loadreport"
	"medlarwind.dev/medlarwind/internal/placement"
	"medlarwind.dev/medlarwind/internal/speed"
	"medlarwind.dev/medlarwind/internal/wire"
)

// Constants of the use of load reports.
const (
	// initialRunTime is the time for which a request of an engine takes a slot, as long as none has completed.
	initialRunTime = time.Second
	// runTimeWeight is the weight of the newest request in the mean, maxRunTime the longest time that counts.
	runTimeWeight = 0.02
	maxRunTime    = 10 * time.Second
	// recentPace is the age up to which a report tells the pace at which a request began.
	recentPace = 300 * time.Millisecond
	// steadyPace is the ratio within which two paces count as the same.
	steadyPace = 1.1
)

// loads is what the scheduler knows by what targets say of their load, and the times that it learns for it.
type loads struct {
	enabled bool
	reports *loadreport.Table
	// times are the processing times of calls to plain services.
	times *speed.Times
	// runTimes are the mean times for which a request of an engine service takes a slot.
	runTimes map[fleet.ServiceID]time.Duration
	odd      map[fleet.TargetID]int64
	// pacedAt is when Scheduler.paced was last updated.
	pacedAt clock.Instant
}

func newLoads(o *Options) loads {
	return loads{
		enabled: o.Features.Enabled(feature.LoadReports), reports: loadreport.NewTable(o.DataCentre),
		times: speed.NewTimes(plainServiceTime), runTimes: make(map[fleet.ServiceID]time.Duration), odd: make(map[fleet.TargetID]int64),
	}
}

// expireLoads drops what is kept of targets that are not listed and of peers that are not alive. s.mu must be held.
func (s *Scheduler) expireLoads() {
	s.loads.times.Keep(s.isListed)
	alive := make(map[fleet.InstanceID]bool, len(s.alive))
	for _, m := range s.alive {
		alive[m.ID] = true
	}
	s.loads.reports.Expire(s.isListed, func(id fleet.InstanceID) bool { return alive[id] })
	for id := range s.loads.odd {
		if !s.isListed(id) {
			delete(s.loads.odd, id)
		}
	}
}

// updateTimes brings the processing times of plain targets up to date. s.mu must be held.
func (s *Scheduler) updateTimes(now clock.Instant) {
	if !s.loads.enabled {
		return
	}
	s.loads.times.Refresh(now)
	for id, t := range s.targets {
		if e, ok := s.inventory.Get(id); ok {
			t.slowness = s.loads.times.Target(e.Service, id, e.StartMillis, now)
		}
	}
}

// pacedInterval is the time between two updates of the services whose targets report a pace.
const pacedInterval = time.Second

// updatePaced finds the services of which a target reports its pace now and then. s.mu must be held.
func (s *Scheduler) updatePaced(now clock.Instant) {
	if !s.loads.enabled || s.loads.pacedAt != 0 && now.Sub(s.loads.pacedAt) < pacedInterval {
		return
	}
	s.loads.pacedAt = now
	clear(s.paced)
	for id := range s.targets {
		if e, ok := s.inventory.Get(id); ok && !s.paced[e.Service] {
			s.paced[e.Service] = s.loads.reports.Of(id).Has(e.StartMillis, now)
		}
	}
}

// request returns the job's parameters for placement. s.mu must be held.
func (s *Scheduler) request(j *Job) placement.Request {
	r := j.request()
	if r.ServiceTime > 0 && s.loads.enabled {
		r.ServiceTime = s.loads.times.Service(j.Service.ID)
	}
	return r
}

// applyReport adds to a candidate what is believed of its target by its reports, and the learned speed of a
// plain target. s.mu must be held.
func (s *Scheduler) applyReport(j *Job, c *placement.Candidate, target *usableTarget, now clock.Instant) {
	if !s.loads.enabled {
		return
	}
	if j.Service.Engine == nil {
		c.Pace = target.state.slowness
	}
	b := target.belief
	if !b.Has(target.entry.StartMillis, now) {
		return
	}
	e := b.Estimate(c.Load.Running, target.sentSince(b.At(), now), now)
	c.Pace = cmp.Or(c.Pace, 1) * e.Pace
	if j.Service.Engine == nil {
		// A report of an engine is older than its first events show the load to be: counting it made engines seem full,
		// and at nine tenths of their capacity first events came 5 % later in a replay.
		c.Load.Running = e.Running
	}
	if e.Waiting > 0 {
		c.Queued = time.Duration(e.Waiting * float64(s.timePerWaiting(j, c, b)))
	}
}

// timePerWaiting returns the time that passes, at the usual pace, for each request that waits at a target. s.mu
// must be held.
func (s *Scheduler) timePerWaiting(j *Job, c *placement.Candidate, b *loadreport.Belief) time.Duration {
	if j.Service.Engine == nil {
		// The requests at the target count among those that run, but by c.Slots, which is plainSlotFactor times
		// its slots. This is the rest.
		return s.loads.times.Service(j.Service.ID) * (plainSlotFactor - 1) / time.Duration(max(c.Slots, 1))
	}
	return cmp.Or(s.loads.runTimes[j.Service.ID], initialRunTime) / time.Duration(max(b.Slots(), 1))
}

// sentSince returns the number of requests that this instance sent to a target and that a report which it made at
// the given time cannot count: they had not arrived. Those that have ended meanwhile do not count.
func (t *usableTarget) sentSince(at, now clock.Instant) int {
	return min(t.state.starts.Count(now.Sub(at)+t.distance/2, now), t.state.ownLoad.Running)
}

// noteStart notes in a placement what its observations rest on. s.mu must be held.
func (s *Scheduler) noteStart(p *Placement, target *usableTarget, c placement.Candidate, now clock.Instant) {
	if !s.loads.enabled {
		return
	}
	p.distance, p.queueFactor = target.distance, 1
	if slots := target.entry.Slots; slots > 0 && c.Load.Running >= slots {
		// With all slots in use, the call waits until those before it have begun, and for a slot.
		p.queueFactor += float64(c.Load.Running-slots+1) / float64(slots)
	}
	if b := target.belief; b.Has(p.Target.StartMillis, now) {
		p.Reported, p.ReportAge, p.Pace = true, now.Sub(b.At()), c.Pace
		p.paceAtStart, _ = b.Recent(p.Target.StartMillis, recentPace, now)
	}
}

// LoadObservation is what a response says of its target's load.
type LoadObservation struct {
	// Report is nil if the response has none that can be used. Odd is set if it has one that cannot.
	Report *loadreport.Report
	Odd    bool
	// Ran reports whether the target ran the request.
	Ran bool
}

// ObserveLoad records what a response to the placed request says of the target's load, and for a plain service
// the time that the target took. It must be called when the response's head has arrived; further calls have no
// effect. It reports whether a response without a usable report is to be logged: the first one of each start of
// the target, unless the header is missing and the target has never reported.
func (p *Placement) ObserveLoad(o LoadObservation) bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.responded || !s.loads.enabled {
		return false
	}
	p.responded = true
	now := s.options.Now()
	if e, listed := s.inventory.Get(p.Target.ID); !listed || e.StartMillis != p.Target.StartMillis {
		return false
	}
	l := &s.loads
	logged := false
	if o.Report != nil {
		// The response has been under way for half a round trip, and waited for this instance's processor.
		at := now.Add(-p.distance/2 - s.processor.Delay)
		l.reports.Observe(p.Target.ID, p.Target.StartMillis, *o.Report, at)
	} else if reports := l.reports.ObserveNone(p.Target.ID, p.Target.StartMillis, o.Odd); reports || o.Odd {
		start, known := l.odd[p.Target.ID]
		logged = !known || start != p.Target.StartMillis
		l.odd[p.Target.ID] = p.Target.StartMillis
	}
	if o.Ran && p.job.Service.Engine == nil && s.processor.Delay < maxObservedDelay {
		if took, ok := s.atUsualPace(p, now.Sub(p.started)-p.distance, now); ok {
			l.times.Observe(p.job.Service.ID, p.Target.ID, p.Target.StartMillis, time.Duration(float64(took)/p.queueFactor), now)
		}
	}
	return logged
}

// atUsualPace returns how long something that the placed request has taken would have taken at the usual pace. It
// returns false if the pace changed meanwhile. Without it the same slowness would count twice, as the target's
// speed and as its pace. s.mu must be held.
func (s *Scheduler) atUsualPace(p *Placement, took time.Duration, now clock.Instant) (time.Duration, bool) {
	if !s.loads.enabled {
		return took, true
	}
	pace, ok := s.loads.reports.Of(p.Target.ID).Recent(p.Target.StartMillis, recentPace, now)
	if !ok {
		return took, p.paceAtStart == 0
	}
	if p.paceAtStart != 0 && math.Abs(math.Log(pace/p.paceAtStart)) > math.Log(steadyPace) {
		return 0, false
	}
	return time.Duration(float64(took) / pace), true
}

// observeRunTime adds the time of a completed request of an engine to the mean of its service. s.mu must be held.
func (s *Scheduler) observeRunTime(p *Placement, o Outcome, now clock.Instant) {
	if o != Completed || p.continues || !s.loads.enabled || p.job.Service.Engine == nil || s.processor.Delay >= maxObservedDelay {
		return
	}
	mean := cmp.Or(s.loads.runTimes[p.job.Service.ID], initialRunTime)
	took := min(now.Sub(p.started), maxRunTime)
	s.loads.runTimes[p.job.Service.ID] = mean + time.Duration(runTimeWeight*float64(took-mean))
}

// shareLoads adds the reports of targets to a heartbeat. One from a relay that is the receiver's second source
// has none: the first has the same. s.mu must be held.
func (s *Scheduler) shareLoads(hb *wire.Heartbeat, peer fleet.InstanceID, scope wire.Scope, now clock.Instant) {
	if s.loads.enabled && !hb.Standby {
		hb.LoadReports = s.loads.reports.Share(peer, scope, now)
	}
}

// mergeLoads adds the reports of a heartbeat. s.mu must be held.
func (s *Scheduler) mergeLoads(from wire.Hello, hb *wire.Heartbeat, now clock.Instant) {
	if !s.loads.enabled || len(hb.LoadReports) == 0 {
		return
	}
	s.loads.reports.Merge(from, hb.Scope, hb.LoadReports, func(id fleet.TargetID) (int64, bool) {
		if e, ok := s.inventory.Get(id); ok {
			return e.StartMillis, true
		}
		return 0, false
	}, now)
}

// LoadState is what this instance knows of the load of targets by their reports.
type LoadState struct {
	loadreport.Counters
	loadreport.Summary
	// ServiceMillis holds the learned processing times of plain services in milliseconds.
	ServiceMillis map[fleet.ServiceID]float64 `json:"service_ms"`
}

// LoadState returns what is known of the load of targets.
func (s *Scheduler) LoadState() LoadState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := LoadState{
		Counters: s.loads.reports.Counters, Summary: s.loads.reports.Summary(s.options.Now()),
		ServiceMillis: make(map[fleet.ServiceID]float64),
	}
	for _, id := range s.loads.times.Services() {
		state.ServiceMillis[id] = float64(s.loads.times.Service(id).Microseconds()) / 1000
	}
	return state
}
