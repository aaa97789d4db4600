// Package enginemodel simulates one inference engine as its makers describe it. Requests
// run in a batch with a bounded number of slots (continuous batching). Prompts are
// prefilled in chunks between the generated tokens of other requests. Parts of prompts
// that were prefilled stay cached while there is memory. When memory runs out, the newest
// request is preempted: it returns to the queue and starts again.
//
// An Engine is a pure state machine: the caller submits requests, calls Step and lets the
// returned time pass. It is not safe for concurrent use. A step takes time linear in the
// running requests.
package enginemodel

import (
	"slices"
	"time"
)

// Params holds the constants of an engine.
type Params struct {
	// Slots bounds the requests in a batch, MaxQueue those that wait beside them.
	Slots, MaxQueue int
	// MemoryTokens is the memory for running requests and cached parts, in tokens.
	MemoryTokens int
	// StepTime is the base time of a step. Each running request adds StepTimePerRequest,
	// and each thousand tokens of running requests in memory add
	// StepTimePerThousandTokens.
	StepTime, StepTimePerRequest, StepTimePerThousandTokens time.Duration
	// PrefillTokensPerMillisecond is the prefill rate without attention.
	// TimePerMillionPairs is the attention time for a million pairs of a prefilled token
	// and a token before it.
	PrefillTokensPerMillisecond float64
	TimePerMillionPairs         time.Duration
	// PrefillChunk bounds the prompt tokens prefilled in one step, over all requests.
	PrefillChunk int
}

// PublishedParams returns the published constants of the users' engines.
func PublishedParams() Params {
	return Params{
		Slots: 64, MaxQueue: 134, MemoryTokens: 534185,
		StepTime: 3880 * time.Microsecond, StepTimePerRequest: 27600 * time.Nanosecond, StepTimePerThousandTokens: 3650 * time.Nanosecond,
		PrefillTokensPerMillisecond: 66.2, TimePerMillionPairs: 276 * time.Microsecond, PrefillChunk: 2048,
	}
}

// Part is a piece of a prompt. Key identifies it together with all parts before it.
type Part struct {
	Key    uint64
	Tokens int
}

// Request is one generation request.
type Request struct {
	// Parts are the parts of the prompt, in order; the last belongs to this request
	// alone.
	Parts []Part
	// OutputTokens is the number of tokens to generate.
	OutputTokens int

	progress
}

// progress is the state of a request on its engine, in tokens.
type progress struct {
	prompt, unprefilled, generated int
	// sequence orders requests by the time they were admitted to the batch.
	sequence  uint64
	heldParts []uint64
}

// Event reports a token that a step generated for a request.
type Event struct {
	Request *Request
	// FirstToken and LastToken report whether it is the first or the last token of the
	// output.
	FirstToken, LastToken bool
}

// cachedPart is a part of a prompt in memory; until it is prefilled, it only reserves
// the memory.
type cachedPart struct {
	tokens int
	// users counts the running requests that use the part.
	users     int
	lastUsed  uint64
	prefilled bool
}

// Stats holds the counters of an engine.
type Stats struct {
	// PrefillTokens counts the prompt tokens prefilled, CachedTokens those found in the
	// cache.
	PrefillTokens, CachedTokens int
	// Preempted counts preemptions.
	Preempted int
}

// Engine simulates one engine.
type Engine struct {
	params  Params
	queue   []*Request
	running []*Request
	parts   map[uint64]*cachedPart
	// memoryTokens counts the tokens in memory: all parts and the outputs so far.
	memoryTokens int
	clock        uint64
	sequence     uint64
	stats        Stats
	events       []Event
}

// New returns an idle engine with an empty cache.
func New(p Params) *Engine { return &Engine{params: p, parts: make(map[uint64]*cachedPart)} }

// Submit queues a request. It returns false if the queue is full or the request needs
// more memory than the engine has.
func (e *Engine) Submit(r *Request) bool {
	r.progress = progress{}
	for _, p := range r.Parts {
		r.prompt += p.Tokens
	}
	if len(e.queue) >= e.params.MaxQueue || r.prompt+r.OutputTokens > e.params.MemoryTokens {
		return false
	}
	e.queue = append(e.queue, r)
	return true
}

// Cached returns the number of leading parts that are cached.
func (e *Engine) Cached(parts []Part) int {
	for n, p := range parts {
		if k := e.parts[p.Key]; k == nil || !k.prefilled {
			return n
		}
	}
	return len(parts)
}

// Import caches parts that were fetched from another engine, as far as there is memory.
func (e *Engine) Import(parts []Part) {
	for _, p := range parts {
		k := e.parts[p.Key]
		if k == nil {
			if !e.makeRoom(p.Tokens) {
				return
			}
			k = &cachedPart{tokens: p.Tokens}
			e.parts[p.Key] = k
			e.memoryTokens += p.Tokens
		}
		k.prefilled = true
		e.touch(k)
	}
}

// Cancel removes a request from the queue or from the batch.
func (e *Engine) Cancel(r *Request) {
	if i := slices.Index(e.queue, r); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.release(r)
	}
}

// Idle reports whether no requests are queued or running.
func (e *Engine) Idle() bool { return len(e.queue) == 0 && len(e.running) == 0 }

// Stats returns the counters so far.
func (e *Engine) Stats() Stats { return e.stats }

// Step runs one step. It returns how long the step takes and the events at its end; the
// events are valid until the next call.
func (e *Engine) Step() (time.Duration, []Event) {
	e.admit()
	e.events = e.events[:0]
	took := e.params.StepTime + time.Duration(len(e.running))*e.params.StepTimePerRequest +
		time.Duration(float64(e.runningTokens())/1000*float64(e.params.StepTimePerThousandTokens))
	took += e.prefill()
	e.generate()
	return took, e.events
}

// admit moves queued requests into the batch, in the order of arrival, while there are
// slots and memory.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.params.Slots {
		r := e.queue[0]
		if !e.makeRoom(e.uncachedTokens(r)) {
			return
		}
		e.queue = e.queue[1:]
		e.acquire(r)
		e.running = append(e.running, r)
	}
}

// uncachedTokens returns the number of prompt tokens of r that are not cached. It marks
// the cached parts as just used, so that makeRoom for the rest does not evict them first.
func (e *Engine) uncachedTokens(r *Request) int {
	uncached := r.prompt
	for _, p := range r.Parts {
		k := e.parts[p.Key]
		if k == nil || !k.prefilled {
			break
		}
		e.touch(k)
		uncached -= p.Tokens
	}
	return uncached
}

// acquire adds r as a user of its prompt's parts, and counts the tokens that it must
// prefill because they are not cached.
func (e *Engine) acquire(r *Request) {
	e.sequence++
	r.sequence = e.sequence
	r.unprefilled, r.generated = 0, 0
	for _, p := range r.Parts {
		k := e.parts[p.Key]
		if k == nil {
			k = &cachedPart{tokens: p.Tokens}
			e.parts[p.Key] = k
			e.memoryTokens += p.Tokens
		}
		if k.prefilled && r.unprefilled == 0 {
			e.stats.CachedTokens += p.Tokens
		} else {
			r.unprefilled += p.Tokens
		}
		k.users++
		e.touch(k)
		r.heldParts = append(r.heldParts, p.Key)
	}
	// The last token of a prompt is always prefilled: it yields the first output token.
	r.unprefilled = max(r.unprefilled, 1)
}

// touch marks k as the most recently used part.
func (e *Engine) touch(k *cachedPart) {
	e.clock++
	k.lastUsed = e.clock
}

// release frees the memory of r's output and of its parts that are neither prefilled nor
// used by another request. Prefilled parts stay cached until makeRoom evicts them.
func (e *Engine) release(r *Request) {
	for _, key := range r.heldParts {
		k := e.parts[key]
		k.users--
		e.touch(k)
		if !k.prefilled && k.users == 0 {
			e.evict(key)
		}
	}
	e.memoryTokens -= r.generated
	r.heldParts = nil
}

// evict removes a part from memory.
func (e *Engine) evict(key uint64) {
	e.memoryTokens -= e.parts[key].tokens
	delete(e.parts, key)
}

// makeRoom evicts unused parts, least recently used first, until tokens more fit. It
// returns false if they cannot fit.
func (e *Engine) makeRoom(tokens int) bool {
	for e.memoryTokens+tokens > e.params.MemoryTokens {
		var oldest uint64
		found := false
		for key, k := range e.parts {
			if k.users == 0 && (!found || k.lastUsed < e.parts[oldest].lastUsed) {
				oldest, found = key, true
			}
		}
		if !found {
			return false
		}
		e.evict(oldest)
	}
	return true
}

// runningTokens returns the tokens of running requests that are in memory.
func (e *Engine) runningTokens() int {
	used := 0
	for _, r := range e.running {
		used += r.prompt - r.unprefilled + r.generated
	}
	return used
}

// prefill prefills up to PrefillChunk prompt tokens of the running requests, in the order
// in which they were admitted, and returns the time that it takes.
func (e *Engine) prefill() time.Duration {
	budget := e.params.PrefillChunk
	var took time.Duration
	for _, r := range e.running {
		if budget == 0 {
			break
		}
		if r.unprefilled == 0 {
			continue
		}
		n := min(r.unprefilled, budget)
		before := r.prompt - r.unprefilled
		pairs := float64(n) * (float64(before) + float64(n)/2)
		took += time.Duration(float64(n)/e.params.PrefillTokensPerMillisecond*float64(time.Millisecond)) +
			time.Duration(pairs/1e6*float64(e.params.TimePerMillionPairs))
		budget -= n
		r.unprefilled -= n
		e.stats.PrefillTokens += n
		if r.unprefilled == 0 {
			for _, key := range r.heldParts {
				e.parts[key].prefilled = true
			}
		}
	}
	return took
}

// generate generates the next token of each request whose prompt is prefilled.
func (e *Engine) generate() {
	for _, r := range slices.Clone(e.running) {
		if r.unprefilled > 0 || !slices.Contains(e.running, r) {
			continue
		}
		if !e.makeRoom(1) && !e.preempt(r) {
			continue
		}
		r.generated++
		e.memoryTokens++
		last := r.generated >= r.OutputTokens
		e.events = append(e.events, Event{Request: r, FirstToken: r.generated == 1, LastToken: last})
		if last {
			e.running = slices.Delete(e.running, slices.Index(e.running, r), slices.Index(e.running, r)+1)
			e.release(r)
		}
	}
}

// preempt returns the newest running request to the head of the queue, to make room for
// a token of other. It returns false if that request is other itself or there is still
// no room.
func (e *Engine) preempt(other *Request) bool {
	newest := slices.MaxFunc(e.running, func(a, b *Request) int { return int(int64(a.sequence) - int64(b.sequence)) })
	e.stats.Preempted++
	e.running = slices.Delete(e.running, slices.Index(e.running, newest), slices.Index(e.running, newest)+1)
	e.release(newest)
	e.queue = slices.Insert(e.queue, 0, newest)
	return newest != other && e.makeRoom(1)
}
