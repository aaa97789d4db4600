// Package affinity remembers which prompt prefixes targets are believed to hold in
// their caches. It is a hint only: events come late and with gaps, and a wrong hint
// costs a cache miss, nothing else.
//
// A Cache is owned by one goroutine; no method may be called concurrently with
// another. Its memory is bounded by MaxTargets and MaxPrefixes.
package affinity

import (
	"medlarwind.dev/medlarwind/internal/fleet"
)

// Bounds of a Cache.
const (
	// MaxTargets bounds the targets remembered.
	MaxTargets = 1024
	// MaxPrefixes bounds the prefixes remembered for each target.
	MaxPrefixes = 4096
)

// Cache is one entry's picture of the targets' prefix caches.
type Cache struct {
	targets map[fleet.TargetID]*contents
	// order is the targets in the order in which they were first seen.
	order []fleet.TargetID
}

// contents is the picture of one target on one boot.
type contents struct {
	boot     string
	prefixes map[uint64]struct{}
	// oldest and ring hold the prefixes in the order in which they were added.
	ring   []uint64
	oldest int
}

// New returns an empty picture.
func New() *Cache {
	return &Cache{targets: make(map[fleet.TargetID]*contents)}
}

// Cached returns how many of the prefixes, shortest first, the target is believed to
// hold without a gap. O(prefixes).
func (c *Cache) Cached(t fleet.TargetID, prefixes []uint64) int {
	held := c.targets[t]
	if held == nil {
		return 0
	}
	for n, prefix := range prefixes {
		if _, ok := held.prefixes[prefix]; !ok {
			return n
		}
	}
	return len(prefixes)
}

// AddPrefixes notes that a prompt with these prefixes ran on a target's boot, which therefore
// holds them now. O(prefixes).
func (c *Cache) AddPrefixes(t fleet.TargetID, boot string, prefixes []uint64) {
	held := c.on(t, boot)
	for _, prefix := range prefixes {
		held.add(prefix)
	}
}

// RemovePrefix notes that a target's boot no longer holds a prefix. O(1).
func (c *Cache) RemovePrefix(t fleet.TargetID, boot string, prefix uint64) {
	if held := c.targets[t]; held != nil && held.boot == boot {
		delete(held.prefixes, prefix)
	}
}

// Invalidate drops the picture of a target: its cache events have a gap, or it is gone.
func (c *Cache) Invalidate(t fleet.TargetID) {
	if held := c.targets[t]; held != nil {
		held.clear()
	}
}

// on returns the picture of a target's boot; another boot starts empty.
func (c *Cache) on(t fleet.TargetID, boot string) *contents {
	held := c.targets[t]
	if held == nil {
		c.makeRoom()
		held = &contents{boot: boot, prefixes: make(map[uint64]struct{})}
		c.targets[t] = held
		c.order = append(c.order, t)
	}
	if held.boot != boot {
		held.clear()
		held.boot = boot
	}
	return held
}

// makeRoom drops the target that was seen first when there are too many.
func (c *Cache) makeRoom() {
	if len(c.order) < MaxTargets {
		return
	}
	delete(c.targets, c.order[0])
	c.order = c.order[1:]
}

func (h *contents) clear() {
	clear(h.prefixes)
	h.ring = h.ring[:0]
	h.oldest = 0
}

// add remembers a prefix in place of the one that was added first.
func (h *contents) add(prefix uint64) {
	if _, ok := h.prefixes[prefix]; ok {
		return
	}
	h.prefixes[prefix] = struct{}{}
	if len(h.ring) < MaxPrefixes {
		h.ring = append(h.ring, prefix)
		return
	}
	delete(h.prefixes, h.ring[h.oldest])
	h.ring[h.oldest] = prefix
	h.oldest = (h.oldest + 1) % MaxPrefixes
}
