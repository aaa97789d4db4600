package instance

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/config"
	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/entry"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/observe"
	"medlarwind.dev/medlarwind/internal/peer"
	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/wire"
)

// observedRequest returns the fields that identify a request in the decision log.
func observedRequest(w *entry.AdmissionRequest) observe.Request {
	return observe.Request{
		ID:       w.RequestID,
		Customer: w.Customer,
		Workload: w.Workload,
		Attempt:  w.Attempt,
	}
}

func (c *core) recordAdmitted(w *waiter) {
	c.decisions.Admitted(&observe.Admitted{
		Request:  observedRequest(&w.work),
		Queued:   c.queue.Len(),
		Estimate: c.estimate(&w.work),
	})
}

func (c *core) recordRefused(w *waiter, outcome *entry.OutcomeError, now time.Time) {
	reason := observe.Reason(outcome.Reason)
	c.metrics.AddRefused(reason)
	c.decisions.Refused(&observe.Refused{
		Request:    observedRequest(&w.work),
		Reason:     reason,
		Outcome:    observedOutcome(outcome.Kind),
		Wait:       now.Sub(w.since),
		RetryAfter: outcome.RetryAfter,
	})
}

func observedOutcome(kind entry.Kind) observe.Outcome {
	switch kind {
	case entry.NotRun:
		return observe.OutcomeNotRun
	case entry.Failed:
		return observe.OutcomeFailed
	default:
		return observe.OutcomeUnknown
	}
}

func (c *core) recordGranted(d dispatch.Decision, g *wire.Grant) {
	state := c.ledger.State(d.Target)
	reason := observe.ReasonLeastService
	if d.Alone {
		reason = observe.ReasonSuspectAlone
	}
	var alternatives [dispatch.MaxAlternatives]observe.Alternative
	for i := range d.Alternatives.NumCustomers {
		alternative := d.Alternatives.Customers[i]
		alternatives[i] = observe.Alternative{Customer: alternative.Customer, VirtualTime: fleet.Cost(alternative.Key)}
	}
	c.decisions.Granted(&observe.Granted{
		Customer:     d.Customer,
		Workload:     d.Workload,
		Target:       d.Target,
		Entry:        d.Entry,
		Owner:        c.options.self,
		Grant:        g.Seq,
		Reason:       reason,
		VirtualTime:  fleet.Cost(d.VirtualTime),
		Running:      state.Accounted,
		Limit:        state.Limit,
		CrossRegion:  c.crossesRegion(d.Entry),
		Alternatives: alternatives[:d.Alternatives.NumCustomers],
	})
}

func (c *core) recordStarted(l *lease, now time.Time) {
	wait := now.Sub(l.waiter.since)
	c.metrics.AddStarted()
	c.metrics.Wait.Record(wait)
	c.decisions.Started(&observe.Started{
		Request:     observedRequest(&l.waiter.work),
		Target:      l.permit.Target,
		Entry:       c.options.self,
		Owner:       l.permit.Owner,
		Grant:       l.grantSeq,
		Reason:      observe.ReasonOldest,
		Wait:        wait,
		Queued:      c.queue.Len(),
		CrossRegion: c.crossesRegion(l.permit.Owner),
	})
}

// recordExpired logs a permit that had expired before its use.
func (c *core) recordExpired(l *lease) {
	c.decisions.Retried(&observe.Retried{
		Request: observedRequest(&l.waiter.work),
		Target:  l.permit.Target,
		Reason:  observe.ReasonPermitExpired,
	})
}

func (c *core) recordEnded(l *lease, e endEvent, now time.Time) {
	work := &l.waiter.work
	outcome := endOutcome(e.kind)
	used := work.Cost
	if work.Workload.Service == "" {
		used = c.tokenCost(work.Workload.Model, e.input, e.output)
	}
	c.metrics.AddFinished(outcome)
	c.metrics.AddService(work.Customer, used)
	finished := observe.Finished{
		Request:      observedRequest(work),
		Target:       l.permit.Target,
		Outcome:      outcome,
		Reason:       observe.Reason(e.kind.String()),
		Duration:     now.Sub(l.started),
		InputTokens:  e.input,
		OutputTokens: e.output,
		Cost:         used,
	}
	if !l.firstToken.IsZero() {
		finished.TimeToFirstToken = l.firstToken.Sub(l.started)
	}
	c.decisions.Finished(&finished)
}

func endOutcome(kind entry.EndKind) observe.Outcome {
	switch kind {
	case entry.EndFinished:
		return observe.OutcomeOK
	case entry.EndFailed:
		return observe.OutcomeFailed
	case entry.EndUnused, entry.EndUnreachable:
		return observe.OutcomeNotRun
	case entry.EndCancelled, entry.EndAbandoned:
		return observe.OutcomeCut
	default:
		return observe.OutcomeUnknown
	}
}

func (c *core) recordTargetState(e reportEvent, before, after limit.TargetStatus) {
	reason := observe.ReasonReported
	if before.BootID != after.BootID {
		reason = observe.ReasonNewBoot
	}
	c.decisions.TargetState(&observe.TargetState{
		Target: e.target,
		State:  after.State,
		Former: before.State,
		BootID: after.BootID,
		Limit:  after.Limit,
		Reason: reason,
	})
}

func (c *core) recordPeerState(p *peerState) {
	state := observe.PeerGone
	switch {
	case p.connected && p.leaving:
		state = observe.PeerLeaving
	case p.connected:
		state = observe.PeerLive
	}
	c.decisions.PeerState(&observe.PeerState{
		Peer:        p.hello.Instance,
		Incarnation: p.hello.Incarnation,
		State:       state,
	})
}

func (c *core) recordDraining(phase observe.DrainPhase, now time.Time) {
	c.decisions.Draining(&observe.Draining{
		Phase:   phase,
		Running: len(c.leases),
		Queued:  c.queue.Len(),
		Elapsed: now.Sub(c.drainStart),
	})
}

// controlTraffic converts the transport's counters for the metrics.
func controlTraffic(counters peer.Counters) observe.ControlTraffic {
	return observe.ControlTraffic{
		DataCentre:  scopeTraffic(counters.Scopes[peer.ScopeDataCentre]),
		Region:      scopeTraffic(counters.Scopes[peer.ScopeRegion]),
		CrossRegion: scopeTraffic(counters.Scopes[peer.ScopeCrossRegion]),
	}
}

func scopeTraffic(t peer.Traffic) observe.ScopeTraffic {
	return observe.ScopeTraffic{
		BytesSent:        t.BytesSent,
		BytesReceived:    t.BytesReceived,
		MessagesSent:     t.MessagesSent,
		MessagesReceived: t.MessagesReceived,
	}
}

func (c *core) recordConfig(next *config.Snapshot) {
	applied := observe.ConfigApplied{Version: next.Version, Digest: next.Digest, Source: observe.SourcePlatform}
	if next.Source != config.SourceService {
		applied.Source = observe.SourcePeer
		applied.Peer = fleet.InstanceID(next.Source)
	}
	if c.snapshot != nil {
		applied.Former = c.snapshot.Version
	}
	c.metrics.SetConfigVersion(next.Version)
	c.decisions.ConfigApplied(&applied)
}

// recordOwnedChanges logs the targets that this instance now owns or no longer owns, and
// removes the metrics of the latter. former must be sorted.
func (c *core) recordOwnedChanges(former []fleet.TargetID, now time.Time) {
	for _, id := range c.owners.owned {
		if _, kept := slices.BinarySearch(former, id); !kept {
			c.recordOwner(id, c.options.self, "")
		}
	}
	for _, id := range former {
		if _, kept := slices.BinarySearch(c.owners.owned, id); kept {
			continue
		}
		owner, _ := c.ledger.Owner(id, now)
		c.recordOwner(id, owner, c.options.self)
		c.metrics.RemoveTarget(id)
	}
}

func (c *core) recordOwner(id fleet.TargetID, owner, former fleet.InstanceID) {
	c.decisions.OwnerChanged(&observe.OwnerChanged{
		Target:      id,
		Owner:       owner,
		Former:      former,
		ListVersion: c.list.Version,
	})
}

// recordUnknown logs a request whose caller got the outcome unknown. It is safe for
// concurrent use.
func (c *core) recordUnknown(w *entry.AdmissionRequest, reason string) {
	c.metrics.AddUnknown()
	c.decisions.Unknown(&observe.Unknown{Request: observedRequest(w), Reason: observe.Reason(reason)})
}

// recordConfigRefused logs a configuration that was not applied. It is safe for concurrent
// use.
func (c *core) recordConfigRefused(r config.Refusal) {
	refused := observe.ConfigRefused{
		Version: r.Version,
		Source:  observe.SourcePlatform,
		Reason:  observe.ReasonInvalidRules,
		Error:   r.Err,
	}
	if r.Outcome == config.Conflict {
		refused.Reason = observe.ReasonDigestConflict
	}
	if r.Source != config.SourceService {
		refused.Source = observe.SourcePeer
		refused.Peer = fleet.InstanceID(r.Source)
	}
	var faults *rules.Errors
	if errors.As(r.Err, &faults) && len(faults.List) > 0 {
		refused.Line = faults.List[0].Line
	}
	c.decisions.ConfigRefused(&refused)
}
