package observe

import (
	"cmp"
	"slices"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Backlogged is one customer that had work waiting during the whole of a window.
type Backlogged struct {
	Customer fleet.CustomerID
	// Share is the customer's weight, above 0.
	Share float64
	// TargetSet names the set of targets that can run the customer's waiting work.
	TargetSet string
	// Service is what the customer got within the window, over the whole fleet.
	Service fleet.Cost
}

// normalised returns the service for one share.
func (b Backlogged) normalised() float64 { return float64(b.Service) / b.Share }

// ServiceGap is the gap in service between two customers.
type ServiceGap struct {
	// Gap is in cost units for one share.
	Gap       float64
	Most      fleet.CustomerID
	Least     fleet.CustomerID
	TargetSet string
}

// Gap returns the largest difference, over any two customers of the window with the
// same set of eligible targets, of the service each got divided by its share.
// Customers whose work can run on different targets are not compared, since one may
// find idle capacity that the other cannot use; neither is a customer that was idle
// at any moment of the window, so the caller passes only those that never were.
// Without two comparable customers the gap is 0. It takes linear time.
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

// History is one customer's course over a run: at each sample its service since the
// start of the run and whether it has had work waiting without a break since the
// sample before. All histories of a run have the same samples.
type History struct {
	Customer   fleet.CustomerID
	Share      float64
	TargetSet  string
	Service    []fleet.Cost
	Backlogged []bool
}

// WorstGap returns the largest Gap over all windows between two samples of a run. It
// takes time quadratic in the customers of one set of targets and linear in the
// samples.
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

// pairGap returns the largest gap of two customers. Within a stretch in which both
// are backlogged, the gap of a window is the change of their lead, so the largest is
// the largest rise or fall of the lead.
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
