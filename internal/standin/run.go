package standin

import (
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// runState is the state of a run. The states from runDone on are final.
type runState int

const (
	runQueued runState = iota
	runActive
	runDone
	runAborted
	runCanceled
)

// run is the generation of one output. Engine.mu guards it. changed is closed and
// replaced at every change.
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

// notify wakes the readers. Engine.mu must be held.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// end sets the final state and stops the goroutine of the run. It does nothing if the
// run has ended. Engine.mu must be held.
func (r *run) end(s runState) {
	if r.state >= runDone {
		return
	}
	r.state = s
	close(r.stop)
	r.notify()
}

// admit queues a new run and starts it if the batch has room. It cancels an earlier
// run with the same request ID. It returns nil if the engine crashed on the new run.
// e.mu must be held.
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

// startQueued moves queued runs into the batch while it has room. The engine crashes
// if it is overloaded while cold or if the prompt was passed to CrashOn. e.mu must be
// held.
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

// prefill adds the blocks of the prompt to the prefix cache and returns the prefill
// time. e.mu must be held.
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

// generate appends the frames of a run, after the wait for prefill, until the output
// is complete or the run is stopped.
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

// appendFrame appends a frame to an active run. After the complete output it also
// appends the last frame and finishes the run. e.mu must be held.
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

// finishRun removes a run from the batch or the queue, sets its final state and starts
// queued runs. It does nothing if the run has ended. e.mu must be held.
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

// scheduleOrphanRemoval cancels and removes a run after OrphanTimeout, if it has no
// reader then. e.mu must be held.
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
