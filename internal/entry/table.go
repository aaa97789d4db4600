package entry

import (
	"context"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// heldAnswer is one request's answer with the means to stop the request.
type heldAnswer struct {
	answer *answer
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
}

// abandon cancels the request and runs remove after the grace period, unless a
// reader attaches before.
func (h *heldAnswer) abandon(grace time.Duration, remove func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopTimer()
	h.timer = time.AfterFunc(grace, func() {
		h.cancel()
		remove()
	})
}

// attached ends the grace period; so does dropping the answer.
func (h *heldAnswer) attached() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopTimer()
}

func (h *heldAnswer) stopTimer() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
}

// answerTable finds answers by request id. It holds at most limit running requests
// and at most limit ended answers; the answer that ended first makes room. It is safe
// for concurrent use.
type answerTable struct {
	limit int

	mu      sync.Mutex
	held    map[string]*heldAnswer
	running int
	// ended holds the ids of ended answers, oldest first; some may be gone.
	ended []string
}

func newAnswerTable(limit int) *answerTable {
	return &answerTable{limit: limit, held: make(map[string]*heldAnswer)}
}

// add holds a running request's answer; false if too many run.
func (t *answerTable) add(h *heldAnswer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.limit {
		return false
	}
	t.running++
	t.held[h.answer.id] = h
	return true
}

// end notes that a request ended. Its answer is kept for attaching again if there is
// any of it.
func (t *answerTable) end(a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if a.empty() {
		delete(t.held, a.id)
		return
	}
	t.ended = append(t.ended, a.id)
	if len(t.ended) > t.limit {
		t.drop(t.ended[0])
		t.ended = t.ended[1:]
	}
}

// drop forgets an ended answer; readers that are attached go on.
func (t *answerTable) drop(id string) {
	if h := t.held[id]; h != nil {
		h.attached()
		delete(t.held, id)
	}
}

// get finds a customer's own answer; nil if there is none.
func (t *answerTable) get(id string, customer fleet.CustomerID) *heldAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.held[id]
	if h == nil || h.answer.customer != customer {
		return nil
	}
	return h
}

func (t *answerTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.held, id)
}

// close ends all grace periods.
func (t *answerTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.held {
		h.attached()
	}
}
