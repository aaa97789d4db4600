package scheduler

import (
	"time"

	"medlarwind.dev/medlarwind/internal/exchange"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// maxReportedCustomers limits the customers in a ShareReport.
const maxReportedCustomers = 8

// ShareReport describes the shares of customers as this instance knows them.
type ShareReport struct {
	// Nominal and Effective are the shares within Window, in tokens. Limited is false if no
	// throughput is configured; they are then 0.
	Limited            bool
	Nominal, Effective float64
	// Lead is the usage beyond which customers wait for a starved one, 0 if none is.
	Lead   float64
	Window time.Duration
	// Throughput is the number of tokens per second that all customers used.
	Throughput float64
	// Instances is the number of live instances, this one included. Reports is the number
	// of peers' reports in use, and OldestReport the time since the oldest was received.
	Instances, Reports int
	OldestReport       time.Duration
	// Queued is the number of waiting jobs of this instance.
	Queued int
	// Starts is the number of requests that this instance has started on targets, MisplacedStarts of them on an
	// overloaded target while another one was idle. LoadAge is the greatest age of the peers' loads.
	Starts, MisplacedStarts int64
	LoadAge                 time.Duration
	// Customers is the number of customers with a demand, and Largest those with the
	// largest.
	Customers int
	Largest   []CustomerShare
}

// CustomerShare is the demand and usage of one customer, in tokens.
type CustomerShare struct {
	Customer fleet.CustomerID
	// Demand and Used are what the customer requested and used within the window over the
	// whole fleet.
	Demand, Used float64
	// Own is what this instance counted since the last ShareReport.
	Own exchange.Usage
}

// ShareReport returns the shares of the customers with the largest demand. It returns
// false, and no shares, if no customer has a demand.
func (s *Scheduler) ShareReport() (ShareReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	r := ShareReport{Window: s.options.ShareWindow, Instances: len(s.alive), Queued: len(s.queue)}
	r.Starts, r.MisplacedStarts, r.LoadAge = s.starts.all, s.starts.misplaced, s.loadAge(now)
	largest, customers := s.meter.Largest(maxReportedCustomers, now)
	r.Customers = customers
	for _, c := range largest {
		r.Largest = append(r.Largest, CustomerShare{Customer: c.Customer, Demand: c.Demand, Used: c.Usage, Own: s.recentUsage[c.Customer]})
	}
	clear(s.recentUsage)
	r.Reports, r.OldestReport = s.exchange.Included(now)
	if customers == 0 {
		return r, false
	}
	r.Throughput = s.meter.Throughput(now)
	if s.hasTokenLimit() {
		shares := s.shares(now)
		r.Limited, r.Nominal, r.Effective, r.Lead = true, shares.nominal, shares.effective, shares.finiteLead()
	}
	return r, true
}
