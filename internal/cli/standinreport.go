package cli

import (
	"encoding/json"
	"net/http"

	"medlarwind.dev/medlarwind/internal/standin"
)

// PathStandinReport is the HTTP path at which an engine or service stand-in reports the
// requests that it has received.
const PathStandinReport = "/standin/report"

// EngineReport lists the requests that an engine stand-in has received since its process
// started. The peaks cover only the time since the last boot.
type EngineReport struct {
	Peak     standin.Peak      `json:"peak"`
	Arrivals []standin.Arrival `json:"arrivals"`
}

// ServiceReport holds how often a service stand-in ran the call with each call ID.
type ServiceReport struct {
	Runs map[string]int `json:"runs"`
}

// withReport returns a handler that serves a report next to the paths of h, even while the
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
