package target_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// endlessHandler responds with status and header and then writes unit, with a pause each
// time, until the client closes the connection or 16 MiB are sent.
func endlessHandler(status int, header http.Header, unit string, pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		flusher := http.NewResponseController(w)
		for sent := 0; sent < 16<<20 && r.Context().Err() == nil; sent += len(unit) {
			if _, err := io.WriteString(w, unit); err != nil || flusher.Flush() != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// requests are one of each kind that a target may refuse.
var requests = map[string]func(context.Context, *target.Client) error{
	"generate": func(ctx context.Context, c *target.Client) error {
		_, err := c.Generate(ctx, targetAddr, target.GenerateRequest{RequestID: "r", Attempt: 1})
		return err
	},
	"call": func(ctx context.Context, c *target.Client) error {
		_, err := c.Call(ctx, targetAddr, target.CallRequest{Method: "m"})
		return err
	},
	"load": func(ctx context.Context, c *target.Client) error {
		_, err := c.Load(ctx, targetAddr)
		return err
	},
	"kv export": func(ctx context.Context, c *target.Client) error {
		_, err := c.KVExport(ctx, targetAddr, "m", 1)
		return err
	},
}

// A target may refuse a request and send the body of the refusal without end. The refusal
// must not wait for it: the request may run elsewhere.
func TestEndlessBodyOfRefusalIsCutOff(t *testing.T) {
	notRun := http.Header{enginewire.HeaderOutcome: {enginewire.OutcomeNotRun}, enginewire.HeaderReason: {"full"}}
	for unit, pause := range map[string]time.Duration{"a": 10 * time.Millisecond, strings.Repeat("a", 1<<10): 0} {
		for name, send := range requests {
			t.Run(name, func(t *testing.T) {
				withTestEnv(t, endlessHandler(http.StatusServiceUnavailable, notRun, unit, pause), func(w *testEnv) {
					ctx, cancel := context.WithTimeout(w.Context(), time.Hour)
					defer cancel()
					began := time.Now()
					wantError(t, send(ctx, w.client), target.NotRun, "full")
					if took := time.Since(began); took > target.DrainTimeout {
						t.Errorf("refusal was returned after %s, want %s at most", took, target.DrainTimeout)
					}
				})
			})
		}
	}
}

// An answer without end must be cut off at the limit of its kind.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	accepted := http.Header{enginewire.HeaderBootID: {"boot"}, enginewire.HeaderRequestID: {"r"}}
	for name, limit := range map[string]int64{
		"generate": target.DefaultMaxLineBytes,
		"call":     target.DefaultMaxBodyBytes,
		"load":     target.DefaultMaxBodyBytes,
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, endlessHandler(http.StatusOK, accepted, strings.Repeat("a", 1<<10), time.Microsecond), func(w *testEnv) {
				var err error
				if name == "generate" {
					_, _, err = w.generate(target.GenerateRequest{RequestID: "r", Attempt: 1})
				} else {
					err = requests[name](w.Context(), w.client)
				}
				wantError(t, err, target.Unknown, target.ReasonAnswerTooLarge)
				// The network and the buffers on both sides hold up to 1 MiB, and the chunks of the
				// body take some bytes.
				if sent, want := w.targetBytes(), limit*5/4+1<<20; sent > want {
					t.Errorf("target sent %d bytes, want at most %d", sent, want)
				}
			})
		})
	}
}
