package clock

import (
	"math"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// schedulingMetric is the histogram of the times that goroutines were ready to run before they ran.
const schedulingMetric = "/sched/latencies:seconds"

// SchedulingDelay measures how long goroutines of this process wait for the processor. It must not
// be used concurrently.
type SchedulingDelay struct {
	sample [1]metrics.Sample
	before []uint64
}

// NewSchedulingDelay returns a measurement that begins now.
func NewSchedulingDelay() *SchedulingDelay {
	d := &SchedulingDelay{}
	d.sample[0].Name = schedulingMetric
	d.Mean()
	return d
}

// Mean returns the mean wait since the last call, 0 if no goroutine has waited.
func (d *SchedulingDelay) Mean() time.Duration {
	metrics.Read(d.sample[:])
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := d.sample[0].Value.Float64Histogram()
	if len(d.before) != len(h.Counts) {
		d.before = make([]uint64, len(h.Counts))
	}
	waited, count := 0.0, uint64(0)
	for i, n := range h.Counts {
		if added := n - d.before[i]; added > 0 {
			count += added
			waited += float64(added) * middle(h.Buckets[i], h.Buckets[i+1])
		}
	}
	copy(d.before, h.Counts)
	if count == 0 {
		return 0
	}
	return time.Duration(waited / float64(count) * float64(time.Second))
}

// middle returns the middle of a bucket, or its finite bound.
func middle(low, high float64) float64 {
	switch {
	case math.IsInf(low, 0):
		return high
	case math.IsInf(high, 0):
		return low
	}
	return (low + high) / 2
}

// ProcessorTime returns the processor time that this process has used.
func ProcessorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
