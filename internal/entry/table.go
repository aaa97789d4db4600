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

// attached ends the grace period.
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

// answerTable finds answers by request id, bounded in number. It is safe for
// concurrent use.
type answerTable struct {
	limit int

	mu   sync.Mutex
	held map[string]*heldAnswer
}

func newAnswerTable(limit int) *answerTable {
	return &answerTable{limit: limit, held: make(map[string]*heldAnswer)}
}

// add holds an answer; false if the table is full.
func (t *answerTable) add(h *heldAnswer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.held) >= t.limit {
		return false
	}
	t.held[h.answer.id] = h
	return true
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
