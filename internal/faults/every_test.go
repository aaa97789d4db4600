//go:build !race

package faults

import (
	"testing"
	"testing/synctest"
)

func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, f := range faultsOfBrief {
		for _, s := range stepsOfRequest {
			t.Run(f.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runCell(t, s, f) })
			})
		}
	}
}
