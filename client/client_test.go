package client_test

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// brokenConn is a connection whose writes fail, as after the peer has closed it.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("connection reset by peer") }

// Guards against requests that fail because the instance closes an idle connection just as
// the client reuses it. A number of the client's connections after the first one fail at
// their first write: one failure must be retried, more must not.
func TestGenerateRetriesClosedConnections(t *testing.T) {
	tests := map[string]struct {
		brokenConns int64
		served      bool
	}{
		"one":              {1, true},
		"every connection": {100, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { generateOverBrokenConns(t, test.brokenConns, test.served) })
		})
	}
}

func generateOverBrokenConns(t *testing.T, brokenConns int64, served bool) {
	customer := localfleet.Customer{ID: "mill-a", Share: 1, QueueLimit: 8}
	network := localfleet.Memory(memnet.New())
	f, err := localfleet.Start(localfleet.Spec{
		DataCentres: []localfleet.DataCentre{{ID: "north", Region: "r1", Instances: 1, Engines: 1, Services: 1}},
		Customers:   []localfleet.Customer{customer},
		Seed:        1,
		Log:         zerolog.Nop(),
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
	var remaining atomic.Int64
	dial := network.Dialer("caller")
	c := client.New(client.Options{
		Seeds:  []string{f.Members[0].CallerAddr},
		Secret: customer.Secret(),
		// The retry after a broken connection does not count as an attempt.
		MaxTries: 1,
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err == nil && remaining.Add(-1) >= 0 {
				return brokenConn{conn}, nil
			}
			return conn, err
		},
	})
	defer c.Close()
	if _, err := c.Locate(ctx); err != nil {
		t.Fatal(err)
	}
	c.Close()
	remaining.Store(brokenConns)
	answer, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: "lot 7", MaxTokens: 8}, nil)
	if served && (err != nil || !bytes.Equal(answer.Data, standin.Output("lot 7", 8))) {
		t.Errorf("request not served: %v", err)
	}
	var failed *client.RequestError
	if !served && (!errors.As(err, &failed) || failed.Kind != client.Unknown) {
		t.Errorf("error %v, want the kind Unknown", err)
	}
}
