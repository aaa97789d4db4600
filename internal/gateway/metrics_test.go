package gateway

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/ingress"
	"medlarwind.dev/medlarwind/internal/scheduler"
)

// scrape returns the metrics as they are served.
func scrape(t *testing.T, m *metrics) map[string]any {
	t.Helper()
	w := httptest.NewRecorder()
	m.handler().ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var all map[string]any
	if err := json.Unmarshal(w.Body.Bytes(), &all); err != nil {
		t.Fatalf("%v in %s", err, w.Body)
	}
	return all
}

func member(all map[string]any, name, key string) any {
	values, _ := all[name].(map[string]any)
	return values[key]
}

// A refused retry is counted by its reason, apart from the target's failure, and once more
// if this instance had given the attempt up before.
func TestRefusedRetriesAreCountedByReason(t *testing.T) {
	m := newMetrics(nil)
	m.recordRequest(ingress.Report{Status: 502, OwnAnswer: true, Reason: "target_broken", RetryRefused: "busy", Sends: 1, Runs: 1})
	m.recordRequest(ingress.Report{Status: 200, Reason: "answer_broken", RetryRefused: "retry_budget", GaveUp: true, Aborted: true, Sends: 1, Runs: 1})
	m.recordRequest(ingress.Report{Status: 200, Reason: "answer_broken", GaveUp: true, Sends: 1, Runs: 1})
	all := scrape(t, m)
	for _, want := range []struct {
		name, key string
		value     any
	}{
		{"retries_refused", "busy", 1.0}, {"retries_refused", "retry_budget", 1.0},
		{"gave_up_unreplaced", "retry_budget", 1.0}, {"gave_up_unreplaced", "busy", nil},
		{"reasons", "target_broken", 1.0}, {"reasons", "answer_broken", 2.0}, {"reasons", "busy", nil},
		{"closed_unanswered", "abort", 1.0},
	} {
		if got := member(all, want.name, want.key); got != want.value {
			t.Errorf("%s of %s is %v, want %v", want.name, want.key, got, want.value)
		}
	}
}

func TestSharesAndReportAgeAreServed(t *testing.T) {
	m := newMetrics(nil)
	if got := member(scrape(t, m), "shares", "nominal"); got != 0.0 {
		t.Errorf("nominal share is %v before the first report, want 0", got)
	}
	m.recordShares(scheduler.ShareReport{
		Limited: true, Nominal: 1000, Effective: 1200, Throughput: 300, Customers: 4, Instances: 6, Reports: 5, OldestReport: 210 * time.Millisecond,
	})
	m.recordShares(scheduler.ShareReport{Limited: true, Nominal: 900, Effective: 1100, Throughput: 300, Customers: 4, Instances: 1})
	all := scrape(t, m)
	if member(all, "shares", "nominal") != 900.0 || member(all, "shares", "effective") != 1100.0 || member(all, "shares", "instances") != 1.0 {
		t.Errorf("shares are %v, want those of the latest report", all["shares"])
	}
	if member(all, "report_age_ms", "count") != 1.0 || member(all, "report_age_ms", "max") != 210.0 {
		t.Errorf("report_age_ms is %v, want one age of 210 ms: an instance without reports has none", all["report_age_ms"])
	}
}

// Without its counters an operator cannot see whether fetches replace prefills.
func TestPrefixCountersAreServed(t *testing.T) {
	m := newMetrics(nil)
	m.prefixes = func() scheduler.PrefixCounters { return scheduler.PrefixCounters{Fetches: 3, FetchedTokens: 16000} }
	all := scrape(t, m)
	if member(all, "prefix_fetch", "fetches") != 3.0 || member(all, "prefix_fetch", "fetched_tokens") != 16000.0 {
		t.Errorf("prefix_fetch is %v, want 3 fetches of 16000 tokens", all["prefix_fetch"])
	}
}
