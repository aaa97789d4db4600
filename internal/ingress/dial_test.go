package ingress

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/inventory"
)

// Opening a connection may take long. A target that leaves meanwhile must not get the request, which
// goes to another one.
func TestRequestReachesTargetThatLeftWhileDialling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 10)
		e.dialTime = 200 * time.Millisecond
		answer := func(_ context.Context, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }
		e.addTarget("t1", inventory.Ready, answer)
		time.AfterFunc(e.dialTime/2, func() {
			e.listed[0].State = inventory.Leaving
			e.addTarget("t2", inventory.Ready, answer)
		})
		status, _, err := e.call(testRoutes[0].Name)
		if status != http.StatusOK || err != nil {
			t.Errorf("status %d, error %v", status, err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.runs) != 1 || e.runs[0].target != "t2" {
			t.Errorf("runs %+v, want one on t2: t1 said that it leaves before the connection was open", e.runs)
		}
	})
}

// A request whose time is up when the connection is open must not be sent, even if the timer that ends
// it has not fired yet: on a late processor timers are late.
func TestRequestIsSentAfterItsTimeIsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 10)
		e.dialTime = 200 * time.Millisecond
		e.addTarget("t1", inventory.Ready, func(_ context.Context, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		time.AfterFunc(e.dialTime/2, func() { e.heldUp.Store(int64(time.Minute)) })
		if status, _, _ := e.call(testRoutes[0].Name); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want %d: it has not run", status, http.StatusServiceUnavailable)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.runs) != 0 {
			t.Errorf("runs %+v after the request's time", e.runs)
		}
	})
}
