package instance

import (
	"context"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target"
)

// Constants of the load polls.
const (
	// pollWorkers bounds the polls under way at once.
	pollWorkers = 8
	// pollBacklog bounds the polls waiting for a worker; more are dropped, since the
	// next round asks again.
	pollBacklog = 256
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
)

// poll asks for one target's load.
type poll struct {
	target fleet.TargetID
	addr   string
	// cache asks for cache events after a number in place of the load.
	cache      bool
	cacheAfter uint64
}

// poller asks targets for their load, and gives the answers to the core. Its
// goroutines end with ctx.
type poller struct {
	targets *target.Client
	polls   chan poll
	post    func(context.Context, event) bool
}

func newPoller(targets *target.Client, post func(context.Context, event) bool) *poller {
	return &poller{targets: targets, polls: make(chan poll, pollBacklog), post: post}
}

// submit queues a poll; it never blocks.
func (p *poller) submit(request poll) {
	select {
	case p.polls <- request:
	default:
	}
}

// run polls until ctx ends.
func (p *poller) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range pollWorkers {
		workers.Go(func() { p.work(ctx) })
	}
	workers.Wait()
}

func (p *poller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-p.polls:
			if request.cache {
				p.post(ctx, p.readCache(ctx, request))
				continue
			}
			p.post(ctx, p.load(ctx, request))
		}
	}
}

func (p *poller) load(ctx context.Context, request poll) reportEvent {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	requested := time.Now()
	report, err := p.targets.Load(ctx, request.addr)
	return reportEvent{
		target:    request.target,
		report:    report,
		err:       err,
		requested: requested,
		received:  time.Now(),
	}
}
