package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"medlarwind.dev/medlarwind/internal/inventory"
)

// No other run can take a stream over after an event without an id, so that its run must go on,
// however long it is silent.
func TestSilentStreamWithoutIDsIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 100)
		const piece = "data: piece\n\n"
		for _, name := range []string{"t1", "t2"} {
			e.addTarget(name, inventory.Ready, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
				for range 3 {
					_, _ = io.WriteString(w, piece)
					_ = http.NewResponseController(w).Flush()
					sleep(ctx, longSilence)
				}
			})
		}
		status, body, err := e.call("resumable")
		if status != http.StatusOK || body != strings.Repeat(piece, 3) || err != nil {
			t.Errorf("got status %d, body %q and error %v, want the complete stream of the first run", status, body, err)
		}
		e.checkRuns(1)
		e.checkReleased()
	})
}
