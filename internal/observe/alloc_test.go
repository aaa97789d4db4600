//go:build !race

package observe

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestHotPathsDoNotAllocate checks that logging a decision and updating a metric, both
// done for every request, allocate no memory.
func TestHotPathsDoNotAllocate(t *testing.T) {
	d := NewDecisionLog(zerolog.New(io.Discard))
	m := NewMetrics(time.Now)
	granted := &Granted{Customer: "c", Target: "t", Alternatives: testAlternatives}
	started := &Started{Request: testRequest}
	finished := &Finished{Request: testRequest}
	calls := map[string]func(){
		"granted":   func() { d.Granted(granted) },
		"started":   func() { d.Started(started) },
		"finished":  func() { d.Finished(finished) },
		"service":   func() { m.AddService("c", 1) },
		"target":    func() { m.SetTarget("t", 1, 2) },
		"histogram": func() { m.Wait.Record(time.Second) },
	}
	for name, call := range calls {
		if n := testing.AllocsPerRun(1000, call); n > 0 {
			t.Errorf("%s: %v allocations per run, want 0", name, n)
		}
	}
}
