//go:build !race

package faults

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/settings"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Parameters of the fleet of one cell.
const (
	engineLimit     = 4
	coldLimit       = 1
	engineBatch     = 64
	tokenTime       = 2 * time.Millisecond
	probeTokens     = 200
	hopDelay        = time.Millisecond
	regionDelay     = 30 * time.Millisecond
	fleetSeed       = 7
	pollStep        = time.Millisecond
	probeTimeout    = 40 * time.Second
	maxRecoveryTime = 30 * time.Second
	// escrowDelay is the time after which a fresh fleet may use its escrow.
	escrowDelay = 10 * time.Second
	warmRounds  = 10
	// locateLifetime is how long callers cache addresses.
	locateLifetime = 5 * time.Second
)

// testEnv is a fleet with its network and the results of its requests.
type testEnv struct {
	t     *testing.T
	net   *memnet.Network
	hosts interface{ HostIP(string) string }
	fleet *localfleet.Fleet
	ctx   context.Context
	// version is the last configuration version that publish used.
	version uint64

	// unannouncedCold counts how often all engines turned cold without warning. Each
	// time, an engine with running requests may get one more request before its next
	// report and be overloaded; from the connection that this breaks on, it gets only
	// its cold limit.
	unannouncedCold int

	mu      sync.Mutex
	callers int
	results []result
}

// result is the result of one request as its caller saw it.
type result struct {
	prompt string
	answer *client.Answer
	err    error
}

// newTestEnv starts three regions with two instances and two engines each.
func newTestEnv(t *testing.T, ctx context.Context) *testEnv {
	w := &testEnv{t: t, net: memnet.New(), ctx: ctx}
	memory := localfleet.Memory(w.net)
	w.hosts = memory
	spec := localfleet.Spec{
		Customers: []localfleet.Customer{
			{ID: "mill-a", Share: 1, QueueLimit: 32},
			{ID: "mill-b", Share: 1, QueueLimit: 32},
		},
		Limit:     engineLimit,
		ColdLimit: coldLimit,
		Engine: standin.EngineOptions{
			BatchLimit:     engineBatch,
			TokenTime:      tokenTime,
			WarmupRequests: 2,
			RestartTime:    time.Second,
			OrphanTimeout:  3 * time.Second,
			ReportLag:      200 * time.Millisecond,
		},
		Seed:           fleetSeed,
		AdjustSettings: func(s *settings.Settings) { s.LocateLifetime = locateLifetime },
		Log:            zerolog.Nop(),
	}
	for _, id := range []string{"a", "b", "c"} {
		spec.DataCentres = append(spec.DataCentres, localfleet.DataCentre{
			ID: fleet.DataCentreID("dc-" + id), Region: fleet.RegionID("region-" + id),
			Instances: 2, Engines: 2, Services: 1,
		})
	}
	started, err := localfleet.Start(spec, memory)
	if err != nil {
		t.Fatal(err)
	}
	w.fleet = started
	w.net.SetDelayFunc(w.delay)
	if err := started.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return w
}

// delay returns the one-way delay between two hosts, based on their data centres.
func (w *testEnv) delay(from, to string) time.Duration {
	if w.centre(from) == w.centre(to) {
		return hopDelay
	}
	return regionDelay
}

func (w *testEnv) centre(ip string) fleet.DataCentreID {
	for _, m := range w.fleet.Members {
		if w.hosts.HostIP(string(m.ID)) == ip {
			return m.DataCentre
		}
	}
	for _, e := range w.fleet.Engines {
		if w.hosts.HostIP(string(e.ID)) == ip {
			return e.DataCentre
		}
	}
	for _, s := range w.fleet.Services {
		if w.hosts.HostIP(string(s.ID)) == ip {
			return s.DataCentre
		}
	}
	return w.fleet.Members[0].DataCentre
}

func (w *testEnv) ip(name string) string { return w.hosts.HostIP(name) }

func (w *testEnv) memberIPs(match func(*localfleet.Member) bool) []string {
	var ips []string
	for _, m := range w.fleet.Members {
		if match(m) {
			ips = append(ips, w.ip(string(m.ID)))
		}
	}
	return ips
}

// newCaller returns a new host name for a caller.
func (w *testEnv) newCaller() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers++
	return fmt.Sprintf("caller-%d", w.callers)
}

// generate sends one request and records its result.
func (w *testEnv) generate(c *client.Client, prompt string, tokens int64, onData func([]byte)) result {
	request := &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: prompt, MaxTokens: tokens}
	answer, err := c.Generate(w.ctx, request, onData)
	r := result{prompt: prompt, answer: answer, err: err}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, r)
	if err == nil && !bytes.Equal(answer.Data, standin.Output(prompt, tokens)) {
		w.t.Errorf("%s: a caller got %d bytes of a wrong answer", prompt, len(answer.Data))
	}
	return r
}

// arrivals returns how often a prompt reached an engine, not counting requests that the
// engine itself refused as not run.
func (w *testEnv) arrivals(prompt string) int {
	n := 0
	for _, e := range w.fleet.Engines {
		for _, a := range e.Arrivals() {
			if a.Prompt == prompt && a.Refused == "" {
				n++
			}
		}
	}
	return n
}

// errorKind returns the outcome that a caller got for a failed request, or 0.
func errorKind(err error) client.Kind {
	var failed *client.RequestError
	if errors.As(err, &failed) {
		return failed.Kind
	}
	return 0
}

// errorReason returns the reason that a caller got for a failed request, or "".
func errorReason(err error) string {
	var failed *client.RequestError
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return ""
}

// check checks the invariants that hold after every cell.
func (w *testEnv) check() {
	for _, r := range w.results {
		if r.err == nil {
			continue
		}
		kind := errorKind(r.err)
		if kind == 0 {
			w.t.Errorf("%s: the caller got an error without an outcome: %v", r.prompt, r.err)
		}
		if kind == client.NotRun && w.arrivals(r.prompt) > 0 {
			w.t.Errorf("%s: reported as \"not run\", but it reached an engine: %v", r.prompt, r.err)
		}
	}
	for _, e := range w.fleet.Engines {
		peak := e.Peak()
		if peak.Running > engineLimit {
			w.t.Errorf("%s ran %d requests at once, limit %d", e.ID, peak.Running, engineLimit)
		}
		if peak.ColdOverloads > w.unannouncedCold {
			w.t.Errorf("%s was overloaded %d times when cold: ran %d, cold limit %d",
				e.ID, peak.ColdOverloads, peak.ColdRunning, coldLimit)
		}
	}
}

// checkRecovery checks that new requests of every customer are served within maxRecoveryTime.
func (w *testEnv) checkRecovery(entries ...*localfleet.Member) {
	deadline := time.Now().Add(maxRecoveryTime)
	for i, customer := range w.fleet.Spec.Customers {
		c := w.fleet.Client(w.newCaller(), customer, entries...)
		for try := 0; ; try++ {
			r := w.generate(c, fmt.Sprintf("after the fault %d.%d", i, try), 8, nil)
			if r.err == nil {
				break
			}
			if time.Now().After(deadline) {
				w.t.Errorf("customer %s is not served %s after the fault ended: %v", customer.ID, maxRecoveryTime, r.err)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
