package fairness

import "medlarwind.dev/medlarwind/internal/fleet"

// CustomerStatus is one customer's account as a status page shows it.
type CustomerStatus struct {
	Customer fleet.CustomerID `json:"customer"`
	Share    int              `json:"share"`
	// Total is the service over the whole fleet, Lift what was added to it without
	// service and VirtualTime their sum, in cost units for one share.
	Total       fleet.Cost `json:"total"`
	Lift        fleet.Cost `json:"lift"`
	VirtualTime int64      `json:"virtual_time"`
	// Own is the service through this entry, in cost units.
	Own        fleet.Cost `json:"own"`
	Backlogged bool       `json:"backlogged"`
}

// Status appends the accounts of all known customers to dst, in the order in
// which they became known. O(customers).
func (a *Accounts) Status(dst []CustomerStatus) []CustomerStatus {
	for i := range a.accounts {
		acc := &a.accounts[i]
		dst = append(dst, CustomerStatus{
			Customer:    acc.id,
			Share:       int(acc.share),
			Total:       acc.total(),
			Lift:        acc.lift,
			VirtualTime: acc.virtualTime(),
			Own:         acc.cost,
			Backlogged:  acc.backlogged,
		})
	}
	return dst
}

// Gap returns the greatest difference in virtual time between two customers that
// are backlogged here, in cost units for one share. O(customers).
func (a *Accounts) Gap() int64 {
	least, most, found := int64(0), int64(0), false
	for i := range a.accounts {
		if !a.accounts[i].backlogged {
			continue
		}
		v := a.accounts[i].virtualTime()
		if !found {
			least, most, found = v, v, true
		}
		least, most = min(least, v), max(most, v)
	}
	return most - least
}
