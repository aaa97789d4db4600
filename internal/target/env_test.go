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

// world is one client and one target on an in-memory network.
type world struct {
	*testing.T
	net    *memnet.Network
	client *target.Client
}

// inWorld runs f with the handler as the target, in virtual time.
func inWorld(t *testing.T, h http.Handler, f func(w *world)) {
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
		f(&world{T: t, net: n, client: c})
	})
}

// inEngine runs f with a new engine as the target.
func inEngine(t *testing.T, opts standin.EngineOptions, f func(w *world, e *standin.Engine)) {
	t.Helper()
	var e *standin.Engine
	lazy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.ServeHTTP(w, r) })
	inWorld(t, lazy, func(w *world) {
		e = standin.NewEngine(opts)
		defer e.Close()
		f(w, e)
	})
}

// generate runs one request to its end and returns what was received.
func (w *world) generate(r target.GenerateRequest) (answer []byte, last target.Chunk, err error) {
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

// call makes one plain call.
func (w *world) call(r target.CallRequest) ([]byte, error) {
	return w.client.Call(context.Background(), targetAddr, r)
}

// clientBytes and targetBytes are the bytes sent so far.
func (w *world) clientBytes() int64 { return w.net.Bytes(instanceHost, targetHost) }
func (w *world) targetBytes() int64 { return w.net.Bytes(targetHost, instanceHost) }

// wantError checks kind and reason of err; an empty reason is any.
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

// kindOf returns the kind of err, 0 for none.
func kindOf(err error) target.Kind {
	var e *target.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
