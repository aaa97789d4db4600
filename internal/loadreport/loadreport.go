// Package loadreport keeps what targets say of their own load.
package loadreport

// Report is what a target says of its load in a response.
type Report struct {
	// Running and Waiting are the numbers of requests at the target, Slots is how many it runs at once.
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine at this moment, in percent of the usual;
	// 0 if the target does not say.
	Pace int
}
