package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

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

// A complete event must reach the caller when it arrives, even if the first bytes of the next
// one arrived together with it and the rest of that comes late.
func TestEventIsNotHeldBackByIncompleteOne(t *testing.T) {
	for _, newline := range []string{"\n", "\r\n"} {
		t.Run(strconv.Quote(newline), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 0)
				const pause = time.Second
				first := "id: 1" + newline + "data: event 1" + newline + newline
				e.addTarget("t1", inventory.Ready, func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, first+newline+"id: 2"+newline+"da")
					_ = http.NewResponseController(w).Flush()
					sleep(ctx, pause)
					_, _ = io.WriteString(w, "ta: event 2"+newline+newline)
				})
				transport := &http.Transport{DialContext: e.network.Host(callerHost).Dial, DisableKeepAlives: true}
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ingressAddr+"/stream/x", nil)
				if err != nil {
					t.Fatal(err)
				}
				r.Host = testHost
				start := time.Now()
				response, err := transport.RoundTrip(r)
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				got := make([]byte, len(first))
				if _, err := io.ReadFull(response.Body, got); err != nil || string(got) != first {
					t.Errorf("got %q and error %v, want the first event", got, err)
				}
				if took := time.Since(start); took >= pause {
					t.Errorf("the first event took %s", took)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
