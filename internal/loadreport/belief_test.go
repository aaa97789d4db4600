package loadreport_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/loadreport"
)

const start = clock.Instant(time.Hour)

// believed returns a table with one target that made the reports, one each 200 ms up to start.
func believed(reports ...loadreport.Report) (*loadreport.Table, *loadreport.Belief) {
	table := loadreport.NewTable("a")
	for i, r := range reports {
		table.Observe("t", 1, r, start.Add(time.Duration(i-len(reports)+1)*200*time.Millisecond))
	}
	return table, table.Of("t")
}

func near(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance }

// An instance that gets no more reports, because it is cut off or the target is avoided, must not hold a target
// slow or full for good.
func TestEstimateDecays(t *testing.T) {
	_, b := believed(loadreport.Report{Running: 32, Waiting: 8, Slots: 32, Pace: 250})
	for _, test := range []struct {
		age           time.Duration
		pace, waiting float64
		running       int
	}{
		{0, 2.05, 8, 40}, {300 * time.Millisecond, 1.52, 4, 20}, {3 * time.Second, 1, 0, 0}, {20 * time.Second, 1, 0, 0},
	} {
		e := b.Estimate(0, 0, start.Add(test.age))
		if !near(e.Pace, test.pace, 0.01) || !near(e.Waiting, test.waiting, 0.1) || e.Running != test.running || e.Age != test.age {
			t.Errorf("after %v: %+v, want a pace of %v, %v waiting and %d in all", test.age, e, test.pace, test.waiting, test.running)
		}
	}
	if b.Has(1, start.Add(time.Minute)) {
		t.Error("a report of a minute ago is in use")
	}
}

// A machine that is always slow must stay so in the belief between its reports.
func TestPaceDecaysTowardsMean(t *testing.T) {
	var reports []loadreport.Report
	for range 200 {
		reports = append(reports, loadreport.Report{Slots: 32, Pace: 200})
	}
	_, b := believed(append(reports, loadreport.Report{Slots: 32, Pace: 100})...)
	if now, later := b.Estimate(0, 0, start).Pace, b.Estimate(0, 0, start.Add(2*time.Second)).Pace; !near(now, 1.3, 0.05) || !near(later, 1.85, 0.1) {
		t.Errorf("pace %v, after 2 s %v, want 0.7 of the way from the mean of 2 to 1, and near the mean", now, later)
	}
}

// Requests sent after a report must be added, and what the fleet knows of must not count beside the report.
func TestReportCountsEachRequestOnce(t *testing.T) {
	_, b := believed(loadreport.Report{Running: 10, Waiting: 2, Slots: 32, Pace: 100})
	for _, test := range []struct{ known, sent, want int }{{12, 0, 12}, {4, 0, 12}, {7, 3, 15}, {20, 0, 20}} {
		if got := b.Estimate(test.known, test.sent, start).Running; got != test.want {
			t.Errorf("%d known, %d sent since: %d at the target, want %d", test.known, test.sent, got, test.want)
		}
	}
}

// A restarted target must not inherit the load of its former start, nor a late report of that count.
func TestRestartedTargetHasNoBelief(t *testing.T) {
	table, b := believed(loadreport.Report{Slots: 32, Pace: 250}, loadreport.Report{Slots: 32, Pace: 250})
	if b.Has(2, start) {
		t.Error("the report of the former start counts for the next one")
	}
	table.Observe("t", 2, loadreport.Report{Slots: 32, Pace: 100}, start)
	table.Observe("t", 1, loadreport.Report{Slots: 32, Pace: 250}, start.Add(time.Second))
	if b.Has(1, start) || !near(b.Estimate(0, 0, start.Add(time.Second)).Pace, 1, 0.001) {
		t.Errorf("estimate %+v, want that of the second start alone", b.Estimate(0, 0, start))
	}
}

// Whatever targets say, in whatever order it arrives, an estimate must stay within bounds, and the newest report counts.
func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := loadreport.NewTable("a")
		newest, last := clock.Instant(0), loadreport.Report{}
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			figure := rapid.IntRange(-1, 1_000_001)
			r := loadreport.Report{
				Running: figure.Draw(t, "running"), Waiting: figure.Draw(t, "waiting"), Slots: figure.Draw(t, "slots"),
				Pace: rapid.IntRange(-1, 10_001).Draw(t, "pace"),
			}
			at := start.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "at")))
			table.Observe("t", 1, r, at)
			if r.IsValid() && at > newest {
				newest, last = at, r
			}
		}
		now := newest.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")))
		b := table.Of("t")
		if b.At() != newest || b.Slots() != last.Slots {
			t.Fatalf("the report in use is of %v, want the newest, of %v", b.At(), newest)
		}
		if !b.Has(1, now) {
			return
		}
		e := b.Estimate(3, 2, now)
		if !(e.Pace >= 1.0/8 && e.Pace <= 8) || !(e.Waiting >= 0 && e.Waiting <= 1e6) || e.Running < 3 || e.Running > 2e6+5 {
			t.Errorf("estimate %+v of %+v is out of bounds", e, last)
		}
	})
}
