// Package membership tells who takes part: rendezvous ranking, views of one data
// centre's live instances, and how long a list may be acted on.
package membership
