package target_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

var (
	instances = []string{instanceHost}
	targets   = []string{targetHost}
)

// dossier is a request whose answer takes a second.
func dossier(id string) target.GenerateRequest {
	return target.GenerateRequest{RequestID: id, Attempt: 1, Model: "m", Prompt: "describe lot 7", MaxTokens: 200}
}

// With the connection broken at any byte of the request or of the answer, what is
// passed on is a prefix of the answer, "not run" is true, and a resume on the same
// boot completes the answer byte for byte.
func TestGenerateBreaksAtEachByte(t *testing.T) {
	request := target.GenerateRequest{RequestID: "r", Attempt: 1, Prompt: "p", MaxTokens: 12}
	want := standin.Answer("p", 12)
	var sizes [2]int64
	inEngine(t, standin.EngineOptions{}, func(w *world, _ *standin.Engine) {
		if got, last, err := w.generate(request); err != nil || !last.Last || !bytes.Equal(got, want) {
			t.Fatalf("%d bytes, %+v, %v", len(got), last, err)
		}
		sizes = [2]int64{w.clientBytes(), w.targetBytes()}
	})
	for direction, size := range sizes {
		for at := range size {
			inEngine(t, standin.EngineOptions{}, func(w *world, e *standin.Engine) {
				ends := [2]string{instanceHost, targetHost}
				w.net.BreakAfter(ends[direction], ends[1-direction], at)
				got, stream, err := w.partial(request)
				if arrived := len(e.Arrivals()); arrived > 1 || (kindOf(err) == target.NotRun && arrived > 0) {
					t.Errorf("%s after %d bytes: %d arrivals, %v", ends[direction], at, arrived, err)
				}
				if stream == nil {
					return
				}
				w.net.BreakAfter(ends[direction], ends[1-direction], -1)
				resumed := request
				resumed.BootID = stream.BootID()
				resumed.FromFrame, resumed.Checksum = stream.Position()
				rest, _, err := w.generate(resumed)
				if err != nil && len(got) < len(want) {
					t.Errorf("%s after %d bytes: resume: %v", ends[direction], at, err)
				}
				if got = append(got, rest...); !bytes.Equal(got, want) {
					t.Errorf("%s after %d bytes: answer %x", ends[direction], at, got)
				}
			})
		}
	}
}

// partial runs a request until it ends or fails.
func (w *world) partial(r target.GenerateRequest) (answer []byte, s *target.Stream, err error) {
	s, err = w.client.Generate(context.Background(), targetAddr, r)
	for err == nil {
		var chunk target.Chunk
		chunk, err = s.Next()
		answer = append(answer, chunk.Data...)
	}
	synctest.Wait()
	return answer, s, err
}

// A connection that goes silent is given up after the silence time-out, and the
// next request dials although a connection was pooled. An engine that is slow but
// sends blank lines is waited for.
func TestSilentConnection(t *testing.T) {
	const step = 100 * time.Millisecond
	slow := standin.EngineOptions{TokensPerFrame: 1, TokenTime: time.Minute}
	inEngine(t, slow, func(w *world, _ *standin.Engine) {
		ctx := context.Background()
		s, err := w.client.Generate(ctx, targetAddr, dossier("r"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Next(); err != nil {
			t.Fatalf("slow engine: %v", err)
		}
		next := make(chan error)
		go func() {
			_, err := s.Next()
			next <- err
		}()
		time.Sleep(step)
		if _, err := w.client.Load(ctx, targetAddr); err != nil {
			t.Fatal(err)
		}
		time.Sleep(step)
		w.net.Silence(instances, targets)
		before, dials := time.Now(), w.net.Dials(instanceHost, targetHost)
		wantError(t, <-next, target.Unknown, target.ReasonConnectionSilent)
		if took := time.Since(before); took > target.DefaultSilenceTimeout {
			t.Errorf("noticed after %v", took)
		}
		if _, err := w.client.Load(ctx, targetAddr); err != nil {
			t.Errorf("next request: %v", err)
		}
		if w.net.Dials(instanceHost, targetHost) != dials+1 {
			t.Error("the next request did not dial")
		}
	})
}

// Ends of a request under way, one fault each.
func TestGenerateFaults(t *testing.T) {
	tests := []struct {
		name   string
		during func(w *world, e *standin.Engine, cancel func())
		kind   target.Kind
		reason string
		// resume is the kind with which a resume fails, 0 if it completes.
		resume target.Kind
	}{
		{"reset", func(w *world, _ *standin.Engine, _ func()) { w.net.Reset(instances, targets) },
			target.Unknown, target.ReasonConnectionBroken, 0},
		{"crash", func(_ *world, e *standin.Engine, _ func()) { e.Crash() },
			target.Unknown, target.ReasonAnswerCut, target.NotRun},
		{"silent cut", func(w *world, _ *standin.Engine, _ func()) {
			w.net.Cut(instances, targets, memnet.Silent)
			time.AfterFunc(10*time.Second, func() { w.net.Heal(instances, targets) })
		}, target.Unknown, target.ReasonConnectionSilent, target.NotRun},
		{"caller gone", func(_ *world, _ *standin.Engine, cancel func()) { cancel() },
			target.Unknown, target.ReasonCanceled, 0},
		{"canceled", func(w *world, _ *standin.Engine, _ func()) {
			if err := w.client.Cancel(context.Background(), targetAddr, "r"); err != nil {
				w.Error(err)
			}
		}, target.Failed, "canceled", target.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inEngine(t, standin.EngineOptions{OrphanTime: time.Minute}, func(w *world, e *standin.Engine) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s, err := w.client.Generate(ctx, targetAddr, dossier("r"))
				if err != nil {
					t.Fatal(err)
				}
				first, err := s.Next()
				if err != nil {
					t.Fatal(err)
				}
				test.during(w, e, cancel)
				answer := first.Data
				for err == nil {
					var chunk target.Chunk
					chunk, err = s.Next()
					answer = append(answer, chunk.Data...)
				}
				wantError(t, err, test.kind, test.reason)
				r := dossier("r")
				r.BootID = s.BootID()
				r.FromFrame, r.Checksum = s.Position()
				rest, _, err := w.generate(r)
				if kindOf(err) != test.resume {
					t.Errorf("resume: %v", err)
				}
				if answer = append(answer, rest...); err == nil && !bytes.Equal(answer, standin.Answer(r.Prompt, r.MaxTokens)) {
					t.Error("resumed answer differs")
				}
			})
		})
	}
}

// Answers that break the interface are never passed on as whole.
func TestGenerateMalformed(t *testing.T) {
	sum := enginewire.Checksum(0, []byte("data"))
	good := enginewire.Frame{Attempt: 1, Checksum: sum, Data: []byte("data")}
	last := enginewire.Frame{Attempt: 1, Sequence: 1, Checksum: sum, Last: true, Frames: 1, RequestID: "r"}
	edit := func(f enginewire.Frame, change func(*enginewire.Frame)) enginewire.Frame {
		change(&f)
		return f
	}
	line := func(frames ...enginewire.Frame) string {
		var b []byte
		for _, f := range frames {
			b = enginewire.AppendFrame(b, f)
		}
		return string(b)
	}
	tests := []struct{ name, id, body, reason string }{
		{"whole", "r", "\n" + line(good, last), ""},
		{"repeated and reordered", "r", line(last, good, good, last), ""},
		{"former attempt", "r", line(edit(good, func(f *enginewire.Frame) { f.Attempt = 0 }), last), target.ReasonAnswerCut},
		{"another request", "x", line(good, last), target.ReasonMalformedAnswer},
		{"another request's end", "r", line(good, edit(last, func(f *enginewire.Frame) { f.RequestID = "x" })), target.ReasonChecksum},
		{"wrong data", "r", line(edit(good, func(f *enginewire.Frame) { f.Data = []byte("date") }), last), target.ReasonChecksum},
		{"frame missing", "r", line(edit(last, func(f *enginewire.Frame) { f.Sequence = 0 })), target.ReasonChecksum},
		{"end missing", "r", line(good), target.ReasonAnswerCut},
		{"line cut", "r", line(good) + strings.TrimSpace(line(last)), target.ReasonAnswerCut},
		{"not JSON", "r", line(good) + "data\n", target.ReasonMalformedAnswer},
		{"too far ahead", "r", line(edit(good, func(f *enginewire.Frame) { f.Sequence = 1000 })), target.ReasonMalformedAnswer},
		{"long line", "r", strings.Repeat("x", target.DefaultMaxLineBytes+1), target.ReasonAnswerTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(enginewire.HeaderBootID, "boot")
				w.Header().Set(enginewire.HeaderRequestID, test.id)
				_, _ = io.WriteString(w, test.body)
			})
			inWorld(t, h, func(w *world) {
				_, last, err := w.generate(target.GenerateRequest{RequestID: "r", Attempt: 1})
				if test.reason != "" {
					wantError(t, err, target.Unknown, test.reason)
				} else if err != nil || last.Frames != 1 || last.Checksum != sum {
					t.Errorf("%+v, %v", last, err)
				}
			})
		})
	}
}
