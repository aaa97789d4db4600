// Package report holds the figures of a measurement run and writes them as JSON,
// as a table and as plots. It keeps no state.
package report

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Result is one run of one variant.
type Result struct {
	Seed      uint64 `json:"seed"`
	Variant   string `json:"variant"`
	Instances int    `json:"instances"`
	// Seconds is the length of the steady phase.
	Seconds     float64     `json:"seconds"`
	Gap         Gap         `json:"gap"`
	Utilisation Utilisation `json:"utilisation"`
	Control     Control     `json:"control"`
	LargeCustomers       Latency     `json:"large_customers"`
	SmallCustomers       Latency     `json:"small_customers"`
	Outage      *Outage     `json:"outage,omitempty"`
	Counts      Counts      `json:"counts"`
	// Failures tell of the requests in Counts.Other.
	Failures []string `json:"failures,omitempty"`
	// Service is the course of the service of each customer.
	Service Series `json:"service"`
}

// Gap is the fairness gap between customers that were backlogged for the whole of a
// window. Costs are in cost units for one share.
type Gap struct {
	WindowSeconds float64 `json:"window_seconds"`
	Windows       int     `json:"windows"`
	Max           float64 `json:"max"`
	P95           float64 `json:"p95"`
	// MaxFraction and P95Fraction relate the gap to the mean service of one share in
	// the same window.
	MaxFraction float64 `json:"max_fraction"`
	P95Fraction float64 `json:"p95_fraction"`
	// Worst is the largest gap over windows of any length in the steady phase.
	Worst float64 `json:"worst"`
}

// Utilisation is slot time of engines in service during the steady phase.
type Utilisation struct {
	// Busy is the share of slot time with a request, while requests waited.
	Busy float64 `json:"busy"`
	// Waiting is the share of the phase in which requests waited.
	Waiting float64 `json:"waiting"`
}

// Control is what an instance sends to peers, in bytes a second.
type Control struct {
	Mean        float64 `json:"mean"`
	Max         float64 `json:"max"`
	DataCentre  float64 `json:"data_centre"`
	Region      float64 `json:"region"`
	CrossRegion float64 `json:"cross_region"`
	// Messages is the mean number of messages a second.
	Messages float64 `json:"messages"`
}

// Quantiles are of times in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Latency is what callers saw of requests sent in the steady phase, in seconds.
type Latency struct {
	Requests   int       `json:"requests"`
	Waiting    Quantiles `json:"waiting"`
	TimeToFirstToken Quantiles `json:"first_token"`
	// InterTokenLatency is the mean time between the tokens of one answer.
	InterTokenLatency Quantiles `json:"between_tokens"`
}

// Outage is what a data centre's planned absence did; times are in seconds.
type Outage struct {
	// LastArrival is the time from publishing the change to the last new request at
	// an engine of the data centre.
	LastArrival float64 `json:"last_arrival"`
	// ArrivalsBefore counts requests that reached it within as long as the goal before
	// the change.
	ArrivalsBefore int `json:"arrivals_before"`
	// ArrivalsSteady counts those that reached it in the steady phase.
	ArrivalsSteady int `json:"arrivals_steady"`
	// ArrivalsAfterGoal counts requests that reached it later than the goal.
	ArrivalsAfterGoal int `json:"arrivals_after_goal"`
	// Cut counts requests that ended other than whole or refused as not run.
	Cut int `json:"cut"`
	// MinService is the least service of the customers near the data centre in a second
	// of the absence, as a part of what they had before times the share of engines that
	// are left, and ServiceBack the end of the last second in which it was below 0.9, 0
	// if it never was.
	MinService  float64 `json:"service_low"`
	ServiceRecovery float64 `json:"service_back"`
	// FirstArrival and FullAgain are the times from publishing the return to the first
	// new request there and until 9 of 10 of its slots are busy.
	FirstArrival float64 `json:"first_arrival"`
	FullyBusy    float64 `json:"full_again"`
}

// Counts are of requests and limits over the whole run.
type Counts struct {
	Completed    int `json:"whole"`
	Refused  int `json:"refused"`
	Other    int `json:"other"`
	Excess   int `json:"excess"`
	ColdOverloads int `json:"cold_overloads"`
	// Unfinished requests were under way when the run ended.
	Unfinished int `json:"unfinished"`
}

// Series is the course of several customers' service, in cost units a second for
// one share.
type Series struct {
	StepSeconds float64  `json:"step_seconds"`
	Lines       []Line   `json:"lines"`
	Marks       []Mark `json:"marks,omitempty"`
}

// Line is one course.
type Line struct {
	Name   string    `json:"name"`
	Values []float64 `json:"values"`
}

// Mark is a named moment of a course.
type Mark struct {
	Name string  `json:"name"`
	At   float64 `json:"at_seconds"`
}

// QuantilesOf returns the quantiles of ds, zero without any. It sorts ds.
func QuantilesOf(ds []time.Duration) Quantiles {
	slices.Sort(ds)
	return Quantiles{
		P50: quantile(ds, 0.50).Seconds(),
		P95: quantile(ds, 0.95).Seconds(),
		P99: quantile(ds, 0.99).Seconds(),
	}
}

// quantile returns the smallest element that at least the share q is not above.
func quantile[T any](sorted []T, q float64) T {
	var none T
	if len(sorted) == 0 {
		return none
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Quantile returns a quantile of values, 0 without any. It sorts values.
func Quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return quantile(values, q)
}

// Compare orders results by variant and size.
func Compare(a, b Result) int {
	return cmp.Or(cmp.Compare(a.Variant, b.Variant), cmp.Compare(a.Instances, b.Instances))
}

// Write writes the results to NAME.json and plots them to NAME-*.png in a directory.
func Write(dir, name string, results []Result) error {
	data, err := json.Marshal(results)
	if err != nil {
		return errors.Wrap(err, name)
	}
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path+".json", append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, name)
	}
	return errors.Wrap(plotAll(path, results), name)
}
