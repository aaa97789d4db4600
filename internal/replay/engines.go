package replay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/enginemodel"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/membership"
)

// Errors of a run on an engine.
var (
	errDown = errors.New("the engine is down")
	errFull = errors.New("the engine is full")
)

// run is one request on an engine. Its fields may be read once done is closed, first
// once first is closed.
type run struct {
	request  *enginemodel.Request
	first    chan struct{}
	done     chan struct{}
	err      error
	tokenAt  time.Time
	pause    time.Duration
	started  bool
	finished bool
}

// engine plays one engine model in virtual time.
type engine struct {
	id     fleet.TargetID
	region int
	params enginemodel.Params
	wake   chan struct{}

	mu    sync.Mutex
	model *enginemodel.Engine
	runs  map[*enginemodel.Request]*run
	down  bool
	// lost are the counts of models that crashed.
	lost enginemodel.Stats
}

func newEngine(id fleet.TargetID, region int, p enginemodel.Params) *engine {
	return &engine{
		id: id, region: region, params: p, wake: make(chan struct{}, 1),
		model: enginemodel.New(p), runs: make(map[*enginemodel.Request]*run),
	}
}

// play steps the model until ctx ends.
func (e *engine) play(ctx context.Context) {
	for ctx.Err() == nil {
		took, ended := e.step()
		if took == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(took)
		e.deliver(ended)
	}
}

// step starts a step; 0 means that there is nothing to do.
func (e *engine) step() (time.Duration, []enginemodel.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.model.Idle() {
		return 0, nil
	}
	took, events := e.model.Step()
	return took, append([]enginemodel.Event(nil), events...)
}

// deliver passes on what a step brought.
func (e *engine) deliver(events []enginemodel.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, event := range events {
		r := e.runs[event.Request]
		if r == nil {
			continue
		}
		if !r.started {
			r.started = true
			close(r.first)
		} else {
			r.pause = max(r.pause, now.Sub(r.tokenAt))
		}
		r.tokenAt = now
		if event.LastToken {
			e.finish(r, nil)
		}
	}
}

func (e *engine) finish(r *run, err error) {
	if r.finished {
		return
	}
	r.finished, r.err = true, err
	delete(e.runs, r.request)
	if !r.started {
		r.started = true
		close(r.first)
	}
	close(r.done)
}

// submit starts a request.
func (e *engine) submit(x *call) (*run, error) {
	request := &enginemodel.Request{OutputTokens: x.output}
	chain := ""
	for _, p := range x.parts {
		chain += p.ID
		request.Parts = append(request.Parts, enginemodel.Part{Key: membership.Hash(chain), Tokens: p.Tokens})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errDown
	}
	if !e.model.Submit(request) {
		return nil, errFull
	}
	r := &run{request: request, first: make(chan struct{}), done: make(chan struct{})}
	e.runs[request] = r
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r, nil
}

// cancel ends a run whose caller left.
func (e *engine) cancel(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.finished {
		e.model.Cancel(r.request)
		e.finish(r, context.Canceled)
	}
}

// crash takes the engine down; all that it runs and holds is lost.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	s := e.model.Stats()
	e.lost.PrefillTokens, e.lost.CachedTokens, e.lost.Preempted = e.lost.PrefillTokens+s.PrefillTokens, e.lost.CachedTokens+s.CachedTokens, e.lost.Preempted+s.Preempted
	e.model = enginemodel.New(e.params)
	for _, r := range e.runs {
		e.finish(r, errDown)
	}
}

// restart brings the engine back with nothing in memory.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// stats returns the counts so far.
func (e *engine) stats() enginemodel.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.model.Stats()
	return enginemodel.Stats{PrefillTokens: s.PrefillTokens + e.lost.PrefillTokens, CachedTokens: s.CachedTokens + e.lost.CachedTokens, Preempted: s.Preempted + e.lost.Preempted}
}
