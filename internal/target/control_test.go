package target_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

func order(fence uint64, sender fleet.InstanceID) target.Order {
	return target.Order{Kind: enginewire.OrderLoadModel, Name: "m", Fence: fence, Instance: sender}
}

// Engines that check fencing numbers, senders or deadlines refuse a violation without
// running the request or order; engines without these checks carry it out.
func TestEngineChecks(t *testing.T) {
	for _, checks := range []bool{true, false} {
		opts := standin.EngineOptions{RefuseOldFence: checks, CheckDeadline: checks}
		if checks {
			opts.AllowedSenders = []fleet.InstanceID{"a"}
		}
		withEngine(t, opts, func(w *testEnv, e *standin.Engine) {
			ctx := context.Background()
			expect := func(err error, reason string) {
				t.Helper()
				if checks {
					wantError(t, err, target.NotRun, reason)
				} else if err != nil {
					t.Errorf("%s: %v", reason, err)
				}
			}
			if err := w.client.Order(ctx, targetAddr, order(7, "a")); err != nil {
				t.Fatal(err)
			}
			err := w.client.Order(ctx, targetAddr, order(6, "a"))
			expect(err, enginewire.ReasonOldFence)
			var fence *target.FenceError
			if errors.As(err, &fence) != checks || (checks && *fence != target.FenceError{Sent: 6, Highest: 7}) {
				t.Errorf("unexpected fence error %+v", fence)
			}
			expect(w.client.Order(ctx, targetAddr, order(8, "b")), enginewire.ReasonSenderRefused)
			late := newRequest("late")
			late.Instance, late.Deadline = "a", time.Now().Add(-time.Second)
			_, _, err = w.generate(late)
			expect(err, enginewire.ReasonDeadlinePassed)
			if want := map[bool]int{true: 1, false: 3}[checks]; len(e.Orders()) != want {
				t.Errorf("%d orders carried out, want %d", len(e.Orders()), want)
			}
		})
	}
}

// Cache events arrive late and with gaps, and the client reports the gaps. A prefix
// exported before a crash can be imported into the next boot.
func TestCache(t *testing.T) {
	const delay = 10 * time.Second
	opts := standin.EngineOptions{EventDelay: delay, EventDropInterval: 2, CacheBlocks: 4}
	withEngine(t, opts, func(w *testEnv, e *standin.Engine) {
		ctx := context.Background()
		request := newRequest("r")
		request.Prompt = strings.Repeat("flitch ", enginewire.PrefixBlockBytes)
		hashes := enginewire.PrefixHashes(request.Model, request.Prompt, 4)
		if _, _, err := w.generate(request); err != nil {
			t.Fatal(err)
		}
		early, err := w.client.CacheEvents(ctx, targetAddr, 0)
		if err != nil || len(early.Events) != 0 || early.Gap {
			t.Errorf("before the event delay: %+v, %v", early, err)
		}
		time.Sleep(delay)
		events, err := w.client.CacheEvents(ctx, targetAddr, 0)
		if err != nil || len(events.Events) != 2 || events.Next != 4 || !events.Gap {
			t.Errorf("after the event delay: %+v, %v", events, err)
		}
		if events.Events[0].Hash != hashes[0] {
			t.Errorf("hash %x, want %x", events.Events[0].Hash, hashes[0])
		}
		kv, err := w.client.KVExport(ctx, targetAddr, "m", hashes[3])
		if err != nil {
			t.Fatal(err)
		}
		e.Crash()
		_, err = w.client.KVExport(ctx, targetAddr, "m", hashes[3])
		wantError(t, err, target.NotRun, "not_cached")
		if err := w.client.KVImport(ctx, targetAddr, "m", hashes[3], kv); err != nil {
			t.Error(err)
		}
		if _, err := w.client.KVExport(ctx, targetAddr, "m", hashes[3]); err != nil {
			t.Errorf("after import: %v", err)
		}
	})
}

// An invalid load report, a status without outcome header and an oversized answer
// are errors of the right kind.
func TestControlMalformed(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		kind   target.Kind
		reason string
	}{
		{"no boot id", http.StatusOK, `{"state":"ready"}`, target.Failed, target.ReasonMalformedAnswer},
		{"unknown state", http.StatusOK, `{"boot_id":"b","state":"warm"}`, target.Failed, target.ReasonMalformedAnswer},
		{"not JSON", http.StatusOK, `ready`, target.Failed, target.ReasonMalformedAnswer},
		{"bare status", http.StatusServiceUnavailable, ``, target.Unknown, target.ReasonUnexpectedStatus},
		{"too large", http.StatusOK, strings.Repeat(" ", target.DefaultMaxBodyBytes+1), target.Unknown, target.ReasonAnswerTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			})
			withTestEnv(t, h, func(w *testEnv) {
				_, err := w.client.Load(context.Background(), targetAddr)
				wantError(t, err, test.kind, test.reason)
			})
		})
	}
}
