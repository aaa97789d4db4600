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

// newRequest returns a request with 200 tokens of output, which take the engine a
// second.
func newRequest(id string) target.GenerateRequest {
	return target.GenerateRequest{RequestID: id, Attempt: 1, Model: "m", Prompt: "describe lot 7", MaxTokens: 200}
}

// Breaks the connection at every byte of the request and of the answer. The bytes
// received must be a prefix of the answer, a request reported as not run must not have
// arrived, and a resume on the same boot must complete the answer byte for byte.
func TestGenerateBreaksAtEachByte(t *testing.T) {
	request := target.GenerateRequest{RequestID: "r", Attempt: 1, Prompt: "p", MaxTokens: 12}
	want := standin.Output("p", 12)
	var sizes [2]int64
	withEngine(t, standin.EngineOptions{}, func(w *testEnv, _ *standin.Engine) {
		if got, last, err := w.generate(request); err != nil || !last.Last || !bytes.Equal(got, want) {
			t.Fatalf("got %d bytes, last chunk %+v, error %v", len(got), last, err)
		}
		sizes = [2]int64{w.clientBytes(), w.targetBytes()}
	})
	for direction, size := range sizes {
		for at := range size {
			withEngine(t, standin.EngineOptions{}, func(w *testEnv, e *standin.Engine) {
				ends := [2]string{instanceHost, targetHost}
				w.net.ResetAfter(ends[direction], ends[1-direction], at)
				got, stream, err := w.generateUntilError(request)
				if arrived := len(e.Arrivals()); arrived > 1 || (kindOf(err) == target.NotRun && arrived > 0) {
					t.Errorf("%s after %d bytes: %d arrivals, %v", ends[direction], at, arrived, err)
				}
				if stream == nil {
					return
				}
				w.net.ResetAfter(ends[direction], ends[1-direction], -1)
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

// generateUntilError reads the answer of a request until the stream ends or fails. It
// returns the bytes received, the stream and the error, io.EOF after a whole answer.
func (w *testEnv) generateUntilError(r target.GenerateRequest) (answer []byte, s *target.Stream, err error) {
	s, err = w.client.Generate(context.Background(), targetAddr, r)
	for err == nil {
		var chunk target.Chunk
		chunk, err = s.Next()
		answer = append(answer, chunk.Data...)
	}
	synctest.Wait()
	return answer, s, err
}

// A connection without traffic must fail within the silence timeout, and the next
// request must dial although a connection was pooled: that one has gone silent, too.
// A slow engine that sends blank lines must not time out.
func TestSilentConnection(t *testing.T) {
	const step = 100 * time.Millisecond
	slow := standin.EngineOptions{TokensPerFrame: 1, TokenTime: time.Minute}
	withEngine(t, slow, func(w *testEnv, _ *standin.Engine) {
		ctx := context.Background()
		s, err := w.client.Generate(ctx, targetAddr, newRequest("r"))
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
		w.net.Blackhole(instances, targets)
		before, dials := time.Now(), w.net.DialCount(instanceHost, targetHost)
		wantError(t, <-next, target.Unknown, target.ReasonConnectionSilent)
		if took := time.Since(before); took > target.DefaultSilenceTimeout {
			t.Errorf("silent connection detected after %v", took)
		}
		if _, err := w.client.Load(ctx, targetAddr); err != nil {
			t.Errorf("next request: %v", err)
		}
		if w.net.DialCount(instanceHost, targetHost) != dials+1 {
			t.Error("next request did not dial a new connection")
		}
	})
}

// A request in progress ends with the kind and reason of its fault. A resume then
// completes the answer or fails with the kind given.
func TestGenerateFaults(t *testing.T) {
	tests := []struct {
		name   string
		during func(w *testEnv, e *standin.Engine, cancel func())
		kind   target.Kind
		reason string
		// resume is the kind of the error of a resume, 0 if the resume succeeds.
		resume target.Kind
	}{
		{"reset", func(w *testEnv, _ *standin.Engine, _ func()) { w.net.Reset(instances, targets) },
			target.Unknown, target.ReasonConnectionBroken, 0},
		{"crash", func(_ *testEnv, e *standin.Engine, _ func()) { e.Crash() },
			target.Unknown, target.ReasonAnswerCut, target.NotRun},
		{"silent cut", func(w *testEnv, _ *standin.Engine, _ func()) {
			w.net.Partition(instances, targets, memnet.PartitionDrop)
			time.AfterFunc(10*time.Second, func() { w.net.Heal(instances, targets) })
		}, target.Unknown, target.ReasonConnectionSilent, target.NotRun},
		{"caller gone", func(_ *testEnv, _ *standin.Engine, cancel func()) { cancel() },
			target.Unknown, target.ReasonCanceled, 0},
		{"canceled", func(w *testEnv, _ *standin.Engine, _ func()) {
			if err := w.client.Cancel(context.Background(), targetAddr, "r"); err != nil {
				w.Error(err)
			}
		}, target.Failed, "canceled", target.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, standin.EngineOptions{OrphanTimeout: time.Minute}, func(w *testEnv, e *standin.Engine) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s, err := w.client.Generate(ctx, targetAddr, newRequest("r"))
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
				r := newRequest("r")
				r.BootID = s.BootID()
				r.FromFrame, r.Checksum = s.Position()
				rest, _, err := w.generate(r)
				if kindOf(err) != test.resume {
					t.Errorf("resume: %v", err)
				}
				if answer = append(answer, rest...); err == nil && !bytes.Equal(answer, standin.Output(r.Prompt, r.MaxTokens)) {
					t.Error("resumed answer differs from the expected one")
				}
			})
		})
	}
}

// A malformed or incomplete answer must not be reported as complete.
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
			withTestEnv(t, h, func(w *testEnv) {
				_, last, err := w.generate(target.GenerateRequest{RequestID: "r", Attempt: 1})
				if test.reason != "" {
					wantError(t, err, target.Unknown, test.reason)
				} else if err != nil || last.Frames != 1 || last.Checksum != sum {
					t.Errorf("last chunk %+v, error %v", last, err)
				}
			})
		})
	}
}
