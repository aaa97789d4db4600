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

// CallFault is the fault that a Service injects into a call.
type CallFault int

// Faults of a Service.
const (
	// CallOK runs the call and returns its response.
	CallOK CallFault = iota
	// CallRefused does not run the call: the response says that it did not run and
	// asks for a retry after two seconds at the earliest.
	CallRefused
	// CallFailed runs the call and returns a response that says that it failed.
	CallFailed
	// CallAborted runs the call and aborts the connection before the response.
	CallAborted
)

// Service simulates a plain service that echoes the body of every call.
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

// NewService returns a ready service without faults or delay.
func NewService() *Service {
	s := &Service{mux: http.NewServeMux(), state: fleet.TargetReady, runs: make(map[string]int)}
	s.mux.HandleFunc("POST "+enginewire.PathCall+"{method}", s.serveCall)
	s.mux.HandleFunc("GET "+enginewire.PathLoad, s.serveLoad)
	return s
}

// locked calls f with s.mu held.
func (s *Service) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// SetDelay sets the run time of later calls.
func (s *Service) SetDelay(d time.Duration) { s.locked(func() { s.delay = d }) }

// SetFault sets the fault injected into later calls.
func (s *Service) SetFault(f CallFault) { s.locked(func() { s.fault = f }) }

// SetState sets the state in the load reports.
func (s *Service) SetState(state fleet.TargetState) { s.locked(func() { s.state = state }) }

// Runs returns how many times the call with the ID ran.
func (s *Service) Runs(callID string) (n int) {
	s.locked(func() { n = s.runs[callID] })
	return n
}

// AllRuns returns how many times each call ran, by call ID.
func (s *Service) AllRuns() (runs map[string]int) {
	s.locked(func() { runs = maps.Clone(s.runs) })
	return runs
}

// Arrivals returns the number of calls received, including those with an incomplete
// body.
func (s *Service) Arrivals() (n int) {
	s.locked(func() { n = s.arrivals })
	return n
}

// ServeHTTP serves the HTTP interface of a target.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// serveCall runs a call after its whole body has been received.
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

// runCall counts a run of the call and takes delay.
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

// serveLoad returns the current load.
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
