package observe

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a Histogram. Values outside the range count as its ends.
const (
	histogramMin    = time.Microsecond
	histogramMax    = time.Hour
	histogramDigits = 2
	// recentWindows windows of recentWindow each make up the recent figures.
	recentWindows = 4
	recentWindow  = 15 * time.Second
)

// Histogram counts durations, to two significant digits, since the start and in the
// last minute. It is an expvar.Var. It is safe for concurrent use; Record takes
// constant time, and a Histogram some 160 KB.
type Histogram struct {
	now func() time.Time

	mu      sync.Mutex
	total   *hdrhistogram.Histogram
	recent  *hdrhistogram.WindowedHistogram
	rotated time.Time
}

// NewHistogram returns an empty Histogram. now is the clock.
func NewHistogram(now func() time.Time) *Histogram {
	low, high := histogramMin.Microseconds(), histogramMax.Microseconds()
	return &Histogram{
		now:     now,
		total:   hdrhistogram.New(low, high, histogramDigits),
		recent:  hdrhistogram.NewWindowed(recentWindows, low, high, histogramDigits),
		rotated: now(),
	}
}

// Record counts d.
func (h *Histogram) Record(d time.Duration) {
	value := min(max(d, histogramMin), histogramMax).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	_ = h.total.RecordValue(value)
	_ = h.recent.Current.RecordValue(value)
}

// rotate drops windows that are over. After a long pause it drops them all.
func (h *Histogram) rotate() {
	over := int(h.now().Sub(h.rotated) / recentWindow)
	if over <= 0 {
		return
	}
	for range min(over, recentWindows) {
		h.recent.Rotate()
	}
	h.rotated = h.rotated.Add(time.Duration(over) * recentWindow)
}

// Quantiles are figures of a Histogram in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// HistogramSnapshot are what a Histogram shows.
type HistogramSnapshot struct {
	Total  Quantiles `json:"total"`
	Recent Quantiles `json:"recent"`
}

// Snapshot returns the quantiles.
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

// String implements expvar.Var.
func (h *Histogram) String() string {
	text, err := json.Marshal(h.Snapshot())
	if err != nil {
		return "null"
	}
	return string(text)
}
