// Package replay plays a load against the real decisions of a fleet and models of its
// engines, without a network and in virtual time, and against simpler policies as
// baselines. It answers which decision serves callers better, in seconds.
//
// A World runs in a synctest bubble: a goroutine for each engine, router and request.
// The command is
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
	// Objective, Pause and Patience are the objectives for the first token and for pauses,
	// and how long callers wait.
	Objective, Pause, Patience time.Duration
	// Worth is the worth of a mean request in time, LateWorth of a late one.
	Worth, LateWorth float64
	// Shared are the mean tokens of the shared parts, Things how many of each there are.
	Shared []int
	Things []int
	// Own and Output are the mean tokens of the request's own part and of its answer, and
	// OwnSpread and OutputSpread their spreads (of the logarithm).
	Own, Output             int
	OwnSpread, OutputSpread float64
	MaxOwn, MaxOutput       int
}

// Surge is a time in which one customer asks for a multiple of its usual.
type Surge struct {
	// Customer is its rank by size, from 0.
	Customer int
	At, For  time.Duration
	Times    float64
}

// Crash is a time in which engines are down.
type Crash struct {
	At, For time.Duration
	Engines int
}

// Spec describes a fleet and its load.
type Spec struct {
	Name string
	Seed uint64
	// Length is how long new requests come.
	Length time.Duration
	// Routers, Engines are counts; both are spread evenly over Regions.
	Routers, Engines, Regions int
	Engine                    enginemodel.Params
	// Hop is a message within a region, Far between regions, each one way.
	Hop, Far time.Duration
	// Customers is their number, Skew the exponent of their sizes.
	Customers int
	Skew      float64
	// TokensPerSecond is the published throughput, by which shares are kept.
	TokensPerSecond float64
	Classes         []Class
	// Load multiplies all rates.
	Load    float64
	Surges  []Surge
	Crashes []Crash
}

// classes are the users' kinds of request, from their sheet.
func classes() []Class {
	return []Class{
		{
			Name: "dossier", PerSecond: 64, Objective: 800 * time.Millisecond, Pause: 400 * time.Millisecond, Patience: 15 * time.Second,
			Worth: 5.5, LateWorth: 1.6, Shared: []int{512, 4870}, Things: []int{3, 100},
			Own: 6610, Output: 384, OwnSpread: 1.0, OutputSpread: 0.44, MaxOwn: 54600, MaxOutput: 1122,
		},
		{
			Name: "query", PerSecond: 144, Objective: 400 * time.Millisecond, Pause: 400 * time.Millisecond, Patience: 12 * time.Second,
			Worth: 1.8, LateWorth: 0.53, Shared: []int{119, 79}, Things: []int{40, 510},
			Own: 628, Output: 292, OwnSpread: 0.8, OutputSpread: 0.69, MaxOwn: 3310, MaxOutput: 954,
		},
		{
			Name: "tag", PerSecond: 102, Objective: 500 * time.Millisecond, Pause: 400 * time.Millisecond, Patience: 3 * time.Second,
			Worth: 0.55, LateWorth: 0.17, Shared: []int{341, 227}, Things: []int{20, 360},
			Own: 1800, Output: 23, OwnSpread: 0.9, OutputSpread: 1.0, MaxOwn: 6870, MaxOutput: 90,
		},
	}
}

// base is a fleet of the size that the users run today.
func base(name string, load float64) Spec {
	return Spec{
		Name: name, Seed: 1, Length: 30 * time.Second, Routers: 6, Engines: 18, Regions: 3,
		Engine: enginemodel.PublishedParams(), Hop: 200 * time.Microsecond, Far: 20 * time.Millisecond,
		Customers: 16, Skew: 1.8, TokensPerSecond: 430000, Classes: classes(), Load: load,
	}
}

// Calm is a day of two thirds of the usual load with customers that surge.
func Calm() Spec {
	s := base("calm", 0.66)
	s.Surges = []Surge{
		{Customer: 3, At: 4 * time.Second, For: 7 * time.Second, Times: 6.5},
		{Customer: 2, At: 10 * time.Second, For: 6 * time.Second, Times: 2.6},
		{Customer: 5, At: 14 * time.Second, For: 7 * time.Second, Times: 8.8},
	}
	return s
}

// Flood is a day of high load, surges of up to ten times and a crash of a quarter of the
// engines.
func Flood() Spec {
	s := base("flood", 1.1)
	s.Surges = []Surge{
		{Customer: 3, At: 4 * time.Second, For: 8 * time.Second, Times: 5.9},
		{Customer: 2, At: 10 * time.Second, For: 6 * time.Second, Times: 2.4},
		{Customer: 6, At: 14 * time.Second, For: 5 * time.Second, Times: 9.6},
	}
	s.Crashes = []Crash{{At: 12 * time.Second, For: 3 * time.Second, Engines: 4}}
	return s
}

// route is a class as the scheduler sees it.
func (c *Class) route() *catalog.Route {
	return &catalog.Route{
		Name: c.Name, Kind: catalog.Stream, FirstByteSLO: c.Objective, GapSLO: c.Pause, Timeout: c.Patience, MaxTargets: 1,
	}
}
