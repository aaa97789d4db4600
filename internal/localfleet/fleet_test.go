package localfleet

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// twoRegions describes a fleet of two regions, four instances and four engines.
func twoRegions() Spec {
	return Spec{
		DataCentres: []DataCentre{
			{ID: "north", Region: "r1", Instances: 2, Engines: 2, Services: 1},
			{ID: "south", Region: "r2", Instances: 2, Engines: 2},
		},
		Customers: []Customer{{ID: "mill-a", Share: 2, QueueLimit: 64}, {ID: "mill-b", Share: 1, QueueLimit: 64}},
		Engine:    standin.EngineOptions{TokenTime: time.Millisecond, WarmupRequests: 2},
		Seed:      1,
		Log:       zerolog.Nop(),
	}
}

// startReady starts a fleet on an in-memory network and waits until it is ready. The
// context ends after limit or with the test.
func startReady(t *testing.T, spec Spec, limit time.Duration) (*Fleet, context.Context) {
	t.Helper()
	f, err := Start(spec, Memory(memnet.New()))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	if err := f.AwaitReady(ctx); err != nil {
		f.Close()
		t.Fatal(err)
	}
	return f, ctx
}

// Concurrent requests through all instances get complete answers, and no engine runs
// more than its limit.
func TestFleetServesWholeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, ctx := startReady(t, twoRegions(), time.Minute)
		defer f.Close()
		var group sync.WaitGroup
		for i := range 40 {
			customer := f.Spec.Customers[i%2]
			c := f.Client(fmt.Sprintf("caller-%d", i), customer, f.Members[i%4])
			group.Go(func() {
				prompt := fmt.Sprintf("lot %d", i)
				answer, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: prompt, MaxTokens: 20}, nil)
				if err != nil {
					t.Errorf("request %d: %v", i, err)
					return
				}
				if want := standin.Output(prompt, 20); !bytes.Equal(answer.Data, want) {
					t.Errorf("request %d: got %d bytes, want %d", i, len(answer.Data), len(want))
				}
			})
		}
		group.Wait()
		for _, e := range f.Engines {
			if peak := e.Peak(); peak.ColdOverloads > 0 || peak.Running > f.Spec.Limit {
				t.Errorf("%s: %+v, limit %d", e.ID, peak, f.Spec.Limit)
			}
		}
	})
}

// TestOwnersSendOrders checks that each order in the rules reaches its target once per
// boot, with the configuration version as fencing number.
func TestOwnersSendOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := startReady(t, twoRegions(), time.Minute)
		defer f.Close()
		order := "order load-model appraise on north-e1 # asked by the board\n"
		version := f.PublishRules(append(f.Spec.Rules(), order...))
		time.Sleep(30 * time.Second)
		orders := f.Engines[0].Orders()
		if len(orders) != 1 || orders[0].Name != "appraise" || orders[0].Fence != version {
			t.Errorf("the engine got %+v, want one order with fencing number %d", orders, version)
		}
		f.Engines[0].Crash()
		time.Sleep(30 * time.Second)
		if again := f.Engines[0].Orders(); len(again) != 2 {
			t.Errorf("after a second boot the engine has %d orders, want 2", len(again))
		}
	})
}
