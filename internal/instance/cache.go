package instance

import (
	"context"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// Timing of reads of cache events.
const (
	// cachePollInterval is the time between two reads of one engine's cache events.
	cachePollInterval = time.Second
	// cacheIdleTimeout is how long after the last request from this entry an engine's
	// events are read. The hints cover only prefixes that this entry sent.
	cacheIdleTimeout = time.Minute
)

// cacheReader holds the read position in one engine's cache events.
type cacheReader struct {
	bootID string
	next   uint64
	// lastUsed is when this entry last started a request on the engine, and lastPoll is
	// when it last requested the events.
	lastUsed, lastPoll time.Time
}

// cacheEvent is the result of one read of an engine's cache events.
type cacheEvent struct {
	target fleet.TargetID
	events target.CacheEvents
	err    error
}

// markCached records that a prompt runs on an engine, which caches its prefixes.
func (c *core) markCached(l *lease, now time.Time) {
	if len(l.waiter.work.Prefixes) == 0 {
		return
	}
	t := l.permit.Target
	c.affinity.AddPrefixes(t, l.permit.BootID, l.waiter.work.Prefixes)
	r := c.caches[t]
	if r == nil {
		r = &cacheReader{bootID: l.permit.BootID}
		c.caches[t] = r
	}
	r.lastUsed = now
}

// pollCaches requests the cache events of engines that this entry used recently.
func (c *core) pollCaches(now time.Time) {
	for t, r := range c.caches {
		if now.Sub(r.lastUsed) > cacheIdleTimeout {
			delete(c.caches, t)
			continue
		}
		if now.Sub(r.lastPoll) >= cachePollInterval {
			r.lastPoll = now
			c.poller.submit(poll{target: t, addr: c.targets[t].addr, cacheAfter: r.next, cache: true})
		}
	}
}

// apply removes evicted prefixes from the affinity cache. After a gap in the events or a
// new boot, it drops all prefixes of the target.
func (e cacheEvent) apply(c *core, _ time.Time) {
	r := c.caches[e.target]
	if r == nil || e.err != nil {
		return
	}
	if r.bootID != e.events.BootID || e.events.Gap {
		c.affinity.Invalidate(e.target)
		r.bootID = e.events.BootID
	}
	r.next = e.events.Next
	for _, event := range e.events.Events {
		if event.Op == enginewire.CacheEvicted {
			c.affinity.RemovePrefix(e.target, e.events.BootID, event.Hash)
		}
	}
}

// readCache reads one engine's cache events. Poller workers call it.
func (p *poller) readCache(ctx context.Context, request poll) cacheEvent {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	events, err := p.targets.CacheEvents(ctx, request.addr, request.cacheAfter)
	return cacheEvent{target: request.target, events: events, err: err}
}
