package limit

import (
	"slices"
	"time"
)

const (
	// sampleStep is the time resolution at which a report is compared with known work.
	sampleStep = 100 * time.Millisecond
	// sampleRetention is how long samples and ended work are kept.
	sampleRetention = peakBuckets * time.Second
)

// runningSample is the running work of an entry on a target, from one heartbeat.
type runningSample struct {
	// sent is the earliest time at which the heartbeat can have been sent.
	sent, received time.Time
	count          int
	// started is an upper bound of the work in count that was not in the sample before.
	started int
}

// endedWork is a request that this instance ran as an entry, from use to end.
type endedWork struct{ used, ended time.Time }

// addSample keeps a sample of p and drops those older than sampleRetention.
func (t *target) addSample(p *peer, s runningSample) {
	if t.samples == nil {
		t.samples = make(map[*peer][]runningSample)
	}
	kept := slices.DeleteFunc(t.samples[p], func(old runningSample) bool {
		return s.received.Sub(old.received) > sampleRetention
	})
	t.samples[p] = append(kept, s)
}

// pruneSamples drops the samples and the ended work that are no longer needed.
func (t *target) pruneSamples(now time.Time) {
	if t.uncertain() == 0 {
		t.samples = nil
		t.ended = nil
		return
	}
	t.ended = slices.DeleteFunc(t.ended, func(w endedWork) bool {
		return now.Sub(w.ended) > sampleRetention
	})
}

// leastRunning returns a lower bound of the known work that ran on the target when the
// reading's figures were true, which may be any time in its interval. It allows Margin
// for work to arrive at the target and Margin for its end to become known.
func (l *Ledger) leastRunning(t *target, r reading, now time.Time) int {
	whole := !t.wholeSince.IsZero() && !r.earliest.Before(t.wholeSince)
	least := -1
	for from := r.earliest; !from.After(r.latest); from = from.Add(sampleStep) {
		arrived := from.Add(-l.params.Margin)
		ended := from.Add(sampleStep + l.params.Margin)
		if ended.After(now) {
			return 0
		}
		running := l.ownRunning(t, arrived, ended)
		if whole {
			for p, samples := range t.samples {
				if !p.lost {
					running += runningThrough(samples, arrived, ended)
				}
			}
		}
		if least < 0 || running < least {
			least = running
		}
	}
	return max(0, least)
}

// ownRunning counts the work of this instance as an entry that ran throughout an
// interval.
func (l *Ledger) ownRunning(t *target, from, to time.Time) int {
	count := 0
	if w, ok := l.entry.work[t.ID]; ok {
		for _, permit := range w.permits {
			if !permit.used.IsZero() && !permit.used.After(from) && !permit.ranUntil(to).Before(to) {
				count++
			}
		}
	}
	for _, w := range t.ended {
		if !w.used.After(from) && !w.ended.Before(to) {
			count++
		}
	}
	return count
}

// runningThrough returns a lower bound of an entry's work at any one time within an
// interval: the count of the first sample sent after the interval, less the work that
// may have started since the last sample received before it.
func runningThrough(samples []runningSample, from, to time.Time) int {
	started := 0
	before := false
	for _, s := range samples {
		if !s.received.After(from) {
			before = true
			started = 0
			continue
		}
		started += s.started
		if !s.sent.Before(to) {
			if !before {
				return 0
			}
			return max(0, s.count-started)
		}
	}
	return 0
}
