package target_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target"
)

// A call arrives at most once, and one that failed as not run did not run, with
// the connection broken at each byte boundary of request and response, on fresh
// and reused connections.
func TestCallArrivesAtMostOnce(t *testing.T) {
	for _, once := range []bool{true, false} {
		for _, reused := range []bool{true, false} {
			t.Run(fmt.Sprintf("once=%t reused=%t", once, reused), func(t *testing.T) {
				request, response := callSizes(t, once, reused)
				for at := range request {
					breakCall(t, once, reused, instanceHost, targetHost, at)
				}
				for at := range response {
					breakCall(t, once, reused, targetHost, instanceHost, at)
				}
			})
		}
	}
}

// testCall is the call under test; its identifier is the same each time.
func testCall(once bool) target.CallRequest {
	return target.CallRequest{Method: "settle", Body: []byte("lot 7"), CallID: "call", Once: once}
}

// prepare makes a pooled connection if the call is to find one.
func (w *world) prepare(reused bool) {
	if !reused {
		return
	}
	if _, err := w.call(target.CallRequest{Method: "warm"}); err != nil {
		w.Fatal(err)
	}
	synctest.Wait()
}

// callSizes returns the bytes of a call's request and response.
func callSizes(t *testing.T, once, reused bool) (request, response int64) {
	inWorld(t, standin.NewService(), func(w *world) {
		w.prepare(reused)
		dials := w.net.Dials(instanceHost, targetHost)
		request, response = -w.clientBytes(), -w.targetBytes()
		if _, err := w.call(testCall(once)); err != nil {
			t.Fatal(err)
		}
		request += w.clientBytes()
		response += w.targetBytes()
		if dialled := w.net.Dials(instanceHost, targetHost) > dials; dialled == (reused && !once) {
			t.Fatalf("dialled: %t", dialled)
		}
	})
	return request, response
}

// breakCall makes a call whose connection breaks after a number of bytes.
func breakCall(t *testing.T, once, reused bool, from, to string, at int64) {
	s := standin.NewService()
	inWorld(t, s, func(w *world) {
		w.prepare(reused)
		before := s.Arrivals()
		w.net.BreakAfter(from, to, at)
		body, err := w.call(testCall(once))
		synctest.Wait()
		if arrivals := s.Arrivals() - before; arrivals > 1 || s.Runs("call") > 1 {
			t.Errorf("%s after %d bytes: %d arrivals, %d runs", from, at, arrivals, s.Runs("call"))
		}
		if kindOf(err) == target.NotRun && s.Arrivals() > before {
			t.Errorf("%s after %d bytes: not run, but it arrived", from, at)
		}
		if err == nil && !bytes.Equal(body, testCall(once).Body) {
			t.Errorf("%s after %d bytes: answer %q", from, at, body)
		}
		if err == nil && from == instanceHost {
			t.Errorf("after %d bytes of the request: answered", at)
		}
	})
}

// The server closes a pooled connection just before, while or just after the next
// call is written. Nothing is sent twice; a call that found it closed is served.
func TestServerClosesPooledConnection(t *testing.T) {
	const idle = time.Second
	for _, once := range []bool{true, false} {
		for offset := -3 * time.Millisecond; offset <= 3*time.Millisecond; offset += time.Millisecond / 2 {
			s := standin.NewService()
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				n.Delay([]string{instanceHost}, []string{targetHost}, time.Millisecond)
				l, _ := n.Listen(targetAddr)
				server := &http.Server{Handler: s, IdleTimeout: idle}
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				c := target.NewClient(n.Host(instanceHost).Dial, target.Options{})
				defer c.Close()
				w := &world{T: t, net: n, client: c}
				w.prepare(true)
				time.Sleep(idle - time.Millisecond + offset)
				_, err := w.call(testCall(once))
				if s.Runs("call") > 1 || (kindOf(err) == target.NotRun && s.Runs("call") > 0) {
					t.Errorf("once=%t offset=%v: %d runs, %v", once, offset, s.Runs("call"), err)
				}
				if once && err != nil {
					t.Errorf("offset=%v: %v on a connection of its own", offset, err)
				}
			})
		}
	}
}

// What the target says of a call, and what the network does, decide the kind.
func TestCallOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		setup  func(w *world, s *standin.Service)
		kind   target.Kind
		reason string
		runs   int
	}{
		{"refused", func(_ *world, s *standin.Service) { s.SetFault(standin.CallRefused) }, target.NotRun, "overloaded", 0},
		{"failed", func(_ *world, s *standin.Service) { s.SetFault(standin.CallFails) }, target.Failed, "service_failed", 1},
		{"cut", func(_ *world, s *standin.Service) { s.SetFault(standin.CallCut) }, target.Unknown, target.ReasonBroken, 1},
		{"no route", func(w *world, _ *standin.Service) {
			w.net.Cut([]string{instanceHost}, []string{targetHost}, memnet.Break)
		}, target.NotRun, target.ReasonDial, 0},
		{"dial unanswered", func(w *world, _ *standin.Service) {
			w.net.Cut([]string{instanceHost}, []string{targetHost}, memnet.Silent)
		}, target.NotRun, target.ReasonDial, 0},
		{"too slow", func(_ *world, s *standin.Service) { s.SetDelay(time.Hour) }, target.Unknown, target.ReasonDeadline, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := standin.NewService()
			inWorld(t, s, func(w *world) {
				test.setup(w, s)
				_, err := w.call(testCall(true))
				wantError(t, err, test.kind, test.reason)
				if s.Runs("call") != test.runs {
					t.Errorf("%d runs", s.Runs("call"))
				}
				time.Sleep(time.Hour)
			})
		})
	}
}

// A connection that takes no byte gives "not run"; one that takes the first byte
// and then fails does not.
func TestWriteCount(t *testing.T) {
	for taken, kind := range map[int]target.Kind{0: target.NotRun, 1: target.Unknown} {
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, _ := net.Pipe()
			return &shortConn{Conn: near, taken: taken}, nil
		}
		c := target.NewClient(dial, target.Options{})
		_, err := c.Call(context.Background(), targetAddr, testCall(true))
		wantError(t, err, kind, "")
	}
}

// shortConn takes a number of bytes and then fails.
type shortConn struct {
	net.Conn
	taken int
}

func (c *shortConn) Write([]byte) (int, error) { return c.taken, errors.New("broken") }
