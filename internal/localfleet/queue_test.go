package localfleet

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// The "queue" setting of the rules bounds a customer's waiting requests at one instance;
// further requests are refused with kind NotRun.
func TestQueueLimitOfRulesHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := twoRegions()
		spec.Customers[0].QueueLimit = 4
		f, ctx := startReady(t, spec, time.Minute)
		defer f.Close()
		var refused atomic.Int64
		var group sync.WaitGroup
		for i := range 100 {
			c := client.New(client.Options{
				Seeds:    []string{f.Members[0].CallerAddr},
				Secret:   f.Spec.Customers[0].Secret(),
				Dial:     f.network.Dialer("caller"),
				MaxTries: 1,
			})
			f.clients = append(f.clients, c)
			group.Go(func() {
				_, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: fmt.Sprint(i), MaxTokens: 100}, nil)
				var failed *client.RequestError
				if errors.As(err, &failed) && failed.Kind == client.NotRun && failed.Reason == "queue_full" {
					refused.Add(1)
				}
			})
		}
		group.Wait()
		// Four engines with a limit of 8 each can run 32 requests concurrently.
		if refused.Load() < 100-4-32 {
			t.Errorf("%d of 100 concurrent requests were refused with a queue limit of 4, want at least 64", refused.Load())
		}
	})
}
