package instance

import (
	"context"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target"
)

// Limits of polls.
const (
	// pollWorkers bounds the concurrent polls.
	pollWorkers = 8
	// pollBacklog bounds the polls waiting for a worker. Polls beyond it are dropped, since
	// the next round submits them again.
	pollBacklog = 256
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
)

// poll is a request for one target's load or cache events.
type poll struct {
	target fleet.TargetID
	addr   string
	// cache requests the cache events after cacheAfter instead of the load.
	cache      bool
	cacheAfter uint64
}

// poller polls targets and posts the results to the core. Its goroutines end with ctx.
type poller struct {
	targets *target.Client
	polls   chan poll
	post    func(context.Context, event) bool
}

func newPoller(targets *target.Client, post func(context.Context, event) bool) *poller {
	return &poller{targets: targets, polls: make(chan poll, pollBacklog), post: post}
}

// submit queues a poll. It never blocks: if the queue is full, it drops the poll.
func (p *poller) submit(request poll) {
	select {
	case p.polls <- request:
	default:
	}
}

// run executes queued polls with pollWorkers goroutines until ctx ends.
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
