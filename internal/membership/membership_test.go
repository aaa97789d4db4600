package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// instances returns n distinct instance IDs.
func instances(n int) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, n)
	for i := range ids {
		ids[i] = fleet.InstanceID(fmt.Sprint("instance-", i))
	}
	return ids
}

// TestRankIgnoresOrderAndOtherMembers guards against instances that disagree on an owner because
// they received the members in another order, and against moves of keys when a member leaves.
func TestRankIgnoresOrderAndOtherMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := instances(rapid.IntRange(1, 20).Draw(t, "n"))
		key := rapid.String().Draw(t, "key")
		ranked := Rank(key, ids)
		shuffled := Rank(key, rapid.Permutation(ids).Draw(t, "order"))
		if !slices.Equal(ranked, shuffled) {
			t.Fatalf("rank depends on the order of the members: %v, %v", ranked, shuffled)
		}
		if first, _ := Owner(key, ids); first != ranked[0] {
			t.Fatalf("Owner = %s, want %s, the first of Rank", first, ranked[0])
		}
		out := rapid.IntRange(0, len(ids)-1).Draw(t, "out")
		remaining := slices.Delete(slices.Clone(ranked), out, out+1)
		if got := Rank(key, remaining); !slices.Equal(got, remaining) {
			t.Fatalf("removing a member reorders the others: %v, want %v", got, remaining)
		}
	})
}

// TestOwnerDistributesKeysEvenly checks that the chi-square statistic of 18 members, with 17
// degrees of freedom, stays below its 0.999 quantile.
func TestOwnerDistributesKeysEvenly(t *testing.T) {
	const members, keys, quantile = 18, 18000, 40.79
	counts := make(map[fleet.InstanceID]int)
	ids := instances(members)
	for i := range keys {
		first, _ := Owner(fmt.Sprint("target-", i), ids)
		counts[first]++
	}
	statistic := 0.0
	for _, id := range ids {
		d := float64(counts[id] - keys/members)
		statistic += d * d / (keys / members)
	}
	if statistic > quantile {
		t.Errorf("chi-square is %.1f, limit is %v, counts are %v", statistic, quantile, counts)
	}
}

func TestViewDecodesSkipped(t *testing.T) {
	ids := instances(18)
	half := ids[:9]
	tests := []struct {
		name          string
		skipped, hint []fleet.InstanceID
		found         bool
	}{
		{"none", nil, half, true},
		{"one", ids[3:4], nil, true},
		{"two", ids[3:5], nil, true},
		{"half with hint", half, ids[:9], true},
		{"half, two differ from hint", half, ids[1:10], true},
		{"three without hint", ids[:3], nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := NewView(ids)
			for _, id := range test.skipped {
				view = view.Toggle(id)
			}
			got, ok := view.Skipped(ids, test.hint)
			slices.Sort(got)
			want := slices.Sorted(slices.Values(test.skipped))
			if ok != test.found || ok && !slices.Equal(got, want) {
				t.Errorf("Skipped = %v, %v, want %v, %v", got, ok, want, test.found)
			}
		})
	}
}

func TestFreshness(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(100+seconds), 0) }
	tests := []struct {
		name string
		do   func(f *Freshness)
		now  int
		want bool
	}{
		{"never read", func(f *Freshness) { f.MarkContact(at(0)) }, 1, false},
		{"read", func(f *Freshness) { f.MarkRead(at(0)) }, 2, true},
		{"read too long ago", func(f *Freshness) { f.MarkRead(at(0)) }, 3, false},
		{"platform down, contact with peer", func(f *Freshness) { f.MarkRead(at(0)); f.MarkContact(at(2)) }, 4, true},
		{"peer has an unknown list", func(f *Freshness) { f.MarkRead(at(0)); f.MarkContact(at(2)); f.MarkConflict(at(3)) }, 4, false},
		{"read after a conflict", func(f *Freshness) { f.MarkConflict(at(3)); f.MarkRead(at(3)) }, 4, true},
		{"cut off, contact without agreement", func(f *Freshness) { f.MarkRead(at(0)); f.Check(at(9)); f.MarkContact(at(9)) }, 10, false},
		{"cut off, agreement with a peer", func(f *Freshness) { f.MarkRead(at(0)); f.Check(at(9)); f.MarkAgreement(at(9), at(9)) }, 10, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := NewFreshness(3 * time.Second)
			test.do(&f)
			if got := f.Check(at(test.now)); got != test.want {
				t.Errorf("Check = %v, want %v", got, test.want)
			}
		})
	}
}

func TestListHistoryHoldDown(t *testing.T) {
	start := time.Unix(100, 0)
	live := fleet.ListedInstance{ID: "a", DataCentre: "d", State: fleet.StateLive}
	leaving := fleet.ListedInstance{ID: "b", DataCentre: "d", State: fleet.StateLeaving}
	remote := fleet.ListedInstance{ID: "c", DataCentre: "e", State: fleet.StateLive}
	lists := NewListHistory(time.Second)
	if !lists.Replace(NewList([]fleet.ListedInstance{leaving, remote, live}, nil), start) {
		t.Error("Replace returned false for the first list")
	}
	if lists.Replace(NewList([]fleet.ListedInstance{live, remote}, nil), start) {
		t.Error("Replace returned true for a list that differs only in a leaving instance")
	}
	if lists.Prune(start.Add(time.Second)) || len(lists.All()) != 2 {
		t.Error("replaced list was removed within the hold-down")
	}
	if !lists.Prune(start.Add(2*time.Second)) || len(lists.All()) != 1 {
		t.Error("replaced list was kept after the hold-down")
	}
	fallback := NewList([]fleet.ListedInstance{remote}, OwnerOrder{"d": {"x", "e"}})
	if got := fallback.Holders("d"); !slices.Equal(got, []fleet.InstanceID{"c"}) {
		t.Errorf("Holders = %v, want c", got)
	}
}
