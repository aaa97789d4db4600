//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the servers, as on the installations' sheets.
const (
	workTime          = 15 * time.Millisecond
	eventTime         = 60 * time.Millisecond
	promptTokensPerMs = 66.2
	serverAnswerBytes = 800
	serverSlots       = 64
)

// run is one run of a request at a server.
type run struct {
	server, attempt, tenant string
	after                   uint64
	began, ended            time.Time
	// whole says that the run came to its end; otherwise its channel was closed before.
	whole  bool
	events int
}

// ledger holds all runs.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) begin(r *run) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.began = time.Now()
	l.runs = append(l.runs, r)
	return r
}

func (l *ledger) end(r *run, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.whole = time.Now(), whole
}

// byAttempt returns copies of the runs by the id of their request, in the order in which they began.
func (l *ledger) byAttempt() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string][]run)
	for _, r := range l.runs {
		all[r.attempt] = append(all[r.attempt], *r)
	}
	return all
}

// server is a sound server of a service.
type server struct {
	id, service, zone, addr string
	born                    int64
	rec                     *record
	ledger                  *ledger
	streams                 bool

	mu sync.Mutex
	// silentUntil is the end of a silence: until then the server sends nothing.
	silentUntil time.Time
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s) }()
	return nil
}

// entry is the server's entry in the store.
func (s *server) entry() []byte {
	text, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": s.born,
	})
	return text
}

// fallSilent lets the server send nothing for d.
func (s *server) fallSilent(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
	s.rec.line("silence server=%s for=%v", s.id, d)
}

// awaitVoice waits until the server may send.
func (s *server) awaitVoice(ctx context.Context) error {
	for {
		s.mu.Lock()
		left := time.Until(s.silentUntil)
		s.mu.Unlock()
		if left <= 0 {
			return ctx.Err()
		}
		if err := pause(ctx, left); err != nil {
			return err
		}
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(hdrAttempt)
	switch {
	case r.URL.Path == "/health":
		w.Header().Set(prefix+"Instance-Id", s.id)
		return
	case strings.HasPrefix(r.URL.Path, pathPrefix):
		w.WriteHeader(http.StatusNotFound)
		return
	case attempt == "":
		w.Header().Set(hdrNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(hdrAttempt, attempt)
	if expected := r.Header.Get(hdrExpect); expected != "" && expected != s.id {
		w.Header().Set(prefix+"Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	after, _ := strconv.ParseUint(r.Header.Get(hdrEvent), 10, 64)
	one := s.ledger.begin(&run{server: s.id, attempt: attempt, tenant: r.Header.Get(hdrTenant), after: after})
	s.rec.line("run server=%s attempt=%s tenant=%s after=%d deadline_ms=%s", s.id, attempt, one.tenant, after, r.Header.Get(hdrDeadline))
	whole := false
	defer func() {
		s.ledger.end(one, whole)
		s.rec.line("run_end server=%s attempt=%s whole=%v events=%d", s.id, attempt, whole, one.events)
	}()
	w.Header().Set(hdrSignature, "s."+attempt)
	if s.streams {
		whole = s.stream(w, r, one) == nil
		return
	}
	if pause(r.Context(), workTime) != nil || s.awaitVoice(r.Context()) != nil {
		return
	}
	answer := answerTo(attempt, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, err = io.WriteString(w, answer)
	whole = err == nil
}

// answerTo is the answer to a request of a plain service.
func answerTo(attempt string, body []byte) string {
	text := "answer to " + attempt + " " + strconv.Itoa(len(body)) + " "
	return text + strings.Repeat(".", max(serverAnswerBytes-len(text), 0))
}

// stream answers a generation, which it reads first.
func (s *server) stream(w http.ResponseWriter, r *http.Request, one *run) error {
	ctx := r.Context()
	tokens, _, _ := strings.Cut(r.Header.Get(hdrTokens), ",")
	prompt, _ := strconv.ParseFloat(tokens, 64)
	if err := pause(ctx, time.Duration(prompt/promptTokensPerMs*float64(time.Millisecond))); err != nil {
		return err
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := one.after + 1; n <= eventsOf(one.attempt); n++ {
		if err := pause(ctx, eventTime); err != nil {
			return err
		}
		if err := s.awaitVoice(ctx); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(one.attempt, n)); err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
		one.events++
	}
	return nil
}

// eventsOf is the number of events of an answer.
func eventsOf(attempt string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(attempt))
	return 50 + uint64(h.Sum32()%15)
}

// eventText is the text of an event.
func eventText(attempt string, n uint64) string { return fmt.Sprintf("%s-%d", attempt, n) }
