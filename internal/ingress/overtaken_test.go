package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/inventory"
)

// A run that has taken a silent one's place may fail later. While the route allows another target,
// that one must go on, and the caller gets the whole answer.
func TestOvertakingRunFailsLater(t *testing.T) {
	beginWith := func(last int, then runFunc) runFunc {
		return func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			after, _ := strconv.Atoi(r.Header.Get(resumeHeader))
			streamEvents(ctx, w, after+1, last, 0)
			then(ctx, w, r)
		}
	}
	hang := func(ctx context.Context, _ http.ResponseWriter, _ *http.Request) { <-ctx.Done() }
	failures := []struct {
		name string
		run  runFunc
		// resumedOnly says that the failure is one only of a run that resumes the stream: what the
		// first one repeats is passed on as it is.
		resumedOnly bool
	}{
		{name: "breaks off", run: beginWith(2, breakOff)},
		{name: "goes silent", run: beginWith(2, hang)},
		{name: "breaks off within an event", run: beginWith(2, func(ctx context.Context, w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "id: 3\nda")
			_ = http.NewResponseController(w).Flush()
			breakOff(ctx, w, r)
		})},
		{name: "repeats an event", resumedOnly: true, run: beginWith(2, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
			streamEvents(ctx, w, 2, 2, 0)
			<-ctx.Done()
		})},
	}
	for _, silentAfter := range []int{0, 1} {
		for _, failure := range failures {
			if failure.resumedOnly && silentAfter == 0 {
				continue
			}
			t.Run(fmt.Sprint("silent after event ", silentAfter, ", the next one ", failure.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestIngress(t, 100)
					e.allowTargets(3)
					e.addTarget("t1", inventory.Ready, beginWith(silentAfter, hang))
					time.AfterFunc(time.Millisecond, func() { e.addTarget("t2", inventory.Ready, failure.run) })
					time.AfterFunc(1200*time.Millisecond, func() {
						e.addTarget("t3", inventory.Ready, beginWith(lastEvent, func(context.Context, http.ResponseWriter, *http.Request) {}))
					})
					status, body, err := e.call("resumable")
					if status != http.StatusOK || body != whole || err != nil {
						t.Errorf("got status %d, body %q and error %v, want the whole answer: %+v", status, body, err, e.lastReport())
					}
					e.checkReleased()
				})
			})
		}
	}
}
