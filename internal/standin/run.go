package standin

import (
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// runState is how far a run is.
type runState int

const (
	runQueued runState = iota
	runActive
	runDone
	runCut
	runCanceled
)

// run is one answer being made. The engine's mutex guards it; changed is closed
// and replaced whenever something changes.
type run struct {
	request enginewire.GenerateRequest
	answer  []byte
	tokens  int64
	frames  []enginewire.Frame
	state   runState
	changed chan struct{}
	stop    chan struct{}
	readers int
}

// inputTokens is the length of the prompt in tokens.
func (r *run) inputTokens() int64 { return int64(len(r.request.Prompt)/bytesPerToken) + 1 }

// notify wakes the readers.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// end sets the final state and stops the run's goroutine.
func (r *run) end(s runState) {
	if r.state >= runDone {
		return
	}
	r.state = s
	close(r.stop)
	r.notify()
}

// admit adds a new run to the batch or the queue; mu is held. It returns nil if
// that made the engine crash.
func (e *Engine) admit(req enginewire.GenerateRequest) *run {
	limit := req.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	tokens := max(1, e.opts.OutputTokens(req.Prompt, limit))
	r := &run{
		request: req,
		answer:  Answer(req.Prompt, tokens),
		tokens:  tokens,
		changed: make(chan struct{}),
		stop:    make(chan struct{}),
	}
	if old := e.runs[req.RequestID]; old != nil {
		e.leave(old, runCanceled)
	}
	e.runs[req.RequestID] = r
	e.queue = append(e.queue, r)
	boot := e.boot
	e.fill()
	if e.boot != boot {
		return nil
	}
	e.sample(0)
	return r
}

// fill moves waiting runs into the batch; mu is held.
func (e *Engine) fill() {
	for len(e.queue) > 0 && len(e.active) < e.opts.BatchLimit {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.active[r] = struct{}{}
		r.state = runActive
		e.peak.Running = max(e.peak.Running, len(e.active))
		if e.state == fleet.TargetCold {
			e.peak.ColdRunning = max(e.peak.ColdRunning, len(e.active))
		}
		if e.state == fleet.TargetCold && len(e.active) > e.opts.ColdLimit {
			e.peak.ColdOverloads++
			e.crash()
			return
		}
		if e.poison[r.request.Prompt] {
			e.crash()
			return
		}
		go e.generate(r, e.prefill(r))
	}
}

// prefill puts the prompt's blocks into the cache and returns the time it takes.
func (e *Engine) prefill(r *run) time.Duration {
	hashes := enginewire.PrefixHashes(r.request.Model, r.request.Prompt, e.opts.CacheBlocks)
	missing := 0
	for _, hash := range hashes {
		if !e.cache.touch(r.request.Model, hash) {
			missing++
		}
	}
	return time.Duration(missing) * e.opts.PrefillTime
}

// generate makes the frames of a run, one after the other.
func (e *Engine) generate(r *run, prefill time.Duration) {
	timer := time.NewTimer(prefill)
	defer timer.Stop()
	var made int64
	var sum uint32
	for first := true; made < r.tokens || first; first = false {
		n := min(e.opts.TokensPerFrame, r.tokens-made)
		if first && prefill > 0 {
			if !pause(timer, r.stop) {
				return
			}
		}
		timer.Reset(time.Duration(n) * e.opts.TokenTime)
		if !pause(timer, r.stop) {
			return
		}
		data := r.answer[made*bytesPerToken : (made+n)*bytesPerToken]
		made += n
		sum = enginewire.Checksum(sum, data)
		e.progress(r, enginewire.Frame{OutputTokens: made, Checksum: sum, Data: data})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != runActive {
		return
	}
	last := enginewire.Frame{OutputTokens: made, Checksum: sum, Last: true, RequestID: r.request.RequestID}
	last.Frames = int64(len(r.frames))
	e.appendFrame(r, last)
	e.leave(r, runDone)
}

// pause waits for the timer, and returns false if stop was closed first.
func pause(timer *time.Timer, stop chan struct{}) bool {
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// progress appends one frame to a run that is still active.
func (e *Engine) progress(r *run, f enginewire.Frame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state == runActive {
		e.appendFrame(r, f)
		r.notify()
	}
}

// appendFrame numbers and appends a frame; mu is held.
func (e *Engine) appendFrame(r *run, f enginewire.Frame) {
	f.Sequence = int64(len(r.frames))
	f.InputTokens = r.inputTokens()
	r.frames = append(r.frames, f)
}

// leave takes a run out of the batch or the queue, with its final state; mu is
// held.
func (e *Engine) leave(r *run, s runState) {
	if r.state >= runDone {
		return
	}
	if r.state == runQueued {
		e.queue = without(e.queue, r)
	}
	delete(e.active, r)
	r.end(s)
	var completed int64
	if s == runDone {
		completed = 1
		e.warm()
	}
	if r.readers == 0 {
		e.forgetLater(r)
	}
	e.sample(completed)
	e.fill()
	e.sample(0)
}

// without returns queue without r.
func without(queue []*run, r *run) []*run {
	var rest []*run
	for _, other := range queue {
		if other != r {
			rest = append(rest, other)
		}
	}
	return rest
}

// warm counts a completed request; mu is held.
func (e *Engine) warm() {
	e.warmed++
	if e.state == fleet.TargetCold && e.warmed >= e.opts.WarmAfter {
		e.state = fleet.TargetReady
	}
}

// forgetLater cancels and forgets a run that nobody reads for the orphan time; mu
// is held.
func (e *Engine) forgetLater(r *run) {
	time.AfterFunc(e.opts.OrphanTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.readers > 0 || e.runs[r.request.RequestID] != r {
			return
		}
		e.leave(r, runCanceled)
		delete(e.runs, r.request.RequestID)
	})
}
