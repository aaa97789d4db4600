package observe

import (
	"expvar"
	"net/http"
	"runtime/metrics"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Metrics holds the metrics of one instance. They are not published in expvar's
// process-wide table, so that one process can run several instances. All methods
// are safe for concurrent use, except that SetTarget and RemoveTarget must not run
// concurrently for the same target.
type Metrics struct {
	root expvar.Map

	serviceCost      expvar.Map
	started          expvar.Int
	refused          expvar.Map
	finished         expvar.Map
	unknown          expvar.Int
	running          expvar.Map
	crossRegionBytes expvar.Map
	configVersion    expvar.Int
	platformReads    expvar.Map

	utilisation *Utilisation
	now         func() time.Time

	// Wait is the time from admission to start, TimeToFirstToken that from start to
	// the first token, InterTokenLatency that between two tokens of one answer.
	Wait              *Histogram
	TimeToFirstToken  *Histogram
	InterTokenLatency *Histogram
}

// NewMetrics returns metrics that are all zero and read the time from now.
func NewMetrics(now func() time.Time) *Metrics {
	m := &Metrics{
		utilisation:       NewUtilisation(now()),
		now:               now,
		Wait:              NewHistogram(now),
		TimeToFirstToken:  NewHistogram(now),
		InterTokenLatency: NewHistogram(now),
	}
	m.root.Set("service_cost", &m.serviceCost)
	m.root.Set("requests_started", &m.started)
	m.root.Set("requests_refused", &m.refused)
	m.root.Set("requests_finished", &m.finished)
	m.root.Set("requests_unknown", &m.unknown)
	m.root.Set("target_running", &m.running)
	m.root.Set("utilisation", expvar.Func(m.readUtilisation))
	m.root.Set("request_bytes_cross_region", &m.crossRegionBytes)
	m.root.Set("config_version", &m.configVersion)
	m.root.Set("platform_reads", &m.platformReads)
	m.root.Set("wait_us", m.Wait)
	m.root.Set("first_token_us", m.TimeToFirstToken)
	m.root.Set("between_tokens_us", m.InterTokenLatency)
	m.root.Set("runtime", expvar.Func(readRuntimeStats))
	return m
}

// AddService adds cost, in cost units, to the service that a customer received.
func (m *Metrics) AddService(c fleet.CustomerID, cost fleet.Cost) {
	m.serviceCost.Add(string(c), int64(cost))
}

// RemoveCustomer removes the metrics of a customer that no longer exists.
func (m *Metrics) RemoveCustomer(c fleet.CustomerID) {
	m.serviceCost.Delete(string(c))
}

// AddStarted counts a request that was sent to a target.
func (m *Metrics) AddStarted() { m.started.Add(1) }

// AddRefused counts a refused request.
func (m *Metrics) AddRefused(r Reason) { m.refused.Add(string(r), 1) }

// AddFinished counts a request that ended.
func (m *Metrics) AddFinished(o Outcome) { m.finished.Add(string(o), 1) }

// AddUnknown counts an error sent to a caller because the outcome of its request is
// unknown.
func (m *Metrics) AddUnknown() { m.unknown.Add(1) }

// SetTarget sets the number of requests that run on an owned target and its limit. It
// must not be called concurrently with RemoveTarget for the same target.
func (m *Metrics) SetTarget(t fleet.TargetID, running, limit int) {
	m.running.Add(string(t), 0)
	m.running.Get(string(t)).(*expvar.Int).Set(int64(running))
	m.utilisation.Set(m.now(), t, running, limit)
}

// RemoveTarget removes the metrics of a target that this instance no longer owns.
func (m *Metrics) RemoveTarget(t fleet.TargetID) {
	m.running.Delete(string(t))
	m.utilisation.Set(m.now(), t, 0, 0)
}

// AddCrossRegion adds the bytes of requests and answers sent to and received from
// other regions.
func (m *Metrics) AddCrossRegion(sent, received int64) {
	m.crossRegionBytes.Add("sent", sent)
	m.crossRegionBytes.Add("received", received)
}

// SetConfigVersion sets the version of the configuration in force.
func (m *Metrics) SetConfigVersion(version uint64) { m.configVersion.Set(int64(version)) }

// AddPlatformRead counts a read of a resource of the platform: "list", "config" or
// "weights". A watch counts as one read, however long it waits.
func (m *Metrics) AddPlatformRead(resource string) { m.platformReads.Add(resource, 1) }

// ControlTraffic is the control traffic with other instances since the start, by
// distance.
type ControlTraffic struct {
	DataCentre  ScopeTraffic `json:"data_centre"`
	Region      ScopeTraffic `json:"region"`
	CrossRegion ScopeTraffic `json:"cross_region"`
}

// ScopeTraffic is the control traffic with the peers at one distance.
type ScopeTraffic struct {
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_received"`
	MessagesSent     int64 `json:"messages_sent"`
	MessagesReceived int64 `json:"messages_received"`
}

// SetControlTraffic sets the function that returns the control traffic to publish. read
// must be safe for concurrent use.
func (m *Metrics) SetControlTraffic(read func() ControlTraffic) {
	m.root.Set("control", expvar.Func(func() any { return read() }))
}

// Utilisation returns the slot time of the owned targets since the start.
func (m *Metrics) Utilisation() SlotTime { return m.utilisation.Total(m.now()) }

func (m *Metrics) readUtilisation() any { return m.Utilisation() }

// String returns all metrics as one JSON object.
func (m *Metrics) String() string { return m.root.String() }

// ServeHTTP responds with all metrics as one JSON object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(m.String()))
}

// runtimeStats holds the memory and goroutine counts of the process.
type runtimeStats struct {
	MemoryBytes uint64 `json:"memory_bytes"`
	HeapBytes   uint64 `json:"heap_bytes"`
	Goroutines  uint64 `json:"goroutines"`
}

func readRuntimeStats() any {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	return runtimeStats{
		MemoryBytes: samples[0].Value.Uint64(),
		HeapBytes:   samples[1].Value.Uint64(),
		Goroutines:  samples[2].Value.Uint64(),
	}
}
