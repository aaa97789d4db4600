// Package report defines the results of measurement runs and writes them as JSON, as a
// table and as plots. It keeps no state.
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

// Result holds the measurements of one run of one variant.
type Result struct {
	Seed      uint64 `json:"seed"`
	Variant   string `json:"variant"`
	Instances int    `json:"instances"`
	// Seconds is the length of the steady phase.
	Seconds        float64     `json:"seconds"`
	Gap            Gap         `json:"gap"`
	Utilisation    Utilisation `json:"utilisation"`
	Control        Control     `json:"control"`
	LargeCustomers Latency     `json:"large_customers"`
	SmallCustomers Latency     `json:"small_customers"`
	Outage         *Outage     `json:"outage,omitempty"`
	Counts         Counts      `json:"counts"`
	// Failures describes the requests in Counts.Other.
	Failures []string `json:"failures,omitempty"`
	// Service is the service of each customer over time.
	Service Series `json:"service"`
}

// Gap is the fairness gap between customers that were backlogged for the whole of a
// window. Its costs are in cost units per share.
type Gap struct {
	WindowSeconds float64 `json:"window_seconds"`
	Windows       int     `json:"windows"`
	Max           float64 `json:"max"`
	P95           float64 `json:"p95"`
	// MaxFraction and P95Fraction are of the gap as a fraction of the mean service per
	// share in the same window.
	MaxFraction float64 `json:"max_fraction"`
	P95Fraction float64 `json:"p95_fraction"`
	// Worst is the largest gap over windows of any length in the steady phase.
	Worst float64 `json:"worst"`
}

// Utilisation describes the use of the slots of engines in service during the steady
// phase.
type Utilisation struct {
	// Busy is the fraction of slot time that was occupied by a request, counted only
	// while requests waited.
	Busy float64 `json:"busy"`
	// Waiting is the fraction of the phase in which requests waited.
	Waiting float64 `json:"waiting"`
}

// Control is the traffic that an instance sends to peers, in bytes per second.
type Control struct {
	Mean        float64 `json:"mean"`
	Max         float64 `json:"max"`
	DataCentre  float64 `json:"data_centre"`
	Region      float64 `json:"region"`
	CrossRegion float64 `json:"cross_region"`
	// Messages is the mean number of messages per second.
	Messages float64 `json:"messages"`
}

// Quantiles holds quantiles of durations, in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Latency holds the latencies that callers saw for requests sent in the steady phase, in
// seconds.
type Latency struct {
	Requests         int       `json:"requests"`
	Waiting          Quantiles `json:"waiting"`
	TimeToFirstToken Quantiles `json:"first_token"`
	// InterTokenLatency is the mean time between the tokens of one answer.
	InterTokenLatency Quantiles `json:"between_tokens"`
}

// Outage describes the effects of taking a data centre out of service as planned. Times
// are in seconds.
type Outage struct {
	// LastArrival is the time from publishing the change to the last new request at
	// an engine of the data centre.
	LastArrival float64 `json:"last_arrival"`
	// ArrivalsBefore counts requests that reached it before the change, within a period
	// as long as the goal.
	ArrivalsBefore int `json:"arrivals_before"`
	// ArrivalsSteady counts those that reached it in the steady phase.
	ArrivalsSteady int `json:"arrivals_steady"`
	// ArrivalsAfterGoal counts requests that reached it after the change, later than the
	// goal.
	ArrivalsAfterGoal int `json:"arrivals_after_goal"`
	// Cut counts requests that were neither answered in full nor refused without having
	// run.
	Cut int `json:"cut"`
	// MinService is the least service that the customers near the data centre got in any
	// second of the outage, as a fraction of their former service times the fraction of
	// engines that remain. ServiceRecovery is the end of the last second in which this was below
	// 0.9, or 0 if it never was.
	MinService      float64 `json:"service_low"`
	ServiceRecovery float64 `json:"service_back"`
	// FirstArrival is the time from publishing the return to the first new request there,
	// FullyBusy that until 9 of 10 of its slots are busy, or -1 if they never were.
	FirstArrival float64 `json:"first_arrival"`
	FullyBusy    float64 `json:"full_again"`
}

// Counts holds counts of requests and of exceeded limits over the whole run.
type Counts struct {
	Completed     int `json:"whole"`
	Refused       int `json:"refused"`
	Other         int `json:"other"`
	Excess        int `json:"excess"`
	ColdOverloads int `json:"cold_overloads"`
	// Unfinished counts the requests that were running or waiting when the run ended.
	Unfinished int `json:"unfinished"`
}

// Series is the service of several customers over time, in cost units per second and
// share.
type Series struct {
	StepSeconds float64 `json:"step_seconds"`
	Lines       []Line  `json:"lines"`
	Marks       []Mark  `json:"marks,omitempty"`
}

// Line holds the values of one customer, one for each step.
type Line struct {
	Name   string    `json:"name"`
	Values []float64 `json:"values"`
}

// Mark is a named point in time of a series.
type Mark struct {
	Name string  `json:"name"`
	At   float64 `json:"at_seconds"`
}

// QuantilesOf returns the quantiles of ds, all 0 if ds is empty. It sorts ds.
func QuantilesOf(ds []time.Duration) Quantiles {
	slices.Sort(ds)
	return Quantiles{
		P50: quantile(ds, 0.50).Seconds(),
		P95: quantile(ds, 0.95).Seconds(),
		P99: quantile(ds, 0.99).Seconds(),
	}
}

// quantile returns the q-quantile of a sorted slice, or the zero value if it is empty.
func quantile[T any](sorted []T, q float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Quantile returns the q-quantile of values, or 0 if there are none. It sorts values.
func Quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return quantile(values, q)
}

// Compare orders results by variant, then by number of instances.
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
