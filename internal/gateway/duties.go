package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/roster"
)

// Constants of the duties.
const (
	// relayReads is the age of the records at which a relay reads the platform itself,
	// whoever's duty it is. A reader's own copy is up to 1.4 s old (two watches of 0.7 s),
	// and heartbeats add to that, so that the relay reads at times in calm as well: later
	// it might miss the bound on configurations, 2.5 s, when the reader is gone. Others
	// wait until the relay may have told them, and up to othersSpread longer, each for
	// another time.
	relayReads   = 1400 * time.Millisecond
	othersRead   = 1800 * time.Millisecond
	othersSpread = 500 * time.Millisecond
	// settleTime is how long an instance does not count on its view of who reads: one that
	// knows nobody yet would take itself for a relay, and in a restart of a fleet all
	// would. It is shorter than the shortest time after which the platform's bounds hold
	// for a machine that started, 4 s.
	settleTime = 3 * time.Second
	// aloneTime is the same for an instance that hears nobody.
	aloneTime = time.Second
	// maxLocated bounds the addresses in an answer of the directory.
	maxLocated = 64
)

// readDuty is this instance's part in reading the platform: a few instances of each data
// centre read, and the others hear from them, so that calls do not grow with the fleet.
// When their word grows old the other relays read first.
func (g *Gateway) readDuty() records.Duty {
	now := g.options.Now()
	revision, at := g.copy.State()
	since := max(at, g.began)
	limit := relayReads
	if !g.relay.Load() {
		limit = othersRead + time.Duration(g.spread*float64(othersSpread))
	}
	old := now.Sub(since) > limit
	age := now.Sub(g.began)
	young := age < settleTime && (age < aloneTime || g.hasPeers.Load())
	switch {
	case g.reader.Load() && !young:
		return records.Read
	case old, revision == 0 && g.reader.Load():
		return records.StandIn
	}
	return records.Listen
}

// noteRead records the outcome of a call to the platform.
func (g *Gateway) noteRead(err error) {
	g.metrics.platformCall(err)
	if err != nil {
		g.scheduler.NoteOutage()
	}
}

// applyRecords puts changed records in force.
func (g *Gateway) applyRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.copy.Changed():
		}
		published := g.options.Interpreter.Interpret(g.copy.All())
		g.putInForce(published)
	}
}

func (g *Gateway) putInForce(p Published) {
	before := g.catalog.Load()
	// A version that is older than the one in force can only be a reader's mistake.
	if p.Catalog != nil && (before == nil || p.Catalog.Version > before.Version) {
		g.scheduler.SetCatalog(p.Catalog)
		g.catalog.Store(p.Catalog)
		g.options.Log.Info().Str("event", "configuration").Uint64("version", p.Catalog.Version).Msg("")
	}
	g.scheduler.SetTargets(p.Targets, p.Evacuated)
	revision, _ := g.copy.State()
	g.options.Log.Info().Str("event", "targets").Uint64("revision", revision).Int("listed", len(p.Targets)).
		Int("evacuated", len(p.Evacuated)).Msg("")
}

// isReady reports whether the instance takes requests.
func (g *Gateway) isReady() bool {
	return !g.leaving.Load() && g.catalog.Load() != nil && g.Confirmed()
}

// locate answers the directory's question.
func (g *Gateway) locate(from Place) (Located, bool) {
	g.mu.Lock()
	alive := g.roster.Alive(g.options.Now())
	g.mu.Unlock()
	addrs := Locate(alive, from, g.options.Settings.Regions)
	return Located{Addrs: addrs, Lifetime: g.options.Settings.LocateLifetime}, len(addrs) > 0
}

// Locate returns the callers' addresses of the instances that a caller should use: all
// that are ready in its region, else all that are ready, else all that are not
// stopping. The order does not depend on who is asked. O(members).
func Locate(alive []roster.Member, from Place, regions map[fleet.DataCentreID]fleet.RegionID) []string {
	best := classNone
	var members []roster.Member
	for _, m := range alive {
		class := classOf(m, from, regions)
		if class > best {
			best, members = class, nil
		}
		if class == best && class != classNone {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b roster.Member) int { return cmp.Compare(a.CallerAddr, b.CallerAddr) })
	addrs := make([]string, 0, min(len(members), maxLocated))
	for _, m := range members[:min(len(members), maxLocated)] {
		addrs = append(addrs, m.CallerAddr)
	}
	return addrs
}

// locateClass orders instances by their use to a caller.
type locateClass int

const (
	classNone locateClass = iota
	classLeaving
	classNotReady
	classReady
	classNear
)

func classOf(m roster.Member, from Place, regions map[fleet.DataCentreID]fleet.RegionID) locateClass {
	switch {
	case m.CallerAddr == "":
		return classNone
	case m.Leaving:
		return classLeaving
	case m.NotReady:
		return classNotReady
	case regions[m.DataCentre] == from.Region:
		return classNear
	}
	return classReady
}

// Constants of a planned stop.
const (
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 500 * time.Millisecond
	// lifetimesKept is for how many lifetimes callers keep an answer of the directory.
	lifetimesKept = 3
	// streamsPart and requestsPart are the parts of a planned stop in which new streams
	// and other new requests are still served: later ones might not end in time.
	streamsPart  = 0.3
	requestsPart = 0.75
)

// Stop is the planned stop: callers and peers are sent elsewhere at once, while
// requests that still come are served; it returns when none is left and callers have
// had time to ask again, at the latest shortly before the grace ends.
func (g *Gateway) Stop() {
	began := g.options.Now()
	g.leaving.Store(true)
	limit := g.options.Settings.StopGrace - stopMargin
	g.handler.StartDrain(time.Duration(streamsPart*float64(limit)), time.Duration(requestsPart*float64(limit)))
	g.options.Log.Info().Str("event", "stopping").Int64("active", g.handler.Active()).Msg("")
	g.sendRound()
	linger := min(lifetimesKept*g.options.Settings.LocateLifetime+heartbeatInterval, limit)
	wait(linger)
	ctx, cancel := context.WithTimeout(context.Background(), max(limit-g.options.Now().Sub(began), 0))
	defer cancel()
	err := g.handler.AwaitIdle(ctx)
	g.options.Log.Info().Str("event", "stop_done").Int64("active", g.handler.Active()).
		Int64("after_ms", sinceMillis(g.options.Now, began)).Err(err).Msg("")
}

func sinceMillis(now clock.Source, began clock.Instant) int64 { return now().Sub(began).Milliseconds() }

func wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
