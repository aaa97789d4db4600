package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/wire"
)

// tick lets queued requests start, as the instance does.
func (ts *testScheduler) tick(t *testing.T) {
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case <-time.After(10 * time.Millisecond):
				ts.Tick()
			}
		}
	}()
}

// pause places runs on e0 and ends them as ones that another run has overtaken, as in a pause of a
// sound target.
func (ts *testScheduler) pause(t *testing.T, runs int) {
	t.Helper()
	var placed []*Placement
	for range runs {
		p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		placed = append(placed, p)
	}
	time.Sleep(time.Second)
	for _, p := range placed {
		p.End(Silent)
	}
}

// A sound target may fall silent for a second and go on. Its runs that were overtaken meanwhile
// must not make the whole fleet treat it as restarted and hold starts back.
func TestPauseMakesSoundTargetCold(t *testing.T) {
	for _, runs := range []int{1, 2, downThreshold, 10} {
		t.Run(fmt.Sprint(runs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestScheduler(1)
				ts.pause(t, runs)
				var hb wire.Heartbeat
				ts.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
				if ts.isCold("e0") || len(hb.BrokenTargets) > 0 {
					t.Errorf("%d silent runs: the target is cold = %v, reported to peers as broken: %v", runs, ts.isCold("e0"), hb.BrokenTargets)
				}
			})
		})
	}
}

// New requests must be kept away from a target whose runs were overtaken, but not for long: a
// pause ends within a second or so.
func TestPauseKeepsRequestsAwayBriefly(t *testing.T) {
	for _, runs := range []int{probeThreshold, downThreshold, 10} {
		t.Run(fmt.Sprint(runs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestScheduler(1)
				ts.tick(t)
				ts.pause(t, runs)
				began := time.Now()
				p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
				if err != nil {
					t.Fatalf("%d silent runs: no start after %s: %v", runs, time.Since(began), err)
				}
				if took := time.Since(began); took < minAvoid || took > time.Second {
					t.Errorf("%d silent runs: the next request starts after %s, want %s to 1s", runs, took, minAvoid)
				}
				p.End(Completed)
			})
		})
	}
}

// Silence proves no crash, but a target that has crashed without a word answers no dial either: the
// first ones that time out after its runs fell silent must show that.
func TestSilentTargetThatAnswersNoDialIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.tick(t)
		ts.pause(t, downThreshold)
		dials := 0
		for began := time.Now(); !ts.isCold("e0") && time.Since(began) < 10*time.Second; dials++ {
			p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				dials--
				continue
			}
			time.Sleep(400 * time.Millisecond)
			p.End(DialTimedOut)
		}
		if !ts.isCold("e0") || dials > 1 {
			t.Errorf("cold = %v after %d dials that timed out, want 1", ts.isCold("e0"), dials)
		}
	})
}

// A peer's report of a sound target takes the target from all customers of an instance.
func TestPauseKeepsOtherCustomersAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.pause(t, 10)
		var hb wire.Heartbeat
		ts.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
		peer := newTestScheduler(1)
		peer.tick(t)
		peer.report(hb.BrokenTargets...)
		began := time.Now()
		for range 60 {
			p, err := peer.admit(t.Context(), peer.job("other", "s2", 1000))
			if err != nil {
				t.Fatalf("after %s: %v", time.Since(began), err)
			}
			p.PrefillDone()
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("60 starts of another customer at a peer take %s, want no wait", took)
		}
	})
}

// After a pause one request probes the target. Once it has got its first event the target answers
// again: others must not wait until the whole stream has ended.
func TestLongProbeHoldsOthersBackAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		ts.tick(t)
		ts.pause(t, 10)
		for i := range 10 {
			began := time.Now()
			p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
			if err != nil {
				t.Fatalf("request %d does not start beside the probe: %v", i, err)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("request %d starts after %s, want at most 1s", i, took)
			}
			time.AfterFunc(100*time.Millisecond, p.PrefillDone)
			time.AfterFunc(8*time.Second, func() { p.End(Completed) })
		}
	})
}
