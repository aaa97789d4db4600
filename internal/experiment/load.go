package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// overloadFactor is the load of the large customers as a multiple of the capacity.
const overloadFactor = 3

// Load of each small customer: concurrent callers and the mean pause between requests.
const (
	callersPerSmallCustomer = 2
	smallMeanPause          = 400 * time.Millisecond
)

// record is one request as its caller saw it. arrived is set after the run from the
// arrivals that the engines recorded.
type record struct {
	customer         int
	prompt           string
	sent             time.Time
	arrived          time.Time
	ended            time.Time
	timeToFirstToken time.Duration
	tokens           int64
	completed        bool
	refused          bool
	// failure is the error of a request that was neither completed nor refused.
	failure error
}

// records collects the requests and the service so far of each customer.
type records struct {
	mu      sync.Mutex
	all     []*record
	service []atomic.Int64
}

// startLoad starts all callers; they stop when ctx is done.
func (w *testEnv) startLoad(ctx context.Context, group *sync.WaitGroup) {
	w.records.service = make([]atomic.Int64, len(w.customers))
	capacity := float64(w.scenario.engines*engineLimit) / tokenTime.Seconds()
	for i, c := range w.customers {
		clients := make([]*client.Client, len(c.homes))
		for j, home := range c.homes {
			clients[j] = w.newClient(home, c)
		}
		rng := rand.New(rand.NewPCG(w.scenario.seed, uint64(i)+100))
		if c.large {
			rate := overloadFactor * capacity / 3 / c.meanTokens()
			group.Go(func() { w.openLoop(ctx, group, i, clients, rng, rate) })
			continue
		}
		for range callersPerSmallCustomer {
			own := rand.New(rand.NewPCG(rng.Uint64(), 0))
			group.Go(func() { w.closedLoop(ctx, i, clients, own) })
		}
	}
}

// newClient returns a client near a data centre. Clients of large customers do not
// retry, so that the arrival rate stays as drawn.
func (w *testEnv) newClient(home int, c customer) *client.Client {
	options := client.Options{Secret: c.Secret(), Dial: w.hosts.Dialer(clientHost(home))}
	if c.large {
		options.MaxTries = 1
	}
	for _, m := range w.membersOf(home) {
		options.Seeds = append(options.Seeds, m.CallerAddr)
	}
	created := client.New(options)
	w.clients = append(w.clients, created)
	return created
}

func (w *testEnv) membersOf(centre int) []*localfleet.Member {
	var members []*localfleet.Member
	for _, m := range w.fleet.Members {
		if m.DataCentre == centreID(centre) {
			members = append(members, m)
		}
	}
	return members
}

// openLoop sends requests at random times, independently of their results.
func (w *testEnv) openLoop(ctx context.Context, group *sync.WaitGroup, i int, clients []*client.Client, rng *rand.Rand, rate float64) {
	for n := 0; ; n++ {
		pause := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if !sleep(ctx, pause) {
			return
		}
		prompt := w.prompt(i, rng)
		c := clients[rng.IntN(len(clients))]
		group.Go(func() { w.send(ctx, i, c, prompt) })
	}
}

// closedLoop sends each request after a random pause from the end of the previous one.
func (w *testEnv) closedLoop(ctx context.Context, i int, clients []*client.Client, rng *rand.Rand) {
	for {
		pause := time.Duration(rng.ExpFloat64() * float64(smallMeanPause))
		if !sleep(ctx, pause) {
			return
		}
		w.send(ctx, i, clients[rng.IntN(len(clients))], w.prompt(i, rng))
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// prompt draws a request at random. Long and short requests have prompts of the same length.
func (w *testEnv) prompt(i int, rng *rand.Rand) string {
	mark := shortMark
	if d := w.customers[i].longEvery; d > 0 && rng.IntN(d) == 0 {
		mark = longMark
	}
	return fmt.Sprintf("%s of %-8s %016x: say what the veneer is worth", mark, w.customers[i].ID, rng.Uint64())
}

// Cost per token, as in the rules that localfleet writes.
const (
	inputWeight   = 1
	outputWeight  = 4
	bytesPerToken = 4
)

func (w *testEnv) send(ctx context.Context, i int, c *client.Client, prompt string) {
	r := &record{customer: i, prompt: prompt, sent: time.Now()}
	w.records.mu.Lock()
	w.records.all = append(w.records.all, r)
	w.records.mu.Unlock()
	service := &w.records.service[i]
	started := false
	request := &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: prompt, MaxTokens: maxTokens}
	answer, err := c.Generate(ctx, request, func(data []byte) {
		if !started {
			started = true
			r.timeToFirstToken = time.Since(r.sent)
			service.Add(int64(len(prompt)/bytesPerToken+1) * inputWeight)
		}
		service.Add(int64(len(data)) / bytesPerToken * outputWeight)
	})
	r.ended = time.Now()
	var failed *client.RequestError
	switch {
	case err == nil:
		r.completed = true
		r.tokens = answer.OutputTokens
		if string(answer.Data) != string(standin.Output(prompt, outputTokens(prompt, 0))) {
			w.reporter.Errorf("%s: wrong answer to this prompt", prompt)
		}
	case errors.As(err, &failed) && failed.Kind == client.NotRun:
		r.refused = true
	default:
		r.failure = err
	}
}

// matchArrivals sets the arrival time of each request from the arrivals that the
// engines recorded, and returns the arrivals by data centre.
func (w *testEnv) matchArrivals() map[fleet.DataCentreID][]time.Time {
	byPrompt := make(map[string]*record, len(w.records.all))
	for _, r := range w.records.all {
		byPrompt[r.prompt] = r
	}
	arrivals := make(map[fleet.DataCentreID][]time.Time)
	for _, e := range w.fleet.Engines {
		for _, a := range e.Arrivals() {
			arrivals[e.DataCentre] = append(arrivals[e.DataCentre], a.At)
			if r := byPrompt[a.Prompt]; r != nil && r.arrived.IsZero() {
				r.arrived = a.At
			}
		}
	}
	return arrivals
}
