package replay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Times of a world.
const (
	exchangeInterval = 200 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
	// shareWindow is the time over which customers' shares are kept and owed.
	shareWindow = 4 * time.Second
	// tail is how long a world goes on after the last call came.
	tail = 16 * time.Second
	// minRetry is the shortest pause before a caller comes back, retryPart the longest,
	// as a part of its remaining time.
	minRetry  = 20 * time.Millisecond
	retryPart = 1.0 / 3
)

// outcome is how a call ended.
type outcome int

const (
	refused outcome = iota
	failed
	late
	inTime
)

// ending is the end of one call.
type ending struct {
	outcome outcome
	// first is the time from the first try to the first token.
	first time.Duration
}

// world plays a spec under one policy.
type world struct {
	spec    Spec
	policy  policy
	engines map[fleet.TargetID]*engine
	order   []*engine
	calls   []call
	endings []ending
}

func newWorld(s Spec, build func(Spec, []*engine) policy) *world {
	w := &world{spec: s, engines: make(map[fleet.TargetID]*engine), calls: load(s)}
	for i := range s.Engines {
		e := newEngine(fleet.TargetID(fmt.Sprintf("engine-%02d", i)), i%s.Regions, s.Engine)
		w.engines[e.id] = e
		w.order = append(w.order, e)
	}
	w.policy = build(s, w.order)
	w.endings = make([]ending, len(w.calls))
	return w
}

// play runs the world to its end. It must run in a synctest bubble.
func (w *world) play() {
	ctx, cancel := context.WithTimeout(context.Background(), w.spec.Length+tail)
	defer cancel()
	var duties, callers sync.WaitGroup
	for _, e := range w.order {
		duties.Go(func() { e.play(ctx) })
	}
	duties.Go(func() { every(ctx, exchangeInterval, w.policy.exchange) })
	duties.Go(func() { every(ctx, tickInterval, w.policy.tick) })
	for _, c := range w.spec.Crashes {
		duties.Go(func() { w.crash(c) })
	}
	for i := range w.calls {
		callers.Go(func() {
			time.Sleep(w.calls[i].at)
			w.endings[i] = w.call(ctx, &w.calls[i])
		})
	}
	callers.Wait()
	cancel()
	duties.Wait()
}

func every(ctx context.Context, d time.Duration, f func()) {
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

func (w *world) crash(c Crash) {
	time.Sleep(c.At)
	for _, e := range w.order[:c.Engines] {
		e.crash()
	}
	time.Sleep(c.Length)
	for _, e := range w.order[:c.Engines] {
		e.restart()
		w.policy.restarted(e.id)
	}
}

// call plays a caller: it tries, comes back once when it is told to, and leaves when its
// patience ends.
func (w *world) call(ctx context.Context, x *call) ending {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, x.class.CallerTimeout)
	defer cancel()
	for try := 0; ; try++ {
		t, err := w.policy.admit(ctx, x, w.routerOf(x, try), time.Since(began))
		if err == nil {
			return w.run(ctx, x, t, began)
		}
		var refusal *refusal
		if !errors.As(err, &refusal) || try > 0 || ctx.Err() != nil {
			return ending{outcome: refused}
		}
		left := x.class.CallerTimeout - time.Since(began)
		time.Sleep(min(max(refusal.retryAfter, minRetry), time.Duration(retryPart*float64(left))))
	}
}

// routerOf is the router of a try: a caller that comes back takes the next of its region.
func (w *world) routerOf(x *call, try int) int {
	perRegion := w.spec.Routers / w.spec.Regions
	return x.router/perRegion*perRegion + (x.router+try)%perRegion
}

// run plays a call on its engine.
func (w *world) run(ctx context.Context, x *call, t ticket, began time.Time) ending {
	e := w.engines[t.engine()]
	hop := w.spec.RegionLatency
	if e.region != x.router/(w.spec.Routers/w.spec.Regions) {
		hop = w.spec.CrossRegionLatency
	}
	time.Sleep(hop)
	r, err := e.submit(x)
	if err != nil {
		t.end(err)
		return ending{outcome: failed}
	}
	select {
	case <-r.first:
	case <-ctx.Done():
	}
	time.Sleep(hop)
	first := time.Since(began)
	t.read()
	select {
	case <-r.done:
	case <-ctx.Done():
		e.cancel(r)
	}
	<-r.done
	t.end(r.err)
	switch {
	case r.err != nil:
		return ending{outcome: failed, first: first}
	case first <= x.class.FirstByteSLO && r.pause <= x.class.GapSLO:
		return ending{outcome: inTime, first: first}
	}
	return ending{outcome: late, first: first}
}
