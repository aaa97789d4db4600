// Package enginemodel is a model of one model engine, as its makers publish it: requests
// run in batches of slots, prompts are read in chunks between the generated tokens of
// others, parts of prompts that were read are kept while there is memory, and the newest
// request is put back when there is none.
//
// An Engine is a pure state machine: the caller submits requests, calls Step and lets the
// returned time pass. It is used by one goroutine at a time. A step takes time linear in
// the running requests.
package enginemodel

import (
	"slices"
	"time"
)

// Params are the constants of an engine.
type Params struct {
	// Slots is the number of requests in a batch, MaxQueue how many wait beside them.
	Slots, MaxQueue int
	// MemoryTokens is the room for running requests and kept parts.
	MemoryTokens int
	// StepTime is the time of a step, StepTimePerRequest what each running request adds, and
	// StepTimePerThousandTokens what each thousand tokens in memory add.
	StepTime, StepTimePerRequest, StepTimePerThousandTokens time.Duration
	// PrefillTokensPerMillisecond is the prompt tokens read in a millisecond, PairsPerMillion the time
	// for a million pairs of a read token and one before it.
	PrefillTokensPerMillisecond float64
	TimePerMillionPairs         time.Duration
	// PrefillChunk bounds the prompt tokens read in one step.
	PrefillChunk int
}

// PublishedParams are the constants of the users' engines.
func PublishedParams() Params {
	return Params{
		Slots: 64, MaxQueue: 134, MemoryTokens: 534185,
		StepTime: 3880 * time.Microsecond, StepTimePerRequest: 27600 * time.Nanosecond, StepTimePerThousandTokens: 3650 * time.Nanosecond,
		PrefillTokensPerMillisecond: 66.2, TimePerMillionPairs: 276 * time.Microsecond, PrefillChunk: 2048,
	}
}

// Part is a piece of a prompt; Key stands for it and all parts before it.
type Part struct {
	Key    uint64
	Tokens int
}

// Request is one generation.
type Request struct {
	// Parts are the prompt's, in order; the last is the request's own.
	Parts []Part
	// OutputTokens is the number of tokens generated.
	OutputTokens int

	state
}

// state is where a request stands on its engine.
type state struct {
	prompt, unread, generated int
	// sequence orders requests by their start.
	sequence uint64
	held     []uint64
}

// Event is what happened to a request in a step.
type Event struct {
	Request *Request
	// FirstToken says that it was the first token, LastToken that it was the last.
	FirstToken, LastToken bool
}

// kept is a part in memory.
type kept struct {
	tokens int
	// users counts the running requests that hold it.
	users   int
	usedAt  uint64
	readied bool
}

// Stats count what an engine did.
type Stats struct {
	// PrefillTokens is the prompt tokens read, CachedTokens those found in memory.
	PrefillTokens, CachedTokens int
	// Preempted counts requests that were put back.
	Preempted int
}

// Engine is one engine.
type Engine struct {
	params  Params
	queue   []*Request
	running []*Request
	parts   map[uint64]*kept
	// memory is the tokens of all kept parts and outputs.
	memory   int
	clock    uint64
	sequence uint64
	stats    Stats
	events   []Event
}

// New returns an idle engine with nothing in memory.
func New(p Params) *Engine { return &Engine{params: p, parts: make(map[uint64]*kept)} }

// Submit queues a request; false means that the engine is full or can never hold it.
func (e *Engine) Submit(r *Request) bool {
	r.state = state{}
	for _, p := range r.Parts {
		r.prompt += p.Tokens
	}
	if len(e.queue) >= e.params.MaxQueue || r.prompt+r.OutputTokens > e.params.MemoryTokens {
		return false
	}
	e.queue = append(e.queue, r)
	return true
}

// Cancel ends a request, wherever it stands.
func (e *Engine) Cancel(r *Request) {
	if i := slices.Index(e.queue, r); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.release(r)
	}
}

// Idle reports whether a step would do nothing.
func (e *Engine) Idle() bool { return len(e.queue) == 0 && len(e.running) == 0 }

// Stats returns the counts so far.
func (e *Engine) Stats() Stats { return e.stats }

// Step does one step and returns how long it takes and what it brings at its end. The
// events are valid until the next step.
func (e *Engine) Step() (time.Duration, []Event) {
	e.admit()
	e.events = e.events[:0]
	took := e.params.StepTime + time.Duration(len(e.running))*e.params.StepTimePerRequest +
		time.Duration(float64(e.memoryInUse())/1000*float64(e.params.StepTimePerThousandTokens))
	took += e.read()
	e.generate()
	return took, e.events
}

// admit starts waiting requests in the order of their arrival while there is room.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.params.Slots {
		r := e.queue[0]
		if !e.makeRoom(e.missing(r)) {
			return
		}
		e.queue = e.queue[1:]
		e.hold(r)
		e.running = append(e.running, r)
	}
}

// missing is the part of a prompt that is not in memory. What is there counts as just
// used, so that making room for the rest does not drop it first.
func (e *Engine) missing(r *Request) int {
	missing := r.prompt
	for _, p := range r.Parts {
		k := e.parts[p.Key]
		if k == nil || !k.readied {
			break
		}
		e.touch(k)
		missing -= p.Tokens
	}
	return missing
}

// hold takes a prompt's parts into use; those that are not kept have to be read.
func (e *Engine) hold(r *Request) {
	e.sequence++
	r.sequence = e.sequence
	r.unread, r.generated = 0, 0
	for _, p := range r.Parts {
		k := e.parts[p.Key]
		if k == nil {
			k = &kept{tokens: p.Tokens}
			e.parts[p.Key] = k
			e.memory += p.Tokens
		}
		if k.readied && r.unread == 0 {
			e.stats.CachedTokens += p.Tokens
		} else {
			r.unread += p.Tokens
		}
		k.users++
		e.touch(k)
		r.held = append(r.held, p.Key)
	}
	// The last token of a prompt is always read, to generate the first.
	r.unread = max(r.unread, 1)
}

func (e *Engine) touch(k *kept) {
	e.clock++
	k.usedAt = e.clock
}

// release gives a request's memory back; its parts stay while there is room.
func (e *Engine) release(r *Request) {
	for _, key := range r.held {
		k := e.parts[key]
		k.users--
		e.touch(k)
		if !k.readied && k.users == 0 {
			e.drop(key)
		}
	}
	e.memory -= r.generated
	r.held = nil
}

func (e *Engine) drop(key uint64) {
	e.memory -= e.parts[key].tokens
	delete(e.parts, key)
}

// makeRoom drops the parts that were used longest ago until tokens fit.
func (e *Engine) makeRoom(tokens int) bool {
	for e.memory+tokens > e.params.MemoryTokens {
		var oldest uint64
		found := false
		for key, k := range e.parts {
			if k.users == 0 && (!found || k.usedAt < e.parts[oldest].usedAt) {
				oldest, found = key, true
			}
		}
		if !found {
			return false
		}
		e.drop(oldest)
	}
	return true
}

// memoryInUse is the memory of running requests.
func (e *Engine) memoryInUse() int {
	used := 0
	for _, r := range e.running {
		used += r.prompt - r.unread + r.generated
	}
	return used
}

// read reads up to a chunk of prompts in the order of their starts, and returns the time.
func (e *Engine) read() time.Duration {
	budget := e.params.PrefillChunk
	var took time.Duration
	for _, r := range e.running {
		if budget == 0 {
			break
		}
		if r.unread == 0 {
			continue
		}
		n := min(r.unread, budget)
		before := r.prompt - r.unread
		pairs := float64(n) * (float64(before) + float64(n)/2)
		took += time.Duration(float64(n)/e.params.PrefillTokensPerMillisecond*float64(time.Millisecond)) +
			time.Duration(pairs/1e6*float64(e.params.TimePerMillionPairs))
		budget -= n
		r.unread -= n
		e.stats.PrefillTokens += n
		if r.unread == 0 {
			for _, key := range r.held {
				e.parts[key].readied = true
			}
		}
	}
	return took
}

// generate gives each request whose prompt is read its next token.
func (e *Engine) generate() {
	for _, r := range slices.Clone(e.running) {
		if r.unread > 0 || !slices.Contains(e.running, r) {
			continue
		}
		if !e.makeRoom(1) && !e.preempt(r) {
			continue
		}
		r.generated++
		e.memory++
		last := r.generated >= r.OutputTokens
		e.events = append(e.events, Event{Request: r, FirstToken: r.generated == 1, LastToken: last})
		if last {
			e.running = slices.Delete(e.running, slices.Index(e.running, r), slices.Index(e.running, r)+1)
			e.release(r)
		}
	}
}

// preempt puts the newest request back to make room for another's token; false if that
// is the other itself.
func (e *Engine) preempt(other *Request) bool {
	newest := slices.MaxFunc(e.running, func(a, b *Request) int { return int(int64(a.sequence) - int64(b.sequence)) })
	e.stats.Preempted++
	e.running = slices.Delete(e.running, slices.Index(e.running, newest), slices.Index(e.running, newest)+1)
	e.release(newest)
	e.queue = slices.Insert(e.queue, 0, newest)
	return newest != other && e.makeRoom(1)
}
