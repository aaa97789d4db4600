package localfleet

import (
	"testing"
	"testing/synctest"
	"time"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// maxRetryTime is well above the time to detect the dead target plus one lease.
const maxRetryTime = 15 * time.Second

// If a request's target stops for good in the middle of the answer, the request must
// complete on a target in another data centre.
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
		var stoppedAt time.Time
		_, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: "lot 7", MaxTokens: 400}, func([]byte) {
			if stoppedAt.IsZero() {
				stoppedAt = time.Now()
				go f.Engines[0].stop()
			}
		})
		if elapsed := time.Since(stoppedAt); err != nil || elapsed > maxRetryTime {
			t.Errorf("request ended with error %v, %s after its target stopped", err, elapsed)
		}
		time.Sleep(time.Minute)
	})
}
