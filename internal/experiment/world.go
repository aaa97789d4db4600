// Package experiment measures a whole fleet: the gap in service between backlogged
// customers, the use of slots, control traffic, waiting times, and service while a
// data centre is taken out, each beside baselines. It holds the load, the course of a
// run and its figures; the runs themselves are tests, since they need virtual time.
//
// A world belongs to the goroutine that runs it; its callers' goroutines share the
// records, which are guarded.
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
	lookupTokens   = 8
	dossierTokens  = 1600
	// dossierShare is one dossier among so many requests.
	dossierShare = 8
	maxTokens    = 2048
	queueLimit   = 64
	// answerRetention is short, since ended answers count as streams.
	answerRetention = 5 * time.Second
)

// variant is the product or a baseline.
type variant struct {
	name   string
	policy dispatch.Policy
	alone  bool
}

// scenario is one run.
type scenario struct {
	seed    uint64
	variant variant
	// centres holds the instances of each data centre.
	centres []int
	engines int
	warm    time.Duration
	steady  time.Duration
	// outage is how long a data centre is out after the steady phase, 0 for never.
	outage time.Duration
}

func (s scenario) instances() int {
	n := 0
	for _, c := range s.centres {
		n += c
	}
	return n
}

// customer is one customer with its load.
type customer struct {
	localfleet.Customer
	large bool
	// homes are the data centres from which it calls, by index.
	homes []int
	// dossiers says that one in so many requests is long, 0 for none.
	dossiers int
}

// customers are 15, 3 of them large and spread unevenly over data centres.
func customers(centres int) []customer {
	large := []customer{
		{Customer: localfleet.Customer{ID: "large-1", Share: 2}, homes: []int{0}, dossiers: dossierShare},
		{Customer: localfleet.Customer{ID: "large-2", Share: 1}, homes: []int{0}, dossiers: dossierShare / 2},
		{Customer: localfleet.Customer{ID: "large-3", Share: 1}, homes: []int{2}, dossiers: dossierShare * 2},
	}
	for i := range large {
		large[i].large = true
	}
	all := large
	for i := range 12 {
		c := customer{Customer: localfleet.Customer{ID: fleet.CustomerID(fmt.Sprintf("small-%d", i+1)), Share: 1}}
		c.homes = []int{[]int{0, 0, 1, 0, 2, 1}[i%6]}
		if i%4 == 3 {
			c.dossiers = dossierShare * 4
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

// meanTokens is the mean length of a customer's answers.
func (c customer) meanTokens() float64 {
	if c.dossiers == 0 {
		return lookupTokens
	}
	return lookupTokens + (dossierTokens-lookupTokens)/float64(c.dossiers)
}

// problems takes what goes wrong in a run. It is safe for concurrent use.
type problems interface {
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
}

// world is a fleet in memory with its callers.
type world struct {
	problems  problems
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

// newWorld starts the fleet of a scenario and waits until it takes work.
func newWorld(ctx context.Context, p problems, s scenario) (*world, error) {
	w := &world{
		problems: p, scenario: s,
		rng:       rand.New(rand.NewPCG(s.seed, 1)),
		net:       memnet.New(),
		customers: customers(len(s.centres)),
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
		Seed: s.seed, Log: zerolog.Nop(), Policy: s.variant.policy, NoServiceExchange: s.variant.alone,
		AdjustSettings: func(s *settings.Settings) { s.AnswerRetention = answerRetention },
	}
	for _, c := range w.customers {
		spec.Customers = append(spec.Customers, c.Customer)
	}
	for i, n := range s.centres {
		d := localfleet.DataCentre{
			ID: centreID(i), Region: fleet.RegionID(fmt.Sprintf("region-%d", i%3+1)), Instances: n,
			Engines: (s.engines + len(s.centres) - 1 - i) / len(s.centres),
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

// mapHosts notes where every host stands.
func (w *world) mapHosts(hosts interface{ HostIP(string) string }) {
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
	for i := range w.scenario.centres {
		place(clientHost(i), centreID(i))
		w.centre[hosts.HostIP(clientHost(i))] = ""
	}
}

// delay is the one-way delay between two hosts. The platform is near to all.
func (w *world) delay(from, to string) time.Duration {
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

// outputTokens is the true length of an answer, which nobody knows beforehand.
func outputTokens(prompt string, _ int64) int64 {
	if strings.Contains(prompt, longMark) {
		return dossierTokens
	}
	return lookupTokens
}

// Marks in prompts, which look alike to the product.
const (
	longMark  = "lot 1"
	shortMark = "lot 2"
)

// controlCounters are the traffic of every instance.
func (w *world) controlCounters() map[fleet.InstanceID]peer.Counters {
	all := make(map[fleet.InstanceID]peer.Counters)
	for _, m := range w.fleet.Members {
		all[m.ID] = m.Running().Counters()
	}
	return all
}
