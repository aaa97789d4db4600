//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
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

// content is what a store holds at a revision.
type content struct {
	revision uint64
	items    map[string]item
	log      []item
}

func (c content) clone() content {
	copied := content{revision: c.revision, items: make(map[string]item), log: append([]item(nil), c.log...)}
	for k, v := range c.items {
		copied.items[k] = v
	}
	return copied
}

// store is a stand-in of the platform's store. Its answers are linearizable.
type store struct {
	mu      sync.Mutex
	content content
	era     uint64
	changed chan struct{}
	// away makes every call wait without an answer until the store is back or the caller gives up.
	away chan struct{}
}

func newStore() *store {
	return &store{content: content{revision: 100, items: make(map[string]item)}, era: 1, changed: make(chan struct{})}
}

// put writes a value; its return is the store's acknowledgement.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: text})
}

func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Deleted: true}) }

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.revision++
	i.Revision = s.content.revision
	if i.Deleted {
		delete(s.content.items, i.Key)
	} else {
		i.Created = i.Revision
		if old, ok := s.content.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.content.items[i.Key] = i
	}
	s.content.log = append(s.content.log, i)
	s.wake()
	return time.Now()
}

// wake answers the waiting watches. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns the content, for a later restore.
func (s *store) copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// leave makes the store go away: no call gets an answer.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = make(chan struct{})
	s.wake()
}

// isAway reports whether the store is away.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away != nil
}

// restore brings the store back, from a copy if there is one, in the next era then.
func (s *store) restore(from *content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from != nil {
		s.content = from.clone()
		s.era++
	}
	if s.away != nil {
		close(s.away)
		s.away = nil
	}
	s.wake()
}

// awaitPresence waits while the store is away. It returns false if the caller has gone.
func (s *store) awaitPresence(r *http.Request) bool {
	for {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away == nil {
			return true
		}
		select {
		case <-away:
			// A call that was lost while the store was away gets no answer.
			<-r.Context().Done()
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.awaitPresence(r) {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case pathRange:
		s.rangeOf(w, q.Get("prefix"), q.Get("after"))
	case pathWatch:
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageItems = 50

func (s *store) rangeOf(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.content.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > pageItems
	if truncated {
		keys = keys[:pageItems]
	}
	entries := make([]item, 0, len(keys))
	for _, k := range keys {
		entries = append(entries, s.content.items[k])
	}
	reply := map[string]any{"entries": entries, "truncated": truncated, "current_rev": s.content.revision}
	era := s.era
	s.mu.Unlock()
	s.reply(w, era, reply)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if s.away != nil {
			s.mu.Unlock()
			s.awaitPresence(r)
			panic(http.ErrAbortHandler)
		}
		revision, era, changed := s.content.revision, s.era, s.changed
		events := []item{}
		for _, i := range s.content.log {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after > revision {
			w.Header().Set(hdrEra, strconv.FormatUint(era, 10))
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			s.reply(w, era, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, era, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) reply(w http.ResponseWriter, era uint64, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(hdrEra, strconv.FormatUint(era, 10))
	_ = json.NewEncoder(w).Encode(body)
}

// serve serves a handler at an address until the process ends.
func serve(l net.Listener, h http.Handler) { go func() { _ = http.Serve(l, h) }() }
