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

	"github.com/pkg/errors"

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

// A target may send an endless response so slowly that it stays below every limit on its
// size and every timeout between two reads.
func TestSlowEndlessHeadIsCutOff(t *testing.T) {
	for name, start := range map[string]string{
		"status line":                           "HTTP/1.1 200 ",
		"header":                                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Slow: ",
		"informational response":                "HTTP/1.1 103 Early Hints\r\nX-Slow: ",
		"body of a response to another request": "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 1000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newMemnetClient(t, func(conn net.Conn) {
					readRequest(t, bufio.NewReader(conn))
					_, err := io.WriteString(conn, start)
					for err == nil {
						time.Sleep(time.Second)
						_, err = io.WriteString(conn, "a")
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), requestTime)
				defer cancel()
				began := time.Now()
				_, err := c.Send(ctx, newRequest(targetAddr, "1"))
				var failure *upstream.Error
				if !errors.As(err, &failure) || !failure.Sent {
					t.Errorf("Send error = %v, want one with Sent", err)
				}
				if took := time.Since(began); took > upstream.HeadTimeout {
					t.Errorf("Send returned after %s, want %s at most", took, upstream.HeadTimeout)
				}
			})
		})
	}
}

// A target that is silent, however long, or that reports progress by informational responses
// is not cut off.
func TestSilentTargetIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newMemnetClient(t, func(conn net.Conn) {
			readRequest(t, bufio.NewReader(conn))
			for range 3 {
				time.Sleep(2 * upstream.HeadTimeout)
				_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			}
			time.Sleep(2 * upstream.HeadTimeout)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n")
			time.Sleep(2 * upstream.HeadTimeout)
			_, _ = io.WriteString(conn, "ok")
		})
		ctx, cancel := context.WithTimeout(t.Context(), requestTime)
		defer cancel()
		resp, err := c.Send(ctx, newRequest(targetAddr, "1"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Finish(err == nil)
		if err != nil || string(body) != "ok" {
			t.Errorf("got body %q, error %v", body, err)
		}
	})
}

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
