package experiment

import (
	"fmt"
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/observe"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/report"
)

const (
	// gapWindow is the length of the windows over which the fairness gap is computed,
	// and gapStep the time between their starts.
	gapWindow = 10 * time.Second
	gapStep   = time.Second
	// minBacklog is the number of requests that must wait in every sample for a customer
	// to count as backlogged; a smaller number may be permits in transit.
	minBacklog = 8
	// outageGoal is the time after which a data centre that was taken out of service
	// must get no new work.
	outageGoal = 3 * time.Second
)

// computeResult returns the result of a run.
func (w *testEnv) computeResult(c *recording) report.Result {
	s := w.scenario
	steady := c.between(c.steadyStart, c.steadyEnd)
	waiting := w.waitingAt(c.samples)
	r := report.Result{
		Seed: s.seed, Variant: s.variant.name, Instances: s.instances(), Seconds: s.steady.Seconds(),
		Gap:            w.fairnessGap(c.samples[steady.from:steady.to], waiting[steady.from:steady.to]),
		Utilisation:    utilisation(c.samples[steady.from:steady.to], waiting[steady.from:steady.to]),
		Control:        controlTraffic(c),
		LargeCustomers: w.latency(c, true),
		SmallCustomers: w.latency(c, false),
		Counts:         report.Counts{Excess: c.overLimit, ColdOverloads: c.coldOverloads},
		Service:        w.serviceSeries(c),
	}
	for _, q := range w.records.all {
		switch {
		case q.completed:
			r.Counts.Completed++
		case q.refused:
			r.Counts.Refused++
		case !q.ended.Before(c.loadStopped):
			r.Counts.Unfinished++
		default:
			r.Counts.Other++
			r.Failures = append(r.Failures, fmt.Sprintf("%s: sent %s after the start of the run, ended after %s: %v",
				q.prompt, q.sent.Sub(c.samples[0].at), q.ended.Sub(q.sent), q.failure))
		}
	}
	if s.outage > 0 {
		r.Outage = w.outageResult(c)
	}
	return r
}

// sampleRange is the half-open range [from, to) of sample indexes.
type sampleRange struct{ from, to int }

func (c *recording) between(from, to time.Time) sampleRange {
	s := sampleRange{to: len(c.samples)}
	for i, sample := range c.samples {
		if sample.at.Before(from) {
			s.from = i + 1
		}
		if sample.at.After(to) {
			s.to = i
			break
		}
	}
	return s
}

// waitingAt returns, for each sample and customer, the number of requests that were
// sent, were not refused and had not reached an engine.
func (w *testEnv) waitingAt(samples []sample) [][]int {
	counts := make([][]int, len(samples)+1)
	for i := range counts {
		counts[i] = make([]int, len(w.customers))
	}
	begin := samples[0].at
	index := func(at time.Time) int {
		i := int((at.Sub(begin) + sampleStep - 1) / sampleStep)
		return min(max(i, 0), len(samples))
	}
	for _, r := range w.records.all {
		until := r.arrived
		if until.IsZero() {
			until = r.ended
		}
		counts[index(r.sent)][r.customer]++
		counts[index(until)][r.customer]--
	}
	for i := 1; i < len(counts); i++ {
		for j := range counts[i] {
			counts[i][j] += counts[i-1][j]
		}
	}
	return counts[:len(samples)]
}

// fairnessGap computes the gap in service between customers that were backlogged
// throughout a window. Every request can run on every engine.
func (w *testEnv) fairnessGap(samples []sample, waiting [][]int) report.Gap {
	const length, step = int(gapWindow / sampleStep), int(gapStep / sampleStep)
	g := report.Gap{WindowSeconds: gapWindow.Seconds()}
	var gaps, fractions []float64
	for from := 0; from+length < len(samples); from += step {
		var window []observe.Backlogged
		var service, share float64
		for i, c := range w.customers {
			if !backlogged(waiting[from:from+length+1], i) {
				continue
			}
			got := samples[from+length].service[i] - samples[from].service[i]
			window = append(window, observe.Backlogged{Customer: c.ID, Share: float64(c.Share), Service: fleet.Cost(got)})
			service += float64(got)
			share += float64(c.Share)
		}
		if len(window) < 2 {
			continue
		}
		gap := observe.Gap(window).Gap
		gaps = append(gaps, gap)
		fractions = append(fractions, gap/(service/share))
	}
	g.Windows = len(gaps)
	g.Max, g.P95 = report.Quantile(gaps, 1), report.Quantile(gaps, 0.95)
	g.MaxFraction, g.P95Fraction = report.Quantile(fractions, 1), report.Quantile(fractions, 0.95)
	g.Worst = observe.WorstGap(w.histories(samples, waiting)).Gap
	return g
}

func backlogged(waiting [][]int, customer int) bool {
	for _, at := range waiting {
		if at[customer] < minBacklog {
			return false
		}
	}
	return true
}

func (w *testEnv) histories(samples []sample, waiting [][]int) []observe.History {
	all := make([]observe.History, len(w.customers))
	for i, c := range w.customers {
		h := observe.History{Customer: c.ID, Share: float64(c.Share)}
		for k, s := range samples {
			h.Service = append(h.Service, fleet.Cost(s.service[i]))
			h.Backlogged = append(h.Backlogged, waiting[k][i] >= minBacklog)
		}
		all[i] = h
	}
	return all
}

// utilisation returns the fraction of slots in use over the samples with waiting requests.
func utilisation(samples []sample, waiting [][]int) report.Utilisation {
	busy, slots, loaded := 0, 0, 0
	for k, s := range samples {
		total := 0
		for _, n := range waiting[k] {
			total += n
		}
		if total < minBacklog {
			continue
		}
		loaded++
		for _, n := range s.running {
			busy += min(n, engineLimit)
			slots += engineLimit
		}
	}
	return report.Utilisation{
		Busy:    float64(busy) / float64(max(1, slots)),
		Waiting: float64(loaded) / float64(len(samples)),
	}
}

// controlTraffic returns the control traffic of the steady phase, per instance and
// second.
func controlTraffic(c *recording) report.Control {
	var r report.Control
	seconds := c.steadyEnd.Sub(c.steadyStart).Seconds()
	instances := float64(len(c.countersAfter))
	for id, after := range c.countersAfter {
		own := 0.0
		for scope, traffic := range after.Scopes {
			before := c.countersBefore[id].Scopes[scope]
			rate := float64(traffic.BytesSent-before.BytesSent) / seconds
			own += rate
			r.Messages += float64(traffic.MessagesSent-before.MessagesSent) / seconds / instances
			switch scope {
			case peer.ScopeDataCentre:
				r.DataCentre += rate / instances
			case peer.ScopeRegion:
				r.Region += rate / instances
			case peer.ScopeCrossRegion:
				r.CrossRegion += rate / instances
			}
		}
		r.Mean += own / instances
		r.Max = max(r.Max, own)
	}
	return r
}

// latency returns the latencies, as measured by the callers of large or small
// customers, of the completed requests that were sent in the steady phase.
func (w *testEnv) latency(c *recording, large bool) report.Latency {
	var wait, first, between []time.Duration
	for _, r := range w.records.all {
		if w.customers[r.customer].large != large || r.sent.Before(c.steadyStart) || !r.sent.Before(c.steadyEnd) {
			continue
		}
		if !r.completed || r.arrived.IsZero() {
			continue
		}
		wait = append(wait, r.arrived.Sub(r.sent))
		first = append(first, r.timeToFirstToken)
		if rest := r.tokens - tokensPerFrame; rest > 0 {
			between = append(between, (r.ended.Sub(r.sent)-r.timeToFirstToken)/time.Duration(rest))
		}
	}
	return report.Latency{
		Requests:          len(wait),
		Waiting:           report.QuantilesOf(wait),
		TimeToFirstToken:  report.QuantilesOf(first),
		InterTokenLatency: report.QuantilesOf(between),
	}
}

// serviceSeries returns the service of each customer in each second, divided by its share.
func (w *testEnv) serviceSeries(c *recording) report.Series {
	const step = int(time.Second / sampleStep)
	s := report.Series{StepSeconds: 1}
	for i, customer := range w.customers {
		line := report.Line{Name: string(customer.ID)}
		for k := step; k < len(c.samples); k += step {
			got := c.samples[k].service[i] - c.samples[k-step].service[i]
			line.Values = append(line.Values, float64(got)/float64(customer.Share))
		}
		s.Lines = append(s.Lines, line)
	}
	begin := c.samples[0].at
	s.Marks = []report.Mark{{Name: "steady", At: c.steadyStart.Sub(begin).Seconds()}}
	if !c.outageStart.IsZero() {
		s.Marks = append(s.Marks, report.Mark{Name: "out", At: c.outageStart.Sub(begin).Seconds()},
			report.Mark{Name: "back", At: c.outageEnd.Sub(begin).Seconds()})
	}
	return s
}

// outageResult measures the effects of the planned outage of a data centre.
func (w *testEnv) outageResult(c *recording) *report.Outage {
	var o report.Outage
	for _, at := range c.arrivals[centreID(outageIndex)] {
		switch {
		case at.Before(c.outageStart):
			if !at.Before(c.steadyStart) {
				o.ArrivalsSteady++
			}
			if c.outageStart.Sub(at) <= outageGoal {
				o.ArrivalsBefore++
			}
		case at.Before(c.outageEnd):
			o.LastArrival = max(o.LastArrival, at.Sub(c.outageStart).Seconds())
			if at.Sub(c.outageStart) > outageGoal {
				o.ArrivalsAfterGoal++
			}
		default:
			if since := at.Sub(c.outageEnd).Seconds(); o.FirstArrival == 0 || since < o.FirstArrival {
				o.FirstArrival = since
			}
		}
	}
	for _, r := range w.records.all {
		if !r.completed && !r.refused && r.ended.Before(c.loadStopped) {
			o.Cut++
		}
	}
	o.FullyBusy = w.timeToFullyBusy(c)
	w.addLocalService(c, &o)
	return &o
}

// timeToFullyBusy returns the seconds from the end of the outage until 90 % (9 of 10)
// of the slots of the data centre are busy, or -1 if that does not happen.
func (w *testEnv) timeToFullyBusy(c *recording) float64 {
	for _, s := range c.samples {
		if s.at.Before(c.outageEnd) {
			continue
		}
		busy, slots := 0, 0
		for i, e := range w.fleet.Engines {
			if e.DataCentre == centreID(outageIndex) {
				busy += s.running[i]
				slots += engineLimit
			}
		}
		if busy*10 >= slots*9 {
			return s.at.Sub(c.outageEnd).Seconds()
		}
	}
	return -1
}

// addLocalService sets in o the service of the customers whose callers are near the
// data centre, for each second of its outage, as a fraction of their service before
// the outage times the fraction of engines that remain.
func (w *testEnv) addLocalService(c *recording, o *report.Outage) {
	const second = int(time.Second / sampleStep)
	before, during := c.between(c.steadyStart, c.outageStart), c.between(c.outageStart, c.outageEnd)
	left := 0.0
	for _, e := range w.fleet.Engines {
		if e.DataCentre != centreID(outageIndex) {
			left += 1 / float64(len(w.fleet.Engines))
		}
	}
	mean := w.localService(c, before) / float64(before.to-before.from) * float64(second)
	o.MinService = math.Inf(1)
	for k := during.from; k+second < during.to; k++ {
		part := w.localService(c, sampleRange{k, k + second}) / (mean * left)
		o.MinService = min(o.MinService, part)
		if part < recoveredFraction {
			o.ServiceRecovery = c.samples[k+second].at.Sub(c.outageStart).Seconds()
		}
	}
}

// recoveredFraction is the fraction of the expected service from which on customers count as served again.
const recoveredFraction = 0.9

// localService returns the service, within s, of the customers whose callers are near the data centre.
func (w *testEnv) localService(c *recording, s sampleRange) float64 {
	got := int64(0)
	last := min(s.to, len(c.samples)-1)
	for i, customer := range w.customers {
		if customer.homes[0] == outageIndex {
			got += c.samples[last].service[i] - c.samples[s.from].service[i]
		}
	}
	return float64(got)
}
