package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// requestTime is how long the callers of the tests below wait.
const requestTime = 10 * time.Minute

// newMemnetClient returns a client of a target at targetAddr that serves its connections
// with serve, all in memory. It must be called in a synctest bubble.
func newMemnetClient(t *testing.T, serve func(conn net.Conn)) *upstream.Client {
	t.Helper()
	network := memnet.New()
	l, err := network.Listen(targetAddr)
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer conn.Close()
				serve(conn)
			})
		}
	})
	c := upstream.NewClient(network.Host("10.0.0.1").Dial)
	t.Cleanup(func() {
		c.Close()
		_ = l.Close()
		running.Wait()
	})
	return c
}

const targetAddr = "10.0.0.2:80"

// The end of the context must interrupt the response also if the read timeout is removed
// just after it. Otherwise the read has no end, and the request's place at the target is
// never free again.
func TestContextEndOutlastsRemovalOfReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newMemnetClient(t, func(conn net.Conn) {
			readRequest(t, bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n")
			time.Sleep(requestTime)
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		resp, err := c.Send(ctx, newRequest(targetAddr, "1"))
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		synctest.Wait()
		resp.SetReadTimeout(0)
		began := time.Now()
		_, err = io.ReadAll(resp.Body)
		resp.Finish(err == nil)
		if took := time.Since(began); err == nil || took > 0 {
			t.Errorf("read of the body ended after %s with error %v, want an error at once", took, err)
		}
	})
}
