// Package affinity tracks which prompt prefixes the targets probably hold in their prefix
// caches. The data is only a hint: cache events arrive late and with gaps, and a wrong
// hint costs a cache miss, nothing else.
//
// A Cache is owned by one goroutine and must not be used concurrently. Its memory is
// bounded by MaxTargets and MaxPrefixes.
package affinity

import (
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Bounds of a Cache.
const (
	// MaxTargets is the maximum number of targets tracked.
	MaxTargets = 1024
	// MaxPrefixes is the maximum number of prefixes tracked for each target.
	MaxPrefixes = 4096
)

// Cache is the view that one entry instance has of the targets' prefix caches.
type Cache struct {
	targets map[fleet.TargetID]*targetCache
	// order holds the targets in the order in which they were first seen.
	order []fleet.TargetID
}

// targetCache holds the prefixes of one boot of a target.
type targetCache struct {
	bootID   string
	prefixes map[uint64]struct{}
	// ring is a ring buffer of the prefixes in the order in which they were added, and
	// oldest the index of the oldest one once the buffer is full.
	ring   []uint64
	oldest int
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{targets: make(map[fleet.TargetID]*targetCache)}
}

// Cached returns the number of leading prefixes, shortest first, that the target
// probably holds without a gap. O(prefixes).
func (c *Cache) Cached(t fleet.TargetID, prefixes []uint64) int {
	tc := c.targets[t]
	if tc == nil {
		return 0
	}
	for n, prefix := range prefixes {
		if _, ok := tc.prefixes[prefix]; !ok {
			return n
		}
	}
	return len(prefixes)
}

// AddPrefixes records that a prompt with these prefixes ran on a boot of a target, which
// therefore holds them now. O(prefixes).
func (c *Cache) AddPrefixes(t fleet.TargetID, bootID string, prefixes []uint64) {
	tc := c.forBoot(t, bootID)
	for _, prefix := range prefixes {
		tc.add(prefix)
	}
}

// RemovePrefix records that a boot of a target no longer holds a prefix. O(1).
func (c *Cache) RemovePrefix(t fleet.TargetID, bootID string, prefix uint64) {
	if tc := c.targets[t]; tc != nil && tc.bootID == bootID {
		delete(tc.prefixes, prefix)
	}
}

// Invalidate drops the prefixes of a target, either because its cache events have a gap
// or because it is gone.
func (c *Cache) Invalidate(t fleet.TargetID) {
	if tc := c.targets[t]; tc != nil {
		tc.clear()
	}
}

// forBoot returns the targetCache of a boot of a target. It is empty for a new boot.
func (c *Cache) forBoot(t fleet.TargetID, bootID string) *targetCache {
	tc := c.targets[t]
	if tc == nil {
		c.evictOldestTarget()
		tc = &targetCache{bootID: bootID, prefixes: make(map[uint64]struct{})}
		c.targets[t] = tc
		c.order = append(c.order, t)
	}
	if tc.bootID != bootID {
		tc.clear()
		tc.bootID = bootID
	}
	return tc
}

// evictOldestTarget drops the target that was seen first if MaxTargets are tracked.
func (c *Cache) evictOldestTarget() {
	if len(c.order) < MaxTargets {
		return
	}
	delete(c.targets, c.order[0])
	c.order = c.order[1:]
}

func (tc *targetCache) clear() {
	clear(tc.prefixes)
	tc.ring = tc.ring[:0]
	tc.oldest = 0
}

// add inserts a prefix. If the ring is full, the new prefix replaces the oldest one.
func (tc *targetCache) add(prefix uint64) {
	if _, ok := tc.prefixes[prefix]; ok {
		return
	}
	tc.prefixes[prefix] = struct{}{}
	if len(tc.ring) < MaxPrefixes {
		tc.ring = append(tc.ring, prefix)
		return
	}
	delete(tc.prefixes, tc.ring[tc.oldest])
	tc.ring[tc.oldest] = prefix
	tc.oldest = (tc.oldest + 1) % MaxPrefixes
}
