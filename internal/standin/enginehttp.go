package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// routes returns the mux with the engine's handlers.
func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+enginewire.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+enginewire.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+enginewire.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+enginewire.PathKV, e.serveExport)
	mux.HandleFunc("POST "+enginewire.PathKV, e.serveImport)
	mux.HandleFunc("POST "+enginewire.PathOrders, e.serveOrder)
	return mux
}

// ServeHTTP serves the HTTP interface of a target. While the engine restarts, it
// aborts every connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.locked(e.abortIfDown)
	e.mux.ServeHTTP(w, r)
}

// abortIfDown aborts the connection if the engine is restarting or closed. e.mu must
// be held.
func (e *Engine) abortIfDown() {
	if e.closed || time.Now().Before(e.downUntil) {
		panic(http.ErrAbortHandler)
	}
}

// refuse writes a response that says that the request was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(enginewire.HeaderOutcome, enginewire.OutcomeNotRun)
	w.Header().Set(enginewire.HeaderReason, reason)
	w.WriteHeader(status)
}

// decode reads a JSON body into v. If it is malformed, decode refuses the request and
// returns false. It aborts the connection if the body cannot be read.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if json.Unmarshal(body, v) != nil {
		refuse(w, http.StatusBadRequest, enginewire.ReasonMalformed)
		return false
	}
	return true
}

// serveGenerate starts or resumes a run and streams its output.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req enginewire.GenerateRequest
	if !decode(w, r, &req) {
		return
	}
	arrival, run := e.receive(req)
	if arrival.Refused != "" {
		refuse(w, http.StatusConflict, arrival.Refused)
		return
	}
	if run == nil {
		panic(http.ErrAbortHandler)
	}
	defer e.detach(run)
	w.Header().Set(enginewire.HeaderBootID, arrival.BootID)
	w.Header().Set(enginewire.HeaderRequestID, req.RequestID)
	e.stream(w, r, run, req)
}

// receive records a request and starts or finds its run. The run is nil if the engine
// refuses the request or crashes on it.
func (e *Engine) receive(req enginewire.GenerateRequest) (Arrival, *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortIfDown()
	arrival := Arrival{
		RequestID: req.RequestID,
		Prompt:    req.Prompt,
		Attempt:   req.Attempt,
		Instance:  req.Instance,
		BootID:    e.bootID(),
		At:        time.Now(),
		Resume:    req.BootID != "",
		Refused:   e.refusalReason(req),
	}
	e.arrivals = append(e.arrivals, arrival)
	if arrival.Refused != "" {
		return arrival, nil
	}
	run := e.runs[req.RequestID]
	if !arrival.Resume {
		run = e.admit(req)
	}
	if run != nil {
		run.readers++
	}
	return arrival, run
}

// refusalReason returns why the engine refuses a request, or "" if it accepts it.
// e.mu must be held.
func (e *Engine) refusalReason(req enginewire.GenerateRequest) string {
	switch {
	case e.opts.CheckDeadline && req.DeadlineMillis != 0 && time.Now().UnixMilli() > req.DeadlineMillis:
		return enginewire.ReasonDeadlinePassed
	case !e.acceptsSender(req.Instance):
		return enginewire.ReasonSenderRefused
	case e.recordFence(req.Fence):
		return enginewire.ReasonOldFence
	case req.BootID == "":
		return ""
	case req.BootID != e.bootID():
		return enginewire.ReasonBootChanged
	case e.runs[req.RequestID] == nil:
		return enginewire.ReasonUnknownRequest
	}
	return ""
}

// acceptsSender reports whether the engine accepts requests from the instance.
func (e *Engine) acceptsSender(sender fleet.InstanceID) bool {
	return len(e.opts.AllowedSenders) == 0 || slices.Contains(e.opts.AllowedSenders, sender)
}

// recordFence records a fencing token and reports whether the request must be refused
// because RefuseOldFence is set and a higher token was seen. Token 0 means that the
// request has none. e.mu must be held.
func (e *Engine) recordFence(fence uint64) bool {
	if fence == 0 {
		return false
	}
	stale := fence < e.fence
	e.fence = max(e.fence, fence)
	return stale && e.opts.RefuseOldFence
}

// detach removes a reader from a run, and schedules the removal of the run if it was
// the last reader.
func (e *Engine) detach(r *run) {
	e.locked(func() {
		if r.readers--; r.readers == 0 {
			e.scheduleOrphanRemoval(r)
		}
	})
}

// stream writes the frames of a run as they are generated, from req.FromFrame on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *run, req enginewire.GenerateRequest) {
	control := http.NewResponseController(w)
	keepAlive := time.NewTimer(e.opts.KeepAlive)
	defer keepAlive.Stop()
	next := req.FromFrame
	var line []byte
	for {
		if control.Flush() != nil {
			return
		}
		frames, state, changed := e.framesFrom(run, next)
		line = line[:0]
		for _, f := range frames {
			f.Attempt = req.Attempt
			line = enginewire.AppendFrame(line, f)
		}
		next += int64(len(frames))
		if state == runCanceled {
			line = enginewire.AppendFrame(line, enginewire.Frame{Attempt: req.Attempt, Error: "canceled"})
		}
		if state == runAborted {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(line); err != nil || state >= runDone {
			return
		}
		if len(frames) > 0 {
			continue
		}
		keepAlive.Reset(e.opts.KeepAlive)
		select {
		case <-changed:
		case <-keepAlive.C:
			_, _ = w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		}
	}
}

// framesFrom returns the frames of a run from a sequence number on, the state of the
// run, and a channel that is closed at its next change.
func (e *Engine) framesFrom(r *run, from int64) ([]enginewire.Frame, runState, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	from = min(max(from, 0), int64(len(r.frames)))
	return r.frames[from:len(r.frames):len(r.frames)], r.state, r.changed
}

// serveCancel cancels a run.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req enginewire.CancelRequest
	if !decode(w, r, &req) {
		return
	}
	e.locked(func() {
		if run := e.runs[req.RequestID]; run != nil {
			e.finishRun(run, runCanceled)
		}
	})
}

// serveLoad returns the load as it was ReportLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.load.at(e.opts.ReportLag)
	e.mu.Unlock()
	writeJSON(w, report)
}

// writeJSON writes v as a JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// serveOrder carries out an order, unless its sender or fencing token is refused.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order enginewire.Order
	if !decode(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptsSender(order.Instance) {
		refuse(w, http.StatusForbidden, enginewire.ReasonSenderRefused)
		return
	}
	if e.recordFence(order.Fence) {
		w.Header().Set(enginewire.HeaderFence, strconv.FormatUint(e.fence, 10))
		refuse(w, http.StatusConflict, enginewire.ReasonOldFence)
		return
	}
	e.orders = append(e.orders, order)
}
