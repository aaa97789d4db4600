package standin

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// CallFault says what a service does with a call.
type CallFault int

// The faults of a service.
const (
	// CallOK: the call runs and is answered.
	CallOK CallFault = iota
	// CallRefused: the call does not run, and the service says so and asks to be
	// left alone for two seconds.
	CallRefused
	// CallFailed: the call runs and fails, and the service says so.
	CallFailed
	// CallAborted: the call runs and the connection breaks before the answer.
	CallAborted
)

// Service is a plain service that echoes the body of every call.
type Service struct {
	mux *http.ServeMux

	mu        sync.Mutex
	state     fleet.TargetState
	delay     time.Duration
	fault     CallFault
	runs      map[string]int
	arrivals  int
	running   int
	completed int64
}

// NewService returns a service without faults.
func NewService() *Service {
	s := &Service{mux: http.NewServeMux(), state: fleet.TargetReady, runs: make(map[string]int)}
	s.mux.HandleFunc("POST "+enginewire.PathCall+"{method}", s.serveCall)
	s.mux.HandleFunc("GET "+enginewire.PathLoad, s.serveLoad)
	return s
}

// locked runs f with mu held.
func (s *Service) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// SetDelay makes every later call take that long.
func (s *Service) SetDelay(d time.Duration) { s.locked(func() { s.delay = d }) }

// SetFault chooses what happens to later calls.
func (s *Service) SetFault(f CallFault) { s.locked(func() { s.fault = f }) }

// SetState changes the state that the service reports.
func (s *Service) SetState(state fleet.TargetState) { s.locked(func() { s.state = state }) }

// Runs returns how often the call with that id ran.
func (s *Service) Runs(callID string) (n int) {
	s.locked(func() { n = s.runs[callID] })
	return n
}

// AllRuns returns how often the call with each id ran.
func (s *Service) AllRuns() (runs map[string]int) {
	s.locked(func() { runs = maps.Clone(s.runs) })
	return runs
}

// Arrivals returns how many requests for calls began to arrive, whole or not.
func (s *Service) Arrivals() (n int) {
	s.locked(func() { n = s.arrivals })
	return n
}

// ServeHTTP serves the interface of targets.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// serveCall runs a call once its whole body is there.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals++
	fault, delay := s.fault, s.delay
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if fault == CallRefused {
		w.Header().Set("Retry-After", "2")
		refuse(w, http.StatusServiceUnavailable, enginewire.ReasonOverloaded)
		return
	}
	s.runCall(r.Header.Get(enginewire.HeaderCallID), delay)
	switch fault {
	case CallAborted:
		panic(http.ErrAbortHandler)
	case CallFailed:
		w.Header().Set(enginewire.HeaderOutcome, enginewire.OutcomeFailed)
		w.Header().Set(enginewire.HeaderReason, "service_failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(enginewire.HeaderChecksum, strconv.FormatUint(uint64(enginewire.Checksum(0, body)), 10))
	_, _ = w.Write(body)
}

// runCall counts a call and takes its time.
func (s *Service) runCall(callID string, delay time.Duration) {
	s.locked(func() {
		s.runs[callID]++
		s.running++
	})
	time.Sleep(delay)
	s.locked(func() {
		s.running--
		s.completed++
	})
}

// serveLoad reports the load.
func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := fleet.LoadReport{
		BootID:    "service",
		State:     s.state,
		Running:   s.running,
		Completed: s.completed,
	}
	s.mu.Unlock()
	writeJSON(w, report)
}
