package fairness

import "medlarwind.dev/medlarwind/internal/fleet"

// meanDivisor is the inverse of the newest request's weight in the running mean.
const meanDivisor = 8

// estimate holds what the entry needs to predict the cost of a customer's next
// request.
type estimate struct {
	mean    fleet.Cost
	samples int
	// credit is cost that was charged in advance and not used.
	credit fleet.Cost
	// survival is nil until the first request of the customer has ended here.
	survival *survival
}

// RequestCharge is the charging state of one running request. The entry keeps it from
// Start to Finish.
type RequestCharge struct {
	customer  fleet.CustomerID
	inputCost fleet.Cost
	// charged is the cost charged for the request, credit included.
	charged fleet.Cost
	// level is the highest level of output cost that the request has been charged for.
	level int
}

// Estimate returns the expected cost, in cost units, of a customer's request with the
// given input cost. O(1).
func (a *Accounts) Estimate(c fleet.CustomerID, inputCost fleet.Cost) fleet.Cost {
	i, ok := a.index[c]
	if !ok || a.accounts[i].estimate.samples == 0 {
		return inputCost + a.params.FirstEstimate
	}
	return inputCost + a.accounts[i].estimate.mean
}

// Start charges the expected cost of a request that starts now, less the customer's
// credit from earlier requests at this entry. Unlike other charges it is published
// whatever its size, since the owner that granted the start counts it as pending only
// until the grant is acknowledged. O(1).
func (a *Accounts) Start(c fleet.CustomerID, inputCost fleet.Cost) RequestCharge {
	expected := a.Estimate(c, inputCost)
	i, ok := a.intern(c)
	if !ok {
		return RequestCharge{customer: c, inputCost: inputCost}
	}
	e := &a.accounts[i].estimate
	fromCredit := min(e.credit, expected)
	e.credit -= fromCredit
	a.Charge(c, expected-fromCredit)
	a.publishOwn(i)
	return RequestCharge{customer: c, inputCost: inputCost, charged: expected}
}

// Update charges the cost of a running request beyond its charge so far; used is its
// total cost so far. A request that reaches a higher level of cost is charged at once
// the mean cost of the customer's requests that reached this level. If owners received
// the cost only as it is incurred, they would start too many of the customer's requests
// while this one runs. O(1), plus O(survivalLevels) once for each level.
func (a *Accounts) Update(rc *RequestCharge, used fleet.Cost) {
	a.chargeUpTo(rc, max(used, a.expectedCost(rc, used)))
}

// expectedCost returns the expected cost of a request that has reached a higher level,
// or 0 if it has not.
func (a *Accounts) expectedCost(rc *RequestCharge, used fleet.Cost) fleet.Cost {
	level := levelOf(used - rc.inputCost)
	if level <= rc.level {
		return 0
	}
	rc.level = level
	i, ok := a.index[rc.customer]
	if !ok || a.accounts[i].estimate.survival == nil {
		return 0
	}
	return rc.inputCost + a.accounts[i].estimate.survival.meanCostFrom(level)
}

// chargeUpTo raises the charge of a request to used if it is lower.
func (a *Accounts) chargeUpTo(rc *RequestCharge, used fleet.Cost) {
	if used <= rc.charged {
		return
	}
	a.Charge(rc.customer, used-rc.charged)
	rc.charged = used
}

// Finish charges the rest of a request that has ended at cost used, keeps any excess
// charge as credit for the customer's next request here, and updates the customer's
// cost estimates. O(1), plus O(survivalLevels).
func (a *Accounts) Finish(rc *RequestCharge, used fleet.Cost) {
	a.chargeUpTo(rc, used)
	i, ok := a.index[rc.customer]
	if !ok {
		return
	}
	e := &a.accounts[i].estimate
	e.credit += max(0, rc.charged-used)
	rc.charged = used
	output := max(0, used-rc.inputCost)
	if e.samples == 0 {
		e.mean = output
	} else {
		e.mean += (output - e.mean) / meanDivisor
	}
	e.samples = min(e.samples+1, meanDivisor)
	if e.survival == nil {
		e.survival = &survival{}
	}
	e.survival.add(output)
}
