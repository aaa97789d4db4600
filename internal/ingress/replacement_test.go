package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/inventory"
)

type runFunc = func(ctx context.Context, w http.ResponseWriter, r *http.Request)

// briefSilence exceeds the first-byte timeout and the stall timeout of all test routes.
const briefSilence = 1500 * time.Millisecond

// pausingRuns are runs of a sound target that is silent for a while and then goes on.
var pausingRuns = []struct {
	name, route, want string
	run               runFunc
}{
	{"late answer", "safe", "answer", func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
		sleep(ctx, briefSilence)
		_, _ = io.WriteString(w, "answer")
	}},
	{"pause within the answer", "safe", "answer", func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ans")
		_ = http.NewResponseController(w).Flush()
		sleep(ctx, briefSilence)
		_, _ = io.WriteString(w, "wer")
	}},
	{"late first event", "resumable", allEvents, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
		sleep(ctx, briefSilence)
		streamEvents(ctx, w, 1, 3, 0)
	}},
	{"pauses between events", "resumable", allEvents, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
		streamEvents(ctx, w, 1, 3, briefSilence)
	}},
}

// breakOff ends the connection of a run.
func breakOff(context.Context, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// A sound run must not be ended for a replacement that does not deliver: the caller would lose an
// answer that was on its way.
func TestSilentRunGoesOnIfReplacementFails(t *testing.T) {
	failures := []struct {
		name string
		run  runFunc
		// retryExtra is the number of retries that the fleet may make, 100 if it is 0.
		retryExtra float64
	}{
		{name: "refuses", run: func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(notRunHeader, "full")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		// One retry of the whole fleet is left, which the replacement uses.
		{name: "refuses and the retry budget is used up", retryExtra: 1.2 * 8 / 0.7, run: func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(notRunHeader, "full")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "breaks before its answer", run: breakOff},
		{name: "breaks within its answer", run: func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "id: 1\n")
			_ = http.NewResponseController(w).Flush()
			breakOff(ctx, w, r)
		}},
		{name: "is silent", run: func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) { <-ctx.Done() }},
		{name: "is silent within its answer", run: func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "id: 1\n")
			_ = http.NewResponseController(w).Flush()
			<-ctx.Done()
		}},
		{name: "answers as if it had not run", run: func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "answers with an error", run: func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}},
	}
	for _, run := range pausingRuns {
		for _, failure := range failures {
			t.Run(run.name+"/replacement "+failure.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					retryExtra := failure.retryExtra
					if retryExtra == 0 {
						retryExtra = 100
					}
					e := newTestIngress(t, retryExtra)
					e.addTarget("t1", inventory.Ready, run.run)
					time.AfterFunc(time.Millisecond, func() { e.addTarget("t2", inventory.Ready, failure.run) })
					status, body, err := e.call(run.route)
					if status != http.StatusOK || body != run.want || err != nil {
						t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
					}
					e.checkReleased()
				})
			})
		}
	}
}

// The replacement may have to leave while it is connected to.
func TestSilentRunGoesOnIfReplacementLeaves(t *testing.T) {
	const dialTime = 200 * time.Millisecond
	for _, run := range pausingRuns {
		// Both limits of the silence, as seen from the arrival of the request.
		for _, limit := range []time.Duration{firstByteFactor * testFirstByteSLO, dialTime + minStallTimeout} {
			t.Run(fmt.Sprint(run.name, ", limit after ", limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestIngress(t, 100)
					e.dialTime = dialTime
					e.addTarget("t1", inventory.Ready, run.run)
					go func() {
						sleep(t.Context(), time.Millisecond)
						e.addTarget("t2", inventory.Ready, run.run)
						sleep(t.Context(), limit+dialTime/2)
						e.listed[1].State, e.listed[1].Revision = inventory.Leaving, 2
						e.scheduler.SetTargets(e.listed, nil)
					}()
					status, body, err := e.call(run.route)
					if status != http.StatusOK || body != run.want || err != nil {
						t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
					}
					e.checkReleased()
				})
			})
		}
	}
}
