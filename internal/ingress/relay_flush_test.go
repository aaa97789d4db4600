package ingress

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"medlarwind.dev/medlarwind/internal/inventory"
)

// Complete events must reach the caller even if the target breaks off within the next one,
// whose first bytes arrived together with them.
func TestEventBeforeBrokenOneIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 0)
		e.addTarget("t1", inventory.Ready, func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "id: 1\ndata: event 1\n\nid: 2\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		status, body, err := e.call("stream")
		if want := "id: 1\ndata: event 1\n\n"; status != http.StatusOK || body != want || err == nil {
			t.Errorf("got status %d, body %q and error %v, want 200, %q and a truncated answer", status, body, err, want)
		}
	})
}
