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

// PlatformOptions set the limits of a Platform. A zero rate means no limit.
type PlatformOptions struct {
	// ReadsPerSecond limits reads of the configuration and of the list together; a
	// long poll counts as one read.
	ReadsPerSecond int
	// WeightsPerMinute limits reads from the weight store.
	WeightsPerMinute int
	// MaxWait limits how long a long poll is held.
	MaxWait time.Duration
}

// defaultMaxWait is the default of PlatformOptions.MaxWait.
const defaultMaxWait = 30 * time.Second

// document is one version of the configuration or of the list.
type document struct {
	version uint64
	body    []byte
}

// snapshot holds the published documents by path.
type snapshot map[string]document

// Platform simulates the configuration service, the target list and the weight store.
type Platform struct {
	opts PlatformOptions
	mux  *http.ServeMux

	mu      sync.Mutex
	down    bool
	current snapshot
	stale   map[string]snapshot
	// changed is closed at the next change; it is nil while no read waits.
	changed       chan struct{}
	weights       map[string][]byte
	reads         map[string]int
	refused       int
	readWindow    rateWindow
	weightsWindow rateWindow
}

// rateWindow counts events in a fixed window of time.
type rateWindow struct {
	start time.Time
	count int
}

// take counts an event and returns 0. If limit was reached in the current window, it
// counts nothing and returns the time until the window ends. A limit of 0 is no limit.
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

// NewPlatform returns a platform that has published no configuration and no list.
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

// locked calls f with p.mu held.
func (p *Platform) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// publish replaces the document at the path and notifies waiting reads.
func (p *Platform) publish(path string, v document) {
	p.locked(func() {
		p.current[path] = v
		p.notifyWatches()
	})
}

// notifyWatches makes every waiting read check again. p.mu must be held.
func (p *Platform) notifyWatches() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// SetDown makes all reads fail, those of weights included, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// allHosts is the key in Platform.stale for readers whose host has no entry.
const allHosts = ""

// SetStale makes the readers at the given hosts see only what is published now, or all
// readers if no host is given.
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

// ClearStale undoes every SetStale.
func (p *Platform) ClearStale() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.stale)
	p.notifyWatches()
}

// SetWeights stores an object in the weight store.
func (p *Platform) SetWeights(name string, data []byte) { p.locked(func() { p.weights[name] = data }) }

// Reads returns the number of reads of a path; a long poll counts as one.
func (p *Platform) Reads(path string) (n int) {
	p.locked(func() { n = p.reads[path] })
	return n
}

// Refused returns the number of configuration and list reads refused by the rate limit.
func (p *Platform) Refused() (n int) {
	p.locked(func() { n = p.refused })
	return n
}

// ServeHTTP serves the HTTP interface of the platform.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// serveRead serves a read or a long poll of the configuration or the list.
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

// respond writes the document once its version is above after, or 204 No Content if
// that does not happen within wait.
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

// visibleDocument returns the document that the sender of r sees, whether the platform
// is down, and a channel that is closed at the next change.
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

// serveWeights serves a read from the weight store.
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

// writeRateLimited writes a 429 response with a Retry-After header.
func writeRateLimited(w http.ResponseWriter, retryAfter time.Duration) {
	seconds := (retryAfter + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	w.WriteHeader(http.StatusTooManyRequests)
}
