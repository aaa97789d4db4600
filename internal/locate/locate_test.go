package locate_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/locate"
	"medlarwind.dev/medlarwind/internal/roster"
)

var regions = map[fleet.DataCentreID]fleet.RegionID{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

// instances returns n instances of a size in a data centre.
func instances(n, processor int, dc fleet.DataCentreID) []roster.Member {
	var all []roster.Member
	for i := range n {
		addr := fmt.Sprintf("%s-%d-%d", dc, processor, i)
		all = append(all, roster.Member{ID: fleet.InstanceID(addr), CallerAddr: addr, DataCentre: dc, ProcessorMillis: processor})
	}
	return all
}

// mixed returns a region of few large and many small instances, and one of small ones.
func mixed() []roster.Member {
	return slices.Concat(instances(2, 800, "a1"), instances(12, 192, "a1"), instances(2, 800, "a2"), instances(12, 192, "a2"),
		instances(3, 192, "b1"))
}

func count(addrs []string, part string) int {
	n := 0
	for _, a := range addrs {
		if strings.Contains(a, part) {
			n++
		}
	}
	return n
}

// All requests of a large customer can come to one instance, so callers must be sent to the
// instances that can carry that.
func TestCallersAreSentToLargestInstances(t *testing.T) {
	got := locate.Addrs(mixed(), locate.Caller{Region: "a"}, regions)
	if len(got) != 4 || count(got, "-800-") != 4 {
		t.Errorf("got %v, want the four large instances of region a", got)
	}
}

func TestEqualInstancesAreAllUsed(t *testing.T) {
	alive := slices.Concat(instances(8, 400, "a1"), instances(8, 400, "b1"))
	if got := locate.Addrs(alive, locate.Caller{Region: "a"}, regions); len(got) != 8 {
		t.Errorf("got %v, want all eight instances of region a", got)
	}
}

// Two data centres may fail one after the other; callers must not all depend on the first.
func TestLargestInstancesOfOneDataCentreAreNotEnough(t *testing.T) {
	alive := slices.Concat(instances(6, 800, "a1"), instances(12, 192, "a2"))
	got := locate.Addrs(alive, locate.Caller{Region: "a"}, regions)
	if count(got, "a2-") == 0 {
		t.Errorf("got %v, want instances of both data centres", got)
	}
}

// An instance that falls behind gets no new callers, and if half of the large ones do, the small
// ones help out.
func TestInstanceThatFallsBehindIsLeftOut(t *testing.T) {
	alive := mixed()
	alive[0].Behind = true
	got := locate.Addrs(alive, locate.Caller{Region: "a"}, regions)
	if slices.Contains(got, alive[0].CallerAddr) || len(got) != 3 {
		t.Errorf("got %v, want the three large instances that do not fall behind", got)
	}
	for i := range alive {
		alive[i].Behind = alive[i].ProcessorMillis == 800
	}
	got = locate.Addrs(alive, locate.Caller{Region: "a"}, regions)
	if count(got, "-192-") != 24 || count(got, "-800-") != 0 {
		t.Errorf("got %v, want the small instances of region a", got)
	}
	for i := range alive {
		alive[i].Behind = true
	}
	if got = locate.Addrs(alive, locate.Caller{Region: "a"}, regions); len(got) != 28 {
		t.Errorf("got %v, want all instances of region a: each falls behind", got)
	}
}

// Whatever the fleet, an answer names some instance if any has an address, in the best class, no
// more than the limit, and the same whichever order the instances are known in.
func TestAnswerIsUsableForAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var alive []roster.Member
		for i := range rapid.IntRange(0, 200).Draw(t, "instances") {
			addr := fmt.Sprintf("i%d", i)
			alive = append(alive, roster.Member{
				ID: fleet.InstanceID(addr), CallerAddr: addr, DataCentre: rapid.SampledFrom([]fleet.DataCentreID{"a1", "a2", "b1", "b2"}).Draw(t, "dc"),
				ProcessorMillis: rapid.SampledFrom([]int{0, 192, 400, 800}).Draw(t, "processor"),
				Leaving:         rapid.Bool().Draw(t, "leaving"), NotReady: rapid.Bool().Draw(t, "notReady"), Behind: rapid.Bool().Draw(t, "behind"),
			})
		}
		got := locate.Addrs(slices.Clone(alive), locate.Caller{Region: "a"}, regions)
		if len(alive) > 0 && len(got) == 0 || len(got) > locate.MaxAddrs {
			t.Fatalf("%d addresses of %d instances", len(got), len(alive))
		}
		ready := func(m roster.Member) bool { return !m.Leaving && !m.NotReady && regions[m.DataCentre] == "a" }
		anyReady := slices.ContainsFunc(alive, ready)
		for _, m := range alive {
			if anyReady && !ready(m) && slices.Contains(got, m.CallerAddr) {
				t.Fatalf("%s is named although it is not ready in the caller's region", m.CallerAddr)
			}
		}
		slices.Reverse(alive)
		if again := locate.Addrs(alive, locate.Caller{Region: "a"}, regions); !slices.Equal(got, again) {
			t.Fatalf("another order of the instances: %v, was %v", again, got)
		}
	})
}

// One late tick is no sign of load, some in a row are; the state must not change back and forth.
func TestLagHasHysteresis(t *testing.T) {
	const interval = 20 * time.Millisecond
	var l locate.Lag
	if l.Add(interval+300*time.Millisecond, interval, 0) {
		t.Error("one late tick: falls behind")
	}
	behind, changes := false, 0
	for i := range 2000 {
		// For 10 s each third tick is 150 ms late, then none is.
		elapsed := interval
		if i < 500 && i%3 == 0 {
			elapsed += 300 * time.Millisecond
		}
		if now := l.Add(elapsed, interval, 0); now != behind {
			behind, changes = now, changes+1
		}
	}
	if behind || changes != 2 {
		t.Errorf("falls behind %v after %d changes, want one change and one back", behind, changes)
	}
}

// The entries of a fleet are those that callers of any region are directed to.
func TestEntriesAreWhereCallersAreSent(t *testing.T) {
	alive := mixed()
	entries := locate.Entries(alive, regions)
	for _, region := range []fleet.RegionID{"a", "b"} {
		for _, addr := range locate.Addrs(alive, locate.Caller{Region: region}, regions) {
			if !entries[fleet.InstanceID(addr)] {
				t.Errorf("%s is no entry", addr)
			}
		}
	}
	if len(entries) != 7 {
		t.Errorf("%d entries, want the four large instances of region a and the three of region b", len(entries))
	}
}
