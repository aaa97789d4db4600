package report

import (
	"fmt"
	"strings"
)

// column is one measurement: its name and its text in the table.
type column struct {
	name  string
	value func(r Result) string
}

var columns = []column{
	{"variant", func(r Result) string { return r.Variant }},
	{"instances", func(r Result) string { return fmt.Sprint(r.Instances) }},
	{"seed", func(r Result) string { return fmt.Sprint(r.Seed) }},
	{"gap, any window", func(r Result) string { return fmt.Sprintf("%.0f", r.Gap.Worst) }},
	{"gap, 10 s: max / p95", func(r Result) string { return fmt.Sprintf("%.0f / %.0f", r.Gap.Max, r.Gap.P95) }},
	{"of one share: max / p95", func(r Result) string { return fmt.Sprintf("%.2f / %.2f", r.Gap.MaxFraction, r.Gap.P95Fraction) }},
	{"utilisation", func(r Result) string { return fmt.Sprintf("%.1f %%", 100*r.Utilisation.Busy) }},
	{"control B/s: mean / busiest", func(r Result) string { return fmt.Sprintf("%.0f / %.0f", r.Control.Mean, r.Control.Max) }},
	{"data centre / region / cross-region", func(r Result) string {
		return fmt.Sprintf("%.0f / %.0f / %.0f", r.Control.DataCentre, r.Control.Region, r.Control.CrossRegion)
	}},
	{"small: waiting p50 / p95 / p99 s", func(r Result) string { return r.SmallCustomers.Waiting.String() }},
	{"small: first token s", func(r Result) string { return r.SmallCustomers.TimeToFirstToken.String() }},
	{"large: waiting s", func(r Result) string { return r.LargeCustomers.Waiting.String() }},
	{"between tokens p95 ms", func(r Result) string { return fmt.Sprintf("%.1f", 1000*r.LargeCustomers.InterTokenLatency.P95) }},
	{"above limit / cold overloads / cut", func(r Result) string {
		return fmt.Sprintf("%d / %d / %d", r.Counts.Excess, r.Counts.ColdOverloads, r.Counts.Other)
	}},
	{"out: last arrival s / before / late / least service / back s", func(r Result) string {
		if r.Outage == nil {
			return ""
		}
		o := r.Outage
		return fmt.Sprintf("%.3f / %d / %d / %.2f / %.1f",
			o.LastArrival, o.ArrivalsBefore, o.ArrivalsAfterGoal, o.MinService, o.ServiceRecovery)
	}},
	{"returned: first arrival / full s", func(r Result) string {
		if r.Outage == nil {
			return ""
		}
		return fmt.Sprintf("%.2f / %.1f", r.Outage.FirstArrival, r.Outage.FullyBusy)
	}},
}

// String returns the quantiles in seconds, as P50 / P95 / P99.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.2f / %.2f / %.2f", q.P50, q.P95, q.P99)
}

// Table returns the results as a Markdown table, with one row for each measurement and one
// column for each run.
func Table(results []Result) string {
	var b strings.Builder
	for i, c := range columns {
		b.WriteString("| " + c.name + " |")
		for _, r := range results {
			b.WriteString(" " + c.value(r) + " |")
		}
		b.WriteByte('\n')
		if i == 0 {
			b.WriteString(strings.Repeat("|---", len(results)+1) + "|\n")
		}
	}
	return b.String()
}
