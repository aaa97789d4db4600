package fairness

import "medlarwind.dev/medlarwind/internal/fleet"

// meanWeight is the weight of the newest request in the running mean, as 1/n.
const meanWeight = 8

// estimate is the entry's expectation of a customer's next request.
type estimate struct {
	mean    fleet.Cost
	samples int
	// credit is cost charged in advance that was not used in the end.
	credit fleet.Cost
}

// Work is the charging state of one request that runs. The entry keeps it from
// Start to Finish.
type Work struct {
	customer fleet.CustomerID
	known    fleet.Cost
	// charged is what the request was charged, credit included.
	charged fleet.Cost
}

// Estimate returns the expected cost of a customer's request whose input costs
// known, in cost units. O(1).
func (a *Accounts) Estimate(c fleet.CustomerID, known fleet.Cost) fleet.Cost {
	i, ok := a.index[c]
	if !ok || a.accounts[i].estimate.samples == 0 {
		return known + a.params.FirstEstimate
	}
	return known + a.accounts[i].estimate.mean
}

// Start charges the expected cost of a request that starts now, less what earlier
// requests of the customer at this entry were charged too much. Unlike other
// charges it is worth sending whatever its size, since the owner that granted the
// start counts it as pending only until the grant is acknowledged. O(1).
func (a *Accounts) Start(c fleet.CustomerID, known fleet.Cost) Work {
	expected := a.Estimate(c, known)
	i, ok := a.intern(c)
	if !ok {
		return Work{customer: c, known: known}
	}
	e := &a.accounts[i].estimate
	fromCredit := min(e.credit, expected)
	e.credit -= fromCredit
	a.Charge(c, expected-fromCredit)
	a.publishOwn(i)
	return Work{customer: c, known: known, charged: expected}
}

// Stream charges what a running request has used beyond its charge; used is its
// cost so far. O(1).
func (a *Accounts) Stream(w *Work, used fleet.Cost) {
	if used <= w.charged {
		return
	}
	a.Charge(w.customer, used-w.charged)
	w.charged = used
}

// Finish corrects the charge of a request that has ended at cost used, keeps what
// was charged too much as credit for the customer's next request here, and takes
// the request into the customer's mean. O(1).
func (a *Accounts) Finish(w *Work, used fleet.Cost) {
	a.Stream(w, used)
	i, ok := a.index[w.customer]
	if !ok {
		return
	}
	e := &a.accounts[i].estimate
	e.credit += max(0, w.charged-used)
	w.charged = used
	output := max(0, used-w.known)
	if e.samples == 0 {
		e.mean = output
	} else {
		e.mean += (output - e.mean) / meanWeight
	}
	e.samples = min(e.samples+1, meanWeight)
}
