package affinity

import (
	"testing"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
)

func TestCachedCountsPrefixesWithoutGap(t *testing.T) {
	c := New()
	c.AddPrefixes("e1", "boot-1", []uint64{1, 2, 3})
	c.RemovePrefix("e1", "boot-1", 2)
	if n := c.Cached("e1", []uint64{1, 2, 3}); n != 1 {
		t.Errorf("%d prefixes are cached after the second was evicted, want 1", n)
	}
	c.AddPrefixes("e1", "boot-2", []uint64{9})
	if n := c.Cached("e1", []uint64{1}); n != 0 {
		t.Errorf("the new boot holds %d prefixes of the former one", n)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		targets := rapid.IntRange(1, 2*MaxTargets).Draw(t, "targets")
		for i := range targets {
			c.AddPrefixes(fleet.TargetID(rune(i)), "boot", []uint64{uint64(i)})
		}
		for i := range rapid.Uint64Range(0, 3*MaxPrefixes).Draw(t, "prefixes") {
			c.AddPrefixes("e1", "boot", []uint64{i})
		}
		if len(c.targets) > MaxTargets {
			t.Fatalf("%d targets are tracked, want at most %d", len(c.targets), MaxTargets)
		}
		if held := c.targets["e1"]; held != nil && len(held.prefixes) > MaxPrefixes {
			t.Fatalf("%d prefixes are tracked, want at most %d", len(held.prefixes), MaxPrefixes)
		}
	})
}
