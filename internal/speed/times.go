package speed

import (
	"maps"
	"math"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Constants of the processing times of plain services.
const (
	// minServiceTime and maxServiceTime bound a processing time.
	minServiceTime = time.Millisecond
	maxServiceTime = time.Second
	// firstStep is the logarithm of the ratio by which the first call changes the median at most. The n-th changes
	// it by firstStep/√n, but by lastStep in any case.
	firstStep = 0.5
	lastStep  = 0.02
	// callHalfLife is the time in which the weight of a call in the mean of its target halves, callPrior the
	// weight of the service's median in that mean, in calls.
	callHalfLife = 10 * time.Second
	callPrior    = 4
	// maxCallRatio is the ratio to the service's median beyond which a call does not count more.
	maxCallRatio = 8
	// minCallRatio is the factor within which a target counts as one of its service's speed.
	minCallRatio = 1.2
	// maxTargets bounds the targets tracked.
	maxTargets = 4096
)

// Times estimates the processing times of calls to plain services, and how long each target takes relative
// to its service.
//
// A service's time is the median of what its calls show, tracked by steps of a constant ratio. A target
// differs from its service by the ratio of two decayed means of logarithms, its own and the median of all
// targets'. A Times must not be used concurrently.
type Times struct {
	initial  time.Duration
	services map[fleet.ServiceID]*serviceTime
	targets  map[fleet.TargetID]*targetTime
}

// serviceTime is the state of one service.
type serviceTime struct {
	// median is the logarithm of the median's ratio to the initial time, calls the number of calls.
	median float64
	calls  int
	// targets is the median of its targets' means at the last Refresh, none if known is not set.
	targets float64
	known   bool
}

// targetTime is the state of one start of a target: decayed sums of the logarithms of the ratios to the
// initial time.
type targetTime struct {
	service     fleet.ServiceID
	startMillis int64
	sum, weight float64
	at          clock.Instant
}

// NewTimes returns an estimator that takes a time for each service until it is told more.
func NewTimes(initial time.Duration) *Times {
	return &Times{initial: initial, services: make(map[fleet.ServiceID]*serviceTime), targets: make(map[fleet.TargetID]*targetTime)}
}

// Observe adds the processing time of one call on a start of a target. A time out of bounds counts as one
// at the bound.
func (t *Times) Observe(service fleet.ServiceID, id fleet.TargetID, startMillis int64, took time.Duration, now clock.Instant) {
	s := t.services[service]
	if s == nil {
		s = &serviceTime{}
		t.services[service] = s
	}
	x := t.ratio(took)
	s.calls++
	step := max(firstStep/math.Sqrt(float64(s.calls)), lastStep)
	// Without this limit a step would pass by the value and swing around it.
	s.median += min(max(x-s.median, -step), step)
	d := t.targets[id]
	if d == nil || d.startMillis != startMillis {
		if d == nil && len(t.targets) >= maxTargets {
			return
		}
		d = &targetTime{service: service, startMillis: startMillis}
		t.targets[id] = d
	}
	weight := d.decay(now)
	limit := math.Log(maxCallRatio)
	d.sum, d.weight = d.sum*weight+min(max(x, s.median-limit), s.median+limit), d.weight*weight+1
	d.at = max(d.at, now)
}

// ratio returns the logarithm of the ratio of a time, within its bounds, to the initial one.
func (t *Times) ratio(took time.Duration) float64 {
	return math.Log(float64(min(max(took, minServiceTime), maxServiceTime)) / float64(t.initial))
}

// decay returns the weight at now of what was added up to d.at.
func (d *targetTime) decay(now clock.Instant) float64 {
	return math.Exp2(-max(now.Sub(d.at), 0).Seconds() / callHalfLife.Seconds())
}

// Service returns the processing time of a service. It does not age: what is known of a service stays the
// best guess.
func (t *Times) Service(id fleet.ServiceID) time.Duration {
	s := t.services[id]
	if s == nil {
		return t.initial
	}
	return time.Duration(float64(t.initial) * math.Exp(s.median))
}

// Services returns the services of which calls were observed, sorted.
func (t *Times) Services() []fleet.ServiceID {
	return slices.Sorted(maps.Keys(t.services))
}

// Target returns how long calls take on a start of a target, as a factor of its service's time.
func (t *Times) Target(service fleet.ServiceID, id fleet.TargetID, startMillis int64, now clock.Instant) float64 {
	d, s := t.targets[id], t.services[service]
	if d == nil || d.startMillis != startMillis || s == nil || !s.known || d.weight == 0 {
		return 1
	}
	weight := d.weight * d.decay(now)
	difference := (d.sum/d.weight - s.targets) * weight / (weight + callPrior)
	if math.Abs(difference) < math.Log(minCallRatio) {
		return 1
	}
	return min(max(math.Exp(difference), 1.0/maxRatio), maxRatio)
}

// Refresh brings the medians over targets up to date. It must be called now and then.
// O(targets · log targets).
func (t *Times) Refresh(now clock.Instant) {
	means := make(map[fleet.ServiceID][]float64)
	for _, d := range t.targets {
		if d.weight*d.decay(now) >= 1 {
			means[d.service] = append(means[d.service], d.sum/d.weight)
		}
	}
	for id, s := range t.services {
		m := means[id]
		if s.known = len(m) > 0; s.known {
			slices.Sort(m)
			s.targets = m[len(m)/2]
		}
	}
}

// Keep drops the state of targets that are not listed.
func (t *Times) Keep(listed func(fleet.TargetID) bool) {
	for id := range t.targets {
		if !listed(id) {
			delete(t.targets, id)
		}
	}
}
