package gateway

import (
	"context"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/locate"
	"medlarwind.dev/medlarwind/internal/records"
)

// Times of reading the platform.
const (
	// relayReadAge is the age of the records at which a relay reads the platform itself,
	// even if it is not the reader. A reader's own copy is up to 1.4 s old (two watches of
	// 0.7 s), and heartbeats add to that, so that relays sometimes read although the reader
	// works. With a higher value, a relay could miss the 2.5 s within which a configuration
	// must take effect when the reader has failed. Other instances wait for
	// nonRelayReadAge, so that a relay has time to pass the records on, plus a random part
	// of nonRelayReadJitter, so that they do not all read at once.
	relayReadAge       = 1400 * time.Millisecond
	nonRelayReadAge    = 1800 * time.Millisecond
	nonRelayReadJitter = 500 * time.Millisecond
	// settleTime is how long after its start an instance does not rely on its view of which
	// instance reads: before it has peers it would plan itself as a relay, and when a whole
	// fleet restarts, every instance would. It is below 4 s, because the platform's bounds
	// apply to a machine from 4 s after its start at the earliest.
	settleTime = 3 * time.Second
	// aloneSettleTime replaces settleTime for an instance without live peers.
	aloneSettleTime = time.Second
)

// readDuty returns this instance's role in reading the platform. A few instances of each
// data centre read, and the others get the records from them, so that the number of calls
// does not grow with the fleet. When the records become stale, the other relays read
// first.
func (g *Gateway) readDuty() records.Role {
	now := g.options.Now()
	at, confirmedAt := g.copy.State()
	since := max(confirmedAt, g.startedAt)
	limit := relayReadAge
	if !g.relay.Load() {
		limit = nonRelayReadAge + time.Duration(g.readJitter*float64(nonRelayReadJitter))
	}
	stale := now.Sub(since) > limit
	age := now.Sub(g.startedAt)
	settling := age < settleTime && (age < aloneSettleTime || g.hasPeers.Load())
	switch {
	case g.reader.Load() && !settling:
		return records.RoleReader
	case stale, at.IsZero() && g.reader.Load():
		return records.RoleFallback
	}
	return records.RoleStandby
}

// recordRead counts a call to the platform that began at a given time, and reports a failure to the
// scheduler if it cannot be due to this instance's own processor.
func (g *Gateway) recordRead(began clock.Instant, err error) {
	cause := g.readFailureOf(began, err)
	g.metrics.recordPlatformCall(cause)
	if err == nil {
		return
	}
	g.options.Log.Info().Str("event", "platform_read_failed").Str("cause", string(cause)).
		Int64("took_ms", sinceMillis(g.options.Now, began)).Err(err).Msg("")
	if cause != readLate {
		g.scheduler.NoteFailedRead()
	}
}

// applyRecords applies the platform's records each time they change, until ctx ends.
func (g *Gateway) applyRecords(ctx context.Context) {
	var had records.Position
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.copy.Changed():
		}
		began := g.options.Now()
		at, confirmedAt, all := g.copy.Snapshot()
		g.noteEra(had, at)
		g.applyState(g.options.Interpreter.Interpret(at, all), began, confirmedAt)
		had = at
	}
}

// noteEra notes, logs and counts a change of the platform's era between two positions of the copy.
func (g *Gateway) noteEra(had, at records.Position) {
	g.metrics.era.Set(int64(at.Era()))
	if had.IsZero() || at.SharesHistory(had) {
		return
	}
	g.metrics.eraChanges.Add(1)
	now := g.options.Now()
	compare := g.comparison.noteRestore(g.haveLapsed(now), now)
	g.options.Log.Warn().Str("event", "store_era_changed").Uint64("had_era", had.Era()).Uint64("had", had.Revision()).
		Uint64("era", at.Era()).Uint64("revision", at.Revision()).Bool("compare", compare).Msg("")
}

// applyState applies the targets and, if its version is newer, the configuration. began is when
// the state was taken from the copy, confirmedAt when it was last known to be the newest.
func (g *Gateway) applyState(p PlatformState, began, confirmedAt clock.Instant) {
	// After a restore the platform may show an older version. A configuration in force never
	// goes back within one lifetime.
	if p.Catalog != nil {
		g.setConfiguration(p.Catalog, p.Configuration, "platform")
	}
	if applied, _ := g.applied.State(); !applied.IsZero() && !applied.SharesHistory(p.Position) {
		g.scheduler.NoteRestore()
	}
	g.scheduler.SetTargets(p.Targets, p.Evacuated)
	g.applied.Set(p.Position, confirmedAt)
	_, listedAt := g.applied.State()
	outdated, keptEvacuations := g.scheduler.Outdated()
	g.options.Log.Info().Str("event", "targets").Uint64("era", p.Position.Era()).Uint64("revision", p.Position.Revision()).Int("listed", len(p.Targets)).
		Int("evacuated", len(p.Evacuated)).Int("outdated", outdated).Int("evacuations_kept", keptEvacuations).
		Int64("took_ms", sinceMillis(g.options.Now, began)).Int64("age_ms", sinceMillis(g.options.Now, listedAt)).Msg("")
}

// isReady reports whether the instance accepts requests.
func (g *Gateway) isReady() bool {
	return !g.leaving.Load() && g.catalog.Load() != nil && g.Confirmed() && g.scheduler.ListingCurrent()
}

// locate returns the directory's answer for a caller; false if no instance is known.
func (g *Gateway) locate(from locate.Caller) (LocateResult, bool) {
	g.mu.Lock()
	alive := g.roster.Alive(g.options.Now())
	g.mu.Unlock()
	addrs := locate.Addrs(alive, from, g.options.Settings.Regions)
	return LocateResult{Addrs: addrs, Lifetime: g.options.Settings.LocateLifetime}, len(addrs) > 0
}

// Times of a graceful stop.
const (
	// stopMargin is the part of the grace period that is left for the process to exit.
	stopMargin = 500 * time.Millisecond
	// answerLifetimes is the number of lifetimes for which callers may keep a directory
	// answer.
	answerLifetimes = 3
	// endMargin is the time before the end of a graceful stop at which requests without an answer
	// are ended, so that their callers get one.
	endMargin = 300 * time.Millisecond
	// streamsFraction and requestsFraction are the fractions of a graceful stop during which
	// new streams and other new requests are still served; later ones might not end in time.
	streamsFraction  = 0.3
	requestsFraction = 0.75
)

// Stop performs a graceful stop. It directs callers and peers to other instances at once
// and keeps serving requests that still arrive, until callers have had time to ask the
// directory again. Then it accepts no more connections and closes the open ones as they
// become idle. It returns when all are closed, so that no request can be read and then cut,
// or at the latest shortly before the grace period ends.
func (g *Gateway) Stop() {
	start := g.options.Now()
	g.leaving.Store(true)
	limit := g.options.Settings.StopGrace - stopMargin
	g.handler.StartDrain(time.Duration(streamsFraction*float64(limit)), time.Duration(requestsFraction*float64(limit)), limit-endMargin)
	g.options.Log.Info().Str("event", "stopping").Int64("active", g.handler.Active()).Msg("")
	g.sendRound()
	linger := answerLifetimes*g.options.Settings.LocateLifetime + heartbeatInterval
	wait(min(linger, time.Duration(requestsFraction*float64(limit))))
	g.closeCallerListener()
	err := g.drainCallers(max(limit-endMargin-g.options.Now().Sub(start), 0))
	if err != nil {
		g.handler.EndAll()
		err = g.drainCallers(max(limit-g.options.Now().Sub(start), 0))
	}
	g.logClosedIdle()
	conns := g.callers.counts()
	g.options.Log.Info().Str("event", "stop_done").Int64("active", g.handler.Active()).
		Int("conns_open", conns.open).Int("conns_idle", conns.idle).Int("conns_busy", conns.busy).
		Int64("after_ms", sinceMillis(g.options.Now, start)).Err(err).Msg("")
}

// drainCallers closes callers' connections as they become idle, for up to d. The error says that
// some are left.
func (g *Gateway) drainCallers(d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return g.callers.drain(ctx)
}

// closeCallerListener closes the callers' listener if it is open.
func (g *Gateway) closeCallerListener() {
	select {
	case <-g.ready:
		_ = g.callerListener.Close()
		if g.handOverListener != nil {
			_ = g.handOverListener.Close()
		}
	default:
	}
}

// sinceMillis returns the milliseconds since start.
func sinceMillis(now clock.Source, start clock.Instant) int64 { return now().Sub(start).Milliseconds() }

// wait blocks for d.
func wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
