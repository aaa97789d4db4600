package instance

import (
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/quarantine"
)

// startingRetry is the retry delay for callers of an instance that has not yet asked its
// peers for the configuration.
const startingRetry = 500 * time.Millisecond

func (e admitEvent) apply(c *core, now time.Time) {
	w := e.waiter
	w.since = now
	if outcome := c.refusal(w); outcome != nil {
		c.refuse(w, outcome, now)
		return
	}
	c.checkAndQueue(w, now)
}

// refusal returns the outcome with which a request is refused before it is queued, or nil
// if it is accepted.
func (c *core) refusal(w *waiter) *entry.OutcomeError {
	switch {
	case c.closed && !w.work.MayHaveRun:
		return c.drainOutcome(w)
	case !c.settled || c.snapshot == nil:
		return &entry.OutcomeError{Kind: entry.NotRun, Reason: entry.ReasonStarting, RetryAfter: startingRetry, Address: c.otherAddress(w)}
	case !c.served(w.work.Workload):
		return &entry.OutcomeError{Kind: entry.NotRun, Reason: entry.ReasonNoTarget, RetryAfter: time.Second}
	}
	return nil
}

// served reports whether any target in service can run the workload.
func (c *core) served(workload fleet.Workload) bool {
	for _, t := range c.targets {
		if !t.outOfService && serves(t, workload) {
			return true
		}
	}
	return false
}

func serves(t targetInfo, workload fleet.Workload) bool {
	for _, w := range t.workloads {
		if w == workload {
			return true
		}
	}
	return false
}

// checkAndQueue queues, parks or refuses a request according to the quarantine's verdict.
func (c *core) checkAndQueue(w *waiter, now time.Time) {
	switch verdict := c.verdict(w, now); verdict {
	case quarantine.Refuse:
		c.refuse(w, &entry.OutcomeError{Kind: entry.Failed, Reason: entry.ReasonCrashesTargets}, now)
	case quarantine.Redirect:
		holder := c.quarantine.Holder(w.work.Fingerprint)
		c.refuse(w, &entry.OutcomeError{Kind: entry.NotRun, Reason: entry.ReasonCrashesTargets, RetryAfter: time.Second, Address: c.addressOf(holder)}, now)
	case quarantine.Wait:
		c.parked = append(c.parked, w)
	default:
		c.enqueue(w, verdict == quarantine.RunAlone, now)
	}
}

// verdict returns the quarantine's verdict on a request. A request whose connection broke
// during a run on this instance is retried on this instance, since a redirect to another
// instance would cut off a request that caused no crash.
func (c *core) verdict(w *waiter, now time.Time) quarantine.Verdict {
	if w.work.MayHaveRun {
		return c.quarantine.CheckLocal(w.work.Fingerprint, now)
	}
	return c.quarantine.Check(w.work.Fingerprint, now)
}

func (c *core) enqueue(w *waiter, alone bool, now time.Time) {
	c.lastRequestID++
	w.id = c.lastRequestID
	err := c.queue.Add(dispatch.Request{
		ID:           w.id,
		Customer:     w.work.Customer,
		Workload:     w.work.Workload,
		Estimate:     c.estimate(&w.work),
		PrefixHashes: w.work.Prefixes,
		Fingerprint:  w.work.Fingerprint,
		Alone:        alone,
		Deadline:     w.work.Deadline,
		Enqueued:     w.since,
	}, now)
	if err != nil {
		c.refuse(w, fullOutcome(err), now)
		return
	}
	c.waiting[w.id] = w
	c.demandChanged = true
	c.recordAdmitted(w)
}

func fullOutcome(err error) *entry.OutcomeError {
	outcome := &entry.OutcomeError{Kind: entry.NotRun, Reason: entry.ReasonQueueFull, RetryAfter: time.Second, Err: err}
	var full *dispatch.QueueFullError
	if errors.As(err, &full) {
		outcome.RetryAfter = full.RetryAfter
	}
	return outcome
}

// knownCost returns the part of a request's cost that is known before it runs.
func (c *core) knownCost(w *entry.AdmissionRequest) fleet.Cost {
	if w.Workload.Service != "" {
		return w.Cost
	}
	return c.tokenCost(w.Workload.Model, w.PromptTokens, 0)
}

func (c *core) tokenCost(model fleet.ModelID, input, output int64) fleet.Cost {
	if c.snapshot == nil {
		return fleet.Cost(input + output)
	}
	weights := c.snapshot.Rules.Models[model]
	return fleet.Cost(input)*weights.InputWeight + fleet.Cost(output)*weights.OutputWeight
}

func (c *core) estimate(w *entry.AdmissionRequest) fleet.Cost {
	if w.Workload.Service != "" {
		return w.Cost
	}
	return c.accounts.Estimate(w.Customer, c.knownCost(w))
}

// refuse ends a waiting request with an outcome. It has no effect on a request that is
// done.
func (c *core) refuse(w *waiter, outcome *entry.OutcomeError, now time.Time) {
	delete(c.waiting, w.id)
	if w.done {
		return
	}
	w.done = true
	c.recordRefused(w, outcome, now)
	w.reply <- admitResult{outcome: outcome}
}

func (c *core) expireWaiting(now time.Time) {
	for _, r := range c.queue.TakeExpired(now) {
		if w := c.waiting[r.ID]; w != nil {
			c.refuse(w, &entry.OutcomeError{Kind: entry.NotRun, Reason: entry.ReasonDeadline, RetryAfter: time.Second}, now)
		}
		c.demandChanged = true
	}
}

// recheckParked checks parked suspects against the quarantine again.
func (c *core) recheckParked(now time.Time) {
	parked := c.parked
	c.parked = nil
	for _, w := range parked {
		switch {
		case w.done:
		case now.After(w.work.Deadline):
			c.refuse(w, &entry.OutcomeError{Kind: entry.NotRun, Reason: entry.ReasonDeadline, RetryAfter: time.Second}, now)
		default:
			c.checkAndQueue(w, now)
		}
	}
}

func (e withdrawEvent) apply(c *core, _ time.Time) {
	e.waiter.done = true
	if c.queue.Remove(e.waiter.id) {
		delete(c.waiting, e.waiter.id)
		c.demandChanged = true
	}
	close(e.done)
}

// usePermit assigns a permit to the request that the queue selects, or returns the permit
// if no request is waiting for it.
func (c *core) usePermit(permit limit.Permit, grantSeq uint64, now time.Time) {
	w := c.takeWaiting(&permit, now)
	if w == nil {
		c.returnPermit(&permit, now)
		return
	}
	w.done = true
	l := &lease{
		admission: c.admission,
		metrics:   c.metrics,
		permit:    permit,
		grantSeq:  grantSeq,
		addr:      c.targets[permit.Target].addr,
		waiter:    w,
	}
	c.leases[l] = struct{}{}
	w.reply <- admitResult{lease: l}
}

func (c *core) takeWaiting(p *limit.Permit, now time.Time) *waiter {
	var request dispatch.Request
	var found bool
	if p.Alone {
		request, found = c.queue.TakeAlone(p.Customer, p.Workload, now)
	} else {
		request, found = c.queue.Take(p.Customer, p.Workload, p.Target, now)
	}
	if !found {
		return nil
	}
	c.demandChanged = true
	w := c.waiting[request.ID]
	delete(c.waiting, request.ID)
	return w
}

// endPermit ends a permit. If the connection broke or was abandoned after the start, the
// target may still run the request, so it stays counted for as long as the target may take
// to notice.
func (c *core) endPermit(l *lease, kind entry.EndKind, now time.Time) {
	if l.begun && (kind == entry.EndBroken || kind == entry.EndAbandoned) {
		c.ledger.Abandon(&l.permit, now)
		c.markPeerDirty(l.permit.Owner)
		return
	}
	c.returnPermit(&l.permit, now)
}

func (c *core) returnPermit(p *limit.Permit, now time.Time) {
	c.ledger.Done(p, now)
	c.markPeerDirty(p.Owner)
}

func (e beginEvent) apply(c *core, now time.Time) {
	l := e.lease
	usable := !c.targets[l.permit.Target].outOfService && c.ledger.Use(&l.permit, now)
	if usable {
		l.begun = true
		l.started = now
		c.quarantine.MarkStarted(l.waiter.work.Fingerprint, l.runKey())
		c.startCharging(l)
		c.markCached(l, now)
		c.recordStarted(l, now)
	} else {
		c.recordExpired(l)
	}
	e.reply <- usable
}

func (c *core) startCharging(l *lease) {
	work := &l.waiter.work
	if work.Workload.Service != "" {
		c.accounts.Charge(work.Customer, work.Cost)
		return
	}
	l.charging = c.accounts.Start(work.Customer, c.knownCost(work))
}

func (e chargeEvent) apply(c *core, now time.Time) {
	c.recordFirstToken(e.lease, now)
	if !e.lease.begun || e.lease.waiter.work.Workload.Service != "" {
		return
	}
	used := c.tokenCost(e.lease.waiter.work.Workload.Model, e.input, e.output)
	c.accounts.Update(&e.lease.charging, used)
}

// recordFirstToken records the time of the first tokens of an answer.
func (c *core) recordFirstToken(l *lease, now time.Time) {
	if l.begun && l.firstToken.IsZero() {
		l.firstToken = now
		c.metrics.TimeToFirstToken.Record(now.Sub(l.started))
	}
}

func (e endEvent) apply(c *core, now time.Time) {
	l := e.lease
	if _, open := c.leases[l]; !open {
		return
	}
	delete(c.leases, l)
	c.endPermit(l, e.kind, now)
	if !l.begun {
		return
	}
	c.finishCharging(l, e.input, e.output)
	c.updateQuarantine(l, e.kind, now)
	c.recordEnded(l, e, now)
}

func (c *core) finishCharging(l *lease, input, output int64) {
	work := &l.waiter.work
	if work.Workload.Service != "" {
		return
	}
	c.accounts.Finish(&l.charging, c.tokenCost(work.Workload.Model, input, output))
}

// runKey returns the key of a run's target in the quarantine. It includes the boot id, so
// that a crash does not implicate requests that started after it.
func (l *lease) runKey() fleet.TargetID { return bootKey(l.permit.Target, l.permit.BootID) }

func bootKey(t fleet.TargetID, bootID string) fleet.TargetID {
	return t + "#" + fleet.TargetID(bootID)
}

// updateQuarantine records in the quarantine how a run ended. Whether a broken connection
// means a crash is decided by the target's next load report.
func (c *core) updateQuarantine(l *lease, kind entry.EndKind, now time.Time) {
	fingerprint := l.waiter.work.Fingerprint
	if kind == entry.EndBroken || kind == entry.EndUnreachable {
		c.markBroken(l.permit.Target, now)
	}
	if kind != entry.EndBroken {
		c.quarantine.MarkEnded(fingerprint, l.runKey(), kind == entry.EndFinished, now)
		return
	}
	c.quarantine.MarkBroken(fingerprint, l.runKey(), now)
	c.trackBrokenBoot(l.permit.Target, l.permit.BootID, now)
}
