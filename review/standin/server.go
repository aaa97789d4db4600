//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// server is a stand-in of a server of a service. It serves what names it, at most slots requests at
// once, and says so of what it does not run.
type server struct {
	r                       *run
	id, service, zone, addr string
	born                    int64
	seq                     int
	slots                   chan struct{}
	work                    time.Duration
}

const serverSlots = 6

// addServer starts a server in the i-th zone and lists it.
func (r *run) addServer(i int, service string) *server {
	l := listen(fmt.Sprintf("127.0.0.%d", 101+i))
	s := &server{
		r: r, id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i%len(zones)].name, addr: l.Addr().String(),
		born: time.Now().UnixMilli(), slots: make(chan struct{}, serverSlots), work: 15 * time.Millisecond,
	}
	r.servers[s.id] = s
	serve(l, s)
	s.list("ready")
	return s
}

// list writes the server's entry.
func (s *server) list(state string) {
	s.r.store.put(keyPrefixServers+s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": state,
		"cold_remaining_ms": 0, "seq": s.seq, "born": s.born,
	})
}

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// beat writes the server's entry again and again, while the store is there, until the process ends.
func (s *server) beat() {
	time.Sleep(rand.N(heartbeat))
	for {
		if !s.r.store.isAway() {
			s.seq++
			s.list("ready")
		}
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(hdrID)
	w.Header().Set(hdrID, id)
	if want := r.Header.Get(hdrExpect); want != "" && want != s.id {
		w.Header().Set(hdrInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.Header().Set(hdrNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e := execution{server: s.id, tenant: r.Header.Get(hdrTenant), key: r.Header.Get(hdrKey), at: time.Now()}
	s.r.addExecution(id, e)
	s.r.logf("server %s runs %s: %s %s, tenant %q", s.id, id, r.Method, r.URL.Path, e.tenant)
	time.Sleep(s.work)
	text := fmt.Sprintf("%s ran %s %s with %d bytes\n", s.id, r.Method, r.URL.RequestURI(), len(body))
	w.Header().Set(hdrSignature, fmt.Sprintf("%s.%x", s.id, len(text)))
	_, _ = io.WriteString(w, text)
}
