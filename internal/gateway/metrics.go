package gateway

import (
	"expvar"
	"net/http"

	"medlarwind.dev/medlarwind/internal/ingress"
)

// metrics are the counters of one gateway.
type metrics struct {
	requests      expvar.Map
	reasons       expvar.Map
	platformCalls expvar.Int
	platformFails expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{}
	m.requests.Init()
	m.reasons.Init()
	return m
}

// request counts a finished request.
func (m *metrics) request(r ingress.Report) {
	m.requests.Add("total", 1)
	m.requests.Add("sends", int64(r.Sends))
	switch {
	case r.Status == 0:
		m.requests.Add("cut", 1)
	case r.Own:
		m.requests.Add("refused", 1)
	default:
		m.requests.Add("answered", 1)
	}
	if r.Reason != "" {
		m.reasons.Add(r.Reason, 1)
	}
}

// platformCall counts a call to the platform.
func (m *metrics) platformCall(err error) {
	m.platformCalls.Add(1)
	if err != nil {
		m.platformFails.Add(1)
	}
}

// handler serves the metrics as JSON.
func (m *metrics) handler() http.Handler {
	all := new(expvar.Map).Init()
	all.Set("requests", &m.requests)
	all.Set("reasons", &m.reasons)
	all.Set("platform_calls", &m.platformCalls)
	all.Set("platform_failures", &m.platformFails)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(all.String()))
	})
	return mux
}
