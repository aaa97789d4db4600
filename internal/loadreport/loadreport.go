// Package loadreport keeps what targets say of their own load, and estimates their load from that.
//
// The load that it responds to: machines of targets become slow for some hundred milliseconds at a time,
// and requests wait at targets without the knowledge of the instance that chooses among them.
//
// The package does no I/O and reads no clock.
package loadreport

// Bounds of a report. Figures beyond them are no load that a target can have.
const (
	maxRequests = 1_000_000
	maxPace     = 10_000
)

// UsualPace is the pace of a machine that works as usual.
const UsualPace = 100

// Report is what a target says of its load in a response.
type Report struct {
	// Running and Waiting are the numbers of requests at the target, Slots is how many it runs at once.
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine at this moment, in percent of the usual;
	// 0 if the target does not say.
	Pace int
}

// IsValid reports whether all figures are within their bounds.
func (r Report) IsValid() bool {
	for _, n := range [...]int{r.Running, r.Waiting, r.Slots} {
		if n < 0 || n > maxRequests {
			return false
		}
	}
	return r.Pace >= 0 && r.Pace <= maxPace
}

// atTarget is the number of requests at the target.
func (r Report) atTarget() int { return r.Running + r.Waiting }

// interest is how much a report differs from that of a target that works as usual: by requests that wait, and
// by its pace.
func (r Report) interest() int {
	if r.Pace == 0 {
		return 0
	}
	return min(r.Waiting, maxPace)*waitingInterest + max(r.Pace-UsualPace, UsualPace-r.Pace)
}

// waitingInterest is the interest of one waiting request, as that of a difference of the pace in percent.
const waitingInterest = 10
