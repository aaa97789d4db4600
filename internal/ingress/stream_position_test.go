package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

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

// A run may continue a stream only with an event that comes after the last one.
func TestEventOfOtherPlaceIsJoined(t *testing.T) {
	type next struct {
		text  string
		later bool
	}
	tests := map[string]struct {
		written  string
		accepted []next
		refused  []next
	}{
		"nothing written": {"", []next{{"id: 7\ndata: x\n\n", false}, {"data: x\n\n", false}}, nil},
		"only comments":   {": a\n\nretry: 5\n\n", []next{{"id: 1\ndata: x\n\n", false}}, nil},
		"consecutive": {
			"id: 1\ndata: x\n\n: a\n\nid: 2\ndata: x\n\n",
			[]next{{"id: 3\ndata: x\n\n", false}, {": a\n\n", false}, {"retry: 5\n\n", false}, {"id: 4\ndata: x\n\n", true}, {"data: x\n\n", true}},
			[]next{{"id: 4\ndata: x\n\n", false}, {"id: 2\ndata: x\n\n", false}, {"id: 1\ndata: x\n\n", true}, {"data: x\n\n", false}, {"id: x\n\n", true}, {"id: -3\n\n", false}},
		},
		"with steps": {
			"id: 10\ndata: x\n\nid: 13\ndata: x\n\n",
			[]next{{"id: 14\ndata: x\n\n", false}, {"id: 99\ndata: x\n\n", false}},
			[]next{{"id: 13\ndata: x\n\n", false}, {"id: 11\ndata: x\n\n", false}},
		},
		"one event": {"id: 1\ndata: x\n\n", []next{{"id: 3\ndata: x\n\n", false}}, []next{{"id: 1\ndata: x\n\n", false}}},
	}
	read := func(text string) event {
		e, err := newEventReader(strings.NewReader(text), unlimitedMemory()).next()
		if err != nil {
			t.Fatalf("event %q: %v", text, err)
		}
		return e
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p streamPosition
			events := newEventReader(strings.NewReader(test.written), unlimitedMemory())
			for e, err := events.next(); err == nil; e, err = events.next() {
				p.add(e)
			}
			if !p.isKnown() {
				t.Errorf("position %+v is not known", p)
			}
			for _, n := range test.accepted {
				if err := p.checkNext(read(n.text), !n.later); err != nil {
					t.Errorf("event %q, later: %t: %v, want it to be accepted", n.text, n.later, err)
				}
			}
			for _, n := range test.refused {
				if err := p.checkNext(read(n.text), !n.later); err == nil {
					t.Errorf("event %q, later: %t, is accepted", n.text, n.later)
				}
			}
		})
	}
}

// A silent run must be ended only for one that continues its stream. Until then it may go on.
func TestSilentStreamIsEndedForOtherResponse(t *testing.T) {
	write := func(contentType, text string) func(context.Context, http.ResponseWriter, *http.Request) {
		return func(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
			sleep(ctx, 10*longSilence)
		}
	}
	for name, second := range map[string]func(context.Context, http.ResponseWriter, *http.Request){
		"other type":       write("application/json", testEvent(2)),
		"text":             write("text/event-stream", "overloaded\n\n"),
		"from the start":   write("text/event-stream", testEvent(1)+testEvent(2)),
		"event without id": write("text/event-stream", "data: x\n\n"),
		"only a comment":   write("text/event-stream", ": wait\n\n"),
		"nothing": func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestIngress(t, 100)
				e.addTarget("t1", inventory.Ready, streamWithPauses)
				time.AfterFunc(time.Millisecond, func() { e.addTarget("t2", inventory.Ready, second) })
				status, body, err := e.call("resumable")
				if status != http.StatusOK || body != allEvents || err != nil {
					t.Errorf("got status %d, body %q and error %v, want the complete stream of the first run", status, body, err)
				}
				e.checkReleased()
			})
		})
	}
}

// The refusal of a second target says nothing of the first one's run, which may still answer.
func TestSilentRunIsEndedForClientErrorOfSecondTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestIngress(t, 100)
		e.addTarget("t1", inventory.Ready, answerLate)
		time.AfterFunc(time.Millisecond, func() {
			e.addTarget("t2", inventory.Ready, func(_ context.Context, w http.ResponseWriter, _ *http.Request) {
				http.Error(w, "no such session", http.StatusNotFound)
			})
		})
		status, body, err := e.call("safe")
		if status != http.StatusOK || body != "answer" || err != nil {
			t.Errorf("got status %d, body %q and error %v, want the answer of the first run", status, body, err)
		}
		e.checkReleased()
	})
}
