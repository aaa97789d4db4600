package instance

import (
	"encoding/json"
	"net/http"
)

// Paths served on the operator port.
const (
	PathStatus  = "/status"
	PathMetrics = "/debug/vars"
	PathHealth  = "/healthz"
)

// operatorHandler returns the handler for status, metrics and health.
func (i *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, i.serveStatus)
	mux.Handle("GET "+PathMetrics, i.core.metrics)
	mux.HandleFunc("GET "+PathHealth, i.serveHealth)
	return mux
}

func (i *Instance) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := i.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// serveHealth responds with 200 while the instance takes new work, else with 503.
func (i *Instance) serveHealth(w http.ResponseWriter, r *http.Request) {
	status, err := i.Status(r.Context())
	if err != nil || !status.Ready || status.Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
