package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/records"
)

// lateFrom is the wait for the processor from which a failed call may be this instance's own doing:
// a call takes several such waits.
const lateFrom = 100 * time.Millisecond

// lateMemory is how long before a call such a wait counts. What the platform sent meanwhile, or closed
// for want of an answer, shows only in the call.
const lateMemory = time.Second

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
	// readRefused: the platform answered that it does not serve the call.
	readRefused readFailure = "refused"
	// readLate: there was no answer, and this instance waited long for its processor meanwhile.
	readLate readFailure = "late"
	// readTimedOut: no answer came in time.
	readTimedOut readFailure = "timeout"
	// readBroken: the connection failed, or the answer could not be used.
	readBroken readFailure = "broken"
)

// readFailureOf returns why a call that began at a given time failed, readSucceeded if err is nil.
func (g *Gateway) readFailureOf(began clock.Instant, err error) readFailure {
	var timeout net.Error
	switch {
	case err == nil:
		return readSucceeded
	case errors.Is(err, records.ErrUnavailable):
		return readRefused
	case g.lateness.since(began.Add(-lateMemory), g.options.Now()):
		return readLate
	case errors.As(err, &timeout) && timeout.Timeout():
		return readTimedOut
	}
	return readBroken
}
