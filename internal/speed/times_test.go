package speed_test

import (
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/speed"
)

// observeCalls has each target of a service answer calls, n of them in turn.
func observeCalls(times *speed.Times, targets map[fleet.TargetID]time.Duration, n int, now clock.Instant) clock.Instant {
	for range n {
		for id, took := range targets {
			times.Observe("app", id, 1, took, now)
		}
		now = now.Add(300 * time.Millisecond)
	}
	times.Refresh(now)
	return now
}

// A fixed time of 15 ms misjudges services whose calls take 60 ms. The learned one must be near after 20 calls, and
// neither a few stalls nor times out of bounds must move it far.
func TestServiceTimeIsLearned(t *testing.T) {
	for _, want := range []time.Duration{time.Millisecond, 15 * time.Millisecond, 60 * time.Millisecond, time.Second} {
		times := speed.NewTimes(15 * time.Millisecond)
		if got := times.Service("app"); got != 15*time.Millisecond {
			t.Fatalf("%v before any call, want 15 ms", got)
		}
		now := observeCalls(times, map[fleet.TargetID]time.Duration{"a": want, "b": want}, 30, clock.Instant(time.Hour))
		observeCalls(times, map[fleet.TargetID]time.Duration{"a": time.Hour, "b": -time.Hour, "c": want, "d": want, "e": want}, 5, now)
		if got := times.Service("app"); got < want*9/10 || got > want*11/10 {
			t.Errorf("%v, want about %v", got, want)
		}
		observeCalls(times, map[fleet.TargetID]time.Duration{"a": time.Hour}, 500, now)
		if got := times.Service("app"); got > time.Second {
			t.Errorf("%v after calls of an hour, want a second at most", got)
		}
	}
}

// Work must go to the faster targets of a plain service, but a target that was slow must be tried again, and a
// restarted one starts as any other.
func TestTargetsOfServiceDifferInSpeed(t *testing.T) {
	times := speed.NewTimes(15 * time.Millisecond)
	calls := map[fleet.TargetID]time.Duration{"a": 30 * time.Millisecond, "b": 31 * time.Millisecond, "c": 30 * time.Millisecond, "slow": 90 * time.Millisecond, "fast": 12 * time.Millisecond}
	now := observeCalls(times, calls, 40, clock.Instant(time.Hour))
	for id, want := range map[fleet.TargetID][2]float64{"a": {1, 1}, "b": {1, 1}, "slow": {2, 3.2}, "fast": {0.38, 0.6}, "unknown": {1, 1}} {
		if got := times.Target("app", id, 1, now); got < want[0] || got > want[1] {
			t.Errorf("%s takes %.2f times as long, want %v", id, got, want)
		}
	}
	if got := times.Target("app", "slow", 2, now); got != 1 {
		t.Errorf("a restarted target takes %.2f times as long, want 1", got)
	}
	if got := times.Target("app", "slow", 1, now.Add(2*time.Minute)); got != 1 {
		t.Errorf("after two minutes without calls a target takes %.2f times as long, want 1", got)
	}
}
