//go:build !race

package observe

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

func TestHotPathsDoNotAllocate(t *testing.T) {
	d := NewDecisionLog(zerolog.New(io.Discard))
	m := NewMetrics(time.Now)
	granted := &Granted{Customer: "c", Target: "t", Alternatives: aAlternatives}
	started := &Started{Request: aRequest}
	finished := &Finished{Request: aRequest}
	paths := map[string]func(){
		"granted":   func() { d.Granted(granted) },
		"started":   func() { d.Started(started) },
		"finished":  func() { d.Finished(finished) },
		"service":   func() { m.AddService("c", 1) },
		"target":    func() { m.SetTarget("t", 1, 2) },
		"histogram": func() { m.Wait.Record(time.Second) },
	}
	for name, path := range paths {
		if n := testing.AllocsPerRun(1000, path); n > 0 {
			t.Errorf("%s: %v allocations", name, n)
		}
	}
}
