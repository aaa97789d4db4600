package standin

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/publisher"
)

// PlatformOptions bound what the platform answers. A zero rate is unlimited.
type PlatformOptions struct {
	// ReadsPerSecond bounds reads of the configuration and the list in all; a
	// waiting watch is one.
	ReadsPerSecond int
	// WeightsPerMinute bounds fetches of weights.
	WeightsPerMinute int
	// MaxWait bounds how long a watch is held.
	MaxWait time.Duration
}

// defaultMaxWait bounds how long a watch is held.
const defaultMaxWait = 30 * time.Second

// document is one version of something published.
type document struct {
	version uint64
	body    []byte
}

// snapshot is what a reader sees: configuration and list by path.
type snapshot map[string]document

// Platform is the configuration service, the list and the weight store.
type Platform struct {
	opts PlatformOptions
	mux  *http.ServeMux

	mu      sync.Mutex
	down    bool
	current snapshot
	stale   map[string]snapshot
	// changed is closed at the next change; it is nil while no watch waits.
	changed       chan struct{}
	weights       map[string][]byte
	reads         map[string]int
	refused       int
	readWindow    rateWindow
	weightsWindow rateWindow
}

// rateWindow counts events in the current period.
type rateWindow struct {
	start time.Time
	count int
}

// take counts one event, and returns how long to wait if limit is reached.
func (w *rateWindow) take(limit int, period time.Duration) time.Duration {
	now := time.Now()
	if now.Sub(w.start) >= period {
		w.start, w.count = now, 0
	}
	if limit > 0 && w.count >= limit {
		return w.start.Add(period).Sub(now)
	}
	w.count++
	return 0
}

// NewPlatform returns a platform with an empty list and no configuration.
func NewPlatform(opts PlatformOptions) *Platform {
	setDefault(&opts.MaxWait, defaultMaxWait)
	p := &Platform{
		opts:    opts,
		mux:     http.NewServeMux(),
		current: make(snapshot),
		stale:   make(map[string]snapshot),
		weights: make(map[string][]byte),
		reads:   make(map[string]int),
	}
	p.mux.HandleFunc("GET "+publisher.PathConfig, p.serveRead)
	p.mux.HandleFunc("GET "+publisher.PathList, p.serveRead)
	p.mux.HandleFunc("GET "+publisher.PathWeights+"{name}", p.serveWeights)
	return p
}

// SetConfig publishes a version of the configuration.
func (p *Platform) SetConfig(version uint64, text []byte) {
	p.publish(publisher.PathConfig, document{version, text})
}

// SetList publishes a list after the lag.
func (p *Platform) SetList(list fleet.List, lag time.Duration) {
	body, _ := json.Marshal(list)
	publish := func() { p.publish(publisher.PathList, document{list.Version, body}) }
	if lag == 0 {
		publish()
		return
	}
	time.AfterFunc(lag, publish)
}

// locked runs f with mu held.
func (p *Platform) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// publish replaces a value and wakes the watches.
func (p *Platform) publish(path string, v document) {
	p.locked(func() {
		p.current[path] = v
		p.notifyWatches()
	})
}

// notifyWatches makes the watches look again; mu is held.
func (p *Platform) notifyWatches() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// SetDown makes every read fail, or work again; weights too.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// allHosts is the key of stale that stands for all readers.
const allHosts = ""

// SetStale freezes what the readers at the given hosts see, or all readers if none
// is given.
func (p *Platform) SetStale(hosts ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	frozen := maps.Clone(p.current)
	if len(hosts) == 0 {
		hosts = []string{allHosts}
	}
	for _, host := range hosts {
		p.stale[host] = frozen
	}
}

// ClearStale ends all staleness.
func (p *Platform) ClearStale() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.stale)
	p.notifyWatches()
}

// SetWeights stores a value of the weight store.
func (p *Platform) SetWeights(name string, data []byte) { p.locked(func() { p.weights[name] = data }) }

// Reads returns how many reads of a path arrived; a waiting watch is one.
func (p *Platform) Reads(path string) (n int) {
	p.locked(func() { n = p.reads[path] })
	return n
}

// Refused returns how many reads the rate limit refused.
func (p *Platform) Refused() (n int) {
	p.locked(func() { n = p.refused })
	return n
}

// ServeHTTP serves the platform's interface.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// serveRead answers a read or a watch.
func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads[r.URL.Path]++
	retryAfter := p.readWindow.take(p.opts.ReadsPerSecond, time.Second)
	if retryAfter > 0 {
		p.refused++
	}
	p.mu.Unlock()
	if retryAfter > 0 {
		writeRateLimited(w, retryAfter)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get(publisher.QueryAfter), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get(publisher.QueryWait), 10, 64)
	if after == 0 {
		wait = 0
	}
	p.respond(w, r, after, min(time.Duration(wait)*time.Millisecond, p.opts.MaxWait))
}

// respond writes the value once it is above after, or says that none came in time.
func (p *Platform) respond(w http.ResponseWriter, r *http.Request, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		v, down, changed := p.visibleDocument(r)
		switch {
		case down || (after == 0 && v.version == 0):
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case v.version > after:
			w.Header().Set(publisher.HeaderVersion, strconv.FormatUint(v.version, 10))
			_, _ = w.Write(v.body)
			return
		case expired:
			w.Header().Set(publisher.HeaderVersion, strconv.FormatUint(v.version, 10))
			w.WriteHeader(http.StatusNoContent)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// visibleDocument returns what the reader of r sees now.
func (p *Platform) visibleDocument(r *http.Request) (document, bool, chan struct{}) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.current
	for _, key := range []string{allHosts, host} {
		if frozen, ok := p.stale[key]; ok {
			view = frozen
		}
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return view[r.URL.Path], p.down, p.changed
}

// serveWeights answers a fetch of weights.
func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads[publisher.PathWeights]++
	data, ok := p.weights[r.PathValue("name")]
	down := p.down
	retryAfter := p.weightsWindow.take(p.opts.WeightsPerMinute, time.Minute)
	p.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case retryAfter > 0:
		writeRateLimited(w, retryAfter)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.Write(data)
	}
}

// writeRateLimited refuses a read because of a rate limit.
func writeRateLimited(w http.ResponseWriter, retryAfter time.Duration) {
	seconds := (retryAfter + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	w.WriteHeader(http.StatusTooManyRequests)
}
