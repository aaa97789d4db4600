package observe

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// TestMetricsAsJSON checks that concurrent updates all reach the published JSON and that
// the operators' page describes every metric.
func TestMetricsAsJSON(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewMetrics(func() time.Time { return now })
	m.SetControlTraffic(func() ControlTraffic { return ControlTraffic{Region: ScopeTraffic{BytesSent: 5}} })
	m.SetTarget("t", 1, 4)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			m.AddService(`c"1`, 3)
			m.AddStarted()
			m.AddRefused("queue_full")
			m.AddFinished(OutcomeOK)
			m.AddUnknown()
			m.AddCrossRegion(2, 1)
			m.AddPlatformRead("list")
			m.Wait.Record(100 * time.Millisecond)
			_ = m.String()
		})
	}
	group.Wait()
	m.SetConfigVersion(7)
	now = now.Add(10 * time.Second)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	var got map[string]any
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	for name := range got {
		if !documentedFields(t)["Figures"][name] {
			t.Errorf("metric %s is not documented", name)
		}
	}
	want := map[string]any{
		"service_cost":               map[string]any{`c"1`: 24.0},
		"requests_started":           8.0,
		"requests_refused":           map[string]any{"queue_full": 8.0},
		"requests_finished":          map[string]any{"ok": 8.0},
		"requests_unknown":           8.0,
		"request_bytes_cross_region": map[string]any{"sent": 16.0, "received": 8.0},
		"platform_reads":             map[string]any{"list": 8.0},
		"config_version":             7.0,
		"target_running":             map[string]any{"t": 1.0},
		"utilisation":                map[string]any{"busy_slot_seconds": 10.0, "limit_slot_seconds": 40.0},
	}
	for name, value := range want {
		if !reflect.DeepEqual(got[name], value) {
			t.Errorf("%s is %v, want %v", name, got[name], value)
		}
	}
	if sent := got["control"].(map[string]any)["region"].(map[string]any)["bytes_sent"]; sent != 5.0 {
		t.Errorf("control traffic has bytes_sent = %v for the region, want 5", sent)
	}
}

// TestHistogramRecentDropsOldValues checks that the recent count covers the last windows
// only, also after long pauses, that the total keeps every value and that values outside
// the range are clamped to it.
func TestHistogramRecentDropsOldValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		h := NewHistogram(func() time.Time { return now })
		var times []time.Time
		for _, pause := range rapid.SliceOfN(rapid.Int64Range(0, 200), 1, 30).Draw(t, "pauses") {
			now = now.Add(time.Duration(pause) * time.Second)
			h.Record(10 * time.Hour)
			times = append(times, now)
		}
		snapshot := h.Snapshot()
		var fewest, most int64
		for _, recorded := range times {
			if now.Sub(recorded) < (recentWindows-1)*recentWindow {
				fewest++
			}
			if now.Sub(recorded) < recentWindows*recentWindow {
				most++
			}
		}
		if got := snapshot.Recent.Count; got < fewest || got > most || snapshot.Total.Count != int64(len(times)) {
			t.Fatalf("snapshot %+v, want a recent count from %d to %d and every value in the total", snapshot, fewest, most)
		}
		if p99 := float64(snapshot.Total.P99); math.Abs(p99/float64(histogramMax.Microseconds())-1) > 0.01 {
			t.Fatalf("P99 of values above the range is %v µs, want the upper end of the range", p99)
		}
	})
}

// TestUtilisationIntegratesOverTime compares the slot time with its sum over all steps.
// Requests above a target's limit must not count as busy.
func TestUtilisationIntegratesOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		u := NewUtilisation(now)
		running, limits := [3]int{}, [3]int{}
		var busy, limit int
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "target")
			running[i], limits[i] = rapid.IntRange(0, 9).Draw(t, "running"), rapid.IntRange(0, 9).Draw(t, "limit")
			u.Set(now, fleet.TargetID(fmt.Sprint(i)), running[i], limits[i])
			seconds := rapid.IntRange(0, 9).Draw(t, "seconds")
			now = now.Add(time.Duration(seconds) * time.Second)
			for j := range running {
				busy += seconds * min(running[j], limits[j])
				limit += seconds * limits[j]
			}
		}
		if got := u.Total(now); got.Busy != float64(busy) || got.Limit != float64(limit) || got.Ratio() > 1 {
			t.Fatalf("total %+v, want %d busy of %d slot seconds", got, busy, limit)
		}
	})
}
