package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/wire"
)

// A single broken run after a pause shows only that an answer was lost: it must not mark the target as
// down for the whole fleet.
func TestBrokenRunAfterPauseMarksTargetDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.tick(t)
		ts.pause(t, 10)
		time.Sleep(time.Second)
		p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		p.End(Broken)
		var hb wire.Heartbeat
		ts.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
		if ts.isCold("e0") || len(hb.BrokenTargets) > 0 {
			t.Errorf("cold = %v, reported to peers as broken: %v", ts.isCold("e0"), hb.BrokenTargets)
		}
	})
}

// Runs of a pause may be overtaken after the target has gone on, since packets are sent again after
// growing times. They must not keep requests away once more.
func TestLateSilentRunsKeepRequestsAwayAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.tick(t)
		var placed []*Placement
		for range 6 {
			p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
			if err != nil {
				t.Fatal(err)
			}
			placed = append(placed, p)
		}
		time.Sleep(time.Second)
		placed[0].End(Silent)
		placed[1].End(Silent)
		probe, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		probe.PrefillDone()
		for _, late := range placed[2:] {
			late.End(Silent)
		}
		began := time.Now()
		for i := range 2 {
			if _, err := ts.admit(t.Context(), ts.job("c", "s", 1000)); err != nil {
				t.Fatalf("request %d: no start after %s: %v", i, time.Since(began), err)
			}
			if took := time.Since(began); took > 0 {
				t.Errorf("request %d starts after %s, want no wait", i, took)
			}
		}
	})
}

// A target that breaks off its runs after their first event must be marked as down also if some of its
// runs fall silent meanwhile.
func TestPausesHideBrokenRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.tick(t)
		broken := 0
		for i, o := range []Outcome{Broken, Broken, Silent, Broken, Silent, Broken, Silent, Broken} {
			p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
			for err != nil {
				time.Sleep(50 * time.Millisecond)
				p, err = ts.admit(t.Context(), ts.job("c", "s", 1000))
			}
			time.Sleep(10 * time.Millisecond)
			if o == Broken {
				broken++
				if i > 1 {
					p.PrefillDone()
				}
			}
			p.End(o)
			if ts.isCold("e0") != (broken >= downThreshold) {
				t.Fatalf("after %d broken runs the target is down = %v, want %d for that", broken, ts.isCold("e0"), downThreshold)
			}
			if ts.isCold("e0") {
				return
			}
		}
	})
}
