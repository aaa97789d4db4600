package instance

import (
	"context"
	"time"

	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fairness"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/observe"
)

// chargeStep is the number of generated tokens between two charges of one stream.
const chargeStep = 16

// admission implements entry.Admission by sending events to the core. It is safe for
// concurrent use. Callers block while the core's event channel is full.
type admission struct {
	events chan<- event
	done   <-chan struct{}
}

var _ entry.Admission = (*admission)(nil)

// admitResult is the core's reply to an admitEvent: either a lease or an outcome.
type admitResult struct {
	lease   *lease
	outcome *entry.OutcomeError
}

// Admit implements entry.Admission.
func (a *admission) Admit(ctx context.Context, w *entry.AdmissionRequest) (entry.Lease, *entry.OutcomeError) {
	waiter := &waiter{work: *w, reply: make(chan admitResult, 1)}
	if !a.post(ctx, admitEvent{waiter}) {
		return nil, abortOutcome(ctx)
	}
	select {
	case answer := <-waiter.reply:
		return answer.unpack()
	case <-ctx.Done():
		return a.withdraw(ctx, waiter)
	case <-a.done:
		return nil, abortOutcome(ctx)
	}
}

// withdraw removes a waiting request. If the core has already sent a lease, withdraw
// returns the lease unused.
func (a *admission) withdraw(ctx context.Context, w *waiter) (entry.Lease, *entry.OutcomeError) {
	reply := make(chan struct{})
	if a.post(context.Background(), withdrawEvent{waiter: w, done: reply}) {
		select {
		case <-reply:
		case <-a.done:
		}
	}
	select {
	case answer := <-w.reply:
		if answer.lease != nil {
			answer.lease.End(entry.EndUnused)
		}
	default:
	}
	return nil, abortOutcome(ctx)
}

func (result admitResult) unpack() (entry.Lease, *entry.OutcomeError) {
	if result.outcome != nil {
		return nil, result.outcome
	}
	return result.lease, nil
}

// abortOutcome returns the outcome of a request whose wait ended without a result.
func abortOutcome(ctx context.Context) *entry.OutcomeError {
	reason := entry.ReasonDraining
	switch ctx.Err() {
	case context.Canceled:
		reason = entry.ReasonCancelled
	case context.DeadlineExceeded:
		reason = entry.ReasonDeadline
	}
	return &entry.OutcomeError{Kind: entry.NotRun, Reason: reason, Err: ctx.Err()}
}

// post sends an event to the core. It returns false if ctx ended or the core stopped
// first.
func (a *admission) post(ctx context.Context, e event) bool {
	select {
	case a.events <- e:
		return true
	case <-ctx.Done():
		return false
	case <-a.done:
		return false
	}
}

// lease permits one start. Its exported methods must be called only by the goroutine
// that runs the request.
type lease struct {
	admission *admission
	permit    limit.Permit
	// grantSeq is the sequence number of the grant that gave the permit.
	grantSeq uint64
	addr     string
	waiter   *waiter
	metrics  *observe.Metrics
	// lastToken is the arrival time of the latest tokens.
	lastToken time.Time
	// chargedInput and chargedOutput are the token counts at the last charge.
	chargedInput, chargedOutput int64
	// input and output are the latest token counts.
	input, output int64

	// The fields below are used by the core's goroutine only.
	begun      bool
	started    time.Time
	firstToken time.Time
	charging   fairness.RequestCharge
}

var _ entry.Lease = (*lease)(nil)

// Assignment implements entry.Lease.
func (l *lease) Assignment() entry.Assignment {
	return entry.Assignment{
		Target: l.permit.Target,
		Addr:   l.addr,
		BootID: l.permit.BootID,
		Alone:  l.permit.Alone,
	}
}

// Begin implements entry.Lease. The core checks the permit's expiry, and Begin checks it
// again because the process may have been paused since.
func (l *lease) Begin() bool {
	reply := make(chan bool, 1)
	if !l.admission.post(context.Background(), beginEvent{lease: l, reply: reply}) {
		return false
	}
	select {
	case usable := <-reply:
		return usable && time.Now().Before(l.permit.Expires)
	case <-l.admission.done:
		return false
	}
}

// Charge implements entry.Lease.
func (l *lease) Charge(inputTokens, outputTokens int64) {
	l.recordInterTokenLatency(outputTokens - l.output)
	l.input = inputTokens
	l.output = outputTokens
	if l.input == l.chargedInput && l.output-l.chargedOutput < chargeStep {
		return
	}
	l.chargedInput = l.input
	l.chargedOutput = l.output
	l.admission.post(context.Background(), chargeEvent{lease: l, input: l.input, output: l.output})
}

// recordInterTokenLatency records the time since the previous tokens, divided by the
// number of tokens that arrived together.
func (l *lease) recordInterTokenLatency(tokens int64) {
	now := time.Now()
	if tokens > 0 && !l.lastToken.IsZero() {
		l.metrics.InterTokenLatency.Record(now.Sub(l.lastToken) / time.Duration(tokens))
	}
	l.lastToken = now
}

// End implements entry.Lease.
func (l *lease) End(kind entry.EndKind) {
	l.admission.post(context.Background(), endEvent{lease: l, kind: kind, input: l.input, output: l.output})
}
