// Package standin holds small stand-ins for the systems outside: a model engine, a
// plain service and the platform. Each is an http.Handler with controls for its
// faults, and counts what it receives. They use timers only, so that they run
// under testing/synctest. All methods are safe for concurrent use.
package standin

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// EngineOptions say how an engine behaves. Zero fields take the default.
type EngineOptions struct {
	// Name begins the engine's boot ids.
	Name string
	// BatchLimit is how many requests run at once; more wait in the engine.
	BatchLimit int
	// ColdLimit is how many requests the engine bears while cold.
	ColdLimit int
	// WarmupRequests is how many requests must complete before it is ready.
	WarmupRequests int64
	// TokensPerFrame is the tokens of one frame and TokenTime the time for each.
	TokensPerFrame int64
	TokenTime      time.Duration
	// PrefillTime is the time for each block of the prompt that is not cached.
	PrefillTime time.Duration
	// OutputTokens is the length of the answer to a prompt. By default it is the
	// request's bound.
	OutputTokens func(prompt string, maxTokens int64) int64
	// KeepAlive is the time between blank lines.
	KeepAlive time.Duration
	// OrphanTimeout is how long a run goes on, or its answer is kept, unread.
	OrphanTimeout time.Duration
	// RestartTime is how long the engine answers nothing after a crash.
	RestartTime time.Duration
	// ReportLag is how old the figures of a load report are.
	ReportLag time.Duration
	// CacheBlocks is the size of the prefix cache. EventDelay is how late events
	// are published; every EventGap-th is lost, none if it is 0.
	CacheBlocks       int
	EventDelay        time.Duration
	EventDropInterval uint64
	// RefuseOldFence, CheckDeadline and Senders switch on the engine's checks;
	// Senders is the whole list of instances that it obeys, all if empty.
	RefuseOldFence bool
	CheckDeadline  bool
	AllowedSenders []fleet.InstanceID
}

// Defaults of EngineOptions.
const (
	defaultBatchLimit     = 8
	defaultColdLimit      = 2
	defaultWarmAfter      = 4
	defaultTokensPerFrame = 4
	defaultTokenTime      = 5 * time.Millisecond
	defaultKeepAlive      = time.Second
	defaultOrphanTime     = 30 * time.Second
	defaultCacheBlocks    = 64
	defaultMaxTokens      = 16
	bytesPerToken         = 4
)

// withDefaults fills the zero fields.
func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.Name, "engine")
	setDefault(&o.BatchLimit, defaultBatchLimit)
	setDefault(&o.ColdLimit, defaultColdLimit)
	setDefault(&o.WarmupRequests, defaultWarmAfter)
	setDefault(&o.TokensPerFrame, defaultTokensPerFrame)
	setDefault(&o.TokenTime, defaultTokenTime)
	setDefault(&o.KeepAlive, defaultKeepAlive)
	setDefault(&o.OrphanTimeout, defaultOrphanTime)
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	if o.OutputTokens == nil {
		o.OutputTokens = func(_ string, maxTokens int64) int64 { return maxTokens }
	}
	return o
}

// setDefault sets a zero field.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Arrival is one whole request for an answer that reached the engine.
type Arrival struct {
	RequestID string
	Prompt    string
	Attempt   int
	Instance  fleet.InstanceID
	BootID    string
	At        time.Time
	// Resume says that it asked for a run under way; Refused is the reason if the
	// engine did not run it.
	Resume  bool
	Refused string
}

// Engine is a model engine.
type Engine struct {
	opts EngineOptions
	mux  *http.ServeMux

	mu              sync.Mutex
	boot            int
	downUntil       time.Time
	state           fleet.TargetState
	leaving         bool
	warmupCompleted int64
	load            loadHistory
	queue           []*run
	active          map[*run]struct{}
	runs            map[string]*run
	cache           *prefixCache
	crashPrompts    map[string]bool
	fence           uint64
	orders          []enginewire.Order
	arrivals        []Arrival
	peak            Peak
	closed          bool
}

// Peak is the most requests that ran at once since boot, beside the limits, and
// how often the engine went down, in all and because it was overloaded when cold.
type Peak struct {
	Running, ColdRunning   int
	BatchLimit, ColdLimit  int
	Crashes, ColdOverloads int
}

// NewEngine returns a cold engine.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{opts: opts.withDefaults(), crashPrompts: make(map[string]bool)}
	e.mux = e.routes()
	e.startBoot()
	return e
}

// startBoot is a boot; mu is held or the engine is new.
func (e *Engine) startBoot() {
	e.boot++
	e.state = fleet.TargetCold
	e.warmupCompleted = 0
	e.fence = 0
	e.queue = nil
	e.active = make(map[*run]struct{})
	e.runs = make(map[string]*run)
	e.cache = &prefixCache{capacity: e.opts.CacheBlocks}
	e.load = loadHistory{}
	e.peak.Running, e.peak.ColdRunning = 0, 0
	e.recordLoad(0)
}

// bootID names the current boot.
func (e *Engine) bootID() string { return fmt.Sprintf("%s-%d", e.opts.Name, e.boot) }

// locked runs f with mu held.
func (e *Engine) locked(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// Crash restarts the engine: it cuts every stream, forgets every run, is cold and
// has another boot id.
func (e *Engine) Crash() { e.locked(e.crash) }

// crash is Crash with mu held.
func (e *Engine) crash() {
	e.peak.Crashes++
	e.abortRuns()
	e.downUntil = time.Now().Add(e.opts.RestartTime)
	e.startBoot()
}

// abortRuns ends every run; mu is held.
func (e *Engine) abortRuns() {
	for _, r := range e.runs {
		r.end(runAborted)
	}
}

// Close ends every run, so that no goroutine is left.
func (e *Engine) Close() {
	e.locked(func() {
		e.closed = true
		e.abortRuns()
	})
}

// SetCold makes the engine cold on the same boot.
func (e *Engine) SetCold() { e.setState(fleet.TargetCold) }

// SetReady makes the engine ready on the same boot.
func (e *Engine) SetReady() { e.setState(fleet.TargetReady) }

// setState changes the state.
func (e *Engine) setState(s fleet.TargetState) {
	e.locked(func() {
		e.state, e.warmupCompleted = s, 0
		e.recordLoad(0)
	})
}

// SetLeaving makes the engine report that it is leaving; it still serves.
func (e *Engine) SetLeaving() {
	e.locked(func() {
		e.leaving = true
		e.recordLoad(0)
	})
}

// CrashOn makes the prompt crash the engine whenever it starts to run.
func (e *Engine) CrashOn(prompt string) { e.locked(func() { e.crashPrompts[prompt] = true }) }

// Arrivals returns the requests for answers received so far, in order.
func (e *Engine) Arrivals() (arrivals []Arrival) {
	e.locked(func() { arrivals = slices.Clone(e.arrivals) })
	return arrivals
}

// Orders returns the orders carried out, in order.
func (e *Engine) Orders() (orders []enginewire.Order) {
	e.locked(func() { orders = slices.Clone(e.orders) })
	return orders
}

// Peak returns the most requests that ran at once since boot.
func (e *Engine) Peak() (p Peak) {
	e.locked(func() { p = e.peak })
	p.BatchLimit, p.ColdLimit = e.opts.BatchLimit, e.opts.ColdLimit
	return p
}

// CurrentLoad returns the load as it is, without lag.
func (e *Engine) CurrentLoad() (r fleet.LoadReport) {
	e.locked(func() { r = e.load.last() })
	return r
}
