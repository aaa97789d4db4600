package observe

import (
	"cmp"
	"slices"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Backlogged is a customer that had work waiting throughout a time window.
type Backlogged struct {
	Customer fleet.CustomerID
	// Share is the customer's weight; it must be positive.
	Share float64
	// TargetSet is the name of the set of targets that can run the waiting work.
	TargetSet string
	// Service is the service that the customer received from the whole fleet during
	// the window.
	Service fleet.Cost
}

// normalised returns the service divided by the share.
func (b Backlogged) normalised() float64 { return float64(b.Service) / b.Share }

// ServiceGap is the difference in normalised service between two customers.
type ServiceGap struct {
	// Gap is in cost units per share.
	Gap float64
	// Most and Least are the customers that received the most and the least service.
	Most      fleet.CustomerID
	Least     fleet.CustomerID
	TargetSet string
}

// Gap returns the largest difference in service divided by share between any two
// customers of the window that have the same TargetSet, or a gap of 0 if no two are
// comparable. Customers whose work can run on different targets are not compared,
// since one may find idle capacity that the other cannot use. The window must hold
// only customers that were backlogged during all of it. Gap takes linear time.
func Gap(window []Backlogged) ServiceGap {
	type extremes struct{ most, least Backlogged }
	sets := make(map[string]extremes)
	for _, b := range window {
		e, ok := sets[b.TargetSet]
		if !ok {
			e = extremes{most: b, least: b}
		}
		if b.normalised() > e.most.normalised() {
			e.most = b
		}
		if b.normalised() < e.least.normalised() {
			e.least = b
		}
		sets[b.TargetSet] = e
	}
	var worst ServiceGap
	for eligible, e := range sets {
		d := ServiceGap{
			Gap:       e.most.normalised() - e.least.normalised(),
			Most:      e.most.Customer,
			Least:     e.least.Customer,
			TargetSet: eligible,
		}
		if d.Gap > worst.Gap || d.Gap == worst.Gap && d.Gap > 0 && eligible < worst.TargetSet {
			worst = d
		}
	}
	return worst
}

// History is the history of one customer over a run. At each sample, Service holds the
// customer's service since the start of the run, and Backlogged whether the customer
// had work waiting without interruption since the previous sample. All histories of a
// run have the same samples.
type History struct {
	Customer   fleet.CustomerID
	Share      float64
	TargetSet  string
	Service    []fleet.Cost
	Backlogged []bool
}

// WorstGap returns the largest Gap over all windows between two samples of a run. It
// takes time quadratic in the number of customers that have the same TargetSet and
// linear in the number of samples.
func WorstGap(run []History) ServiceGap {
	ordered := slices.Clone(run)
	slices.SortStableFunc(ordered, func(a, b History) int { return cmp.Compare(a.Customer, b.Customer) })
	var worst ServiceGap
	for i := range ordered {
		for j := range i {
			if ordered[i].TargetSet != ordered[j].TargetSet {
				continue
			}
			if d := pairGap(&ordered[j], &ordered[i]); d.Gap > worst.Gap {
				worst = d
			}
		}
	}
	return worst
}

// pairGap returns the largest gap between customers a and b over all windows. The lead is
// the normalised service of a minus that of b. In a period in which both are backlogged,
// the gap of a window is the change of the lead. The largest gap is therefore the largest
// rise or fall of the lead.
func pairGap(a, b *History) ServiceGap {
	worst := ServiceGap{Most: a.Customer, Least: b.Customer, TargetSet: a.TargetSet}
	var low, high float64
	for k := range a.Service {
		lead := float64(a.Service[k])/a.Share - float64(b.Service[k])/b.Share
		if k == 0 || !a.Backlogged[k] || !b.Backlogged[k] {
			low, high = lead, lead
			continue
		}
		low, high = min(low, lead), max(high, lead)
		if lead-low > worst.Gap {
			worst.Gap, worst.Most, worst.Least = lead-low, a.Customer, b.Customer
		}
		if high-lead > worst.Gap {
			worst.Gap, worst.Most, worst.Least = high-lead, b.Customer, a.Customer
		}
	}
	return worst
}
