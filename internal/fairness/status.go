package fairness

import "medlarwind.dev/medlarwind/internal/fleet"

// CustomerStatus is the state of one customer's account for a status page.
type CustomerStatus struct {
	Customer fleet.CustomerID `json:"customer"`
	Share    int              `json:"share"`
	// Total is the service in the whole fleet, Lift the virtual time added without
	// service, and VirtualTime their sum, in cost units per share.
	Total       fleet.Cost `json:"total"`
	Lift        fleet.Cost `json:"lift"`
	VirtualTime int64      `json:"virtual_time"`
	// Own is the service charged at this entry, in cost units.
	Own        fleet.Cost `json:"own"`
	Backlogged bool       `json:"backlogged"`
}

// Status appends the accounts of all customers to dst, in the order in which they
// were added, and returns the extended slice. O(customers).
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

// Gap returns the greatest difference in virtual time between two customers that are
// backlogged here, in cost units per share, or 0 if there are fewer than two.
// O(customers).
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
