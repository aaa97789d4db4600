package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
	"pgregory.net/rapid"
)

const poison, harmless = uint64(1), uint64(0)

// TestTargetsTakenDown repeatedly sends three requests that crash every target, two
// copies at a time after the first crash, and a harmless request to random instances of
// a fleet that is partitioned into k parts and connected again at the end. Each of the
// three may crash at most k·MaxCrashedTargets targets, and the harmless request must
// never be refused.
func TestTargetsTakenDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 6
		parts := rapid.IntRange(1, 3).Draw(t, "parts")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		trackers := map[fleet.InstanceID]*Tracker{}
		members := make([][]fleet.InstanceID, parts)
		for i := range nodes {
			id := fleet.InstanceID(fmt.Sprint("i", i))
			trackers[id] = New(id, Params{})
			members[i%parts] = append(members[i%parts], id)
		}
		now, crashes, crashesAlone := time.Unix(1, 0), map[uint64]int{}, map[uint64]int{}
		exchange := func() {
			for _, ids := range members {
				for _, a := range ids {
					ss := trackers[a].Changed()
					for _, b := range ids {
						trackers[b].SetVisible(ids)
						trackers[b].Merge(ss, now)
					}
				}
			}
		}
		run := func(ids []fleet.InstanceID, fp uint64) {
			at := ids[rng.IntN(len(ids))]
			verdict := trackers[at].Check(fp, now)
			if verdict == Redirect {
				at = trackers[at].Holder(fp)
				verdict = trackers[at].Check(fp, now)
			}
			tr, target := trackers[at], fleet.TargetID(fmt.Sprint("t", rng.IntN(3)))
			switch verdict {
			case Refuse:
				if fp == harmless {
					t.Fatal("the harmless request was refused")
				}
				return
			case Redirect, Wait:
				t.Fatalf("verdict %v at the holder while no suspect runs", verdict)
			}
			tr.MarkStarted(fp, target)
			if verdict == Run && rng.IntN(2) == 0 && tr.Check(harmless, now) == Run {
				tr.MarkStarted(harmless, target)
			}
			if fp == harmless {
				tr.MarkEnded(fp, target, true, now)
				tr.MarkEnded(harmless, target, false, now)
				return
			}
			if rng.IntN(2) == 0 {
				tr.MarkBroken(fp, target, now)
				if v := tr.Check(fp, now); v != Wait {
					t.Fatalf("verdict %v while a broken connection is unresolved", v)
				}
			}
			tr.MarkCrashed(target, now)
			crashes[fp]++
			if verdict == RunAlone {
				crashesAlone[fp]++
			}
		}
		for n := range 30 {
			for _, ids := range members {
				for range min(n%10+1, 2) {
					run(ids, poison+uint64(n/10))
				}
				exchange()
				run(ids, harmless)
				exchange()
			}
		}
		var all []fleet.InstanceID
		for _, ids := range members {
			all = append(all, ids...)
		}
		for _, id := range all {
			for _, other := range all {
				trackers[id].Merge(trackers[other].All(), now)
			}
		}
		members = [][]fleet.InstanceID{all}
		for range 10 {
			exchange()
			run(all, poison)
			run(all, poison)
		}
		for fp, n := range crashes {
			if n > MaxCrashedTargets*parts || crashesAlone[fp] > parts {
				t.Fatalf("request %d crashed %d targets, %d of them while it ran alone, in %d parts", fp, n, crashesAlone[fp], parts)
			}
		}
	})
}

// TestMergeLaws checks that merging is commutative and idempotent.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		ss := rapid.SliceOf(rapid.Custom(func(t *rapid.T) wire.Suspect {
			return wire.Suspect{Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fp"), Crashes: rapid.IntRange(0, 5).Draw(t, "n"), Cleared: rapid.Bool().Draw(t, "cleared")}
		})).Draw(t, "suspects")
		a, b := New("i", Params{}), New("i", Params{})
		a.Merge(ss, now)
		for i := range ss {
			b.Merge(ss[len(ss)-1-i:], now)
		}
		if got, want := fmt.Sprint(b.suspects), fmt.Sprint(a.suspects); got != want {
			t.Fatalf("merging in reverse order gives %v, in order %v", got, want)
		}
	})
}

// TestBrokenConnections checks how a broken connection is resolved and when the
// resulting suspect expires.
func TestBrokenConnections(t *testing.T) {
	start := time.Unix(100, 0)
	resolve, forget := start.Add(DefaultResolveAfter), start.Add(DefaultResolveAfter+DefaultRefuseFor)
	for _, c := range []struct {
		name  string
		event func(tr *Tracker)
		at    time.Time
		want  Verdict
	}{
		{"unknown", func(*Tracker) {}, start, Wait},
		{"report taken before", func(tr *Tracker) { tr.MarkSurvived("t", start.Add(-time.Second)) }, start, Wait},
		{"report taken after", func(tr *Tracker) { tr.MarkSurvived("t", start.Add(time.Second)) }, start, Run},
		{"boot id changed", func(tr *Tracker) { tr.MarkCrashed("t", start) }, start, RunAlone},
		{"no report in time", func(tr *Tracker) { tr.Expire(resolve) }, resolve, RunAlone},
		{"suspect expired", func(tr *Tracker) { tr.Expire(resolve); tr.Expire(forget) }, forget, Run},
	} {
		tr := New("i", Params{})
		tr.MarkStarted(poison, "t")
		tr.MarkBroken(poison, "t", start)
		c.event(tr)
		if got := tr.Check(poison, c.at); got != c.want {
			t.Errorf("%s: verdict %v, want %v", c.name, got, c.want)
		}
	}
}
