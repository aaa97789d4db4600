package standin

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// maxCacheEvents is the number of cache events that an engine retains.
const maxCacheEvents = 1024

// exportedBytes is the length of an exported prefix.
const exportedBytes = 4096

// prefixCache is an LRU cache of prompt prefixes that logs its changes as events.
// It is not safe for concurrent use; Engine.mu guards it.
type prefixCache struct {
	capacity int
	// order holds the prefixes, the most recently used last.
	order  []prefix
	events []timedEvent
	seq    uint64
}

// prefix identifies a prompt prefix of a model.
type prefix struct {
	model fleet.ModelID
	hash  uint64
}

// timedEvent is a cache event and the time at which it occurred.
type timedEvent struct {
	enginewire.CacheEvent
	at time.Time
}

// touch makes p the most recently used prefix, evicts the least recently used one if
// the cache is over capacity, and reports whether p was cached before.
func (c *prefixCache) touch(p prefix) bool {
	i := slices.Index(c.order, p)
	if i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	} else {
		c.appendEvent(enginewire.CacheStored, p)
	}
	c.order = append(c.order, p)
	if len(c.order) > c.capacity {
		c.appendEvent(enginewire.CacheEvicted, c.order[0])
		c.order = c.order[1:]
	}
	return i >= 0
}

// appendEvent logs a change of the cache and drops the oldest event beyond
// maxCacheEvents.
func (c *prefixCache) appendEvent(op enginewire.CacheOp, p prefix) {
	c.seq++
	event := enginewire.CacheEvent{Seq: c.seq, Op: op, Model: p.model, Hash: p.hash}
	c.events = append(c.events, timedEvent{event, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with a sequence number above after that are at least
// delay old, and the highest sequence number among them. It leaves out every event
// whose sequence number is a multiple of gap, unless gap is 0.
func (c *prefixCache) eventsAfter(after uint64, delay time.Duration, gap uint64) ([]enginewire.CacheEvent, uint64) {
	events := []enginewire.CacheEvent{}
	next := after
	for _, e := range c.events {
		if e.Seq <= after || time.Since(e.at) < delay {
			continue
		}
		next = e.Seq
		if gap == 0 || e.Seq%gap != 0 {
			events = append(events, e.CacheEvent)
		}
	}
	return events, next
}

// serveCacheEvents returns the cache events above the sequence number in the query.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	reply := enginewire.CacheEvents{BootID: e.bootID()}
	reply.Events, reply.Next = e.cache.eventsAfter(after, e.opts.EventDelay, e.opts.EventDropInterval)
	e.mu.Unlock()
	writeJSON(w, reply)
}

// parsePrefix returns the prefix named in the query of a KV request.
func parsePrefix(r *http.Request) prefix {
	query := r.URL.Query()
	hash, _ := strconv.ParseUint(query.Get("hash"), 10, 64)
	return prefix{fleet.ModelID(query.Get("model")), hash}
}

// serveExport returns the content of a cached prefix.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	p := parsePrefix(r)
	e.mu.Lock()
	cached := slices.Contains(e.cache.order, p)
	e.mu.Unlock()
	if !cached {
		refuse(w, http.StatusNotFound, "not_cached")
		return
	}
	_, _ = w.Write(exportedContent(p))
}

// serveImport caches a prefix if the body is its exported content.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	p := parsePrefix(r)
	body := make([]byte, exportedBytes+1)
	n, _ := io.ReadFull(r.Body, body)
	if string(body[:n]) != string(exportedContent(p)) {
		refuse(w, http.StatusBadRequest, enginewire.ReasonMalformed)
		return
	}
	e.mu.Lock()
	e.cache.touch(p)
	e.mu.Unlock()
}

// exportedContent returns the content of p as exported, which is the same on every
// engine.
func exportedContent(p prefix) []byte {
	return Output(string(p.model)+strconv.FormatUint(p.hash, 10), exportedBytes/bytesPerToken)
}
