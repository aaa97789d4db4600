package gateway

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/where"
)

// operatorHandler returns the handler of the operators' address. What it shows names customers and targets; no other
// address serves it.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", g.metrics.handler())
	mux.Handle("POST "+where.Path, whereHandler(g.handler.Where))
	return mux
}

// whereHandler answers questions where a request would go. It answers one after the other: each holds the scheduler's
// mutex for as long as some decisions take.
func whereHandler(ask func(where.Question) (where.Answer, error)) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := where.Decode(http.MaxBytesReader(w, r.Body, where.MaxBody))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, "body: is larger than 64 KiB", http.StatusRequestEntityTooLarge)
			return
		}
		var answer where.Answer
		if err == nil {
			mu.Lock()
			answer, err = ask(q)
			mu.Unlock()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_ = json.NewEncoder(w).Encode(answer)
	})
}
