package gateway

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/scheduler"
)

// The numbers of starts must be served also while no customer has a demand for tokens.
func TestStartsAreServed(t *testing.T) {
	m := newMetrics(nil)
	m.recordShares(scheduler.ShareReport{Starts: 70, MisplacedStarts: 3, LoadAge: 430 * time.Millisecond})
	all := scrape(t, m)
	if member(all, "starts", "total") != 70.0 || member(all, "starts", "misplaced") != 3.0 || member(all, "starts", "load_age_ms") != 430.0 {
		t.Errorf("starts are %v", all["starts"])
	}
}
