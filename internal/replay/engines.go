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

// Errors with which a run on an engine fails.
var (
	errDown = errors.New("engine is down")
	errFull = errors.New("engine is full")
)

// run is one request on an engine. firstToken is closed at the first token or at the end,
// done at the end. The other fields may be read without the engine's lock once done is
// closed.
type run struct {
	request     *enginemodel.Request
	firstToken  chan struct{}
	done        chan struct{}
	err         error
	lastTokenAt time.Time
	maxGap      time.Duration
	started     bool
	finished    bool
}

// engine runs one engine model in virtual time.
type engine struct {
	id     fleet.TargetID
	region int
	params enginemodel.Params
	// linkFreeAt is when the transfers from the engine end.
	linkFreeAt time.Time
	wake       chan struct{}

	mu    sync.Mutex
	model *enginemodel.Engine
	runs  map[*enginemodel.Request]*run
	down  bool
	// crashedStats are the totals of the models that were discarded in crashes.
	crashedStats enginemodel.Stats
	// fetched counts the tokens that were transferred to the engine.
	fetched int
}

func newEngine(id fleet.TargetID, region int, p enginemodel.Params) *engine {
	return &engine{
		id: id, region: region, params: p, wake: make(chan struct{}, 1),
		model: enginemodel.New(p), runs: make(map[*enginemodel.Request]*run),
	}
}

// play runs the model step by step until ctx ends.
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
		e.handleEvents(ended)
	}
}

// step starts a step and returns its duration and the events at its end. The duration is 0
// if the engine is down or idle.
func (e *engine) step() (time.Duration, []enginemodel.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.model.Idle() {
		return 0, nil
	}
	took, events := e.model.Step()
	return took, append([]enginemodel.Event(nil), events...)
}

// handleEvents applies the events of a completed step to their runs.
func (e *engine) handleEvents(events []enginemodel.Event) {
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
			close(r.firstToken)
		} else {
			r.maxGap = max(r.maxGap, now.Sub(r.lastTokenAt))
		}
		r.lastTokenAt = now
		if event.LastToken {
			e.finish(r, nil)
		}
	}
}

// finish ends a run with err, once. e.mu must be held.
func (e *engine) finish(r *run, err error) {
	if r.finished {
		return
	}
	r.finished, r.err = true, err
	delete(e.runs, r.request)
	if !r.started {
		r.started = true
		close(r.firstToken)
	}
	close(r.done)
}

// submit starts a call. It returns errDown or errFull if the engine cannot accept it.
func (e *engine) submit(x *call) (*run, error) {
	request := &enginemodel.Request{OutputTokens: x.output, Parts: x.engineParts()}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errDown
	}
	if !e.model.Submit(request) {
		return nil, errFull
	}
	r := &run{request: request, firstToken: make(chan struct{}), done: make(chan struct{})}
	e.runs[request] = r
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r, nil
}

// engineParts returns the parts of the call's prompt as engines know them.
func (x *call) engineParts() []enginemodel.Part {
	var parts []enginemodel.Part
	chain := ""
	for _, p := range x.parts {
		chain += p.ID
		parts = append(parts, enginemodel.Part{Key: membership.Hash(chain), Tokens: p.Tokens})
	}
	return parts
}

// fetch transfers to the engine what another one has cached of the call's prompt beyond what the
// engine has cached itself.
func (e *engine) fetch(s *Spec, source *engine, x *call) {
	parts := x.engineParts()
	kept := e.cached(parts)
	source.mu.Lock()
	tokens, there := 0, source.model.Cached(parts)
	for _, p := range parts[min(kept, there):there] {
		tokens += p.Tokens
	}
	if tokens == 0 {
		source.mu.Unlock()
		return
	}
	now := time.Now()
	if source.linkFreeAt.Before(now) {
		source.linkFreeAt = now
	}
	source.linkFreeAt = source.linkFreeAt.Add(time.Duration(float64(tokens) * float64(s.TokenBytes) * 8 / s.LinkMbps * float64(time.Microsecond)))
	wait := source.linkFreeAt.Sub(now) + s.TransferSetup
	source.mu.Unlock()
	if source.region != e.region {
		wait += 2 * s.CrossRegionLatency
	}
	time.Sleep(wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.model.Import(parts[:there])
		e.fetched += tokens
	}
}

func (e *engine) cached(parts []enginemodel.Part) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Cached(parts)
}

// cancel ends a run whose caller no longer waits.
func (e *engine) cancel(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.finished {
		e.model.Cancel(r.request)
		e.finish(r, context.Canceled)
	}
}

// crash takes the engine down. Its runs fail with errDown, and its cache is lost.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	s := e.model.Stats()
	e.crashedStats.PrefillTokens, e.crashedStats.CachedTokens, e.crashedStats.Preempted = e.crashedStats.PrefillTokens+s.PrefillTokens, e.crashedStats.CachedTokens+s.CachedTokens, e.crashedStats.Preempted+s.Preempted
	e.model = enginemodel.New(e.params)
	for _, r := range e.runs {
		e.finish(r, errDown)
	}
}

// restart brings the engine back with an empty cache.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// stats returns the totals since the start, crashes included.
func (e *engine) stats() enginemodel.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.model.Stats()
	return enginemodel.Stats{PrefillTokens: s.PrefillTokens + e.crashedStats.PrefillTokens, CachedTokens: s.CachedTokens + e.crashedStats.CachedTokens, Preempted: s.Preempted + e.crashedStats.Preempted}
}
