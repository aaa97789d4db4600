// Package standin provides simulated versions of the external systems: a model
// engine, a plain service and the platform. Each is an http.Handler that can inject
// faults and that counts the requests it receives. Delays use timers only, so the
// handlers work under testing/synctest. All methods are safe for concurrent use.
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

// EngineOptions configure an Engine. Zero fields take their defaults.
type EngineOptions struct {
	// Name is the prefix of the engine's boot IDs.
	Name string
	// BatchLimit is the number of requests that run at once; further requests wait
	// in the engine's queue.
	BatchLimit int
	// ColdLimit is the number of requests that a cold engine can run at once; one
	// more crashes it.
	ColdLimit int
	// WarmupRequests is the number of requests that a cold engine must complete
	// before it is ready.
	WarmupRequests int64
	// TokensPerFrame is the number of tokens in a frame, and TokenTime is the time
	// to generate one token.
	TokensPerFrame int64
	TokenTime      time.Duration
	// PrefillTime is the prefill time for each block of the prompt that is not cached.
	PrefillTime time.Duration
	// OutputTokens returns the output length for a prompt. By default it is the
	// maxTokens of the request.
	OutputTokens func(prompt string, maxTokens int64) int64
	// KeepAlive is the interval between blank lines on an idle stream.
	KeepAlive time.Duration
	// OrphanTimeout is the time after which a run without a reader is canceled or,
	// if it has ended, its output is dropped.
	OrphanTimeout time.Duration
	// RestartTime is how long the engine aborts every connection after a crash.
	RestartTime time.Duration
	// ReportLag is the age of the values in a load report.
	ReportLag time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks. EventDelay is the
	// delay before a cache event is published. Every EventDropInterval-th event is
	// dropped; with 0 none is.
	CacheBlocks       int
	EventDelay        time.Duration
	EventDropInterval uint64
	// RefuseOldFence, CheckDeadline and AllowedSenders enable checks of requests.
	// AllowedSenders lists the instances whose requests are accepted; if it is
	// empty, all are.
	RefuseOldFence bool
	CheckDeadline  bool
	AllowedSenders []fleet.InstanceID
}

// Defaults of EngineOptions.
const (
	defaultBatchLimit     = 8
	defaultColdLimit      = 2
	defaultWarmupRequests = 4
	defaultTokensPerFrame = 4
	defaultTokenTime      = 5 * time.Millisecond
	defaultKeepAlive      = time.Second
	defaultOrphanTimeout  = 30 * time.Second
	defaultCacheBlocks    = 64
	defaultMaxTokens      = 16
	bytesPerToken         = 4
)

// withDefaults returns o with defaults in place of zero fields.
func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.Name, "engine")
	setDefault(&o.BatchLimit, defaultBatchLimit)
	setDefault(&o.ColdLimit, defaultColdLimit)
	setDefault(&o.WarmupRequests, defaultWarmupRequests)
	setDefault(&o.TokensPerFrame, defaultTokensPerFrame)
	setDefault(&o.TokenTime, defaultTokenTime)
	setDefault(&o.KeepAlive, defaultKeepAlive)
	setDefault(&o.OrphanTimeout, defaultOrphanTimeout)
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	if o.OutputTokens == nil {
		o.OutputTokens = func(_ string, maxTokens int64) int64 { return maxTokens }
	}
	return o
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Arrival describes a generate request that the engine received in full.
type Arrival struct {
	RequestID string
	Prompt    string
	Attempt   int
	Instance  fleet.InstanceID
	BootID    string
	At        time.Time
	// Resume reports whether the request asked to resume a run. Refused is the
	// reason if the engine refused the request, or empty.
	Resume  bool
	Refused string
}

// Engine simulates a model engine.
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

// Peak holds the highest numbers of requests that ran at once since the last boot,
// the limits on them, and the number of crashes since the engine was created: in all
// and those due to overload while cold.
type Peak struct {
	Running, ColdRunning   int
	BatchLimit, ColdLimit  int
	Crashes, ColdOverloads int
}

// NewEngine returns a cold engine on its first boot.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{opts: opts.withDefaults(), crashPrompts: make(map[string]bool)}
	e.mux = e.routes()
	e.startBoot()
	return e
}

// startBoot begins a new boot with an empty state. e.mu must be held, unless the
// engine is not shared yet.
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

// bootID returns the ID of the current boot. e.mu must be held.
func (e *Engine) bootID() string { return fmt.Sprintf("%s-%d", e.opts.Name, e.boot) }

// locked calls f with e.mu held.
func (e *Engine) locked(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// Crash restarts the engine: it aborts every stream, drops every run, and begins a new
// boot, cold and with a new boot ID.
func (e *Engine) Crash() { e.locked(e.crash) }

// crash implements Crash. e.mu must be held.
func (e *Engine) crash() {
	e.peak.Crashes++
	e.abortRuns()
	e.downUntil = time.Now().Add(e.opts.RestartTime)
	e.startBoot()
}

// abortRuns aborts every run. e.mu must be held.
func (e *Engine) abortRuns() {
	for _, r := range e.runs {
		r.end(runAborted)
	}
}

// Close aborts every run, so that no goroutine remains. Later connections are
// aborted.
func (e *Engine) Close() {
	e.locked(func() {
		e.closed = true
		e.abortRuns()
	})
}

// SetCold makes the engine cold without a new boot.
func (e *Engine) SetCold() { e.setState(fleet.TargetCold) }

// SetReady makes the engine ready without a new boot.
func (e *Engine) SetReady() { e.setState(fleet.TargetReady) }

// setState sets the state and restarts the count of warm-up requests.
func (e *Engine) setState(s fleet.TargetState) {
	e.locked(func() {
		e.state, e.warmupCompleted = s, 0
		e.recordLoad(0)
	})
}

// SetLeaving makes the engine report that it is leaving. It still serves requests.
func (e *Engine) SetLeaving() {
	e.locked(func() {
		e.leaving = true
		e.recordLoad(0)
	})
}

// CrashOn makes the engine crash whenever a request with the prompt starts to run.
func (e *Engine) CrashOn(prompt string) { e.locked(func() { e.crashPrompts[prompt] = true }) }

// Arrivals returns the generate requests received so far, in order of arrival.
func (e *Engine) Arrivals() (arrivals []Arrival) {
	e.locked(func() { arrivals = slices.Clone(e.arrivals) })
	return arrivals
}

// Orders returns the orders carried out so far, in order of arrival.
func (e *Engine) Orders() (orders []enginewire.Order) {
	e.locked(func() { orders = slices.Clone(e.orders) })
	return orders
}

// Peak returns the peak load since the last boot, the limits and the crash counts.
func (e *Engine) Peak() (p Peak) {
	e.locked(func() { p = e.peak })
	p.BatchLimit, p.ColdLimit = e.opts.BatchLimit, e.opts.ColdLimit
	return p
}

// CurrentLoad returns the current load, regardless of ReportLag.
func (e *Engine) CurrentLoad() (r fleet.LoadReport) {
	e.locked(func() { r = e.load.last() })
	return r
}
