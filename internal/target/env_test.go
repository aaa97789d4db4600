package target_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target"
)

const (
	instanceHost = "10.0.0.1"
	targetHost   = "10.0.0.2"
	targetAddr   = targetHost + ":80"
)

// testEnv contains one client and one target on an in-memory network.
type testEnv struct {
	*testing.T
	net    *memnet.Network
	client *target.Client
}

// withTestEnv runs f in virtual time, with h as the target.
func withTestEnv(t *testing.T, h http.Handler, f func(w *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Listen(targetAddr)
		if err != nil {
			t.Fatal(err)
		}
		stop := standin.Serve(l, h)
		defer stop()
		c := target.NewClient(n.Host(instanceHost).Dial, target.Options{})
		defer c.Close()
		f(&testEnv{T: t, net: n, client: c})
	})
}

// withEngine runs f in virtual time, with a new engine as the target.
func withEngine(t *testing.T, opts standin.EngineOptions, f func(w *testEnv, e *standin.Engine)) {
	t.Helper()
	var e *standin.Engine
	lazy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) })
	withTestEnv(t, lazy, func(w *testEnv) {
		e = standin.NewEngine(opts)
		defer e.Close()
		f(w, e)
	})
}

// generate runs one request to its end. It returns the answer and the last chunk
// received, also on an error.
func (w *testEnv) generate(r target.GenerateRequest) (answer []byte, last target.Chunk, err error) {
	s, err := w.client.Generate(context.Background(), targetAddr, r)
	if err != nil {
		return nil, target.Chunk{}, err
	}
	defer s.Close()
	for {
		chunk, err := s.Next()
		if err == io.EOF {
			return answer, last, nil
		}
		if err != nil {
			return answer, last, err
		}
		answer = append(answer, chunk.Data...)
		last = chunk
	}
}

// call makes one call without a context deadline.
func (w *testEnv) call(r target.CallRequest) ([]byte, error) {
	return w.client.Call(context.Background(), targetAddr, r)
}

// clientBytes and targetBytes return the bytes that each side has sent so far.
func (w *testEnv) clientBytes() int64 { return w.net.BytesSent(instanceHost, targetHost) }
func (w *testEnv) targetBytes() int64 { return w.net.BytesSent(targetHost, instanceHost) }

// wantError checks the kind and reason of err. An empty reason matches any.
func wantError(t testing.TB, err error, kind target.Kind, reason string) {
	t.Helper()
	var e *target.Error
	if !errors.As(err, &e) {
		t.Errorf("error %v, want %v %s", err, kind, reason)
		return
	}
	if e.Kind != kind || (reason != "" && e.Reason != reason) {
		t.Errorf("error %v, want %v %s", err, kind, reason)
	}
}

// kindOf returns the kind of err, or 0 if it is not a *target.Error.
func kindOf(err error) target.Kind {
	var e *target.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
