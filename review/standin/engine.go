//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model server. It answers with a stream of events. A request with a deadly
// part crashes it when it begins to write the answer; it is back after downTime, under its id, as a new
// start.
type engine struct {
	r                       *run
	id, service, zone, addr string
	// isDeadly reports whether a request with these parts crashes the server.
	isDeadly func(parts []string) bool
	// arrived is called for each request that the server takes, crashed for each crash.
	arrived func(parts []string, id string)
	crashed func(parts []string, id string)
	// downTime is how long the server is away after a crash.
	downTime time.Duration

	mu       sync.Mutex
	born     int64
	up       bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	running  int
}

const (
	engineService = "inspector-lm"
	engineSlots   = 64
	engineEvents  = 10
	engineFirst   = 40 * time.Millisecond
	engineGap     = 20 * time.Millisecond
)

func (r *run) addEngine(i int, service string) *engine {
	e := &engine{r: r, id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i%len(zones)].name, downTime: 3 * time.Second}
	e.addr = freeAddr(fmt.Sprintf("127.0.0.%d", 151+i))
	return e
}

// start starts the server and lists it.
func (e *engine) start() {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		unable("listen: %v", err)
	}
	e.mu.Lock()
	e.listener, e.conns, e.up, e.running = l, make(map[net.Conn]struct{}), true, 0
	e.born = time.Now().UnixMilli()
	born := e.born
	e.mu.Unlock()
	go func() {
		_ = (&http.Server{Handler: e, ConnState: e.track}).Serve(l)
	}()
	e.r.store.put(keyPrefixServers+e.id, map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_remaining_ms": 0, "seq": 4, "born": born, "stage": "both",
	})
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case state == http.StateNew && e.up:
		e.conns[c] = struct{}{}
	case state == http.StateNew:
		_ = c.Close()
	case state == http.StateClosed:
		delete(e.conns, c)
	}
}

// crash ends the server: all its connections are reset. It starts again after downTime.
func (e *engine) crash(parts []string, id string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	_ = e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e.mu.Unlock()
	e.crashed(parts, id)
	time.AfterFunc(e.downTime, e.start)
}

// partsOf returns the ids of the parts of a request's prompt.
func partsOf(r *http.Request) []string {
	var ids []string
	for _, field := range strings.Split(r.Header.Get(hdrParts), ",") {
		id, _, _ := strings.Cut(field, ":")
		ids = append(ids, id)
	}
	return ids
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, parts := r.Header.Get(hdrID), partsOf(r)
	w.Header().Set(hdrID, id)
	if want := r.Header.Get(hdrExpect); want != "" && want != e.id {
		w.Header().Set(hdrInstance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	full := e.running >= engineSlots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	if full {
		w.Header().Set(hdrNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.arrived(parts, id)
	time.Sleep(engineFirst)
	if e.isDeadly(parts) {
		e.crash(parts, id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(hdrSignature, e.id+".stream")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= engineEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(engineGap):
		case <-r.Context().Done():
			return
		}
	}
}
