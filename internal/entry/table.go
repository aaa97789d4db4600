package entry

import (
	"context"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// answerEntry holds the answer of one request and the function that cancels it.
type answerEntry struct {
	answer *answer
	cancel context.CancelFunc

	mu         sync.Mutex
	graceTimer *time.Timer
}

// startGrace starts the grace period. At its end the request is cancelled and remove
// is called, unless stopGrace was called before.
func (e *answerEntry) startGrace(grace time.Duration, remove func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopTimer()
	e.graceTimer = time.AfterFunc(grace, func() {
		e.cancel()
		remove()
	})
}

// stopGrace stops the grace period, when a reader attaches or the answer is evicted.
func (e *answerEntry) stopGrace() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopTimer()
}

// stopTimer stops the timer of the grace period. e.mu must be held.
func (e *answerEntry) stopTimer() {
	if e.graceTimer != nil {
		e.graceTimer.Stop()
		e.graceTimer = nil
	}
}

// answerTable maps request ids to answers. It holds at most limit running requests and
// at most limit ended answers, and evicts the answer that ended first. It is safe for
// concurrent use.
type answerTable struct {
	limit int

	mu      sync.Mutex
	entries map[string]*answerEntry
	running int
	// ended lists the ids of ended answers, oldest first. Some of these answers may
	// have been removed already.
	ended []string
}

func newAnswerTable(limit int) *answerTable {
	return &answerTable{limit: limit, entries: make(map[string]*answerEntry)}
}

// add adds the answer of a running request. It returns false if limit requests are
// already running.
func (t *answerTable) add(e *answerEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.limit {
		return false
	}
	t.running++
	t.entries[e.answer.id] = e
	return true
}

// end records the end of a request. Its answer is kept, so that callers can attach
// again, unless it is empty.
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

// evict removes an ended answer. Attached readers can read it to its end. t.mu must be
// held.
func (t *answerTable) evict(id string) {
	if e := t.entries[id]; e != nil {
		e.stopGrace()
		delete(t.entries, id)
	}
}

// get returns the answer with this id, or nil if the customer has none.
func (t *answerTable) get(id string, customer fleet.CustomerID) *answerEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.answer.customer != customer {
		return nil
	}
	return e
}

func (t *answerTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, id)
}

// close stops all grace periods.
func (t *answerTable) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.stopGrace()
	}
}
