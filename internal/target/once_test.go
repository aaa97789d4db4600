package target_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target"
)

// Breaks the connection at each byte of request and response, on new and reused
// connections. The call must arrive at most once, and one reported as not run must
// not have arrived.
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

// testCall returns the call under test, always with the same call id.
func testCall(once bool) target.CallRequest {
	return target.CallRequest{Method: "settle", Body: []byte("lot 7"), CallID: "call", Once: once}
}

// preparePool leaves an idle connection in the pool if reused is set.
func (w *testEnv) preparePool(reused bool) {
	if !reused {
		return
	}
	if _, err := w.call(target.CallRequest{Method: "warm"}); err != nil {
		w.Fatal(err)
	}
	synctest.Wait()
}

// callSizes returns the sizes of a call's request and response in bytes.
func callSizes(t *testing.T, once, reused bool) (request, response int64) {
	withTestEnv(t, standin.NewService(), func(w *testEnv) {
		w.preparePool(reused)
		dials := w.net.DialCount(instanceHost, targetHost)
		request, response = -w.clientBytes(), -w.targetBytes()
		if _, err := w.call(testCall(once)); err != nil {
			t.Fatal(err)
		}
		request += w.clientBytes()
		response += w.targetBytes()
		if dialled := w.net.DialCount(instanceHost, targetHost) > dials; dialled == (reused && !once) {
			t.Fatalf("call dialled a new connection: %t", dialled)
		}
	})
	return request, response
}

// breakCall makes a call whose connection breaks after at bytes sent by from.
func breakCall(t *testing.T, once, reused bool, from, to string, at int64) {
	s := standin.NewService()
	withTestEnv(t, s, func(w *testEnv) {
		w.preparePool(reused)
		before := s.Arrivals()
		w.net.ResetAfter(from, to, at)
		body, err := w.call(testCall(once))
		synctest.Wait()
		if arrivals := s.Arrivals() - before; arrivals > 1 || s.Runs("call") > 1 {
			t.Errorf("%s after %d bytes: %d arrivals, %d runs", from, at, arrivals, s.Runs("call"))
		}
		if kindOf(err) == target.NotRun && s.Arrivals() > before {
			t.Errorf("%s after %d bytes: reported as not run, but it arrived", from, at)
		}
		if err == nil && !bytes.Equal(body, testCall(once).Body) {
			t.Errorf("%s after %d bytes: answer %q", from, at, body)
		}
		if err == nil && from == instanceHost {
			t.Errorf("after %d bytes of the request: call succeeded without its full request sent", at)
		}
	})
}

// A connection breaks within a body that is written in many parts: the call must not
// run, and its kind must be Unknown.
func TestLargeCallBreaks(t *testing.T) {
	for _, at := range []int64{0, 200, 4095, 4096, 32 << 10, 33 << 10, 256 << 10, 257 << 10, 1<<20 - 1} {
		for _, once := range []bool{true, false} {
			s := standin.NewService()
			withTestEnv(t, s, func(w *testEnv) {
				w.net.ResetAfter(instanceHost, targetHost, at)
				r := testCall(once)
				r.Body = bytes.Repeat([]byte("x"), 1<<20)
				_, err := w.call(r)
				synctest.Wait()
				if s.Runs("call") > 0 || kindOf(err) != target.Unknown {
					t.Errorf("once=%t after %d bytes: %d runs, %v", once, at, s.Runs("call"), err)
				}
			})
		}
	}
}

// Many concurrent calls while connections break, go silent and recover at random
// times: each call must run at most once, get its own answer, and report a kind that
// matches whether it ran.
func TestManyCallsUnderFaults(t *testing.T) {
	const calls, steps = 40, 20
	a, b := []string{instanceHost}, []string{targetHost}
	faults := []func(n *memnet.Network){
		func(n *memnet.Network) { n.Reset(a, b) },
		func(n *memnet.Network) { n.Blackhole(a, b) },
		func(n *memnet.Network) { n.Partition(a, b, memnet.PartitionReject) },
		func(n *memnet.Network) { n.Partition(a, b, memnet.PartitionDrop) },
		func(n *memnet.Network) { n.PartitionOneWay(b, a) },
		func(n *memnet.Network) { n.Heal(a, b) },
		func(n *memnet.Network) { n.Heal(a, b) },
	}
	rapid.Check(t, func(rt *rapid.T) {
		times := rapid.SliceOfN(rapid.IntRange(0, 1000), calls, calls).Draw(rt, "call times, ms")
		order := rapid.SliceOfN(rapid.IntRange(0, len(faults)-1), steps, steps).Draw(rt, "faults")
		pause := time.Duration(rapid.IntRange(1, 100).Draw(rt, "pause, ms")) * time.Millisecond
		s := standin.NewService()
		s.SetDelay(20 * time.Millisecond)
		withTestEnv(t, s, func(w *testEnv) {
			w.net.Delay(a, b, 5*time.Millisecond)
			errs := make([]error, calls)
			var group sync.WaitGroup
			for i, ms := range times {
				group.Go(func() {
					time.Sleep(time.Duration(ms) * time.Millisecond)
					r := testCall(i%2 == 0)
					r.CallID = fmt.Sprint(i)
					r.Body = []byte(r.CallID)
					r.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
					var answer []byte
					answer, errs[i] = w.call(r)
					if errs[i] == nil && string(answer) != r.CallID {
						t.Errorf("call %d got the wrong answer %q", i, answer)
					}
				})
			}
			for _, f := range order {
				time.Sleep(pause)
				faults[f](w.net)
			}
			group.Wait()
			w.net.Heal(a, b)
			time.Sleep(time.Minute)
			for i, err := range errs {
				runs := s.Runs(fmt.Sprint(i))
				if runs > 1 || (kindOf(err) == target.NotRun && runs > 0) || (err == nil && runs != 1) {
					t.Errorf("call %d: %d runs, %v", i, runs, err)
				}
			}
		})
	})
}

// The server closes a pooled connection just before, during or just after the write of
// the next call. The call must not run twice, and one on a dedicated connection must
// succeed.
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
				w := &testEnv{T: t, net: n, client: c}
				w.preparePool(true)
				time.Sleep(idle - time.Millisecond + offset)
				_, err := w.call(testCall(once))
				if s.Runs("call") > 1 || (kindOf(err) == target.NotRun && s.Runs("call") > 0) {
					t.Errorf("once=%t offset=%v: %d runs, %v", once, offset, s.Runs("call"), err)
				}
				if once && err != nil {
					t.Errorf("offset=%v: %v on a dedicated connection", offset, err)
				}
			})
		}
	}
}

// Each answer of the target and each network fault leads to its kind and reason.
func TestCallOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		setup  func(w *testEnv, s *standin.Service)
		kind   target.Kind
		reason string
		runs   int
	}{
		{"refused", func(_ *testEnv, s *standin.Service) { s.SetFault(standin.CallRefused) }, target.NotRun, "overloaded", 0},
		{"failed", func(_ *testEnv, s *standin.Service) { s.SetFault(standin.CallFailed) }, target.Failed, "service_failed", 1},
		{"cut", func(_ *testEnv, s *standin.Service) { s.SetFault(standin.CallAborted) }, target.Unknown, target.ReasonConnectionBroken, 1},
		{"no route", func(w *testEnv, _ *standin.Service) {
			w.net.Partition([]string{instanceHost}, []string{targetHost}, memnet.PartitionReject)
		}, target.NotRun, target.ReasonDial, 0},
		{"dial unanswered", func(w *testEnv, _ *standin.Service) {
			w.net.Partition([]string{instanceHost}, []string{targetHost}, memnet.PartitionDrop)
		}, target.NotRun, target.ReasonDial, 0},
		{"too slow", func(_ *testEnv, s *standin.Service) { s.SetDelay(time.Hour) }, target.Unknown, target.ReasonDeadline, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := standin.NewService()
			withTestEnv(t, s, func(w *testEnv) {
				test.setup(w, s)
				_, err := w.call(testCall(true))
				wantError(t, err, test.kind, test.reason)
				var e *target.Error
				if errors.As(err, &e) && (e.RetryAfter == 2*time.Second) != (test.name == "refused") {
					t.Errorf("unexpected retry delay %v", e.RetryAfter)
				}
				if s.Runs("call") != test.runs {
					t.Errorf("call ran %d times", s.Runs("call"))
				}
			})
		})
	}
}

// Cancels a call at different times. A call reported as not run must not have arrived,
// and a successful one must have run once.
func TestCancelAtEachMoment(t *testing.T) {
	const step = time.Millisecond / 4
	for wait := time.Duration(0); wait < 32*step; wait += step {
		s := standin.NewService()
		withTestEnv(t, s, func(w *testEnv) {
			w.net.Delay([]string{instanceHost}, []string{targetHost}, time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			_, err := w.client.Call(ctx, targetAddr, testCall(true))
			time.Sleep(time.Second)
			if (kindOf(err) == target.NotRun && s.Arrivals() > 0) || (err == nil && s.Runs("call") != 1) {
				t.Errorf("after %v: %v, %d arrivals", wait, err, s.Arrivals())
			}
		})
	}
}

// A write that fails without accepting a byte gives NotRun; one that accepts a byte
// before it fails gives Unknown.
func TestWriteCount(t *testing.T) {
	for taken, kind := range map[int]target.Kind{0: target.NotRun, 1: target.Unknown} {
		dial := func(context.Context, string, string) (net.Conn, error) {
			conn, _ := net.Pipe()
			return &shortConn{Conn: conn, taken: taken}, nil
		}
		c := target.NewClient(dial, target.Options{})
		defer c.Close()
		_, err := c.Call(context.Background(), targetAddr, testCall(true))
		wantError(t, err, kind, "")
	}
}

// shortConn is a connection whose writes accept the given number of bytes and fail.
type shortConn struct {
	net.Conn
	taken int
}

func (c *shortConn) Write([]byte) (int, error) { return c.taken, errors.New("broken") }
