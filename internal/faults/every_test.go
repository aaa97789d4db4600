//go:build !race

package faults

import (
	"testing"
	"testing/synctest"
)

func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, f := range allFaults {
		for _, s := range requestSteps {
			t.Run(f.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runCell(t, s, f) })
			})
		}
	}
}
