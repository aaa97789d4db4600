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

// Result is what one policy reached.
type Result struct {
	Policy string
	// Worth is earned over owed, in all; WorstCustomers that of the tenth of customers
	// with the least of theirs, WorstWindows of the two worst windows.
	Worth, WorstCustomers, WorstWindows float64
	InTime, Late, Refused, Failed       int
	// P50 and P99 are the times to the first token of what was served.
	P50, P99 time.Duration
	// ReadAgain is the tokens of shared parts that were read once more.
	ReadAgain int
	// Windows is earned over owed by window.
	Windows []float64
}

// account is what a customer is owed and earned in a window.
type account struct{ tokens, worth, earned float64 }

// result sums up a world that was played.
func (w *world) result(name string) Result {
	r := Result{Policy: name}
	windows := int(w.spec.Length/shareWindow) + 1
	accounts := make([]map[fleet.CustomerID]*account, windows)
	for i := range accounts {
		accounts[i] = make(map[fleet.CustomerID]*account)
	}
	var firsts []time.Duration
	for i := range w.calls {
		x, end := &w.calls[i], w.endings[i]
		a := accounts[x.at/shareWindow][x.customer]
		if a == nil {
			a = &account{}
			accounts[x.at/shareWindow][x.customer] = a
		}
		a.tokens += float64(x.prompt + 2*x.output)
		a.worth += x.worth
		switch end.outcome {
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
		if end.outcome >= late {
			firsts = append(firsts, end.first)
		}
	}
	r.settle(accounts, w.spec.TokensPerSecond*shareWindow.Seconds())
	slices.Sort(firsts)
	if n := len(firsts); n > 0 {
		r.P50, r.P99 = firsts[n/2], firsts[n*99/100]
	}
	r.ReadAgain = w.readAgain()
	return r
}

// settle divides what was earned by what was owed: in each window a customer is owed
// what it asked, at most its max-min share, and can earn no more.
func (r *Result) settle(accounts []map[fleet.CustomerID]*account, capacity float64) {
	var owedAll, earnedAll float64
	owed, earned := make(map[fleet.CustomerID]float64), make(map[fleet.CustomerID]float64)
	for _, window := range accounts {
		var demands []float64
		for _, a := range window {
			demands = append(demands, a.tokens)
		}
		share := quota.MaxMinShare(demands, capacity)
		var owedHere, earnedHere float64
		for id, a := range window {
			due := a.worth * min(share/a.tokens, 1)
			got := min(a.earned, due)
			owed[id], earned[id] = owed[id]+due, earned[id]+got
			owedHere, earnedHere = owedHere+due, earnedHere+got
		}
		owedAll, earnedAll = owedAll+owedHere, earnedAll+earnedHere
		if owedHere > 0 {
			r.Windows = append(r.Windows, earnedHere/owedHere)
		}
	}
	r.Worth = earnedAll / max(owedAll, 1)
	r.WorstCustomers = worst(owed, earned)
	sorted := slices.Sorted(slices.Values(r.Windows))
	if len(sorted) >= 2 {
		r.WorstWindows = (sorted[0] + sorted[1]) / 2
	}
}

// worst is the part that the worst-served tenth of customers got.
func worst(owed, earned map[fleet.CustomerID]float64) float64 {
	var parts []float64
	for id, due := range owed {
		parts = append(parts, earned[id]/max(due, 1e-9))
	}
	slices.SortFunc(parts, func(a, b float64) int { return cmp.Compare(a, b) })
	n := max(len(parts)/10, 1)
	total := 0.0
	for _, p := range parts[:min(n, len(parts))] {
		total += p
	}
	return total / float64(n)
}

// readAgain is what the engines read beyond every own part of what ran and every shared
// part once.
func (w *world) readAgain() int {
	read := 0
	for _, e := range w.order {
		read += e.stats().PrefillTokens
	}
	seen := make(map[string]bool)
	for i := range w.calls {
		x := &w.calls[i]
		if w.endings[i].outcome < late {
			continue
		}
		for k, p := range x.parts {
			if k == len(x.parts)-1 || !seen[p.ID] {
				read -= p.Tokens
			}
			seen[p.ID] = true
		}
	}
	return max(read, 0)
}

// Print writes a table of results.
func Print(out io.Writer, results []Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "POLICY\tWORTH\tWORST CUSTOMERS\tWORST WINDOWS\tIN TIME\tLATE\tREFUSED\tFAILED\tP50\tP99\tREAD AGAIN")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n", r.Policy, r.Worth, r.WorstCustomers, r.WorstWindows,
			r.InTime, r.Late, r.Refused, r.Failed, r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.ReadAgain)
	}
	return t.Flush()
}

// Plot draws the worth by window.
func Plot(file, title string, results []Result) error {
	p := plot.New()
	p.Title.Text = title + ": worth earned of what was owed"
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
