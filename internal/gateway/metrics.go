package gateway

import (
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"medlarwind.dev/medlarwind/internal/earlyrefusal"
	"medlarwind.dev/medlarwind/internal/ingress"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// metrics holds the counters and latency histograms of one gateway.
type metrics struct {
	requests         expvar.Map
	reasons          expvar.Map
	closedUnanswered expvar.Map
	// closedIdle counts the connections without a request that were closed, by reason.
	closedIdle expvar.Map
	// endedBy counts the requests without a complete answer or a refusal by who ended them.
	endedBy expvar.Map
	// retriesRefused counts the refusals of retries, and gaveUp those that followed an
	// attempt which this instance had given up, both by the reason of the refusal.
	retriesRefused   expvar.Map
	gaveUp           expvar.Map
	shares           atomic.Pointer[scheduler.ShareReport]
	platformCalls    expvar.Int
	platformFailures expvar.Int
	// failureCauses counts the failed calls to the platform by their cause.
	failureCauses expvar.Map
	// era is the platform's era that the records are of, eraChanges the number of changes.
	era, eraChanges expvar.Int
	// behind is 1 while the instance falls behind, timesBehind counts how often it began to.
	behind, timesBehind expvar.Int
	logDropped          func() int64
	// prefixes returns the counters of prefix fetches. It may be nil.
	prefixes func() scheduler.PrefixCounters
	// backups returns the counters of the copies of runs, continuations counts the broken runs with a copy
	// by what became of them.
	backups       func() scheduler.BackupCounters
	continuations expvar.Map
	// loads returns what is known of the load of targets by their reports.
	loads func() scheduler.LoadState
	// isolation returns the counters of the isolation of long prefills.
	isolation func() scheduler.IsolationCounters
	// early counts the new connections that were read while the processor was late, by verdict.
	// drainedBytes is what was read of refused bodies after the refusal, drainsCut how many were not
	// read whole.
	early                   expvar.Map
	drainedBytes, drainsCut expvar.Int
	// handedOver counts the connections handed over to peers, by result, handOverTaken those taken over
	// from peers, handOverRefused those that peers offered in vain.
	handedOver                     expvar.Map
	handOverTaken, handOverRefused expvar.Int

	// mu guards the histograms.
	mu        sync.Mutex
	firstByte *hdrhistogram.Histogram
	waited    *hdrhistogram.Histogram
	// reportAge is the age of the oldest peer's report in use, once a second.
	reportAge *hdrhistogram.Histogram
	// listingAge is the age of the list of targets at each send, sends the sends since the last
	// line on the records.
	listingAge *hdrhistogram.Histogram
	// heartbeatGap is the time between two heartbeats from a peer.
	heartbeatGap *hdrhistogram.Histogram
	sends        sendSummary
}

// Range of the latency histograms in milliseconds, and their number of significant digits.
const (
	latencyMin    = 1
	latencyMax    = 60_000
	latencyDigits = 2
)

func newMetrics(logDropped func() int64) *metrics {
	m := &metrics{
		logDropped: logDropped,
		firstByte:  hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
		waited:     hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
		reportAge:  hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
		listingAge: hdrhistogram.New(latencyMin, latencyMax, latencyDigits),

		heartbeatGap: hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
	}
	m.requests.Init()
	m.reasons.Init()
	m.closedUnanswered.Init()
	m.closedIdle.Init()
	m.endedBy.Init()
	m.retriesRefused.Init()
	m.gaveUp.Init()
	m.failureCauses.Init()
	m.early.Init()
	m.handedOver.Init()
	m.continuations.Init()
	m.shares.Store(&scheduler.ShareReport{})
	return m
}

// latency is the summary of a histogram, in milliseconds.
type latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// summary returns the count and quantiles of a histogram.
func (m *metrics) summary(h *hdrhistogram.Histogram) latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	return latency{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

// recordDuration adds a duration to a histogram. Values outside its range are recorded as
// its lowest or highest value.
func (m *metrics) recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(d.Milliseconds(), latencyMin), latencyMax))
}

// recordRequest counts a finished request and records its latency.
func (m *metrics) recordRequest(r ingress.Report) {
	m.requests.Add("total", 1)
	m.requests.Add("sends", int64(r.Sends))
	switch {
	case r.Status == 0:
		m.requests.Add("cut", 1)
	case r.OwnAnswer:
		m.requests.Add("refused", 1)
	default:
		m.requests.Add("answered", 1)
	}
	if r.FirstByte > 0 && !r.OwnAnswer {
		m.recordDuration(m.firstByte, r.FirstByte)
		m.recordDuration(m.waited, r.Waited)
	}
	if r.Reason != "" {
		m.reasons.Add(r.Reason, 1)
	}
	if r.Continuation != "" {
		m.continuations.Add(string(r.Continuation), 1)
	}
	if r.RetryRefused != "" {
		m.retriesRefused.Add(r.RetryRefused, 1)
		if r.GaveUp {
			m.gaveUp.Add(r.RetryRefused, 1)
		}
	}
	if r.EndedBy != "" {
		m.endedBy.Add(string(r.EndedBy), 1)
	}
	if r.Aborted {
		m.addUnanswered(closedByAbort, 1)
	}
}

// countEarly counts a new connection that was read while the processor was late. An early refusal counts
// as a refused request, too.
func (m *metrics) countEarly(v earlyrefusal.Verdict) {
	m.early.Add(string(v), 1)
	if v == earlyrefusal.Refused {
		m.requests.Add("total", 1)
		m.requests.Add("refused", 1)
		m.reasons.Add(string(scheduler.ReasonInstanceBusy), 1)
	}
}

// countHandOver counts a connection that was handed over.
func (m *metrics) countHandOver(r handOverResult) { m.handedOver.Add(string(r), 1) }

// recordDrain records that n bytes of a refused body were read after the refusal; complete is false if
// more were due.
func (m *metrics) recordDrain(n int64, complete bool) {
	m.drainedBytes.Add(n)
	if !complete {
		m.drainsCut.Add(1)
	}
}

// addUnanswered counts connections that were closed while a request on them was
// unanswered.
func (m *metrics) addUnanswered(by connCloser, n int) { m.closedUnanswered.Add(string(by), int64(n)) }

// recordPlatformCall counts a call to the platform and its failure, if it has failed.
func (m *metrics) recordPlatformCall(failure readFailure) {
	m.platformCalls.Add(1)
	if failure != readSucceeded {
		m.platformFailures.Add(1)
		m.failureCauses.Add(string(failure), 1)
	}
}

// setBehind records that the instance begins to fall behind or no longer does.
func (m *metrics) setBehind(behind bool) {
	if !behind {
		m.behind.Set(0)
		return
	}
	m.behind.Set(1)
	m.timesBehind.Add(1)
}

// recordShares replaces the gauges of the shares and records the age of the reports.
func (m *metrics) recordShares(r scheduler.ShareReport) {
	m.shares.Store(&r)
	if r.Reports > 0 {
		m.recordDuration(m.reportAge, r.OldestReport)
	}
}

// shareGauges are the latest shares, in tokens, and what they rest on.
type shareGauges struct {
	Nominal    int64 `json:"nominal"`
	Effective  int64 `json:"effective"`
	Throughput int64 `json:"throughput"`
	Customers  int   `json:"customers"`
	Instances  int   `json:"instances"`
	Reports    int   `json:"reports"`
}

func (m *metrics) shareGauges() shareGauges {
	r := m.shares.Load()
	return shareGauges{
		Nominal: int64(r.Nominal), Effective: int64(r.Effective), Throughput: int64(r.Throughput),
		Customers: r.Customers, Instances: r.Instances, Reports: r.Reports,
	}
}

// handler returns a handler that serves the metrics as JSON.
func (m *metrics) handler() http.Handler {
	all := new(expvar.Map).Init()
	all.Set("requests", &m.requests)
	all.Set("reasons", &m.reasons)
	all.Set("closed_unanswered", &m.closedUnanswered)
	all.Set("closed_idle", &m.closedIdle)
	all.Set("ended_by", &m.endedBy)
	all.Set("retries_refused", &m.retriesRefused)
	all.Set("gave_up_unreplaced", &m.gaveUp)
	all.Set("shares", expvar.Func(func() any { return m.shareGauges() }))
	all.Set("starts", expvar.Func(func() any { return m.startGauges() }))
	all.Set("report_age_ms", expvar.Func(func() any { return m.summary(m.reportAge) }))
	all.Set("platform_calls", &m.platformCalls)
	all.Set("platform_failures", &m.platformFailures)
	all.Set("platform_failure_causes", &m.failureCauses)
	all.Set("listing_age_ms", expvar.Func(func() any { return m.summary(m.listingAge) }))
	all.Set("heartbeat_gap_ms", expvar.Func(func() any { return m.summary(m.heartbeatGap) }))
	all.Set("store_era", &m.era)
	all.Set("store_era_changes", &m.eraChanges)
	all.Set("early_connections", &m.early)
	all.Set("early_drained_bytes", &m.drainedBytes)
	all.Set("early_drains_cut", &m.drainsCut)
	all.Set("handed_over_connections", &m.handedOver)
	all.Set("taken_over_connections", &m.handOverTaken)
	all.Set("taken_over_refused", &m.handOverRefused)
	all.Set("behind", &m.behind)
	all.Set("times_behind", &m.timesBehind)
	all.Set("first_byte_ms", expvar.Func(func() any { return m.summary(m.firstByte) }))
	all.Set("waited_ms", expvar.Func(func() any { return m.summary(m.waited) }))
	if m.prefixes != nil {
		all.Set("prefix_fetch", expvar.Func(func() any { return gaugesOf(m.prefixes()) }))
	}
	if m.backups != nil {
		all.Set("run_backups", expvar.Func(func() any { return m.backups() }))
	}
	all.Set("run_continuations", &m.continuations)
	if m.isolation != nil {
		all.Set("prefill_isolation", expvar.Func(func() any { return m.isolation() }))
	}
	if m.loads != nil {
		all.Set("load_reports", expvar.Func(func() any { return m.loads() }))
	}
	if m.logDropped != nil {
		all.Set("log_lines_dropped", expvar.Func(func() any { return m.logDropped() }))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(all.String()))
	})
	return mux
}
