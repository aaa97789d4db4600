// Package experiment measures a whole fleet against baselines: the gap in service
// between backlogged customers, the utilisation of slots, control traffic, waiting
// times, and service while a data centre is out of service. It contains the load, the
// phases of a run and the computation of its results; the runs themselves are tests,
// since they need virtual time.
//
// A testEnv belongs to the goroutine that runs it. The goroutines of its callers share
// the records, which are protected by a mutex and atomics.
package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/client"
	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/settings"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Sizes of the fleet and of requests.
const (
	engineLimit    = 8
	coldLimit      = 1
	engineBatch    = 64
	tokenTime      = 10 * time.Millisecond
	tokensPerFrame = 16
	clientDelay    = 3 * time.Millisecond
	hopDelay       = time.Millisecond
	regionDelay    = 30 * time.Millisecond
	shortTokens    = 8
	longTokens     = 1600
	// defaultLongEvery means that one in defaultLongEvery requests is long.
	defaultLongEvery = 8
	maxTokens        = 2048
	queueLimit       = 64
	// answerRetention is short, since completed answers that are retained count as streams.
	answerRetention = 5 * time.Second
)

// variant is the fair policy or a baseline to compare it with.
type variant struct {
	name              string
	policy            dispatch.Policy
	noServiceExchange bool
}

// scenario holds the parameters of one run.
type scenario struct {
	seed    uint64
	variant variant
	// instancesPerCentre holds the number of instances of each data centre.
	instancesPerCentre []int
	engines            int
	warmUp             time.Duration
	steady             time.Duration
	// outage is how long a data centre is out of service after the steady phase; 0
	// means that there is no outage.
	outage time.Duration
}

func (s scenario) instances() int {
	n := 0
	for _, c := range s.instancesPerCentre {
		n += c
	}
	return n
}

// customer is a customer and the parameters of its load.
type customer struct {
	localfleet.Customer
	large bool
	// homes holds the indexes of the data centres from which it calls.
	homes []int
	// longEvery means that one in longEvery requests is long; 0 means none.
	longEvery int
}

// customers returns 15 customers, of which 3 are large and unevenly distributed over
// the data centres.
func customers(centres int) []customer {
	large := []customer{
		{Customer: localfleet.Customer{ID: "large-1", Share: 2}, homes: []int{0}, longEvery: defaultLongEvery},
		{Customer: localfleet.Customer{ID: "large-2", Share: 1}, homes: []int{0}, longEvery: defaultLongEvery / 2},
		{Customer: localfleet.Customer{ID: "large-3", Share: 1}, homes: []int{2}, longEvery: defaultLongEvery * 2},
	}
	for i := range large {
		large[i].large = true
	}
	all := large
	for i := range 12 {
		c := customer{Customer: localfleet.Customer{ID: fleet.CustomerID(fmt.Sprintf("small-%d", i+1)), Share: 1}}
		c.homes = []int{[]int{0, 0, 1, 0, 2, 1}[i%6]}
		if i%4 == 3 {
			c.longEvery = defaultLongEvery * 4
		}
		all = append(all, c)
	}
	for i := range all {
		all[i].QueueLimit = queueLimit
		for j := range all[i].homes {
			all[i].homes[j] %= centres
		}
	}
	return all
}

// meanTokens returns the mean length of a customer's answers.
func (c customer) meanTokens() float64 {
	if c.longEvery == 0 {
		return shortTokens
	}
	return shortTokens + (longTokens-shortTokens)/float64(c.longEvery)
}

// reporter reports errors and messages of a run. It is safe for concurrent use.
type reporter interface {
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
}

// testEnv is a fleet on an in-memory network with its callers.
type testEnv struct {
	reporter  reporter
	scenario  scenario
	rng       *rand.Rand
	net       *memnet.Network
	hosts     localfleet.Network
	fleet     *localfleet.Fleet
	customers []customer
	region    map[string]fleet.RegionID
	centre    map[string]fleet.DataCentreID
	records   records
	clients   []*client.Client
}

// newTestEnv starts the fleet of a scenario and waits until it is ready.
func newTestEnv(ctx context.Context, p reporter, s scenario) (*testEnv, error) {
	w := &testEnv{
		reporter: p, scenario: s,
		rng:       rand.New(rand.NewPCG(s.seed, 1)),
		net:       memnet.New(),
		customers: customers(len(s.instancesPerCentre)),
		region:    make(map[string]fleet.RegionID),
		centre:    make(map[string]fleet.DataCentreID),
	}
	memory := localfleet.Memory(w.net)
	spec := localfleet.Spec{
		Limit: engineLimit, ColdLimit: coldLimit,
		Engine: standin.EngineOptions{
			BatchLimit: engineBatch, TokenTime: tokenTime, TokensPerFrame: tokensPerFrame,
			WarmupRequests: 2, ReportLag: 200 * time.Millisecond, OutputTokens: outputTokens,
		},
		Seed: s.seed, Log: zerolog.Nop(), Policy: s.variant.policy, NoServiceExchange: s.variant.noServiceExchange,
		AdjustSettings: func(s *settings.Settings) { s.AnswerRetention = answerRetention },
	}
	for _, c := range w.customers {
		spec.Customers = append(spec.Customers, c.Customer)
	}
	for i, n := range s.instancesPerCentre {
		d := localfleet.DataCentre{
			ID: centreID(i), Region: fleet.RegionID(fmt.Sprintf("region-%d", i%3+1)), Instances: n,
			Engines: (s.engines + len(s.instancesPerCentre) - 1 - i) / len(s.instancesPerCentre),
		}
		if i < 3 {
			d.Services = 1
		}
		spec.DataCentres = append(spec.DataCentres, d)
	}
	started, err := localfleet.Start(spec, memory)
	if err != nil {
		return nil, err
	}
	w.fleet = started
	w.hosts = memory
	w.mapHosts(memory)
	w.net.SetDelayFunc(w.delay)
	if err := started.AwaitReady(ctx); err != nil {
		started.Close()
		return nil, err
	}
	return w, nil
}

func centreID(i int) fleet.DataCentreID {
	return fleet.DataCentreID(fmt.Sprintf("dc-%d", i+1))
}

func clientHost(centre int) string { return fmt.Sprintf("client-%d", centre) }

// mapHosts records the region and data centre of every host.
func (w *testEnv) mapHosts(hosts interface{ HostIP(string) string }) {
	place := func(name string, id fleet.DataCentreID) {
		ip := hosts.HostIP(name)
		w.centre[ip] = id
		for _, d := range w.fleet.Spec.DataCentres {
			if d.ID == id {
				w.region[ip] = d.Region
			}
		}
	}
	for _, m := range w.fleet.Members {
		place(string(m.ID), m.DataCentre)
	}
	for _, e := range w.fleet.Engines {
		place(string(e.ID), e.DataCentre)
	}
	for _, s := range w.fleet.Services {
		place(string(s.ID), s.DataCentre)
	}
	for i := range w.scenario.instancesPerCentre {
		place(clientHost(i), centreID(i))
		w.centre[hosts.HostIP(clientHost(i))] = ""
	}
}

// delay returns the one-way delay between two hosts. The platform is close to every host.
func (w *testEnv) delay(from, to string) time.Duration {
	a, b := w.region[from], w.region[to]
	switch {
	case a == "" || b == "":
		return hopDelay
	case a != b:
		return regionDelay
	case w.centre[from] == "" || w.centre[to] == "":
		return clientDelay
	default:
		return hopDelay
	}
}

// outputTokens returns the true length of an answer, which the fleet cannot predict.
func outputTokens(prompt string, _ int64) int64 {
	if strings.Contains(prompt, longMark) {
		return longTokens
	}
	return shortTokens
}

// Markers of long and short prompts, which the fleet cannot tell apart.
const (
	longMark  = "lot 1"
	shortMark = "lot 2"
)

// controlCounters returns the traffic counters of every instance.
func (w *testEnv) controlCounters() map[fleet.InstanceID]peer.Counters {
	all := make(map[fleet.InstanceID]peer.Counters)
	for _, m := range w.fleet.Members {
		all[m.ID] = m.Running().Counters()
	}
	return all
}
