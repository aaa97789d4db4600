package cli

import (
	"encoding/json"
	"net/http"

	"medlarwind.dev/medlarwind/internal/standin"
)

// PathStandinReport is where an engine or service stand-in tells what it received.
const PathStandinReport = "/standin/report"

// EngineReport is what an engine stand-in saw since its process started; the
// peaks are since the last boot.
type EngineReport struct {
	Peak     standin.Peak      `json:"peak"`
	Arrivals []standin.Arrival `json:"arrivals"`
}

// ServiceReport is how often a service stand-in ran the call with each id.
type ServiceReport struct {
	Runs map[string]int `json:"runs"`
}

// withReport serves a report beside a stand-in's own paths, also while the
// stand-in itself is down.
func withReport(h http.Handler, report func() any) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET "+PathStandinReport, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report())
	})
	return mux
}
