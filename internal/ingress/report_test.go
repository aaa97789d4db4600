package ingress

import (
	"bytes"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/upstream"
)

// A refused request's line holds the inputs of the refusal, without those that do not
// apply: an unlimited customer has no shares, and a full fleet no preferred target.
func TestRefusalInputsInLog(t *testing.T) {
	overShare := scheduler.Inputs{
		Metered: true, Limited: true, Used: 5000000, Nominal: 860000.5, Effective: 960000, Lead: 900000, Reports: 5, OldestReport: 210 * time.Millisecond,
		Decisions: 3, LastDecision: 20 * time.Millisecond, Preferred: "t1", PreferredWait: 120 * time.Millisecond,
		WaitLimit: 40 * time.Millisecond, SlotLimit: 52, PreferredRunning: 4, PreferredSlots: 64,
	}
	for _, test := range []struct {
		refusal scheduler.Refusal
		want    string
	}{
		{
			scheduler.Refusal{Reason: scheduler.ReasonOverShare, Inputs: overShare},
			`{"used":5000000,"reports":5,"reports_age_ms":210,"nominal":860000,"effective":960000,"lead":900000,"decisions":3,"decided_ago_ms":20,` +
				`"preferred":"t1","preferred_wait_ms":120,"wait_limit_ms":40,"shortest_wait_ms":0,"slot_limit":52,"preferred_running":4,"preferred_slots":64}`,
		},
		{scheduler.Refusal{Reason: scheduler.ReasonBusy, Inputs: scheduler.Inputs{Decisions: 1}}, `{"decisions":1,"decided_ago_ms":0}`},
		{scheduler.Refusal{Reason: scheduler.ReasonRetryBudget, Inputs: scheduler.Inputs{Retries: 7, RetriesAllowed: 7.5}}, `{"retries":7,"retries_allowed":7}`},
	} {
		var out bytes.Buffer
		log := zerolog.New(&out)
		appendInputs(log.Log(), &test.refusal).Send()
		if got := out.String(); got != test.want+"\n" {
			t.Errorf("inputs of %s are logged as %s, want %s", test.refusal.Reason, got, test.want)
		}
	}
}

// An attempt that this instance ended because its target was silent must be told from one
// that the target or the connection ended: only the first could have gone on.
func TestSilenceIsToldFromBrokenConnection(t *testing.T) {
	for _, test := range []struct {
		err  error
		want bool
	}{
		{&upstream.Error{Sent: true, Err: errTargetSilent}, true},
		{errors.Wrap(os.ErrDeadlineExceeded, "read body"), true},
		{&upstream.Error{Sent: true, Err: io.ErrUnexpectedEOF}, false},
		{syscall.ECONNRESET, false},
		{nil, false},
	} {
		if got := isSilence(test.err); got != test.want {
			t.Errorf("isSilence(%v) is %v, want %v", test.err, got, test.want)
		}
	}
}
