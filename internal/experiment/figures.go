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
	// gapWindow is the length of the windows of the fairness gap, and gapStep the time
	// between their starts.
	gapWindow = 10 * time.Second
	gapStep   = time.Second
	// backlog is how many requests of a customer must wait at every sample for it to
	// count as backlogged; fewer may be permits on their way.
	backlog = 8
	// outageGoal is when a data centre that was taken out must get no new work.
	outageGoal = 3 * time.Second
)

// figures computes the result of a run.
func (w *world) figures(c *course) report.Result {
	s := w.scenario
	steady := c.between(c.begin, c.end)
	waiting := w.waitingAt(c.samples)
	r := report.Result{
		Seed: s.seed, Variant: s.variant.name, Instances: s.instances(), Seconds: s.steady.Seconds(),
		Gap:            w.gap(c.samples[steady.from:steady.to], waiting[steady.from:steady.to]),
		Utilisation:    utilisation(c.samples[steady.from:steady.to], waiting[steady.from:steady.to]),
		Control:        control(c),
		LargeCustomers: w.latency(c, true),
		SmallCustomers: w.latency(c, false),
		Counts:         report.Counts{Excess: c.excess, ColdOverloads: c.cold},
		Service:        w.series(c),
	}
	for _, q := range w.records.all {
		switch {
		case q.whole:
			r.Counts.Completed++
		case q.refused:
			r.Counts.Refused++
		case !q.ended.Before(c.stopped):
			r.Counts.Unfinished++
		default:
			r.Counts.Other++
			r.Failures = append(r.Failures, fmt.Sprintf("%s: sent %s into the run, ended after %s: %v",
				q.prompt, q.sent.Sub(c.samples[0].at), q.ended.Sub(q.sent), q.failure))
		}
	}
	if s.outage > 0 {
		r.Outage = w.outage(c)
	}
	return r
}

// span is a range of samples.
type span struct{ from, to int }

func (c *course) between(from, to time.Time) span {
	s := span{to: len(c.samples)}
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

// waitingAt counts, at each sample, each customer's requests that were sent, were
// not refused and had not reached an engine.
func (w *world) waitingAt(samples []sample) [][]int {
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

// gap compares customers that were backlogged over windows. All work can run on any
// engine.
func (w *world) gap(samples []sample, waiting [][]int) report.Gap {
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
		if at[customer] < backlog {
			return false
		}
	}
	return true
}

func (w *world) histories(samples []sample, waiting [][]int) []observe.History {
	all := make([]observe.History, len(w.customers))
	for i, c := range w.customers {
		h := observe.History{Customer: c.ID, Share: float64(c.Share)}
		for k, s := range samples {
			h.Service = append(h.Service, fleet.Cost(s.service[i]))
			h.Backlogged = append(h.Backlogged, waiting[k][i] >= backlog)
		}
		all[i] = h
	}
	return all
}

// utilisation is the share of slot time in use while requests waited.
func utilisation(samples []sample, waiting [][]int) report.Utilisation {
	busy, slots, loaded := 0, 0, 0
	for k, s := range samples {
		total := 0
		for _, n := range waiting[k] {
			total += n
		}
		if total < backlog {
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

// control is the traffic of the steady phase for each instance and second.
func control(c *course) report.Control {
	var r report.Control
	seconds := c.end.Sub(c.begin).Seconds()
	instances := float64(len(c.after))
	for id, after := range c.after {
		own := 0.0
		for scope, traffic := range after.Scopes {
			before := c.before[id].Scopes[scope]
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

// latency is what callers of large or small customers saw of whole answers to
// requests that they sent in the steady phase.
func (w *world) latency(c *course, large bool) report.Latency {
	var wait, first, between []time.Duration
	for _, r := range w.records.all {
		if w.customers[r.customer].large != large || r.sent.Before(c.begin) || !r.sent.Before(c.end) {
			continue
		}
		if !r.whole || r.arrived.IsZero() {
			continue
		}
		wait = append(wait, r.arrived.Sub(r.sent))
		first = append(first, r.first)
		if rest := r.tokens - tokensPerFrame; rest > 0 {
			between = append(between, (r.ended.Sub(r.sent)-r.first)/time.Duration(rest))
		}
	}
	return report.Latency{
		Requests:          len(wait),
		Waiting:           report.QuantilesOf(wait),
		TimeToFirstToken:  report.QuantilesOf(first),
		InterTokenLatency: report.QuantilesOf(between),
	}
}

// series is the service of each customer in each second, for one share.
func (w *world) series(c *course) report.Series {
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
	s.Marks = []report.Mark{{Name: "steady", At: c.begin.Sub(begin).Seconds()}}
	if !c.out.IsZero() {
		s.Marks = append(s.Marks, report.Mark{Name: "out", At: c.out.Sub(begin).Seconds()},
			report.Mark{Name: "back", At: c.back.Sub(begin).Seconds()})
	}
	return s
}

// outage is what the planned absence of a data centre did.
func (w *world) outage(c *course) *report.Outage {
	var o report.Outage
	for _, at := range c.arrivals[centreID(outIndex)] {
		switch {
		case at.Before(c.out):
			if !at.Before(c.begin) {
				o.ArrivalsSteady++
			}
			if c.out.Sub(at) <= outageGoal {
				o.ArrivalsBefore++
			}
		case at.Before(c.back):
			o.LastArrival = max(o.LastArrival, at.Sub(c.out).Seconds())
			if at.Sub(c.out) > outageGoal {
				o.ArrivalsAfterGoal++
			}
		default:
			if since := at.Sub(c.back).Seconds(); o.FirstArrival == 0 || since < o.FirstArrival {
				o.FirstArrival = since
			}
		}
	}
	for _, r := range w.records.all {
		if !r.whole && !r.refused && r.ended.Before(c.stopped) {
			o.Cut++
		}
	}
	o.FullyBusy = w.fullAgain(c)
	w.nearService(c, &o)
	return &o
}

// fullAgain is the time until 9 of 10 slots of the data centre are busy again.
func (w *world) fullAgain(c *course) float64 {
	for _, s := range c.samples {
		if s.at.Before(c.back) {
			continue
		}
		busy, slots := 0, 0
		for i, e := range w.fleet.Engines {
			if e.DataCentre == centreID(outIndex) {
				busy += s.running[i]
				slots += engineLimit
			}
		}
		if busy*10 >= slots*9 {
			return s.at.Sub(c.back).Seconds()
		}
	}
	return -1
}

// nearService fills in the service of customers that call near the data centre, in
// each second of its absence, as a part of what they had before times the share of
// engines that are left.
func (w *world) nearService(c *course, o *report.Outage) {
	const second = int(time.Second / sampleStep)
	before, during := c.between(c.begin, c.out), c.between(c.out, c.back)
	left := 0.0
	for _, e := range w.fleet.Engines {
		if e.DataCentre != centreID(outIndex) {
			left += 1 / float64(len(w.fleet.Engines))
		}
	}
	mean := w.nearGot(c, before) / float64(before.to-before.from) * float64(second)
	o.MinService = math.Inf(1)
	for k := during.from; k+second < during.to; k++ {
		part := w.nearGot(c, span{k, k + second}) / (mean * left)
		o.MinService = min(o.MinService, part)
		if part < serviceBack {
			o.ServiceRecovery = c.samples[k+second].at.Sub(c.out).Seconds()
		}
	}
}

// serviceBack is the part of their former service at which customers are served again.
const serviceBack = 0.9

// nearGot is the service of customers that call near the data centre within a span.
func (w *world) nearGot(c *course, s span) float64 {
	got := int64(0)
	last := min(s.to, len(c.samples)-1)
	for i, customer := range w.customers {
		if customer.homes[0] == outIndex {
			got += c.samples[last].service[i] - c.samples[s.from].service[i]
		}
	}
	return float64(got)
}
