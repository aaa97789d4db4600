package observe

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a Histogram. Values outside the range are clamped to it.
const (
	histogramMin    = time.Microsecond
	histogramMax    = time.Hour
	histogramDigits = 2
	// The recent quantiles cover recentWindows windows of length recentWindow, the last
	// one still in progress.
	recentWindows = 4
	recentWindow  = 15 * time.Second
)

// Histogram records durations to two significant digits, in total since the start and
// for the last minute. It implements expvar.Var and is safe for concurrent use. Record
// takes constant time. A Histogram takes about 160 KB of memory.
type Histogram struct {
	now func() time.Time

	mu           sync.Mutex
	total        *hdrhistogram.Histogram
	recent       *hdrhistogram.WindowedHistogram
	lastRotation time.Time
}

// NewHistogram returns an empty Histogram that reads the time from now.
func NewHistogram(now func() time.Time) *Histogram {
	low, high := histogramMin.Microseconds(), histogramMax.Microseconds()
	return &Histogram{
		now:          now,
		total:        hdrhistogram.New(low, high, histogramDigits),
		recent:       hdrhistogram.NewWindowed(recentWindows, low, high, histogramDigits),
		lastRotation: now(),
	}
}

// Record adds d to the histogram.
func (h *Histogram) Record(d time.Duration) {
	value := min(max(d, histogramMin), histogramMax).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	_ = h.total.RecordValue(value)
	_ = h.recent.Current.RecordValue(value)
}

// rotate drops the windows that have expired, which are all of them after a long
// pause. h.mu must be held.
func (h *Histogram) rotate() {
	elapsedWindows := int(h.now().Sub(h.lastRotation) / recentWindow)
	if elapsedWindows <= 0 {
		return
	}
	for range min(elapsedWindows, recentWindows) {
		h.recent.Rotate()
	}
	h.lastRotation = h.lastRotation.Add(time.Duration(elapsedWindows) * recentWindow)
}

// Quantiles holds the number of values in a Histogram, and their quantiles and maximum
// in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// HistogramSnapshot holds the values that a Histogram publishes.
type HistogramSnapshot struct {
	Total  Quantiles `json:"total"`
	Recent Quantiles `json:"recent"`
}

// Snapshot returns the quantiles since the start and for the last minute.
func (h *Histogram) Snapshot() HistogramSnapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	return HistogramSnapshot{Total: quantiles(h.total), Recent: quantiles(h.recent.Merge())}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}

// String implements expvar.Var. It returns the snapshot as JSON.
func (h *Histogram) String() string {
	text, err := json.Marshal(h.Snapshot())
	if err != nil {
		return "null"
	}
	return string(text)
}
