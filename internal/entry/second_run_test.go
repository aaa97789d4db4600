package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// fixedAdmission admits every attempt to the same target.
type fixedAdmission struct{ addr string }

func (a fixedAdmission) Admit(context.Context, *AdmissionRequest) (Lease, *OutcomeError) {
	return fixedLease(a), nil
}

// fixedLease is a lease on the target at addr.
type fixedLease struct{ addr string }

func (l fixedLease) Assignment() Assignment { return Assignment{Target: "t1", Addr: l.addr} }
func (fixedLease) Begin() bool              { return true }
func (fixedLease) Charge(int64, int64)      {}
func (fixedLease) End(EndKind)              {}

// scriptedRuns is a target whose runs make the given outputs, one piece a frame. The first run
// breaks off after its output, and its target has restarted when that is to be resumed.
type scriptedRuns [][]string

func (runs scriptedRuns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request enginewire.GenerateRequest
	if r.URL.Path != enginewire.PathGenerate || json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	if request.BootID != "" {
		w.Header().Set(enginewire.HeaderOutcome, enginewire.OutcomeNotRun)
		w.Header().Set(enginewire.HeaderReason, enginewire.ReasonBootChanged)
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.Header().Set(enginewire.HeaderBootID, "boot")
	w.Header().Set(enginewire.HeaderRequestID, request.RequestID)
	frame := enginewire.Frame{Attempt: request.Attempt}
	var lines []byte
	for _, piece := range runs[request.Attempt-1] {
		frame.Data, frame.Checksum = []byte(piece), enginewire.Checksum(frame.Checksum, []byte(piece))
		lines = enginewire.AppendFrame(lines, frame)
		frame.Sequence++
	}
	if request.Attempt > 1 {
		frame.Data, frame.Last, frame.Frames, frame.RequestID = nil, true, frame.Sequence, request.RequestID
		lines = enginewire.AppendFrame(lines, frame)
	}
	_, _ = w.Write(lines)
	_ = http.NewResponseController(w).Flush()
	if request.Attempt == 1 {
		panic(http.ErrAbortHandler)
	}
}

// After an answer broke off, a new run may end it only if it makes the same output as far as the
// caller has received it. A shorter output must not look like the end of the longer one.
func TestShorterSecondRunEndsAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		runs  scriptedRuns
		want  string
		whole bool
	}{
		"same output":    {scriptedRuns{{"one ", "two "}, {"one ", "two ", "three"}}, "one two three", true},
		"in other parts": {scriptedRuns{{"one ", "two "}, {"one two", " three"}}, "one two three", true},
		"nothing more":   {scriptedRuns{{"one ", "two "}, {"one ", "two "}}, "one two ", true},
		"other output":   {scriptedRuns{{"one ", "two "}, {"one ", "six ", "three"}}, "one two ", false},
		"shorter output": {scriptedRuns{{"one ", "two "}, {"one "}}, "one two ", false},
		"no output":      {scriptedRuns{{"one ", "two "}, {}}, "one two ", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const targetAddr = "10.0.0.2:80"
				network := memnet.New()
				l, err := network.Listen(targetAddr)
				if err != nil {
					t.Fatal(err)
				}
				server := &http.Server{Handler: test.runs}
				go server.Serve(l)
				s := NewServer(Options{Incarnation: 7}, fixedAdmission{targetAddr}, testDirectory{},
					target.NewClient(network.Host("10.0.0.1").Dial, target.Options{}))
				g, outcome := s.newGeneration("mill-a", &medlarwindv1.GenerateRequest{Model: "m"})
				if outcome != nil {
					t.Fatal(outcome)
				}
				g.run()
				var got strings.Builder
				for _, frame := range g.answer.frames {
					got.Write(frame.Data)
				}
				if got.String() != test.want || (g.answer.err == nil) != test.whole {
					t.Errorf("got %q and error %v, want %q, whole: %t", got.String(), g.answer.err, test.want, test.whole)
				}
				server.Close()
				s.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}
