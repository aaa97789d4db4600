// Package clock reads a clock that goes on while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the machine booted, suspensions included. Instants of two
// machines cannot be compared.
type Instant time.Duration

// Source returns the present instant.
type Source func() Instant

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// BootTime reads CLOCK_BOOTTIME. time.Now does not serve for ages: its monotonic part
// stands still while the machine is suspended, so that old knowledge looks fresh.
func BootTime() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock; Linux has this one since 2.6.39.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Monotonic follows time.Now, for tests in virtual time.
func Monotonic() Source {
	start := time.Now()
	return func() Instant { return Instant(time.Since(start)) + Instant(time.Hour) }
}
