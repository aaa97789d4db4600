package standin

import (
	"slices"
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
	runAborted
	runCanceled
)

// run is one answer being made. The engine's mutex guards it; changed is closed
// and replaced whenever something changes.
type run struct {
	request enginewire.GenerateRequest
	output  []byte
	tokens  int64
	frames  []enginewire.Frame
	state   runState
	changed chan struct{}
	stop    chan struct{}
	readers int
}

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
		output:  Output(req.Prompt, tokens),
		tokens:  tokens,
		changed: make(chan struct{}),
		stop:    make(chan struct{}),
	}
	if old := e.runs[req.RequestID]; old != nil {
		e.finishRun(old, runCanceled)
	}
	e.runs[req.RequestID] = r
	e.queue = append(e.queue, r)
	boot := e.boot
	e.startQueued()
	if e.boot != boot {
		return nil
	}
	e.recordLoad(0)
	return r
}

// startQueued moves waiting runs into the batch; mu is held.
func (e *Engine) startQueued() {
	for len(e.queue) > 0 && len(e.active) < e.opts.BatchLimit {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.active[r] = struct{}{}
		r.state = runActive
		e.peak.Running = max(e.peak.Running, len(e.active))
		cold := e.state == fleet.TargetCold
		if cold {
			e.peak.ColdRunning = max(e.peak.ColdRunning, len(e.active))
		}
		overloaded := cold && len(e.active) > e.opts.ColdLimit
		if overloaded {
			e.peak.ColdOverloads++
		}
		if overloaded || e.crashPrompts[r.request.Prompt] {
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
		if !e.cache.touch(prefix{r.request.Model, hash}) {
			missing++
		}
	}
	return time.Duration(missing) * e.opts.PrefillTime
}

// generate makes the frames of a run, one after the other.
func (e *Engine) generate(r *run, wait time.Duration) {
	var f enginewire.Frame
	for f.OutputTokens < r.tokens {
		generated := f.OutputTokens
		n := min(e.opts.TokensPerFrame, r.tokens-generated)
		select {
		case <-time.After(wait + time.Duration(n)*e.opts.TokenTime):
		case <-r.stop:
			return
		}
		wait = 0
		f.Data = r.output[generated*bytesPerToken : (generated+n)*bytesPerToken]
		f.Checksum = enginewire.Checksum(f.Checksum, f.Data)
		f.OutputTokens += n
		e.locked(func() { e.appendFrame(r, f) })
	}
}

// appendFrame appends one frame, and the last one after the whole answer; mu is held.
func (e *Engine) appendFrame(r *run, f enginewire.Frame) {
	if r.state != runActive {
		return
	}
	f.Sequence = int64(len(r.frames))
	f.InputTokens = int64(len(r.request.Prompt)/bytesPerToken) + 1
	r.frames = append(r.frames, f)
	if f.OutputTokens < r.tokens {
		r.notify()
		return
	}
	f.Sequence++
	f.Data, f.Last, f.Frames, f.RequestID = nil, true, f.Sequence, r.request.RequestID
	r.frames = append(r.frames, f)
	e.finishRun(r, runDone)
}

// finishRun takes a run out of the batch or the queue, with its final state; mu is
// held.
func (e *Engine) finishRun(r *run, s runState) {
	if r.state >= runDone {
		return
	}
	if r.state == runQueued {
		e.queue = slices.DeleteFunc(e.queue, func(other *run) bool { return other == r })
	}
	delete(e.active, r)
	r.end(s)
	var completed int64
	if s == runDone {
		completed = 1
		e.warmupCompleted++
	}
	if e.state == fleet.TargetCold && e.warmupCompleted >= e.opts.WarmupRequests {
		e.state = fleet.TargetReady
	}
	if r.readers == 0 {
		e.scheduleOrphanRemoval(r)
	}
	e.recordLoad(completed)
	e.startQueued()
	e.recordLoad(0)
}

// scheduleOrphanRemoval cancels and forgets a run that nobody reads for the orphan time; mu
// is held.
func (e *Engine) scheduleOrphanRemoval(r *run) {
	time.AfterFunc(e.opts.OrphanTimeout, func() {
		e.locked(func() {
			if r.readers == 0 && e.runs[r.request.RequestID] == r {
				delete(e.runs, r.request.RequestID)
				e.finishRun(r, runCanceled)
			}
		})
	})
}
