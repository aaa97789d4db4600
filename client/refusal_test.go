package client_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/dispatch"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Guards against callers that learn late of a refusal: the client waits before a retry
// only, not after the last attempt.
func TestLastRefusalIsReturnedAtOnce(t *testing.T) {
	// transit is an upper bound for the messages of all attempts, below the shortest wait.
	const transit = dispatch.MinRetryAfter / 2
	synctest.Test(t, func(t *testing.T) {
		customer := localfleet.Customer{ID: "mill-a", Share: 1, QueueLimit: 1}
		network := localfleet.Memory(memnet.New())
		f, err := localfleet.Start(localfleet.Spec{
			DataCentres: []localfleet.DataCentre{{ID: "north", Region: "r1", Instances: 1, Engines: 1, Services: 1}},
			Customers:   []localfleet.Customer{customer},
			Limit:       1, ColdLimit: 1,
			Engine: standin.EngineOptions{
				BatchLimit: 1, TokenTime: 10 * time.Millisecond,
				OutputTokens: func(string, int64) int64 { return 1000 },
			},
			Seed: 1, Log: zerolog.Nop(),
		}, network)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if err := f.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		newClient := func(maxTries int) *client.Client {
			c := client.New(client.Options{
				Seeds: []string{f.Members[0].CallerAddr}, Secret: customer.Secret(),
				Dial: network.Dialer("caller"), MaxTries: maxTries,
			})
			t.Cleanup(c.Close)
			return c
		}
		generate := func(c *client.Client) error {
			_, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: "a lot", MaxTokens: 1000}, nil)
			return err
		}
		// One request runs and one waits, so the customer's queue is full.
		busy := newClient(1)
		for range 2 {
			go func() { _ = generate(busy) }()
			time.Sleep(time.Second)
		}
		call := func(c *client.Client) error {
			_, err := c.Call(ctx, string(localfleet.ServiceName), "lookup", []byte("{}"))
			return err
		}
		for name, send := range map[string]func(*client.Client) error{"generate": generate, "call": call} {
			for _, maxTries := range []int{1, 2} {
				c := newClient(maxTries)
				if _, err := c.Locate(ctx); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				err := send(c)
				took := time.Since(start)
				var failed *client.RequestError
				if !errors.As(err, &failed) || failed.Kind != client.NotRun || failed.RetryAfter <= 0 {
					t.Fatalf("%s: %v, want a refusal with a time to wait", name, err)
				}
				// No wait is longer than the last one, since the time without a start grows.
				if limit := time.Duration(maxTries-1)*failed.RetryAfter + transit; took > limit {
					t.Errorf("%s with %d attempts: refused after %s, want at most %s", name, maxTries, took, limit)
				}
			}
		}
		cancel()
	})
}
