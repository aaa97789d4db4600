package observe

import (
	"expvar"
	"net/http"
	"runtime/metrics"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Metrics are the figures of one instance. They are not published in expvar's
// process-wide table, so that one process can hold several instances. All methods
// are safe for concurrent use.
type Metrics struct {
	root expvar.Map

	service  expvar.Map
	started  expvar.Int
	refused  expvar.Map
	finished expvar.Map
	unknown  expvar.Int
	running  expvar.Map
	crossed  expvar.Map
	config   expvar.Int
	reads    expvar.Map

	utilisation *Utilisation
	now         func() time.Time

	// Wait is the time from admission to start, FirstToken that from start to the
	// first token, BetweenTokens that between two tokens of one answer.
	Wait              *Histogram
	TimeToFirstToken  *Histogram
	InterTokenLatency *Histogram
}

// NewMetrics returns metrics at zero. now is the clock.
func NewMetrics(now func() time.Time) *Metrics {
	m := &Metrics{
		utilisation:       NewUtilisation(now()),
		now:               now,
		Wait:              NewHistogram(now),
		TimeToFirstToken:  NewHistogram(now),
		InterTokenLatency: NewHistogram(now),
	}
	m.root.Set("service_cost", &m.service)
	m.root.Set("requests_started", &m.started)
	m.root.Set("requests_refused", &m.refused)
	m.root.Set("requests_finished", &m.finished)
	m.root.Set("requests_unknown", &m.unknown)
	m.root.Set("target_running", &m.running)
	m.root.Set("utilisation", expvar.Func(m.readUtilisation))
	m.root.Set("request_bytes_cross_region", &m.crossed)
	m.root.Set("config_version", &m.config)
	m.root.Set("platform_reads", &m.reads)
	m.root.Set("wait_us", m.Wait)
	m.root.Set("first_token_us", m.TimeToFirstToken)
	m.root.Set("between_tokens_us", m.InterTokenLatency)
	m.root.Set("runtime", expvar.Func(readRuntime))
	return m
}

// AddService adds to a customer's service, in cost units.
func (m *Metrics) AddService(c fleet.CustomerID, cost fleet.Cost) {
	m.service.Add(string(c), int64(cost))
}

// RemoveCustomer removes a customer that no longer exists.
func (m *Metrics) RemoveCustomer(c fleet.CustomerID) {
	m.service.Delete(string(c))
}

// AddStarted counts a request that was sent to a target.
func (m *Metrics) AddStarted() { m.started.Add(1) }

// AddRefused counts a refused request.
func (m *Metrics) AddRefused(r Reason) { m.refused.Add(string(r), 1) }

// AddFinished counts a request that came to its end.
func (m *Metrics) AddFinished(o Outcome) { m.finished.Add(string(o), 1) }

// AddUnknown counts an answer that the outcome is unknown.
func (m *Metrics) AddUnknown() { m.unknown.Add(1) }

// SetTarget sets how many requests run on an owned target and how many may. It may
// not be called concurrently with ForgetTarget for the same target.
func (m *Metrics) SetTarget(t fleet.TargetID, running, limit int) {
	m.running.Add(string(t), 0)
	m.running.Get(string(t)).(*expvar.Int).Set(int64(running))
	m.utilisation.Set(m.now(), t, running, limit)
}

// RemoveTarget removes a target that this instance no longer owns.
func (m *Metrics) RemoveTarget(t fleet.TargetID) {
	m.running.Delete(string(t))
	m.utilisation.Set(m.now(), t, 0, 0)
}

// AddCrossRegion counts the bytes of requests and answers that crossed regions.
func (m *Metrics) AddCrossRegion(sent, received int64) {
	m.crossed.Add("sent", sent)
	m.crossed.Add("received", received)
}

// SetConfigVersion sets the version of the configuration in force.
func (m *Metrics) SetConfigVersion(version uint64) { m.config.Set(int64(version)) }

// AddPlatformRead counts a read of the platform by what was read: "list", "config" or
// "weights". A waiting watch is one read.
func (m *Metrics) AddPlatformRead(what string) { m.reads.Add(what, 1) }

// ControlTraffic is the traffic between instances, since the start.
type ControlTraffic struct {
	DataCentre  ScopeTraffic `json:"data_centre"`
	Region      ScopeTraffic `json:"region"`
	CrossRegion ScopeTraffic `json:"cross_region"`
}

// ScopeTraffic is the control traffic with peers at one distance.
type ScopeTraffic struct {
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_received"`
	MessagesSent     int64 `json:"messages_sent"`
	MessagesReceived int64 `json:"messages_received"`
}

// SetControlTraffic says where the control traffic is read from. read must be safe
// for concurrent use.
func (m *Metrics) SetControlTraffic(read func() ControlTraffic) {
	m.root.Set("control", expvar.Func(func() any { return read() }))
}

// Utilisation returns the use of the owned targets' slots since the start.
func (m *Metrics) Utilisation() SlotTime { return m.utilisation.Total(m.now()) }

func (m *Metrics) readUtilisation() any { return m.Utilisation() }

// String returns all figures as one JSON object.
func (m *Metrics) String() string { return m.root.String() }

// ServeHTTP answers with all figures as one JSON object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(m.String()))
}

// runtimeFigures are those of the process.
type runtimeFigures struct {
	MemoryBytes uint64 `json:"memory_bytes"`
	HeapBytes   uint64 `json:"heap_bytes"`
	Goroutines  uint64 `json:"goroutines"`
}

func readRuntime() any {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	return runtimeFigures{
		MemoryBytes: samples[0].Value.Uint64(),
		HeapBytes:   samples[1].Value.Uint64(),
		Goroutines:  samples[2].Value.Uint64(),
	}
}
