package locate

import "time"

// Thresholds of a Lag.
const (
	// behindFrom is the smoothed delay from which an instance counts as falling behind.
	behindFrom = 60 * time.Millisecond
	// steadyBelow is the smoothed delay below which it must stay for steadyFor before it no
	// longer does. Callers that left come back only then.
	steadyBelow = 15 * time.Millisecond
	steadyFor   = 5 * time.Second
	// delayWeight is the weight of the newest delay.
	delayWeight = 0.1
)

// Lag tells whether the instance falls behind, that is, gets less processor time than its work
// needs: from the delays of a periodic timer and the time that goroutines wait for the processor. The zero value is steady. It must not be
// used concurrently.
type Lag struct {
	smoothed, steady time.Duration
	behind           bool
}

// Add records that the timer, due after the given interval, fired after elapsed, and that goroutines
// waited for the processor for a mean time meanwhile. It returns whether the instance falls behind.
func (l *Lag) Add(elapsed, interval, waited time.Duration) bool {
	delay := max(elapsed-interval, waited)
	l.smoothed += time.Duration(delayWeight * float64(delay-l.smoothed))
	if l.smoothed < steadyBelow {
		l.steady += elapsed
	} else {
		l.steady = 0
	}
	switch {
	case l.smoothed >= behindFrom:
		l.behind = true
	case l.steady >= steadyFor:
		l.behind = false
	}
	return l.behind
}

// Delay returns the smoothed delay.
func (l *Lag) Delay() time.Duration { return l.smoothed }
