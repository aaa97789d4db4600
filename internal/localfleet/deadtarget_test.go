package localfleet

import (
	"testing"
	"testing/synctest"
	"time"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// deadTargetBound is well above the wait for the dead target's word and one lease.
const deadTargetBound = 15 * time.Second

// A request whose target dies for good is served by another data centre's target.
func TestRequestOutlivesItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := twoRegions()
		spec.DataCentres[0].Engines, spec.DataCentres[1].Engines = 1, 1
		f, ctx := startReady(t, spec, 5*time.Minute)
		defer f.Close()
		for _, e := range f.Engines {
			e.SetReady()
		}
		time.Sleep(15 * time.Second)
		c := f.Client("caller", f.Spec.Customers[0], f.Members[0])
		var died time.Time
		_, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: "lot 7", MaxTokens: 400}, func([]byte) {
			if died.IsZero() {
				died = time.Now()
				go f.Engines[0].stop()
			}
		})
		if took := time.Since(died); err != nil || took > deadTargetBound {
			t.Errorf("%v, %s after its target died", err, took)
		}
		time.Sleep(time.Minute)
	})
}
