package entry

import (
	"context"
	"crypto/sha256"
	"hash/crc32"
	"time"

	"connectrpc.com/connect"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/target"
)

// plainCall runs one call of a service that is not a model.
type plainCall struct {
	server           *Server
	admissionRequest AdmissionRequest
	rule             rules.Call
	targetRequest    target.CallRequest
	// endDeadline is when the call must have ended.
	endDeadline time.Time
}

// IssueCallID implements RouterService.
func (s *Server) IssueCallID(_ context.Context, req *connect.Request[medlarwindv1.IssueCallIDRequest]) (*connect.Response[medlarwindv1.IssueCallIDResponse], error) {
	customer, outcome := s.authenticate(req.Header())
	if outcome != nil {
		return nil, connectError(outcome)
	}
	s.onceMu.Lock()
	id, ok := s.once.issue(customer, randomUint64(), time.Now())
	s.onceMu.Unlock()
	if !ok {
		return nil, connectError(refuse(ReasonInstanceMemory, time.Second))
	}
	return connect.NewResponse(&medlarwindv1.IssueCallIDResponse{
		CallId:     id.String(),
		LifetimeMs: s.options.CallIDLifetime.Milliseconds(),
		Address:    s.directory.SelfAddress(),
	}), nil
}

// Call implements RouterService. A non-repeatable call continues after its caller has
// disconnected, since it may already have had its effect; its answer is kept under
// the call id.
func (s *Server) Call(ctx context.Context, req *connect.Request[medlarwindv1.CallRequest]) (*connect.Response[medlarwindv1.CallResponse], error) {
	customer, outcome := s.authenticate(req.Header())
	if outcome != nil {
		return nil, connectError(s.refusedCallOutcome(req.Msg.CallId, outcome))
	}
	c, outcome := s.newCall(customer, req.Msg)
	if outcome != nil {
		return nil, connectError(s.refusedCallOutcome(req.Msg.CallId, outcome))
	}
	// A copy, since a non-repeatable call may still be running and changing c when its
	// caller has disconnected.
	admissionRequest := c.admissionRequest
	var body []byte
	if c.rule.Once {
		body, outcome = s.callOnce(ctx, customer, req.Msg, c)
	} else {
		body, outcome = s.callRepeatable(ctx, c)
	}
	if outcome != nil {
		s.reportUnknown(&admissionRequest, outcome)
		return nil, connectError(outcome)
	}
	return connect.NewResponse(&medlarwindv1.CallResponse{
		Body:     body,
		Checksum: crc32.Checksum(body, castagnoli),
	}), nil
}

// refusedCallOutcome returns the outcome of a call that was refused before its id was
// looked up. The kind stays NotRun only if no earlier call can have run under this id.
func (s *Server) refusedCallOutcome(callID string, outcome *OutcomeError) *OutcomeError {
	id, err := parseCallID(callID)
	if err != nil {
		return outcome
	}
	s.onceMu.Lock()
	defer s.onceMu.Unlock()
	if !s.once.notStarted(id) {
		outcome.Kind = Unknown
	}
	return outcome
}

func (s *Server) newCall(customer fleet.CustomerID, m *medlarwindv1.CallRequest) (*plainCall, *OutcomeError) {
	if len(m.Body) > MaxPromptBytes {
		return nil, refuse(ReasonBadRequest, 0)
	}
	key := rules.CallKey{Service: fleet.ServiceID(m.Service), Method: m.Method}
	rule, found := s.directory.Call(key)
	if !found {
		return nil, refuse(ReasonUnknownWorkload, 0)
	}
	now := time.Now()
	workload := fleet.Workload{Service: key.Service}
	endDeadline := now.Add(s.options.RequestTimeout)
	id := randomHex(16)
	return &plainCall{
		server:      s,
		rule:        rule,
		endDeadline: endDeadline,
		admissionRequest: AdmissionRequest{
			RequestID:   id,
			Customer:    customer,
			Workload:    workload,
			Cost:        rule.Cost,
			Fingerprint: fingerprint(customer, workload, m.Method, m.Body),
			Deadline:    now.Add(s.options.QueueTimeout),
		},
		targetRequest: target.CallRequest{
			Method:   m.Method,
			Body:     m.Body,
			CallID:   id,
			Once:     rule.Once,
			Deadline: endDeadline,
			Instance: s.options.Instance,
		},
	}, nil
}

// callRepeatable runs a call that is safe to repeat. It is cancelled when its caller
// disconnects.
func (s *Server) callRepeatable(ctx context.Context, c *plainCall) ([]byte, *OutcomeError) {
	s.running.Add(1)
	defer s.running.Done()
	ctx, cancel := context.WithDeadline(ctx, c.endDeadline)
	defer cancel()
	return c.run(ctx)
}

// callOnce runs a non-repeatable call under its id. If the id is already in use for the
// same call, it waits for that run or returns its result.
func (s *Server) callOnce(ctx context.Context, customer fleet.CustomerID, m *medlarwindv1.CallRequest, c *plainCall) ([]byte, *OutcomeError) {
	if m.CallId == "" {
		return nil, refuse(ReasonCallIDRequired, 0)
	}
	id, err := parseCallID(m.CallId)
	if err != nil {
		return nil, refuse(ReasonBadRequest, 0)
	}
	s.onceMu.Lock()
	run, start, outcome := s.once.begin(id, customer, callDigest(m), time.Now())
	s.onceMu.Unlock()
	if outcome != nil {
		return nil, outcome
	}
	if start {
		c.targetRequest.CallID = id.String()
		s.running.Go(func() { s.runOnce(run, c) })
	}
	return awaitOnce(ctx, run)
}

// runOnce runs the call independently of its caller's connection and records its
// result.
func (s *Server) runOnce(run *onceRun, c *plainCall) {
	ctx, cancel := context.WithDeadline(s.ctx, c.endDeadline)
	defer cancel()
	body, outcome := c.run(ctx)
	s.onceMu.Lock()
	defer s.onceMu.Unlock()
	s.once.end(run, body, outcome)
}

// awaitOnce waits for a run to end and returns its result.
func awaitOnce(ctx context.Context, run *onceRun) ([]byte, *OutcomeError) {
	select {
	case <-run.ended:
		return run.body, run.err
	case <-ctx.Done():
		return nil, &OutcomeError{Kind: Unknown, Reason: ReasonCancelled, Err: ctx.Err()}
	}
}

// callDigest returns a digest of service, method and body. It prevents an id from
// being used for two different calls.
func callDigest(m *medlarwindv1.CallRequest) [sha256.Size]byte {
	digest := sha256.New()
	for _, part := range []string{m.Service, m.Method} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(m.Body)
	return [sha256.Size]byte(digest.Sum(nil))
}

// run runs the call on a target and retries it where this is safe: a call that did
// not run may be retried, and one that may have run only if it is repeatable.
func (c *plainCall) run(ctx context.Context) ([]byte, *OutcomeError) {
	backoff := minUnsentBackoff
	for attempt := 1; ; attempt++ {
		c.admissionRequest.Attempt = attempt
		lease, outcome := c.server.admission.Admit(ctx, &c.admissionRequest)
		if outcome != nil {
			return nil, c.finalOutcome(outcome)
		}
		body, outcome := c.attempt(ctx, lease)
		if outcome == nil {
			return body, nil
		}
		c.admissionRequest.MayHaveRun = c.admissionRequest.MayHaveRun || outcome.Kind != NotRun
		if outcome.Kind == NotRun && backOffUnsent(ctx, &backoff, c.admissionRequest.Deadline) {
			attempt--
			continue
		}
		if ctx.Err() != nil || attempt >= maxAttempts || !c.retryable(outcome) {
			return nil, c.finalOutcome(outcome)
		}
	}
}

// retryable reports whether the call may be run again after an attempt with this
// outcome.
func (c *plainCall) retryable(outcome *OutcomeError) bool {
	switch outcome.Kind {
	case NotRun:
		return true
	case Unknown:
		return !c.rule.Once
	default:
		return false
	}
}

// finalOutcome returns the outcome for the caller. NotRun becomes Unknown if an earlier
// attempt may have run.
func (c *plainCall) finalOutcome(outcome *OutcomeError) *OutcomeError {
	if !c.admissionRequest.MayHaveRun || outcome.Kind != NotRun {
		return outcome
	}
	changed := *outcome
	changed.Kind = Unknown
	return &changed
}

// attempt runs the call once under a lease, which it ends.
func (c *plainCall) attempt(ctx context.Context, lease Lease) ([]byte, *OutcomeError) {
	if !lease.Begin() {
		lease.End(EndUnused)
		return nil, refuse(ReasonNoTarget, 0)
	}
	if !c.server.safeToSend(ctx, lease.Assignment()) {
		lease.End(EndUnreachable)
		return nil, refuse(ReasonNoTarget, 0)
	}
	body, err := c.server.targets.Call(ctx, lease.Assignment().Addr, c.targetRequest)
	if err == nil {
		lease.End(EndFinished)
		return body, nil
	}
	outcome := outcomeFromTarget(err)
	if ctx.Err() != nil && outcome.Kind == Unknown {
		lease.End(EndAbandoned)
		return nil, outcome
	}
	lease.End(endKind(outcome))
	return nil, outcome
}
