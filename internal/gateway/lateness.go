package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/clock"
)

// lateFrom is the wait for the processor from which a timeout may be this instance's own doing: a
// call takes several such waits.
const lateFrom = 100 * time.Millisecond

// lateness is when an instance last waited long for its processor. It is safe for concurrent use.
type lateness struct {
	// lastTick is the clock.Instant of the last tick, lateAt that of the last one that came late.
	lastTick, lateAt atomic.Int64
}

// note records a tick that came late by delay.
func (l *lateness) note(now clock.Instant, delay time.Duration) {
	l.lastTick.Store(int64(now))
	if delay >= lateFrom {
		l.lateAt.Store(int64(now))
	}
}

// since reports whether the instance has waited long for its processor at some time after from.
func (l *lateness) since(from, now clock.Instant) bool {
	lateAt := clock.Instant(l.lateAt.Load())
	return lateAt != 0 && lateAt >= from || now.Sub(clock.Instant(l.lastTick.Load())) >= tickInterval+lateFrom
}

// readFailure is why a call to the platform failed.
type readFailure string

// Causes of a failed call.
const (
	readSucceeded readFailure = ""
	// readLate: no answer came in time, and this instance waited long for its processor meanwhile.
	readLate readFailure = "late"
	// readTimedOut: no answer came in time.
	readTimedOut readFailure = "timeout"
	// readRefused: the call was refused, reset or answered with an error.
	readRefused readFailure = "refused"
)

// readFailureOf returns why a call that began at a given time failed, readSucceeded if err is nil.
func (g *Gateway) readFailureOf(began clock.Instant, err error) readFailure {
	var timeout net.Error
	switch {
	case err == nil:
		return readSucceeded
	case !errors.As(err, &timeout) || !timeout.Timeout():
		return readRefused
	case g.lateness.since(began, g.options.Now()):
		return readLate
	}
	return readTimedOut
}
