package ingress

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/wire"
)

// A run that ends because its time is up, its caller leaves or the memory for answers is used up
// shows no crash of its target: others must go on sending there.
func TestRunEndedByUsCountsAsCrash(t *testing.T) {
	hang := func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) { <-ctx.Done() }
	begin := func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
		streamEvents(ctx, w, 1, 1, 0)
		<-ctx.Done()
	}
	endless := func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		chunk := make([]byte, 4<<10)
		for i := range chunk {
			chunk[i] = 'x'
		}
		for ctx.Err() == nil {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}
	callerLeaves := func(e *testIngress, route string) {
		conn, err := e.network.Host(callerHost).Dial(e.t.Context(), "tcp", ingressAddr)
		if err != nil {
			e.t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET /"+route+"/x HTTP/1.1\r\nHost: "+testHost+"\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
		synctest.Wait()
	}
	waits := func(e *testIngress, route string) { _, _, _ = e.call(route) }
	tests := []struct {
		name   string
		run    runFunc
		call   func(e *testIngress, route string)
		routes []string
	}{
		{"time is up before the answer", hang, waits, []string{"safe", "once", "stream", "resumable"}},
		{"time is up within the answer", begin, waits, []string{"safe", "once", "stream", "resumable"}},
		{"caller leaves before the answer", hang, callerLeaves, []string{"safe", "once", "stream", "resumable"}},
		{"caller leaves within the answer", begin, callerLeaves, []string{"safe", "once", "stream", "resumable"}},
		{"memory is used up", endless, waits, []string{"once", "stream"}},
	}
	for _, test := range tests {
		for _, route := range test.routes {
			t.Run(test.name+"/"+route, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestIngress(t, 100)
					e.addTarget("t1", inventory.Ready, test.run)
					for range 5 {
						test.call(e, route)
					}
					var hb wire.Heartbeat
					e.scheduler.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
					if len(hb.BrokenTargets) > 0 {
						t.Errorf("%v is reported to peers as broken: %+v", hb.BrokenTargets, e.lastReport())
					}
				})
			})
		}
	}
}

// A target whose answers cannot be passed on has not crashed: it must not count as restarted for all
// instances. That holds for a second run, too.
func TestUnsoundAnswerCountsAsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 100)
		e.addTarget("t1", inventory.Ready, func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
		})
		for range 5 {
			_, _, _ = e.call("safe")
		}
		var hb wire.Heartbeat
		e.scheduler.FillHeartbeat(&hb, "r1", wire.ScopeOwn)
		if len(hb.BrokenTargets) > 0 {
			t.Errorf("%v is reported to peers as broken: %+v", hb.BrokenTargets, e.lastReport())
		}
	})
	if got := standbyOutcomes[replacementUnsound]; got != scheduler.Failed {
		t.Errorf("an unsound second run ends as %v, want %v", got, scheduler.Failed)
	}
}
