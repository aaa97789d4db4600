//go:build race

package faults

import (
	"testing"
	"testing/synctest"
)

// TestFaultsUnderRaceDetector runs one step of every fault, one after the other: the
// detector's limit on goroutines is below what the whole matrix needs.
func TestFaultsUnderRaceDetector(t *testing.T) {
	for i, f := range faultsOfBrief {
		s := stepsOfRequest[i%len(stepsOfRequest)]
		t.Run(f.name+"/"+s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCell(t, s, f) })
		})
	}
}
