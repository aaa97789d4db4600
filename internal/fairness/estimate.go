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
	// survival is nil until a request of the customer has ended here.
	survival *survival
}

// RequestCharge is the charging state of one request that runs. The entry keeps it from
// Start to Finish.
type RequestCharge struct {
	customer fleet.CustomerID
	known    fleet.Cost
	// charged is what the request was charged, credit included.
	charged fleet.Cost
	// level is the highest level of output cost for which it was charged.
	level int
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
func (a *Accounts) Start(c fleet.CustomerID, known fleet.Cost) RequestCharge {
	expected := a.Estimate(c, known)
	i, ok := a.intern(c)
	if !ok {
		return RequestCharge{customer: c, known: known}
	}
	e := &a.accounts[i].estimate
	fromCredit := min(e.credit, expected)
	e.credit -= fromCredit
	a.Charge(c, expected-fromCredit)
	a.publishOwn(i)
	return RequestCharge{customer: c, known: known, charged: expected}
}

// Update charges what a running request has used beyond its charge; used is its
// cost so far. A request that reaches a further level of cost is charged at once what
// the customer's requests that came so far have cost in the mean, since its service
// goes on for as long as it runs whatever is charged, and owners that learnt of the
// cost only as it came would meanwhile start too many more. O(1), and
// O(survivalLevels) once for each level.
func (a *Accounts) Update(w *RequestCharge, used fleet.Cost) {
	a.chargeUsed(w, max(used, a.expected(w, used)))
}

// expected returns the expected cost of a request that has reached a further level,
// 0 for one that has not.
func (a *Accounts) expected(w *RequestCharge, used fleet.Cost) fleet.Cost {
	level := levelOf(used - w.known)
	if level <= w.level {
		return 0
	}
	w.level = level
	i, ok := a.index[w.customer]
	if !ok || a.accounts[i].estimate.survival == nil {
		return 0
	}
	return w.known + a.accounts[i].estimate.survival.expect(level)
}

// chargeUsed charges what is above the charge so far.
func (a *Accounts) chargeUsed(w *RequestCharge, used fleet.Cost) {
	if used <= w.charged {
		return
	}
	a.Charge(w.customer, used-w.charged)
	w.charged = used
}

// Finish corrects the charge of a request that has ended at cost used, keeps what
// was charged too much as credit for the customer's next request here, and takes
// the request into the customer's mean. O(1).
func (a *Accounts) Finish(w *RequestCharge, used fleet.Cost) {
	a.chargeUsed(w, used)
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
	if e.survival == nil {
		e.survival = &survival{}
	}
	e.survival.note(output)
}
