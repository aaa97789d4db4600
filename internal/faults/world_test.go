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

// Sizes of the world of one cell.
const (
	engineLimit   = 4
	coldLimit     = 1
	engineBatch   = 64
	tokenTime     = 2 * time.Millisecond
	probeTokens   = 200
	hopDelay      = time.Millisecond
	regionDelay   = 30 * time.Millisecond
	worldSeed     = 7
	pollStep      = time.Millisecond
	probeTimeout  = 40 * time.Second
	recoveryBound = 30 * time.Second
	// startTime is the time after which a fresh fleet may use its escrow.
	startTime  = 10 * time.Second
	warmRounds = 10
	// locateLifetime is how long callers keep addresses.
	locateLifetime = 5 * time.Second
)

// world is one fleet with its network and what was seen of its requests.
type world struct {
	t     *testing.T
	net   *memnet.Network
	hosts interface{ HostIP(string) string }
	fleet *localfleet.Fleet
	ctx   context.Context
	// version is the last configuration that publish published.
	version uint64

	// unwarned counts how often every engine turned cold without warning. Each time
	// an engine with running work may get one request more before its next report,
	// and fall over; from that broken connection on it gets its cold limit only.
	unwarned int

	mu      sync.Mutex
	callers int
	results []result
}

// result is one request as its caller saw it.
type result struct {
	prompt string
	answer *client.Answer
	err    error
}

// newWorld starts three regions with two instances and two engines each.
func newWorld(t *testing.T, ctx context.Context) *world {
	w := &world{t: t, net: memnet.New(), ctx: ctx}
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
		Seed:           worldSeed,
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

// delay is the one-way delay between two hosts, by their data centres.
func (w *world) delay(from, to string) time.Duration {
	if w.centre(from) == w.centre(to) {
		return hopDelay
	}
	return regionDelay
}

func (w *world) centre(ip string) fleet.DataCentreID {
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

func (w *world) ip(name string) string { return w.hosts.HostIP(name) }

func (w *world) memberIPs(match func(*localfleet.Member) bool) []string {
	var ips []string
	for _, m := range w.fleet.Members {
		if match(m) {
			ips = append(ips, w.ip(string(m.ID)))
		}
	}
	return ips
}

// customer returns a customer and a fresh caller's host name.
func (w *world) caller() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers++
	return fmt.Sprintf("caller-%d", w.callers)
}

// generate sends one request through one try and keeps what the caller saw.
func (w *world) generate(c *client.Client, prompt string, tokens int64, onData func([]byte)) result {
	request := &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: prompt, MaxTokens: tokens}
	answer, err := c.Generate(w.ctx, request, onData)
	r := result{prompt: prompt, answer: answer, err: err}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, r)
	if err == nil && !bytes.Equal(answer.Data, standin.Output(prompt, tokens)) {
		w.t.Errorf("%s: a caller got %d bytes that are not its answer", prompt, len(answer.Data))
	}
	return r
}

// arrivals counts how often a prompt reached an engine, but for requests that the
// engine itself refused as not run.
func (w *world) arrivals(prompt string) int {
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

// kindOf is what a caller was told about a request that failed.
func kindOf(err error) client.Kind {
	var failed *client.RequestError
	if errors.As(err, &failed) {
		return failed.Kind
	}
	return 0
}

// reasonOf is the reason that a caller was given.
func reasonOf(err error) string {
	var failed *client.RequestError
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return ""
}

// check verifies what must hold after every cell.
func (w *world) check() {
	for _, r := range w.results {
		if r.err == nil {
			continue
		}
		kind := kindOf(r.err)
		if kind == 0 {
			w.t.Errorf("%s: the caller got an error without an outcome: %v", r.prompt, r.err)
		}
		if kind == client.NotRun && w.arrivals(r.prompt) > 0 {
			w.t.Errorf("%s: told \"not run\", but it reached an engine: %v", r.prompt, r.err)
		}
	}
	for _, e := range w.fleet.Engines {
		peak := e.Peak()
		if peak.Running > engineLimit {
			w.t.Errorf("%s ran %d requests at once, limit %d", e.ID, peak.Running, engineLimit)
		}
		if peak.ColdOverloads > w.unwarned {
			w.t.Errorf("%s fell over %d times when cold: ran %d, cold limit %d",
				e.ID, peak.ColdOverloads, peak.ColdRunning, coldLimit)
		}
	}
}

// recovers checks that new requests are served within the bound.
func (w *world) recovers(entries ...*localfleet.Member) {
	deadline := time.Now().Add(recoveryBound)
	for i, customer := range w.fleet.Spec.Customers {
		c := w.fleet.Client(w.caller(), customer, entries...)
		for try := 0; ; try++ {
			r := w.generate(c, fmt.Sprintf("after the fault %d.%d", i, try), 8, nil)
			if r.err == nil {
				break
			}
			if time.Now().After(deadline) {
				w.t.Errorf("customer %s is not served %s after the fault ended: %v", customer.ID, recoveryBound, r.err)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
