package where

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes the answer as text.
func (a *Answer) Print(w io.Writer) error {
	fmt.Fprintln(w, a.summary())
	fmt.Fprintf(w, "route %s, service %s, configuration %d\n", orNone(a.Route), orNone(string(a.Service)), a.ConfigVersion)
	a.printGrounds(w)
	if len(a.Candidates) > 0 {
		fmt.Fprintln(w, "\ncandidates, times in ms; cost = wait + prefill + pace + transfer + distance + rank + copy + interference + failures:")
		a.printCandidates(w)
	}
	if len(a.LeftOut) > 0 {
		fmt.Fprintln(w, "\nleft out:")
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, l := range a.LeftOut {
			fmt.Fprintf(t, "  %s\t%s", l.Target, l.Reason)
			if l.Until != nil {
				fmt.Fprintf(t, " for %v", *l.Until)
			}
			fmt.Fprintln(t)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if more := a.MoreCandidates + a.MoreLeftOut; more > 0 {
		fmt.Fprintf(w, "%d further candidates and %d further targets left out are not listed\n", a.MoreCandidates, a.MoreLeftOut)
	}
	return nil
}

// String returns the time with its unit.
func (m Millis) String() string { return fmt.Sprintf("%.1f ms", float64(m)) }

func (a *Answer) summary() string {
	switch {
	case a.Outcome == Waits && a.Wait != nil:
		expected := "not known how long"
		if a.Wait.Expected != nil {
			expected = "about " + a.Wait.Expected.String()
		}
		text := fmt.Sprintf("would wait, %s, behind %d; refused after %v", expected, a.Wait.Before, a.Wait.Limit)
		if a.Target != "" {
			text += "; preferred target " + string(a.Target)
		}
		return text
	case a.Outcome == Refused && a.Refusal != nil:
		text := fmt.Sprintf("refused with %d, %s", a.Refusal.Status, a.Refusal.Reason)
		if a.Refusal.RetryAfter > 0 {
			text += fmt.Sprintf("; retry after %v", a.Refusal.RetryAfter)
		}
		return text
	case a.Trial:
		return "admitted to " + string(a.Target) + " as a trial of parts that crashed targets"
	}
	return string(a.Outcome) + " to " + string(a.Target)
}

// printGrounds writes the limit, the share and the ages.
func (a *Answer) printGrounds(w io.Writer) {
	if l := a.Limit; l != nil {
		fmt.Fprintf(w, "limit: expected wait up to %v", l.Wait)
		if l.Slots > 0 {
			fmt.Fprintf(w, ", fewer than %.2f of the slots in use", l.Slots)
		}
		fmt.Fprintln(w)
	}
	if s := a.Share; s != nil {
		fmt.Fprintf(w, "share: used %.0f tokens of %.0f nominal, %.0f effective", s.Used, s.Nominal, s.Effective)
		if s.Lead > 0 {
			fmt.Fprintf(w, "; beyond %.0f it waits for a starved customer", s.Lead)
		}
		fmt.Fprintln(w)
	}
	if b := a.Belief; b != nil {
		fmt.Fprintf(w, "ages: list of targets %v, peers' loads %v (%d reports, oldest %v); processor late by %v\n",
			b.Listing, b.PeerLoads, b.Reports, b.OldestReport, b.ProcessorDelay)
	}
	if a.DrawWithin != nil {
		fmt.Fprintf(w, "drawn among targets that cost at most %v more than the best\n", *a.DrawWithin)
	}
}

func (a *Answer) printCandidates(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  TARGET\tDC\tCOST\tWAIT\tPREFILL\tPACE\tTRANSFER\tDISTANCE\tRANK\tCOPY\tINTERF\tFAIL\tRUNNING\tUNREAD\tCACHED\tAGES")
	for i := range a.Candidates {
		c := &a.Candidates[i]
		mark := " "
		if c.Chosen {
			mark = "*"
		}
		fmt.Fprintf(t, "%s %s\t%s", mark, c.Target, c.DataCentre)
		for _, m := range []Millis{
			c.Cost.Total, c.Cost.Wait, c.Cost.Prefill, c.Cost.Pace, c.Cost.Transfer, c.Cost.Distance, c.Cost.Rank, c.Cost.Copy,
			c.Cost.Interference, c.Cost.Failures,
		} {
			fmt.Fprintf(t, "\t%.1f", float64(m))
		}
		fmt.Fprintf(t, "\t%d/%d\t%d\t%d\t%s\n", c.Running, c.Slots, c.Unread, c.Cached, c.ages())
	}
	_ = t.Flush()
}

// ages describes what is known of a candidate by its own report and by the prefix index, and whether it is over the limit.
func (c *Candidate) ages() string {
	var parts []string
	if !c.Within {
		parts = append(parts, "over the limit")
	}
	if c.ReportAge != nil {
		parts = append(parts, fmt.Sprintf("report %v", *c.ReportAge))
	}
	if c.CopyAge != nil {
		parts = append(parts, fmt.Sprintf("copy %v", *c.CopyAge))
	}
	if f := c.Fetch; f != nil {
		parts = append(parts, fmt.Sprintf("fetches %d tokens from %s, kept there %v ago", f.Tokens, f.Source, f.Age))
	}
	return strings.Join(parts, ", ")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
