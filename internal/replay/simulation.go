package replay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Time parameters of a simulation.
const (
	exchangeInterval = 200 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
	// shareWindow is the window over which the customers' shares are enforced and
	// evaluated.
	shareWindow = 4 * time.Second
	// drainTime is how long a simulation continues after the last call has arrived.
	drainTime = 16 * time.Second
	// A refused caller retries after at least minRetryDelay, but waits at most
	// maxRetryFraction of its remaining time.
	minRetryDelay    = 20 * time.Millisecond
	maxRetryFraction = 1.0 / 3
)

// outcome is the way in which a call ended. From late on, the call was served.
type outcome int

const (
	refused outcome = iota
	failed
	late
	inTime
)

// callResult is the outcome of one call.
type callResult struct {
	outcome outcome
	// firstToken is the time from the first attempt to the first token.
	firstToken time.Duration
}

// simulation runs the load of a spec under one policy.
type simulation struct {
	spec       Spec
	policy     policy
	engines    map[fleet.TargetID]*engine
	engineList []*engine
	calls      []call
	results    []callResult
}

func newSimulation(s Spec, build func(Spec, []*engine) policy) *simulation {
	sim := &simulation{spec: s, engines: make(map[fleet.TargetID]*engine), calls: generateLoad(s)}
	for i := range s.Engines {
		params := s.Engine
		if len(s.Speeds) > 0 {
			params.PrefillTokensPerMillisecond *= s.Speeds[i%len(s.Speeds)]
		}
		e := newEngine(fleet.TargetID(fmt.Sprintf("engine-%02d", i)), i%s.Regions, params)
		sim.engines[e.id] = e
		sim.engineList = append(sim.engineList, e)
	}
	sim.policy = build(s, sim.engineList)
	sim.results = make([]callResult, len(sim.calls))
	return sim
}

// play runs the simulation to its end. It must be called in a synctest bubble.
func (s *simulation) play() {
	ctx, cancel := context.WithTimeout(context.Background(), s.spec.Length+drainTime)
	defer cancel()
	var background, callers sync.WaitGroup
	for _, e := range s.engineList {
		background.Go(func() { e.play(ctx) })
	}
	background.Go(func() { runEvery(ctx, exchangeInterval, s.policy.exchange) })
	background.Go(func() { runEvery(ctx, tickInterval, s.policy.tick) })
	for _, c := range s.spec.Crashes {
		background.Go(func() { s.crash(c) })
	}
	for i := range s.calls {
		callers.Go(func() {
			time.Sleep(s.calls[i].at)
			s.results[i] = s.call(ctx, &s.calls[i])
		})
	}
	callers.Wait()
	cancel()
	background.Wait()
}

// runEvery calls f at every interval d until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// crash takes the engines of c down and restarts them after its length.
func (s *simulation) crash(c Crash) {
	time.Sleep(c.At)
	for _, e := range s.engineList[:c.Engines] {
		e.crash()
	}
	time.Sleep(c.Length)
	for _, e := range s.engineList[:c.Engines] {
		e.restart()
		s.policy.engineRestarted(e.id)
	}
}

// call simulates a caller, which retries once if it is refused with a delay and gives up at
// its timeout.
func (s *simulation) call(ctx context.Context, x *call) callResult {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, x.class.CallerTimeout)
	defer cancel()
	for try := 0; ; try++ {
		t, err := s.policy.admit(ctx, x, s.routerFor(x, try), time.Since(start))
		if err == nil {
			return s.run(ctx, x, t, start)
		}
		var refusal *refusal
		if !errors.As(err, &refusal) || try > 0 || ctx.Err() != nil {
			return callResult{outcome: refused}
		}
		remaining := x.class.CallerTimeout - time.Since(start)
		time.Sleep(min(max(refusal.retryAfter, minRetryDelay), time.Duration(maxRetryFraction*float64(remaining))))
	}
}

// routerFor returns the router for an attempt. A retry goes to the next router of the same
// region.
func (s *simulation) routerFor(x *call, try int) int {
	perRegion := s.spec.Routers / s.spec.Regions
	return x.router/perRegion*perRegion + (x.router+try)%perRegion
}

// run simulates a call on the engine of its ticket.
func (s *simulation) run(ctx context.Context, x *call, t ticket, start time.Time) callResult {
	e := s.engines[t.engine()]
	latency := s.spec.RegionLatency
	if e.region != x.router/(s.spec.Routers/s.spec.Regions) {
		latency = s.spec.CrossRegionLatency
	}
	time.Sleep(latency)
	if source := s.engines[t.fetchFrom()]; source != nil {
		e.fetch(&s.spec, source, x)
	}
	r, err := e.submit(x)
	if err != nil {
		t.end(err)
		return callResult{outcome: failed}
	}
	select {
	case <-r.firstToken:
	case <-ctx.Done():
	}
	time.Sleep(latency)
	firstToken := time.Since(start)
	t.prefillDone()
	select {
	case <-r.done:
	case <-ctx.Done():
		e.cancel(r)
	}
	<-r.done
	t.end(r.err)
	switch {
	case r.err != nil:
		return callResult{outcome: failed, firstToken: firstToken}
	case firstToken <= x.class.FirstByteSLO && r.maxGap <= x.class.GapSLO:
		return callResult{outcome: inTime, firstToken: firstToken}
	}
	return callResult{outcome: late, firstToken: firstToken}
}
