// Package clock provides a clock that keeps running while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the machine booted, including the time for which it was
// suspended. Instants of different machines cannot be compared.
type Instant time.Duration

// Source returns the current instant.
type Source func() Instant

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// BootTime reads CLOCK_BOOTTIME. time.Now is unsuitable for measuring ages: its monotonic
// part stops while the machine is suspended, so that outdated information looks recent.
func BootTime() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock; Linux has supported this one since 2.6.39.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Monotonic returns a source that follows time.Now and starts at one hour, for tests with
// virtual time.
func Monotonic() Source {
	start := time.Now()
	return func() Instant { return Instant(time.Since(start)) + Instant(time.Hour) }
}
