// Package speed estimates how fast each engine prefills prompts, from the times to the first
// events of its answers.
//
// The load that it answers: engines of one service differ in speed, the services of two
// deployments more so, and an engine may turn slow and recover. A wait that is computed from a
// fixed speed refuses work that a fast engine could take, and sends work to a slow one.
//
// Estimator: an answer whose first event came after t, when n tokens were to be prefilled up to
// it (those of other requests ahead of it included), shows the speed n/t. Work that peers started
// since their last reports only makes it look lower, so that the speed of a service is the quantile
// fastQuantile of what its answers show, tracked by steps of a constant ratio. An engine differs
// from its service by the ratio of two decayed means, its own and the median of all engines', in
// which that work cancels; it counts only beyond minRatio.
//
// Bias: t includes the network and the engine's own time for a first event, some 10 ms, so that
// speeds are estimated low by a tenth for prompts of 100 ms. Parts that an engine holds and nobody
// knows of make it look faster in the few answers above the quantile.
//
// The package does no I/O and reads no clock. An Estimator must not be used concurrently.
package speed

import (
	"math"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Constants of the estimates.
const (
	// fastQuantile is the quantile of the speeds that answers show which is taken for the
	// service's, quantileStep the logarithm of the ratio by which one answer changes it at most.
	fastQuantile = 0.85
	quantileStep = 0.04
	// halfLife is the time in which the weight of an observation in a mean halves.
	halfLife = 4 * time.Second
	// enginePrior is the weight of an engine's starting value, its service's mean, in tokens.
	enginePrior = 20_000
	// minTokens is the number of tokens below which the time to the first event says little of
	// the speed.
	minTokens = 1500
	// maxTime is the longest time to a first event that counts.
	maxTime = 20 * time.Second
	// maxRatio bounds an estimate: it stays within this factor of the assumed speed, and of the
	// service's speed for an engine.
	maxRatio = 8
	// minRatio is the factor within which an engine counts as one of its service's speed.
	minRatio = 1.5
	// maxEngines bounds the engines tracked.
	maxEngines = 4096
)

// Estimator holds the estimates of one instance.
type Estimator struct {
	// assumed is the speed of a service without observations, in tokens a millisecond.
	assumed  float64
	services map[fleet.ServiceID]*service
	engines  map[fleet.TargetID]*engine
}

// service is the state of the engines of one service together.
type service struct {
	// fast is the logarithm of the quantile's ratio to the assumed speed.
	fast float64
	// median is the median of the engines' means at the last Refresh, 0 if there is none.
	median float64
}

// sums are decayed sums of observations.
type sums struct {
	tokens, millis float64
	at             clock.Instant
}

// engine is the state of one start of an engine.
type engine struct {
	sums
	service     fleet.ServiceID
	startMillis int64
	// odd is set once an odd observation was reported.
	odd bool
}

// New returns an estimator that assumes a speed, in tokens a millisecond, until it is told more.
func New(assumed float64) *Estimator {
	return &Estimator{assumed: assumed, services: make(map[fleet.ServiceID]*service), engines: make(map[fleet.TargetID]*engine)}
}

// Observe adds the time to the first event of an answer, until which the given start of an engine
// had to prefill a number of tokens. It returns false for the first odd time of that start, which,
// like all odd ones, changes no estimate.
func (e *Estimator) Observe(serviceID fleet.ServiceID, id fleet.TargetID, startMillis int64, tokens int, took time.Duration, now clock.Instant) bool {
	n := e.engines[id]
	if n == nil || n.startMillis != startMillis {
		if n == nil && len(e.engines) >= maxEngines {
			return true
		}
		n = &engine{service: serviceID, startMillis: startMillis}
		e.engines[id] = n
	}
	if took <= 0 || took > maxTime {
		first := !n.odd
		n.odd = true
		return !first
	}
	if tokens < minTokens {
		return true
	}
	s := e.services[serviceID]
	if s == nil {
		s = &service{}
		e.services[serviceID] = s
	}
	// An observation outside the bounds counts as one at the bound.
	millis := took.Seconds() * 1000
	ratio := bounded(float64(tokens)/millis, e.assumed) / e.assumed
	if math.Log(ratio) > s.fast {
		s.fast += quantileStep * fastQuantile
	} else {
		s.fast -= quantileStep * (1 - fastQuantile)
	}
	s.fast = min(max(s.fast, -math.Log(maxRatio)), math.Log(maxRatio))
	millis = float64(tokens) / (ratio * e.assumed)
	n.add(float64(tokens), millis, now)
	return true
}

// add decays the sums to now and adds an observation.
func (s *sums) add(tokens, millis float64, now clock.Instant) {
	weight := s.weight(now)
	s.tokens, s.millis = s.tokens*weight+tokens, s.millis*weight+millis
	s.at = max(s.at, now)
}

// weight returns the weight at now of what was added up to s.at.
func (s *sums) weight(now clock.Instant) float64 {
	return math.Exp2(-max(now.Sub(s.at), 0).Seconds() / halfLife.Seconds())
}

// Service returns the speed of a service, in tokens a millisecond. It does not age: what is known
// of a service stays the best guess.
func (e *Estimator) Service(id fleet.ServiceID) float64 {
	s := e.services[id]
	if s == nil {
		return e.assumed
	}
	return e.assumed * math.Exp(s.fast)
}

// Engine returns the speed of a start of an engine, in tokens a millisecond.
func (e *Estimator) Engine(id fleet.ServiceID, target fleet.TargetID, startMillis int64, now clock.Instant) float64 {
	base := e.Service(id)
	n, s := e.engines[target], e.services[id]
	if n == nil || n.startMillis != startMillis || s == nil || s.median == 0 {
		return base
	}
	weight := n.weight(now)
	ratio := (n.tokens*weight + enginePrior) / (n.millis*weight + enginePrior/s.median) / s.median
	if ratio > 1/minRatio && ratio < minRatio {
		return base
	}
	return bounded(base*ratio, base)
}

// Refresh brings the medians of the services up to date. It must be called now and then.
// O(engines · log engines).
func (e *Estimator) Refresh(now clock.Instant) {
	means := make(map[fleet.ServiceID][]float64)
	for _, n := range e.engines {
		if n.tokens*n.weight(now) >= minTokens {
			means[n.service] = append(means[n.service], n.tokens/n.millis)
		}
	}
	for id, s := range e.services {
		s.median = 0
		if m := means[id]; len(m) > 0 {
			slices.Sort(m)
			s.median = m[len(m)/2]
		}
	}
}

// bounded limits a speed to within maxRatio of another.
func bounded(speed, base float64) float64 { return min(max(speed, base/maxRatio), base*maxRatio) }

// Keep drops the engines that are not listed.
func (e *Estimator) Keep(listed func(fleet.TargetID) bool) {
	for id := range e.engines {
		if !listed(id) {
			delete(e.engines, id)
		}
	}
}
