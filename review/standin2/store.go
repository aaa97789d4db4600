//go:build review2

package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store. Its answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      uint64
	items    map[string]item
	log      []item
	down     bool
	changed  chan struct{}
}

// backup is a copy of the store's content.
type backup struct {
	revision uint64
	items    map[string]item
	log      []item
}

func newStore() *store {
	return &store{era: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// serve serves the store on an address until the process ends.
func (s *store) serve(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s) }()
	return nil
}

// put writes an item. It returns false while the store is away.
func (s *store) put(key string, value []byte) bool { return s.write(item{Key: key, Value: value}) }

func (s *store) write(it item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.log = append(s.log, it)
	s.wake()
	return true
}

// wake wakes the waiting watches. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) copy() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{s.revision, maps.Clone(s.items), slices.Clone(s.log)}
}

// setDown lets the store turn all calls away, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.log = b.revision, maps.Clone(b.items), slices.Clone(b.log)
	s.era++
	s.down = false
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathRange:
		s.serveRange(w, r)
	case pathWatch:
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageItems is the number of items of a page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wanted, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var entries []item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, wanted) && key > after {
			entries = append(entries, s.items[key])
		}
	}
	truncated := len(entries) > pageItems
	if truncated {
		entries = entries[:pageItems]
	}
	s.answer(w, map[string]any{"entries": entries, "truncated": truncated, "current_rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		changed := s.changed
		events := s.since(after, query.Get("prefix"))
		if s.down || after > s.revision || len(events) > 0 || last {
			defer s.mu.Unlock()
			switch {
			case s.down:
				w.WriteHeader(http.StatusServiceUnavailable)
			case after > s.revision:
				w.Header().Set(hdrEra, strconv.FormatUint(s.era, 10))
				w.WriteHeader(http.StatusGone)
			default:
				s.answer(w, map[string]any{"events": events, "current_rev": s.revision})
			}
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision. s.mu must be held.
func (s *store) since(after uint64, wanted string) []item {
	events := []item{}
	for _, it := range s.log {
		if it.Revision > after && strings.HasPrefix(it.Key, wanted) {
			events = append(events, it)
		}
	}
	return events
}

// answer writes an answer. s.mu must be held.
func (s *store) answer(w http.ResponseWriter, body any) {
	w.Header().Set(hdrEra, strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
