package scheduler

import (
	"testing"
	"testing/synctest"
	"time"
)

// A request that was placed before the target said that it wants none for a time must not be sent.
func TestRequestPlacedBeforePauseIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		var placed []*Placement
		for range 2 {
			p, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
			if err != nil {
				t.Fatal(err)
			}
			placed = append(placed, p)
		}
		first, second := placed[0], placed[1]
		if !second.Validity().Usable {
			t.Fatal("the target may not get the request before the pause")
		}
		if !first.ObservePause(3*time.Second) || first.ObservePause(time.Second) {
			t.Error("want one pause that begins")
		}
		first.End(Rejected)
		// The shorter time, named later, must not end the longer one.
		time.Sleep(2900 * time.Millisecond)
		if second.Validity().Usable {
			t.Error("the request may be sent within the pause")
		}
		time.Sleep(200 * time.Millisecond)
		if !second.Validity().Usable {
			t.Error("the request may not be sent after the pause")
		}
		second.End(Completed)
	})
}

// What a former run said in a late answer must not bind the restarted target.
func TestLateAnswerOfFormerRunPausesRestartedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestScheduler(1)
		former, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		list := engineList(1)
		list[0].StartMillis = 2
		ts.SetTargets(list, nil)
		current, err := ts.admit(t.Context(), ts.job("c", "s", 1000))
		if err != nil {
			t.Fatal(err)
		}
		former.ObservePause(time.Minute)
		if !current.Validity().Usable {
			t.Error("the restarted target gets no requests")
		}
		former.End(Rejected)
		current.End(Completed)
	})
}
