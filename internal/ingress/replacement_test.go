package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/records"
)

type runFunc = func(ctx context.Context, w http.ResponseWriter, r *http.Request)

// oneRetry is a number of retries of the fleet of which one is left to an instance, which uses 0.7
// of an eighth of it.
const oneRetry = 1.2 * 8 / 0.7

// briefSilence exceeds the first-byte timeout and the stall timeout of all test routes.
const briefSilence = 1500 * time.Millisecond

// pausingRun is a run of a sound target that is silent for a while and then goes on, with the
// route on which it is made and the answer that it gives.
type pausingRun struct {
	name, route, want string
	run               runFunc
}

var pausingRuns = []pausingRun{
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

// refuse reports that the request did not run.
func refuse(_ context.Context, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(notRunHeader, "full")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A sound run must not be ended for a replacement that does not deliver: the caller would lose an
// answer that was on its way.
func TestSilentRunGoesOnIfReplacementFails(t *testing.T) {
	failures := []struct {
		name string
		run  runFunc
		// retryExtra is the number of retries that the fleet may make, 100 if it is 0.
		retryExtra float64
	}{
		{name: "refuses", run: refuse},
		{name: "refuses and the retry budget is used up", retryExtra: oneRetry, run: refuse},
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
						e.listed[1].State, e.listed[1].WrittenAt = inventory.Leaving, records.NewPosition(0, 2)
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

// lastEvent is the number of events of a randomRun, whole its answer.
const lastEvent = 5

var whole = testEvent(1) + testEvent(2) + testEvent(3) + testEvent(4) + testEvent(5)

// randomRun returns a run with random pauses that include both limits of the silence. Unless it is
// sound, it may refuse the request, or break off or hang at one of its events.
func randomRun(random *rand.Rand, sound bool, ran *atomic.Int64) runFunc {
	steps := []time.Duration{0, 0, 0, 10 * time.Millisecond, firstByteFactor * testFirstByteSLO, minStallTimeout, briefSilence}
	var pauses [lastEvent + 1]time.Duration
	for i := range pauses {
		pauses[i] = steps[random.IntN(len(steps))]
	}
	fault, faultAt := random.IntN(4), 1+random.IntN(lastEvent)
	if sound {
		fault = 0
	}
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
		if fault == 1 {
			refuse(ctx, w, r)
			return
		}
		ran.Add(1)
		// It is 0 if the stream is to begin.
		after, _ := strconv.Atoi(r.Header.Get(resumeHeader))
		for id := after + 1; id <= lastEvent; id++ {
			sleep(ctx, pauses[id])
			if fault == 2 && id >= faultAt {
				breakOff(ctx, w, r)
			}
			if fault == 3 && id >= faultAt {
				<-ctx.Done()
			}
			if ctx.Err() != nil {
				return
			}
			_, _ = io.WriteString(w, testEvent(id))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// Two runs may deliver at any moment, also at the same one. The caller gets one whole answer, with
// no piece missing, doubled or out of order, from as many targets as the route allows. Only a
// target that has delivered and fails later may spoil it.
func TestOverlappingRunsGiveOneAnswer(t *testing.T) {
	for seed := range uint64(1000) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			e := newTestIngress(t, 100)
			e.dialTime = []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond}[random.IntN(3)]
			route := []string{"safe", "resumable"}[random.IntN(2)]
			var ran atomic.Int64
			e.addTarget("t0", inventory.Ready, randomRun(random, true, &ran))
			var others []runFunc
			for range 3 {
				others = append(others, randomRun(random, false, &ran))
			}
			time.AfterFunc(time.Millisecond, func() {
				for i, run := range others {
					e.addTarget(fmt.Sprint("t", i+1), inventory.Ready, run)
				}
			})
			status, body, err := e.call(route)
			report := e.lastReport()
			switch tookOver := report.Silence.Result == replacementTookOver; {
			case status == http.StatusOK && err == nil && body == whole:
			case !tookOver:
				t.Errorf("seed %d: got status %d, body %q, error %v and silence %+v, want the whole answer", seed, status, body, err, report.Silence)
			case status == http.StatusOK && (err == nil || !strings.HasPrefix(whole, body)):
				t.Errorf("seed %d: got body %q and error %v, want the whole answer, or an error after its first pieces", seed, body, err)
			}
			if got := ran.Load(); got > 2 {
				t.Errorf("seed %d: %d targets ran the request, want at most 2", seed, got)
			}
			e.checkReleased()
		})
	}
}

// Once the caller has left, neither run may go on, and no target may stay reserved: also not the
// one that has delivered, if the first run's response is being handled then.
func TestBothRunsEndWhenCallerLeaves(t *testing.T) {
	const firstByte = firstByteFactor * testFirstByteSLO
	hang := func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) { <-ctx.Done() }
	beginStream := func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
		streamEvents(ctx, w, 1, 1, 0)
		<-ctx.Done()
	}
	tests := []struct {
		name          string
		first, second runFunc
		// until is when both runs must have ended.
		until time.Duration
	}{
		{"both silent", hang, hang, firstByte + firstByte/2},
		{"second run has delivered", func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			sleep(ctx, firstByte/2)
			w.Header().Set(decodeTimeHeader, (2 * firstByte).String())
			beginStream(ctx, w, r)
		}, beginStream, firstByte/2 + 2*firstByte},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 100)
				e.addTarget("t1", inventory.Ready, test.first)
				time.AfterFunc(time.Millisecond, func() { e.addTarget("t2", inventory.Ready, test.second) })
				conn, err := e.network.Host(callerHost).Dial(t.Context(), "tcp", ingressAddr)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(conn, "GET /resumable/x HTTP/1.1\r\nHost: "+testHost+"\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				sleep(t.Context(), firstByte+firstByte/2)
				if err := conn.Close(); err != nil {
					t.Fatal(err)
				}
				sleep(t.Context(), test.until-time.Since(start))
				e.checkReleased()
				e.mu.Lock()
				defer e.mu.Unlock()
				if len(e.runs) != 2 {
					t.Errorf("got %d runs, want 2", len(e.runs))
				}
				for _, run := range e.runs {
					if run.abandoned.IsZero() {
						t.Errorf("%s is still at work after %s", run.target, test.until)
					}
				}
			})
		})
	}
}

// A second run that has begun must be used if the first one breaks off, even if nothing else may
// be sent.
func TestSecondRunIsUsedIfFirstBreaks(t *testing.T) {
	breakAfter := func(first, last int) runFunc {
		return func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			streamEvents(ctx, w, first, last, 0)
			sleep(ctx, briefSilence)
			breakOff(ctx, w, r)
		}
	}
	goOnLate := func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
		sleep(ctx, briefSilence)
		after, _ := strconv.Atoi(r.Header.Get(resumeHeader))
		streamEvents(ctx, w, after+1, 3, 0)
	}
	tests := []struct {
		name, route string
		first       runFunc
	}{
		{"no answer", "safe", func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			sleep(ctx, briefSilence)
			breakOff(ctx, w, r)
		}},
		{"no first event", "resumable", breakAfter(1, 0)},
		{"no second event", "resumable", breakAfter(1, 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 100)
				e.addTarget("t1", inventory.Ready, test.first)
				time.AfterFunc(time.Millisecond, func() { e.addTarget("t2", inventory.Ready, goOnLate) })
				status, body, err := e.call(test.route)
				if status != http.StatusOK || body != allEvents || err != nil {
					t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
				}
				if got := e.lastReport().Silence; got.Replacement != "t2" || got.Result != replacementFollowed {
					t.Errorf("got silence %+v, want that t2 followed", got)
				}
				e.checkReleased()
			})
		})
	}
}

// What one run has delivered may wait to be read while the other one delivers. Only the pieces of
// one of them may be passed on.
func TestPiecesOfTwoRunsAreNotJoined(t *testing.T) {
	const firstByte = firstByteFactor * testFirstByteSLO
	delayed := func(before, decode time.Duration) runFunc {
		return func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			sleep(ctx, before)
			w.Header().Set(decodeTimeHeader, decode.String())
			streamEvents(ctx, w, 1, 3, 0)
		}
	}
	tests := []struct {
		name          string
		first, second runFunc
		result        ReplacementResult
	}{
		{"second run delivers while first answer waits", delayed(firstByte/2, firstByte), delayed(0, 0), replacementTookOver},
		{"first run delivers while second answer waits", func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
			sleep(ctx, firstByte+firstByte/2)
			streamEvents(ctx, w, 1, 3, firstByte)
		}, delayed(0, firstByte), replacementUnneeded},
	}
	for _, test := range tests {
		for _, route := range []string{"safe", "resumable"} {
			t.Run(test.name+"/"+route, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestIngress(t, 100)
					e.addTarget("t1", inventory.Ready, test.first)
					time.AfterFunc(time.Millisecond, func() { e.addTarget("t2", inventory.Ready, test.second) })
					status, body, err := e.call(route)
					if status != http.StatusOK || body != allEvents || err != nil {
						t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
					}
					// Whole answers are compared when they are complete, so that the second one wins.
					if got := e.lastReport().Silence.Result; got != test.result && route == "resumable" {
						t.Errorf("the second run's result is %q, want %q", got, test.result)
					}
					e.checkReleased()
				})
			})
		}
	}
}

// A second run that was cancelled may have run. The request may then run on no third target.
func TestCancelledSecondRunCountsAsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const firstByte = firstByteFactor * testFirstByteSLO
		e := newTestIngress(t, 100)
		e.addTarget("t1", inventory.Ready, func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			sleep(ctx, firstByte+firstByte/4)
			streamEvents(ctx, w, 1, 1, 0)
			sleep(ctx, firstByte/4)
			breakOff(ctx, w, r)
		})
		time.AfterFunc(time.Millisecond, func() {
			for _, name := range []string{"t2", "t3"} {
				e.addTarget(name, inventory.Ready, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(decodeTimeHeader, firstByte.String())
					streamEvents(ctx, w, 1, 3, 0)
				})
			}
		})
		if status, body, err := e.call("resumable"); status != http.StatusOK || body != testEvent(1) || err == nil {
			t.Errorf("got status %d, body %q and error %v, want the first event and an error", status, body, err)
		}
		// The response to the second run is still being decoded.
		sleep(t.Context(), firstByte)
		e.checkReleased()
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.runs) != 2 {
			t.Errorf("the request ran on %d targets, want 2", len(e.runs))
		}
	})
}

// A change must not end a run that has begun before it: the caller would lose an answer that was on
// its way.
func TestRunOutlivesChange(t *testing.T) {
	changes := map[string]func(e *testIngress){
		"shorter timeout": func(e *testIngress) { e.configure(2, "app", 100*time.Millisecond) },
		"other service":   func(e *testIngress) { e.configure(2, "other", 10*time.Second) },
		"target leaves": func(e *testIngress) {
			e.listed[0].State, e.listed[0].WrittenAt = inventory.Leaving, records.NewPosition(0, 2)
			e.scheduler.SetTargets(e.listed, nil)
		},
		"target not listed": func(e *testIngress) { e.scheduler.SetTargets(nil, nil) },
	}
	runs := append([]pausingRun{
		{"answer of a route without retries", "once", "answer", answerLate},
		{"stream that cannot be resumed", "stream", allEvents, streamWithPauses},
	}, pausingRuns...)
	for name, change := range changes {
		for _, run := range runs {
			t.Run(run.name+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestIngress(t, 100)
					e.addTarget("t1", inventory.Ready, run.run)
					go func() {
						sleep(t.Context(), testFirstByteSLO)
						change(e)
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

// A second run that is not sent must leave its retry to the attempt that follows in its place, and
// to no other.
func TestUnsentSecondRunLeavesOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, oneRetry)
		e.dialTime = 200 * time.Millisecond
		var runs atomic.Int64
		run := func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				// The second run is being connected to when this one breaks off.
				sleep(ctx, firstByteFactor*testFirstByteSLO-50*time.Millisecond)
				breakOff(ctx, w, r)
			}
			answerLate(ctx, w, r)
		}
		e.addTarget("t1", inventory.Ready, run)
		go func() {
			sleep(t.Context(), time.Millisecond)
			e.addTarget("t2", inventory.Ready, run)
			sleep(t.Context(), firstByteFactor*testFirstByteSLO+100*time.Millisecond)
			e.listed[1].State, e.listed[1].WrittenAt = inventory.Leaving, records.NewPosition(0, 2)
			e.addTarget("t3", inventory.Ready, run)
		}()
		for i, want := range []int64{2, 3} {
			if status, body, err := e.call("safe"); status != http.StatusOK || body != "answer" || err != nil {
				t.Errorf("request %d: got status %d, body %q and error %v, want the complete answer", i+1, status, body, err)
			}
			if got := runs.Load(); got != want {
				t.Errorf("%d runs after request %d, want %d", got, i+1, want)
			}
		}
		e.checkReleased()
	})
}

// A second run that does not continue the stream must be refused, also if the first one has broken
// off meanwhile and the request goes on with it. No event may be missing.
func TestUnsoundSecondRunIsNotContinued(t *testing.T) {
	for _, first := range []int{0, 1} {
		t.Run(fmt.Sprint("resumed from event ", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 100)
				e.addTarget("t1", inventory.Ready, func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
					streamEvents(ctx, w, 1, 1, 0)
					sleep(ctx, briefSilence)
					breakOff(ctx, w, r)
				})
				time.AfterFunc(time.Millisecond, func() {
					e.addTarget("t2", inventory.Ready, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
						sleep(ctx, briefSilence)
						w.Header().Set("Content-Type", "text/event-stream")
						// The events up to the third arrive together.
						_, _ = io.WriteString(w, testEvent(first)+testEvent(2)+testEvent(3))
						_ = http.NewResponseController(w).Flush()
						sleep(ctx, briefSilence/10)
						streamEvents(ctx, w, 4, 5, 0)
					})
				})
				status, body, err := e.call("resumable")
				if status != http.StatusOK || err == nil || !strings.HasPrefix(whole, body) {
					t.Errorf("got status %d, body %q and error %v, want the first events and an error", status, body, err)
				}
				e.checkReleased()
			})
		})
	}
}
