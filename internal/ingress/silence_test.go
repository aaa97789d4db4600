package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/earlyrefusal"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/records"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
	"medlarwind.dev/medlarwind/internal/wire"
)

const (
	testHost    = "h.example"
	ingressAddr = "10.0.0.1:80"
	callerHost  = "10.9.0.1"
	// resumeHeader carries Forwarding.ResumeAfter, and notRunHeader marks responses that are
	// ResponseInfo.NotRun, in testCodec.
	resumeHeader = "Resume-After"
	notRunHeader = "Not-Run"
	// decodeTimeHeader delays DecodeResponse while what was received waits.
	decodeTimeHeader = "Decode-Time"
	// longSilence exceeds the first-byte timeout and the stall timeout of all test routes.
	longSilence = 2500 * time.Millisecond
	// testFirstByteSLO is the objective of all test routes.
	testFirstByteSLO = 200 * time.Millisecond
)

// testRoutes has one route of each kind, under the name of its prefix.
var testRoutes = []catalog.Route{
	{Name: "safe", Kind: catalog.Idempotent},
	{Name: "once", Kind: catalog.Once},
	{Name: "resumable", Kind: catalog.Stream, Resumable: true},
	{Name: "stream", Kind: catalog.Stream},
}

// testCodec is a Codec that passes headers on unchanged. DecodeResponse takes decodeTime, or
// what the response's decodeTimeHeader says.
type testCodec struct{ decodeTime time.Duration }

func (*testCodec) DecodeCall(h http.Header) (Call, error) { return Call{ID: h.Get("Id")}, nil }

func (*testCodec) ForwardHeader(h http.Header, f Forwarding) http.Header {
	h = h.Clone()
	if f.ResumeAfter != "" {
		h.Set(resumeHeader, f.ResumeAfter)
	}
	return h
}

func (*testCodec) ResponseHeader(http.Header) http.Header { return http.Header{} }

func (c *testCodec) DecodeResponse(_ int, h http.Header) ResponseInfo {
	d, err := time.ParseDuration(h.Get(decodeTimeHeader))
	if err != nil {
		d = c.decodeTime
	}
	time.Sleep(d)
	return ResponseInfo{Signed: true, NotRun: h.Get(notRunHeader) != ""}
}

func (*testCodec) MatchResponse(Call, http.Header) upstream.Match { return upstream.Own }

func (*testCodec) SetRefusalHeader(http.Header, Call, time.Duration) {}

func (*testCodec) DecodeFields([]earlyrefusal.Field) (Call, bool) { return Call{}, false }

func (*testCodec) AppendRefusal(b []byte, _ Call, _ time.Duration) []byte { return b }

// testConfig is a ConfigSource.
type testConfig struct {
	current atomic.Pointer[catalog.Catalog]
}

func (c *testConfig) Current() *catalog.Catalog { return c.current.Load() }

func (*testConfig) Confirmed() bool { return true }

func (*testConfig) KeysRequired() bool { return false }

// testIngress is a handler that serves callers on a network in memory.
type testIngress struct {
	t         *testing.T
	network   *memnet.Network
	codec     *testCodec
	config    *testConfig
	scheduler *scheduler.Scheduler
	upstream  *upstream.Client
	listed    []inventory.Target
	// heldUp is added to the clock that the handler reads.
	heldUp atomic.Int64
	// dialTime is how long it takes to connect to a target.
	dialTime time.Duration

	mu      sync.Mutex
	runs    []testRun
	reports []Report
}

// testRun is one run on a target.
type testRun struct {
	target      string
	resumeAfter string
	began       time.Time
	// abandoned is when the target saw that its connection was closed during the run.
	abandoned time.Time
}

// newTestIngress starts a handler. retryExtra is the number of retries that the fleet may
// make in a window.
func newTestIngress(t *testing.T, retryExtra float64) *testIngress {
	e := &testIngress{t: t, network: memnet.New(), codec: &testCodec{}, config: &testConfig{}}
	monotonic := clock.Monotonic()
	now := func() clock.Instant { return monotonic().Add(time.Duration(e.heldUp.Load())) }
	e.scheduler = scheduler.New(scheduler.Options{
		Self: "r0", DataCentre: "a", Regions: map[fleet.DataCentreID]fleet.RegionID{"a": "ra"}, Now: now,
		ShareWindow: 4 * time.Second, RetryExtra: retryExtra, RetryWindow: 10 * time.Second,
	})
	e.configure(1, "app", 10*time.Second)
	e.scheduler.SetAlive([]roster.Member{{ID: "r0"}})
	e.upstream = upstream.NewClient(func(ctx context.Context, network, addr string) (net.Conn, error) {
		sleep(ctx, e.dialTime)
		return e.network.Host("10.0.0.1").Dial(ctx, network, addr)
	})
	handler := New(Options{
		Codec: e.codec, ConfigSource: e.config, Scheduler: e.scheduler, Upstream: e.upstream,
		Now: now, Log: zerolog.Nop(), BodyMemory: 1 << 20,
		Observe: func(r Report) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.reports = append(e.reports, r)
		},
	})
	e.serve(ingressAddr, handler)
	t.Cleanup(e.upstream.Close)
	return e
}

// configure puts a version of the configuration in force, in which all routes have this service
// and timeout.
func (e *testIngress) configure(version uint64, service fleet.ServiceID, timeout time.Duration) {
	config := catalog.Config{Version: version, Services: []catalog.Service{{ID: service}}}
	for _, r := range testRoutes {
		r.Host, r.Prefix, r.MaxTargets = testHost, "/"+r.Name+"/", 2
		r.FirstByteSLO, r.Timeout, r.Anonymous = testFirstByteSLO, timeout, true
		r.Services = []catalog.WeightedService{{Service: service, Weight: 1}}
		config.Routes = append(config.Routes, r)
	}
	current := catalog.New(config)
	e.config.current.Store(current)
	e.scheduler.SetCatalog(current)
}

// lastReport returns the report of the last request that ended.
func (e *testIngress) lastReport() Report {
	e.t.Helper()
	synctest.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		e.t.Fatal("no request was reported")
	}
	return e.reports[len(e.reports)-1]
}

func (e *testIngress) serve(addr string, handler http.Handler) {
	l, err := e.network.Listen(addr)
	if err != nil {
		e.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	e.t.Cleanup(func() { _ = server.Close() })
}

// addTarget lists a target whose runs are served by run. run returns early if its context
// ends.
func (e *testIngress) addTarget(name string, state inventory.State, run func(ctx context.Context, w http.ResponseWriter, r *http.Request)) {
	addr := fmt.Sprintf("10.1.0.%d:80", len(e.listed)+1)
	e.serve(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		index := len(e.runs)
		e.runs = append(e.runs, testRun{target: name, resumeAfter: r.Header.Get(resumeHeader), began: time.Now()})
		e.mu.Unlock()
		run(r.Context(), w, r)
		if r.Context().Err() != nil {
			e.mu.Lock()
			e.runs[index].abandoned = time.Now()
			e.mu.Unlock()
		}
	}))
	e.list(name, addr, state)
}

// listUnreachable lists a target that accepts no connections.
func (e *testIngress) listUnreachable(name string) {
	e.list(name, fmt.Sprintf("10.1.0.%d:80", len(e.listed)+1), inventory.Ready)
}

// list lists a target.
func (e *testIngress) list(name, addr string, state inventory.State) {
	e.listed = append(e.listed, inventory.Target{
		ID: fleet.TargetID(name), StartMillis: 1, Service: "app", Addr: addr, DataCentre: "a", State: state, Slots: 8, WrittenAt: records.NewPosition(0, 1),
	})
	e.scheduler.SetTargets(e.listed, nil)
}

// call sends a request and returns the status and the body that arrived, with the error that
// ended the body early.
func (e *testIngress) call(route string) (int, string, error) {
	transport := &http.Transport{DialContext: e.network.Host(callerHost).Dial, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(e.t.Context(), http.MethodGet, "http://"+ingressAddr+"/"+route+"/x", nil)
	if err != nil {
		e.t.Fatal(err)
	}
	r.Host = testHost
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// streamEvents writes events first to last, and waits for pause after each but the last.
func streamEvents(ctx context.Context, w http.ResponseWriter, first, last int, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last && ctx.Err() == nil; i++ {
		_, _ = io.WriteString(w, testEvent(i))
		_ = http.NewResponseController(w).Flush()
		if i < last {
			sleep(ctx, pause)
		}
	}
}

func testEvent(i int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i) }

// allEvents is the body of a complete test stream.
var allEvents = testEvent(1) + testEvent(2) + testEvent(3)

// answerLate answers after longSilence.
func answerLate(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
	sleep(ctx, longSilence)
	_, _ = io.WriteString(w, "answer")
}

// streamWithPauses makes a complete stream with a long silence after each event.
func streamWithPauses(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
	streamEvents(ctx, w, 1, 3, longSilence)
}

// streamLate makes a complete stream after a long silence.
func streamLate(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
	sleep(ctx, longSilence)
	streamEvents(ctx, w, 1, 3, 0)
}

// A target that sends nothing for a while may still be at work. Unless another target can
// take the request, its run must go on until the caller has the answer.
func TestSilentRunGoesOnWithoutReplacement(t *testing.T) {
	runs := []struct {
		name, route, want string
		run               func(ctx context.Context, w http.ResponseWriter, r *http.Request)
	}{
		{"late answer", "safe", "answer", answerLate},
		{"late first event", "resumable", allEvents, streamLate},
		{"pauses between events", "resumable", allEvents, streamWithPauses},
	}
	refusals := []struct {
		name       string
		retryExtra float64
		// other is the state of the other target, which is missing if withoutOther is set.
		other        inventory.State
		withoutOther bool
	}{
		{name: "retry budget used up", other: inventory.Ready},
		{name: "other target leaving", retryExtra: 100, other: inventory.Leaving},
		{name: "no other target", retryExtra: 100, withoutOther: true},
	}
	for _, run := range runs {
		for _, refusal := range refusals {
			t.Run(run.name+"/"+refusal.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestIngress(t, refusal.retryExtra)
					e.addTarget("t1", inventory.Ready, run.run)
					if !refusal.withoutOther {
						e.addTarget("t2", refusal.other, run.run)
					}
					status, body, err := e.call(run.route)
					if status != http.StatusOK || body != run.want || err != nil {
						t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
					}
					e.checkRuns(1)
					e.checkReleased()
				})
			})
		}
	}
}

// checkRuns checks the number of runs, and that each but the last was abandoned once the next
// one, which delivers when it begins, had begun.
func (e *testIngress) checkRuns(want int) {
	e.t.Helper()
	synctest.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.runs) != want {
		e.t.Errorf("got %d runs, want %d: %+v", len(e.runs), want, e.runs)
	}
	for i := 1; i < len(e.runs); i++ {
		if before := e.runs[i-1]; before.abandoned.IsZero() || before.abandoned.After(e.runs[i].began) {
			e.t.Errorf("run %d was not abandoned when run %d began: %+v", i, i+1, e.runs)
		}
	}
}

// checkReleased checks that no target is reserved for a request.
func (e *testIngress) checkReleased() {
	e.t.Helper()
	synctest.Wait()
	var hb wire.Heartbeat
	e.scheduler.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
	for _, load := range hb.Loads {
		if load.Running != 0 {
			e.t.Errorf("%d requests are still counted on %s", load.Running, load.Target)
		}
	}
}

// An answer may have arrived, unread, when a second run is begun. The caller gets it, and the
// second run is abandoned and released.
func TestUnusedReplacementIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 100)
		e.codec.decodeTime = firstByteFactor*testFirstByteSLO + time.Millisecond
		e.addTarget("t1", inventory.Ready, func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
		})
		time.AfterFunc(time.Millisecond, func() {
			e.addTarget("t2", inventory.Ready, func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) { <-ctx.Done() })
		})
		start := time.Now()
		if status, body, err := e.call("safe"); status != http.StatusOK || body != "answer" || err != nil {
			t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
		}
		if took := time.Since(start); took != e.codec.decodeTime {
			t.Errorf("the answer took %s, want %s", took, e.codec.decodeTime)
		}
		e.checkReleased()
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.runs) != 2 || e.runs[1].target != "t2" || !e.runs[1].abandoned.Equal(time.Now()) {
			t.Errorf("got runs %+v, want one on t1, and one on t2 that is abandoned", e.runs)
		}
	})
}

// A silent run is replaced as soon as another target can take the request, which may be
// later than the first time of asking.
func TestSilentRunIsReplacedOnceTargetIsFree(t *testing.T) {
	streamRest := func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
		first := 1
		if r.Header.Get(resumeHeader) == "1" {
			first = 2
		}
		streamEvents(ctx, w, first, 3, 0)
	}
	tests := []struct {
		name, route, want string
		silent, rest      func(ctx context.Context, w http.ResponseWriter, r *http.Request)
	}{
		{"no answer", "safe", "answer",
			func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) { <-ctx.Done() },
			func(_ context.Context, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }},
		{"no first event", "resumable", allEvents,
			func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) { <-ctx.Done() }, streamRest},
		{"no second event", "resumable", allEvents,
			func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
				streamEvents(ctx, w, 1, 1, 0)
				<-ctx.Done()
			}, streamRest},
	}
	for _, test := range tests {
		for _, listedAfter := range []time.Duration{0, 3 * time.Second} {
			t.Run(fmt.Sprint(test.name, ", other target listed after ", listedAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestIngress(t, 100)
					e.addTarget("t1", inventory.Ready, test.silent)
					time.AfterFunc(listedAfter+time.Millisecond, func() { e.addTarget("t2", inventory.Ready, test.rest) })
					status, body, err := e.call(test.route)
					if status != http.StatusOK || body != test.want || err != nil {
						t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
					}
					e.checkRuns(2)
					e.checkReleased()
				})
			})
		}
	}
}

// A request that may run only once is never sent to a second target, however long the first
// one is silent.
func TestSilentRunOfNonRepeatableRequestGoesOn(t *testing.T) {
	tests := []struct {
		route, want string
		run         func(ctx context.Context, w http.ResponseWriter, r *http.Request)
	}{
		{"once", "answer", answerLate},
		{"stream", allEvents, streamWithPauses},
	}
	for _, test := range tests {
		t.Run(test.route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 100)
				e.addTarget("t1", inventory.Ready, test.run)
				e.addTarget("t2", inventory.Ready, test.run)
				if status, body, err := e.call(test.route); status != http.StatusOK || body != test.want || err != nil {
					t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
				}
				e.checkRuns(1)
			})
		})
	}
}

// No attempt may follow the third one, so it must not end because its target is silent.
func TestLastAttemptGoesOnDespiteSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 100)
		var calls atomic.Int64
		for _, name := range []string{"t1", "t2", "t3", "t4"} {
			e.addTarget(name, inventory.Ready, func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) < maxSends {
					w.Header().Set(notRunHeader, "full")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				answerLate(ctx, w, r)
			})
		}
		if status, body, err := e.call("safe"); status != http.StatusOK || body != "answer" || err != nil {
			t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
		}
		if calls.Load() != maxSends {
			t.Errorf("%d requests reached a target, want %d", calls.Load(), maxSends)
		}
	})
}

// A process that was held up finds all its limits passed at once, while what the targets sent
// waits to be read. Its runs must not be replaced for that.
func TestRunIsNotReplacedAfterProcessWasHeldUp(t *testing.T) {
	tests := []struct {
		route, want string
		// limit is the time from the start of the request to its first limit.
		limit time.Duration
		run   func(ctx context.Context, w http.ResponseWriter, r *http.Request)
	}{
		{"safe", "answer", firstByteFactor * testFirstByteSLO, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
			sleep(ctx, firstByteFactor*testFirstByteSLO+time.Millisecond)
			_, _ = io.WriteString(w, "answer")
		}},
		{"resumable", allEvents, firstByteFactor * testFirstByteSLO, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
			sleep(ctx, firstByteFactor*testFirstByteSLO+time.Millisecond)
			streamEvents(ctx, w, 1, 3, 0)
		}},
		{"resumable", allEvents, minStallTimeout, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
			streamEvents(ctx, w, 1, 1, 0)
			sleep(ctx, minStallTimeout+time.Millisecond)
			streamEvents(ctx, w, 2, 3, 0)
		}},
	}
	for _, test := range tests {
		t.Run(test.route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 100)
				e.addTarget("t1", inventory.Ready, test.run)
				e.addTarget("t2", inventory.Ready, test.run)
				// The clock jumps shortly before the limit, and the answer arrives shortly after it.
				time.AfterFunc(test.limit-time.Millisecond, func() { e.heldUp.Store(int64(2 * time.Second)) })
				if status, body, err := e.call(test.route); status != http.StatusOK || body != test.want || err != nil {
					t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
				}
				e.checkRuns(1)
			})
		})
	}
}

// A caller may repeat a request whose runs were slow. It must not be refused as one that
// crashes its targets.
func TestRepeatedSilentRunsDoNotCountAsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 100)
		for i := range 10 {
			e.addTarget(fmt.Sprint("t", i), inventory.Ready, func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) {
				<-ctx.Done()
			})
		}
		for range 4 {
			if _, body, err := e.call("safe"); body != "time_up\n" || err != nil {
				t.Errorf("got body %q and error %v, want the request to run until its deadline", body, err)
			}
		}
	})
}

// A target that sends its answer slowly is not silent, however long the answer takes.
func TestSlowAnswerIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 100)
		const pieces = 5
		for _, name := range []string{"t1", "t2"} {
			e.addTarget(name, inventory.Ready, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
				for range pieces {
					_, _ = io.WriteString(w, "piece")
					_ = http.NewResponseController(w).Flush()
					sleep(ctx, testFirstByteSLO)
				}
			})
		}
		status, body, err := e.call("safe")
		if status != http.StatusOK || body != strings.Repeat("piece", pieces) || err != nil {
			t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
		}
		e.checkRuns(1)
	})
}

// A silent run must not be given up for a target that cannot be reached: its response may then
// be the only one that the caller can get.
func TestSilentRunGoesOnIfReplacementIsUnreachable(t *testing.T) {
	tests := []struct {
		route, want string
		run         func(ctx context.Context, w http.ResponseWriter, r *http.Request)
	}{
		{"safe", "answer", answerLate},
		{"resumable", allEvents, streamWithPauses},
	}
	for _, test := range tests {
		t.Run(test.route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 100)
				e.addTarget("t1", inventory.Ready, test.run)
				time.AfterFunc(time.Millisecond, func() { e.listUnreachable("t2") })
				status, body, err := e.call(test.route)
				if status != http.StatusOK || body != test.want || err != nil {
					t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
				}
				e.checkRuns(1)
				e.checkReleased()
			})
		})
	}
}

// What a silent target sends while another one is connected to is passed on at once, and the
// run goes on.
func TestAnswerWhileConnectingToReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 100)
		e.dialTime = 200 * time.Millisecond
		const answerTime = firstByteFactor*testFirstByteSLO - 100*time.Millisecond
		for _, name := range []string{"t1", "t2"} {
			e.addTarget(name, inventory.Ready, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
				sleep(ctx, answerTime)
				_, _ = io.WriteString(w, "answer")
			})
		}
		start := time.Now()
		if status, body, err := e.call("safe"); status != http.StatusOK || body != "answer" || err != nil {
			t.Errorf("got status %d, body %q and error %v, want the complete answer", status, body, err)
		}
		if took := time.Since(start); took != e.dialTime+answerTime {
			t.Errorf("the answer took %s, want %s", took, e.dialTime+answerTime)
		}
		e.checkRuns(1)
		e.checkReleased()
	})
}

// The line of a request must say which run was silent, since when, and what became of its
// replacement.
func TestSilenceIsLogged(t *testing.T) {
	tests := []struct {
		name        string
		list        func(e *testIngress)
		replacement fleet.TargetID
		result      ReplacementResult
	}{
		{"no other target", func(*testIngress) {}, "", replacementNotPlaced},
		{"unreachable", func(e *testIngress) { e.listUnreachable("t2") }, "t2", replacementUnreachable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 100)
				e.addTarget("t1", inventory.Ready, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
					sleep(ctx, firstByteFactor*testFirstByteSLO+time.Millisecond)
					_, _ = io.WriteString(w, "answer")
				})
				time.AfterFunc(time.Millisecond, func() { test.list(e) })
				if _, _, err := e.call("safe"); err != nil {
					t.Fatal(err)
				}
				want := Silence{Target: "t1", Asked: firstByteFactor * testFirstByteSLO, Replacement: test.replacement, Result: test.result}
				if got := e.lastReport().Silence; got != want {
					t.Errorf("got %+v, want %+v", got, want)
				}
			})
		})
	}
}
