package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// sendToTarget sends a request to a target that responds with head and then runs serve. It
// returns the response. It must be called in a synctest bubble.
func sendToTarget(ctx context.Context, t *testing.T, head string, serve func(conn net.Conn)) *upstream.Response {
	t.Helper()
	const addr = "10.0.0.2:80"
	network := memnet.New()
	l, err := network.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = io.WriteString(conn, head)
		serve(conn)
	})
	c := upstream.NewClient(network.Host("10.0.0.1").Dial)
	t.Cleanup(func() {
		c.Close()
		_ = l.Close()
		running.Wait()
	})
	resp, err := c.Send(ctx, upstream.Request{Addr: addr, Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// A target may refuse a request and send the body of the refusal without end. The retry at
// another target must not wait for it.
func TestEndlessBodyOfRefusalIsCutOff(t *testing.T) {
	tests := map[string]struct {
		unit  string
		pause time.Duration
	}{
		"fast":   {string(make([]byte, 1000)), 0},
		"slow":   {"a", 10 * time.Millisecond},
		"silent": {"", time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				sent := 0
				resp := sendToTarget(ctx, t, "HTTP/1.1 503 Service Unavailable\r\n\r\n", func(conn net.Conn) {
					var err error
					for err == nil && sent < endlessBytes && ctx.Err() == nil {
						time.Sleep(test.pause)
						_, err = io.WriteString(conn, test.unit)
						sent += len(test.unit)
					}
				})
				began := time.Now()
				complete := discardRest(resp)
				resp.Finish(complete)
				if took := time.Since(began); complete || took > discardTimeout {
					t.Errorf("discarded for %s, complete %t; want %s at most, incomplete", took, complete, discardTimeout)
				}
			})
		})
	}
}

// The connection of a short refusal remains usable.
func TestShortBodyOfRefusalIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resp := sendToTarget(t.Context(), t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull", func(net.Conn) {})
		complete := discardRest(resp)
		resp.Finish(complete)
		if !complete {
			t.Error("a body of 4 bytes was not read to its end")
		}
	})
}
