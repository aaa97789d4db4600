package entry

import (
	"context"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// answerEntry is one request's answer with the means to stop the request.
type answerEntry struct {
	answer *answer
	cancel context.CancelFunc

	mu         sync.Mutex
	graceTimer *time.Timer
}

// startGrace cancels the request and runs remove after the grace period, unless a
// reader attaches before.
func (h *answerEntry) startGrace(grace time.Duration, remove func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopTimer()
	h.graceTimer = time.AfterFunc(grace, func() {
		h.cancel()
		remove()
	})
}

// stopGrace ends the grace period; so does dropping the answer.
func (h *answerEntry) stopGrace() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopTimer()
}

func (h *answerEntry) stopTimer() {
	if h.graceTimer != nil {
		h.graceTimer.Stop()
		h.graceTimer = nil
	}
}

// answerTable finds answers by request id. It holds at most limit running requests
// and at most limit ended answers; the answer that ended first makes room. It is safe
// for concurrent use.
type answerTable struct {
	limit int

	mu      sync.Mutex
	entries map[string]*answerEntry
	running int
	// ended holds the ids of ended answers, oldest first; some may be gone.
	ended []string
}

func newAnswerTable(limit int) *answerTable {
	return &answerTable{limit: limit, entries: make(map[string]*answerEntry)}
}

// add holds a running request's answer; false if too many run.
func (t *answerTable) add(h *answerEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.limit {
		return false
	}
	t.running++
	t.entries[h.answer.id] = h
	return true
}

// end notes that a request ended. Its answer is kept for attaching again if there is
// any of it.
func (t *answerTable) end(a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if a.empty() {
		delete(t.entries, a.id)
		return
	}
	t.ended = append(t.ended, a.id)
	if len(t.ended) > t.limit {
		t.evict(t.ended[0])
		t.ended = t.ended[1:]
	}
}

// evict forgets an ended answer; readers that are attached go on.
func (t *answerTable) evict(id string) {
	if h := t.entries[id]; h != nil {
		h.stopGrace()
		delete(t.entries, id)
	}
}

// get finds a customer's own answer; nil if there is none.
func (t *answerTable) get(id string, customer fleet.CustomerID) *answerEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entries[id]
	if h == nil || h.answer.customer != customer {
		return nil
	}
	return h
}

func (t *answerTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, id)
}

// close ends all grace periods.
func (t *answerTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.entries {
		h.stopGrace()
	}
}
