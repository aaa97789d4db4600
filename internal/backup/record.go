package backup

import (
	"math"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
)

const (
	// Window is how long a crash counts. Its weight falls evenly, with a mean of 1, since crashes of
	// one cause come within seconds of each other.
	Window = 10 * time.Second
	// sameCrash is the time within which reports on one target are taken for one crash. Peers report for
	// 2 s, and a restarted target is listed with its new start meanwhile.
	sameCrash = 3 * time.Second
	// maxCrashes bounds the record. The oldest crash is dropped first.
	maxCrashes = 256
)

// Crash is a crash of one start of a target.
type Crash struct {
	Target      fleet.TargetID
	StartMillis int64
	DataCentre  fleet.DataCentreID
	Service     fleet.ServiceID
	At          clock.Instant
}

// Record holds the crashes of the last Window, the oldest first.
type Record struct{ crashes []Crash }

// Add records a crash. It returns false if it is known: the same start, or the same target within
// sameCrash.
func (r *Record) Add(c Crash) bool {
	r.expire(c.At)
	for i := range r.crashes {
		if known := &r.crashes[i]; known.Target == c.Target && (known.StartMillis == c.StartMillis || c.At.Sub(known.At) < sameCrash) {
			return false
		}
	}
	if len(r.crashes) == maxCrashes {
		r.crashes = r.crashes[1:]
	}
	r.crashes = append(r.crashes, c)
	return true
}

// Knows reports whether the crash of a start is recorded.
func (r *Record) Knows(id fleet.TargetID, startMillis int64) bool {
	for i := range r.crashes {
		if r.crashes[i].Target == id && r.crashes[i].StartMillis == startMillis {
			return true
		}
	}
	return false
}

// Len returns the number of crashes within the window.
func (r *Record) Len(now clock.Instant) int {
	r.expire(now)
	return len(r.crashes)
}

func (r *Record) expire(now clock.Instant) {
	for len(r.crashes) > 0 && now.Sub(r.crashes[0].At) >= Window {
		r.crashes = r.crashes[1:]
	}
}

func (r *Record) crashed(id fleet.TargetID, now clock.Instant) bool {
	for i := range r.crashes {
		if r.crashes[i].Target == id && now.Sub(r.crashes[i].At) < Window {
			return true
		}
	}
	return false
}

// Sizes are the numbers of targets of a service.
type Sizes struct {
	// DataCentre is the number in the data centre of the run's target, Service that in all.
	DataCentre, Service int
}

// Chance returns the probability that a target crashes within a time, and the age of the newest crash
// that it rests on. A crash of the target itself counts fully; one in its data centre or elsewhere in its
// service counts for one of the targets there.
func (r *Record) Chance(service fleet.ServiceID, dc fleet.DataCentreID, id fleet.TargetID, sizes Sizes, within time.Duration, now clock.Instant) (float64, time.Duration) {
	rate, newest := 0.0, time.Duration(0)
	for i := range r.crashes {
		c := &r.crashes[i]
		age := max(now.Sub(c.At), 0)
		if c.Service != service || age >= Window {
			continue
		}
		weight := 2 * (1 - age.Seconds()/Window.Seconds()) / Window.Seconds()
		switch {
		case c.Target == id:
			rate += weight
		case c.DataCentre == dc:
			rate += weight / float64(max(sizes.DataCentre, 1))
		default:
			rate += weight / float64(max(sizes.Service, 1))
		}
		newest = age
	}
	return 1 - math.Exp(-rate*within.Seconds()), newest
}
