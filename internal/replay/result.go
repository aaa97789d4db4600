package replay

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/quota"
)

// Result summarizes a simulation under one policy.
type Result struct {
	Policy string
	// Worth is the worth earned as a fraction of the worth that customers were entitled
	// to. WorstCustomers is the mean of this fraction over the worst-served tenth of
	// customers, WorstWindows over the two worst windows.
	Worth, WorstCustomers, WorstWindows float64
	InTime, Late, Refused, Failed       int
	// P50 and P99 are quantiles of the time to first token of the calls that were served.
	P50, P99 time.Duration
	// RepeatedPrefillTokens is the number of prefill tokens of shared parts beyond the
	// first prefill of each part.
	RepeatedPrefillTokens int
	// Windows is the fraction of Worth for each window.
	Windows []float64
}

// account sums up a customer's calls in one window: their tokens, their worth if all were
// served in time, and the worth earned.
type account struct{ tokens, worth, earned float64 }

// result summarizes the simulation after play has returned.
func (s *simulation) result(name string) Result {
	r := Result{Policy: name}
	windows := int(s.spec.Length/shareWindow) + 1
	accounts := make([]map[fleet.CustomerID]*account, windows)
	for i := range accounts {
		accounts[i] = make(map[fleet.CustomerID]*account)
	}
	var firstTokens []time.Duration
	for i := range s.calls {
		x, res := &s.calls[i], s.results[i]
		a := accounts[x.at/shareWindow][x.customer]
		if a == nil {
			a = &account{}
			accounts[x.at/shareWindow][x.customer] = a
		}
		a.tokens += float64(x.prompt + 2*x.output)
		a.worth += x.worth
		switch res.outcome {
		case inTime:
			r.InTime++
			a.earned += x.worth
		case late:
			r.Late++
			a.earned += x.worth * x.class.LateWorth / x.class.Worth
		case refused:
			r.Refused++
		case failed:
			r.Failed++
		}
		if res.outcome >= late {
			firstTokens = append(firstTokens, res.firstToken)
		}
	}
	r.computeWorth(accounts, s.spec.TokensPerSecond*shareWindow.Seconds())
	slices.Sort(firstTokens)
	if n := len(firstTokens); n > 0 {
		r.P50, r.P99 = firstTokens[n/2], firstTokens[n*99/100]
	}
	r.RepeatedPrefillTokens = s.repeatedPrefillTokens()
	return r
}

// computeWorth sets the fractions of worth earned. In each window a customer is entitled
// to the worth of its calls, scaled down to its max-min share of the capacity in tokens;
// worth earned beyond that does not count.
func (r *Result) computeWorth(accounts []map[fleet.CustomerID]*account, capacity float64) {
	var totalEntitled, totalEarned float64
	entitled, earned := make(map[fleet.CustomerID]float64), make(map[fleet.CustomerID]float64)
	for _, window := range accounts {
		var demands []float64
		for _, a := range window {
			demands = append(demands, a.tokens)
		}
		share := quota.MaxMinShare(demands, capacity)
		var windowEntitled, windowEarned float64
		for id, a := range window {
			entitlement := a.worth * min(share/a.tokens, 1)
			got := min(a.earned, entitlement)
			entitled[id], earned[id] = entitled[id]+entitlement, earned[id]+got
			windowEntitled, windowEarned = windowEntitled+entitlement, windowEarned+got
		}
		totalEntitled, totalEarned = totalEntitled+windowEntitled, totalEarned+windowEarned
		if windowEntitled > 0 {
			r.Windows = append(r.Windows, windowEarned/windowEntitled)
		}
	}
	r.Worth = totalEarned / max(totalEntitled, 1)
	r.WorstCustomers = meanOfWorstTenth(entitled, earned)
	sorted := slices.Sorted(slices.Values(r.Windows))
	if len(sorted) >= 2 {
		r.WorstWindows = (sorted[0] + sorted[1]) / 2
	}
}

// meanOfWorstTenth returns the mean fraction earned over the worst-served tenth of
// customers, at least one.
func meanOfWorstTenth(entitled, earned map[fleet.CustomerID]float64) float64 {
	var fractions []float64
	for id, entitlement := range entitled {
		fractions = append(fractions, earned[id]/max(entitlement, 1e-9))
	}
	slices.SortFunc(fractions, func(a, b float64) int { return cmp.Compare(a, b) })
	n := max(len(fractions)/10, 1)
	total := 0.0
	for _, p := range fractions[:min(n, len(fractions))] {
		total += p
	}
	return total / float64(n)
}

// repeatedPrefillTokens returns the tokens of all prefills minus those that were needed:
// the own part of each served call and each shared part once.
func (s *simulation) repeatedPrefillTokens() int {
	tokens := 0
	for _, e := range s.engineList {
		tokens += e.stats().PrefillTokens
	}
	seen := make(map[string]bool)
	for i := range s.calls {
		x := &s.calls[i]
		if s.results[i].outcome < late {
			continue
		}
		for k, p := range x.parts {
			if k == len(x.parts)-1 || !seen[p.ID] {
				tokens -= p.Tokens
			}
			seen[p.ID] = true
		}
	}
	return max(tokens, 0)
}

// Print writes the results as a text table, one row for each.
func Print(out io.Writer, results []Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "POLICY\tWORTH\tWORST CUSTOMERS\tWORST WINDOWS\tIN TIME\tLATE\tREFUSED\tFAILED\tP50\tP99\tREAD AGAIN")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n", r.Policy, r.Worth, r.WorstCustomers, r.WorstWindows,
			r.InTime, r.Late, r.Refused, r.Failed, r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.RepeatedPrefillTokens)
	}
	return t.Flush()
}

// Plot writes a plot of the fraction of worth earned in each window to a file.
func Plot(file, title string, results []Result) error {
	p := plot.New()
	p.Title.Text = title + ": fraction of the worth earned"
	p.X.Label.Text = "s"
	p.Y.Min, p.Y.Max = 0, 1
	for i, r := range results {
		points := make(plotter.XYs, len(r.Windows))
		for k, v := range r.Windows {
			points[k] = plotter.XY{X: float64(k) * shareWindow.Seconds(), Y: v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	p.Legend.Left = true
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, file)
}
