package loadreport

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
)

// Constants of a belief.
const (
	// momentaryHalfLife is the age at which the pace and the waiting requests of a report count half: machines
	// are slow for 600 ms at a time, so that at a random moment of that 300 ms of it are left.
	momentaryHalfLife = 300 * time.Millisecond
	// meanPeriod is the time over which the mean pace is kept, some cycles of slow and usual pace. Without
	// reports the mean returns to the usual pace in that time.
	meanPeriod = 10 * time.Second
	// maxStep is the longest time for which one report stands in the mean: a machine seldom keeps a momentary
	// pace for longer.
	maxStep = 500 * time.Millisecond
	// minMean is the factor within which a mean counts as the usual pace: of a machine that is 2.5 times slower for
	// 15 % of the time it is 1.2 but swings, and machines differed by chance alone.
	minMean = 1.5
	// runFraction is the part of a momentary difference that is left on average while a request waits and is
	// prefilled, for a third of a second.
	runFraction = 0.7
	// forgottenAfter is the age from which a report is not used any more.
	forgottenAfter = 30 * time.Second
	// maxFactor bounds the effect of a pace, as that of a learned speed is bounded, so that a target that reports
	// odd figures does not draw all requests.
	maxFactor = 8
)

// Belief is what is held of the load of one target, by the reports of its current start. The zero value is one
// without reports.
type Belief struct {
	startMillis int64
	last        Report
	// at is when the target made the last report, 0 if there is none.
	at clock.Instant
	// mean is the mean pace up to at, as a factor.
	mean float64
}

// observe replaces the last report by one that was made at the given time, unless that is older, or of an
// earlier start of the target. It reports whether it did.
func (b *Belief) observe(startMillis int64, r Report, at clock.Instant) bool {
	switch {
	case startMillis < b.startMillis, startMillis == b.startMillis && b.at != 0 && at <= b.at:
		return false
	case startMillis > b.startMillis || b.at == 0:
		*b = Belief{startMillis: startMillis, mean: 1}
	}
	if r.Pace > 0 {
		step := maxStep
		if b.at != 0 {
			step = min(at.Sub(b.at), maxStep)
		}
		mean := b.meanAt(at)
		b.mean = mean + (pace(r)-mean)*(1-math.Exp(-step.Seconds()/meanPeriod.Seconds()))
	}
	b.last, b.at = r, at
	return true
}

// meanAt returns the mean pace, which returns to the usual one while there are no reports for longer than maxStep.
func (b *Belief) meanAt(now clock.Instant) float64 {
	silent := now.Sub(b.at) - maxStep
	if silent <= 0 {
		return b.mean
	}
	return 1 + (b.mean-1)*math.Exp(-silent.Seconds()/meanPeriod.Seconds())
}

// pace returns the pace of a report as a factor, within maxFactor of the usual.
func pace(r Report) float64 { return min(max(float64(r.Pace)/UsualPace, 1.0/maxFactor), maxFactor) }

// Has reports whether there is a report of the given start of the target that states a pace and is not too old.
// Only such a report may affect choices.
func (b *Belief) Has(startMillis int64, now clock.Instant) bool {
	return b.at != 0 && b.startMillis == startMillis && b.last.Pace > 0 && now.Sub(b.at) < forgottenAfter
}

// Recent returns the pace of the last report of the given start, as a factor, if it is not older than maxAge.
func (b *Belief) Recent(startMillis int64, maxAge time.Duration, now clock.Instant) (float64, bool) {
	if !b.Has(startMillis, now) || now.Sub(b.at) > maxAge {
		return 0, false
	}
	return pace(b.last), true
}

// Last returns the last report.
func (b *Belief) Last() Report { return b.last }

// Slots returns the slots of the last report.
func (b *Belief) Slots() int { return b.last.Slots }

// At returns when the target made the last report.
func (b *Belief) At() clock.Instant { return b.at }

// Estimate is the estimated load of a target.
type Estimate struct {
	// Pace is how long work that is sent now will take, as a factor of the usual.
	Pace float64
	// Waiting is the number of requests that wait at the target.
	Waiting float64
	// Running is the number of requests at the target, those that wait included.
	Running int
	// Age is the time since the target made the report.
	Age time.Duration
}

// Estimate returns the load of the target now. known is the number of requests that the fleet is known to have
// there, and sent the number that this instance sent there which the last report cannot count. With its age the
// report counts less beside what is known. Has must be true.
func (b *Belief) Estimate(known, sent int, now clock.Instant) Estimate {
	age := max(now.Sub(b.at), 0)
	weight := math.Exp2(-age.Seconds() / momentaryHalfLife.Seconds())
	mean := b.meanAt(now)
	if mean > 1/minMean && mean < minMean {
		mean = 1
	}
	e := Estimate{Pace: mean + (pace(b.last)-mean)*weight*runFraction, Waiting: weight * float64(b.last.Waiting), Running: known, Age: age}
	// What peers run is known late. A report that counts fewer requests may have been overtaken by theirs.
	if more := b.last.atTarget() + sent - known; more > 0 {
		e.Running += int(weight*float64(more) + 0.5)
	}
	return e
}
