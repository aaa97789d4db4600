package ingress

import (
	"maps"
	"sync"
)

// unansweredRequests holds the ids of the requests being served, by the caller's address.
// A connection carries one request at a time.
type unansweredRequests struct {
	mu  sync.Mutex
	ids map[string]string
}

func (u *unansweredRequests) add(caller, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = make(map[string]string)
	}
	u.ids[caller] = id
}

func (u *unansweredRequests) remove(caller string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.ids, caller)
}

// Unanswered returns the ids of the requests being served, by the caller's address.
func (h *Handler) Unanswered() map[string]string {
	h.unanswered.mu.Lock()
	defer h.unanswered.mu.Unlock()
	return maps.Clone(h.unanswered.ids)
}
