// Package replay simulates a fleet under load, with the product's schedulers and models of
// its engines, in virtual time and without a network. It compares the product with simpler
// baseline policies, to show within seconds which decisions serve callers better.
//
// A simulation runs in a synctest bubble, with a goroutine for each engine and each
// request. To write its tables and plots, run
//
//	go test ./internal/replay -run TestReplay -v -replay.out DIR
package replay

import (
	"time"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/enginemodel"
)

// Class is one kind of request.
type Class struct {
	Name string
	// PerSecond is the mean rate over the whole fleet.
	PerSecond float64
	// FirstByteSLO is the longest time to first token and GapSLO the longest gap between
	// tokens with which a request is served in time. CallerTimeout is how long callers wait.
	FirstByteSLO, GapSLO, CallerTimeout time.Duration
	// Worth is the value of a request of mean size that is served in time, LateWorth that
	// of one that is served late.
	Worth, LateWorth float64
	// Shared are the mean lengths in tokens of the prompt's shared parts, SharedVariants
	// the numbers of different texts for each.
	Shared         []int
	SharedVariants []int
	// VariantSkew is the exponent of the power law by which the texts differ in frequency, 0 for
	// equal frequencies.
	VariantSkew float64
	// Own and Output are the mean lengths in tokens of the request's own part and of its
	// answer, OwnSpread and OutputSpread the standard deviations of their logarithms, and
	// MaxOwn and MaxOutput their upper bounds.
	Own, Output             int
	OwnSpread, OutputSpread float64
	MaxOwn, MaxOutput       int
}

// Surge is a period in which the request rate of one customer is multiplied by Factor.
type Surge struct {
	// Customer is the customer's rank by size, from 0.
	Customer   int
	At, Length time.Duration
	Factor     float64
}

// Crash is a period in which a number of engines are down.
type Crash struct {
	At, Length time.Duration
	Engines    int
}

// Spec describes a fleet and its load.
type Spec struct {
	Name string
	Seed uint64
	// Length is the period in which new requests arrive.
	Length time.Duration
	// Routers and Engines are spread evenly over Regions.
	Routers, Engines, Regions int
	Engine                    enginemodel.Params
	// Speeds are factors on the engines' prefill rates, in turn; empty for equal engines.
	Speeds []float64
	// TokenBytes and LinkMbps are the published sizes for transfers between engines, TransferSetup the
	// time until one begins. If they are 0, engines transfer nothing.
	TokenBytes    int
	LinkMbps      float64
	TransferSetup time.Duration
	// RegionLatency and CrossRegionLatency are the one-way latencies within a region and
	// between regions.
	RegionLatency, CrossRegionLatency time.Duration
	// HeartbeatDelay is the longest time that a heartbeat takes to another router.
	HeartbeatDelay time.Duration
	// Customers is the number of customers. Their sizes follow a power law with the
	// exponent -Skew.
	Customers int
	Skew      float64
	// TokensPerSecond is the published throughput, which the customers share.
	TokensPerSecond float64
	Classes         []Class
	// Load is a factor on the rates of all classes.
	Load    float64
	Surges  []Surge
	Crashes []Crash
}

// classes returns the kinds of request in the users' workload specification.
func classes() []Class {
	return []Class{
		{
			Name: "dossier", PerSecond: 64, FirstByteSLO: 800 * time.Millisecond, GapSLO: 400 * time.Millisecond, CallerTimeout: 15 * time.Second,
			Worth: 5.5, LateWorth: 1.6, Shared: []int{512, 4870}, SharedVariants: []int{3, 100},
			Own: 6610, Output: 384, OwnSpread: 1.0, OutputSpread: 0.44, MaxOwn: 54600, MaxOutput: 1122,
		},
		{
			Name: "query", PerSecond: 144, FirstByteSLO: 400 * time.Millisecond, GapSLO: 400 * time.Millisecond, CallerTimeout: 12 * time.Second,
			Worth: 1.8, LateWorth: 0.53, Shared: []int{119, 79}, SharedVariants: []int{40, 510},
			Own: 628, Output: 292, OwnSpread: 0.8, OutputSpread: 0.69, MaxOwn: 3310, MaxOutput: 954,
		},
		{
			Name: "tag", PerSecond: 102, FirstByteSLO: 500 * time.Millisecond, GapSLO: 400 * time.Millisecond, CallerTimeout: 3 * time.Second,
			Worth: 0.55, LateWorth: 0.17, Shared: []int{341, 227}, SharedVariants: []int{20, 360},
			Own: 1800, Output: 23, OwnSpread: 0.9, OutputSpread: 1.0, MaxOwn: 6870, MaxOutput: 90,
		},
	}
}

// base returns a spec for a fleet of the size that the users run today.
func base(name string, load float64) Spec {
	return Spec{
		Name: name, Seed: 1, Length: 30 * time.Second, Routers: 6, Engines: 18, Regions: 3,
		Engine: enginemodel.PublishedParams(), RegionLatency: 200 * time.Microsecond, CrossRegionLatency: 20 * time.Millisecond,
		Customers: 16, Skew: 1.8, TokensPerSecond: 430000, Classes: classes(), Load: load,
	}
}

// Calm returns a spec with two thirds of the usual load and surges of three customers.
func Calm() Spec {
	s := base("calm", 0.66)
	s.Surges = []Surge{
		{Customer: 3, At: 4 * time.Second, Length: 7 * time.Second, Factor: 6.5},
		{Customer: 2, At: 10 * time.Second, Length: 6 * time.Second, Factor: 2.6},
		{Customer: 5, At: 14 * time.Second, Length: 7 * time.Second, Factor: 8.8},
	}
	return s
}

// Flood returns a spec with high load, surges of up to ten times the usual rate and a crash
// of a quarter of the engines.
func Flood() Spec {
	s := base("flood", 1.1)
	s.Surges = []Surge{
		{Customer: 3, At: 4 * time.Second, Length: 8 * time.Second, Factor: 5.9},
		{Customer: 2, At: 10 * time.Second, Length: 6 * time.Second, Factor: 2.4},
		{Customer: 6, At: 14 * time.Second, Length: 5 * time.Second, Factor: 9.6},
	}
	s.Crashes = []Crash{{At: 12 * time.Second, Length: 3 * time.Second, Engines: 4}}
	return s
}

// route returns the route of the class for the scheduler.
func (c *Class) route() *catalog.Route {
	return &catalog.Route{
		Name: c.Name, Kind: catalog.Stream, FirstByteSLO: c.FirstByteSLO, GapSLO: c.GapSLO, Timeout: c.CallerTimeout, MaxTargets: 1,
	}
}
