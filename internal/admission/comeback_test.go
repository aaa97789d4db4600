package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/admission"
	"medlarwind.dev/medlarwind/internal/clock"
)

// A customer that asks more often must not get an earlier turn, a request that is sent again at the same moment no shorter pause,
// and no pause may exceed what the caller can wait.
func TestAskingMoreOftenGainsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, last, previous := clock.Instant(time.Hour), clock.Instant(0), time.Duration(0)
		c := admission.Comeback{
			Least: 200 * time.Millisecond, Most: time.Duration(rapid.IntRange(0, 4000).Draw(t, "most")) * time.Millisecond,
			Expected:        time.Duration(rapid.IntRange(0, 2000).Draw(t, "expected")) * time.Millisecond,
			StartsPerSecond: rapid.Float64Range(0, 100).Draw(t, "rate"), Seed: rapid.Uint64().Draw(t, "seed"),
		}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			c.LastTurn = last
			pause, turn := c.Pause(now)
			switch {
			case pause > c.Most || pause < 0:
				t.Fatalf("%+v: pause %s", c, pause)
			case turn < last || turn == last && pause < 3*c.Most/4:
				t.Fatalf("%+v: turn %d after %d", c, turn, last)
			case turn > last && pause < previous:
				t.Fatalf("%+v: pause %s after %s", c, pause, previous)
			}
			last, previous = turn, pause
			if rapid.Bool().Draw(t, "later") {
				now, previous = now.Add(10*time.Millisecond), 0
			}
		}
	})
}

// Callers refused at one moment must not all come back at one moment, whether they have turns or wait as long as they can.
func TestComebacksAreSpread(t *testing.T) {
	for _, most := range []time.Duration{10 * time.Second, time.Second} {
		var times []time.Duration
		last := clock.Instant(0)
		for i := range uint64(200) {
			c := admission.Comeback{Least: 900 * time.Millisecond, Most: most, LastTurn: last, StartsPerSecond: 50, Seed: i}
			var pause time.Duration
			pause, last = c.Pause(clock.Instant(time.Hour))
			times = append(times, pause)
		}
		for _, from := range times {
			together := 0
			for _, at := range times {
				if at >= from && at < from+20*time.Millisecond {
					together++
				}
			}
			// An even spread over a quarter of a second has 16 in 20 ms.
			if together > 32 {
				t.Fatalf("at most %s: %d of %d callers come back within 20 ms", most, together, len(times))
			}
		}
	}
}
