package placement

import (
	"math"
	"slices"
	"time"
)

// modelResult holds the figures of a run after its warm-up.
type modelResult struct {
	worth, possible      float64
	waits                []float64 // ms to the first event
	refused              int
	starts, badStarts    int
	again                float64 // prompt tokens of shared parts that were prefilled again, a second
	overload             float64 // mean work in ms at a target beyond the mean of all
	greatest             float64 // the same for the worst target, mean over the samples
	idle                 float64 // part of the slots idle while a request waits at a target
	samples, waitSamples int
	swing                float64 // mean change of a target's running requests from second to second
	decision             time.Duration
	decisions            int
	seconds              float64
}

func (r *modelResult) decided(d time.Duration) { r.decision += d; r.decisions++ }

func (r *modelResult) readAgain(m *model, tokens int) {
	if m.now >= warmUpMs {
		r.again += float64(tokens)
	}
}

// started counts a start, and whether its target is overloaded while another one is idle.
func (r *modelResult) started(m *model, at int) {
	if m.now < warmUpMs {
		return
	}
	r.starts++
	if len(m.targets[at].waiting) < overloadedWait {
		return
	}
	for _, t := range m.targets {
		if len(t.waiting) == 0 && len(t.running) <= m.slots/2 {
			r.badStarts++
			return
		}
	}
}

func (r *modelResult) answered(m *model, x *modelRequest) {
	if x.arrived < warmUpMs {
		return
	}
	ms := float64(m.now - x.arrived)
	r.waits, r.possible = append(r.waits, ms), r.possible+x.kind.worth
	if ms <= x.kind.aim {
		r.worth += x.kind.worth
	} else {
		r.worth += x.kind.worthLater
	}
}

func (r *modelResult) refuse(m *model, x *modelRequest) {
	if x.arrived >= warmUpMs {
		r.refused++
		r.possible += x.kind.worth
	}
}

// sample is called each millisecond.
func (m *model) sample() {
	if m.now < warmUpMs || m.now%50 != 0 {
		return
	}
	r := &m.result
	work, sum, worst, idle, waiting := make([]float64, len(m.targets)), 0.0, 0.0, 0, 0
	for i, t := range m.targets {
		for _, x := range slices.Concat(t.running, t.waiting) {
			switch {
			case x.kind.service > 0 && x.unread == 0:
				work[i] += x.kind.service / float64(m.slots)
			case x.kind.service > 0:
				work[i] += x.unread / float64(m.slots)
			case x.decode == 0: // not begun
				work[i] += float64(x.kind.own) / modelSpeed
			default:
				work[i] += x.unread / modelSpeed
			}
		}
		work[i] *= float64(t.pace[len(t.pace)-1]) / t.speed
		sum += work[i]
		idle += max(m.slots-len(t.running), 0)
		waiting += len(t.waiting)
	}
	for _, w := range work {
		beyond := max(w-sum/float64(len(work)), 0)
		r.overload += beyond / float64(len(work))
		worst = max(worst, beyond)
	}
	r.greatest += worst
	r.samples++
	if waiting > 0 {
		r.idle += float64(idle) / float64(len(m.targets)*m.slots)
		r.waitSamples++
	}
	if m.now%1000 == 0 {
		row := make([]int, len(m.targets))
		for i, t := range m.targets {
			row[i] = len(t.running) + len(t.waiting)
		}
		m.loads = append(m.loads, row)
	}
}

func (r *modelResult) finish(m *model) {
	slices.Sort(r.waits)
	for i := 1; i < len(m.loads); i++ {
		for j := range m.targets {
			r.swing += math.Abs(float64(m.loads[i][j]-m.loads[i-1][j])) / float64(len(m.targets)*(len(m.loads)-1))
		}
	}
	r.seconds = float64(m.now-warmUpMs) / 1000
	for _, in := range m.instances { // requests that still wait earn nothing
		for _, x := range in.queue {
			r.refuse(m, x)
		}
	}
	r.overload, r.greatest = r.overload/float64(r.samples), r.greatest/float64(r.samples)
	r.idle *= 1 / float64(max(r.waitSamples, 1))
}

func (r *modelResult) quantile(q float64) float64 {
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[min(int(q*float64(len(r.waits))), len(r.waits)-1)]
}
