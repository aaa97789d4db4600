package observe

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

var (
	testRequest      = Request{ID: "r1", Customer: "c1", Attempt: 1}
	testAlternatives = []Alternative{{Customer: "c2", VirtualTime: 7}, {Target: "t2", Running: 1, Limit: 2}}
)

// logAll writes one line for each kind of event.
func logAll(d *DecisionLog) {
	testRequest.Workload.Model = "m"
	d.Admitted(&Admitted{Request: testRequest})
	service := testRequest
	service.Workload.Model, service.Workload.Service = "", "s"
	d.Refused(&Refused{Request: service, Reason: "queue_full", Outcome: OutcomeNotRun})
	d.Granted(&Granted{Customer: "c1", Target: "t1", Reason: ReasonLeastService, Wait: 1500 * time.Millisecond, Alternatives: testAlternatives})
	d.Started(&Started{Request: testRequest, Reason: ReasonOldest})
	d.Finished(&Finished{Request: testRequest, Outcome: OutcomeOK})
	d.Retried(&Retried{Request: testRequest, Reason: ReasonPermitExpired})
	d.Unknown(&Unknown{Request: testRequest, Reason: "connection_broken"})
	d.ConfigApplied(&ConfigApplied{Source: SourcePeer})
	d.ConfigRefused(&ConfigRefused{Source: SourcePlatform, Reason: "invalid_rules", Error: errors.New("x")})
	d.TargetState(&TargetState{Reason: ReasonNewBoot})
	d.OwnerChanged(&OwnerChanged{})
	d.PeerState(&PeerState{State: PeerGone, Error: errors.New("x")})
	d.Draining(&Draining{Phase: DrainBegun})
}

// documentedFields returns, by section, the fields that the tables of the operators'
// page describe.
func documentedFields(t *testing.T) map[string]map[string]bool {
	t.Helper()
	page, err := os.ReadFile("../../docs/operators/log.md")
	if err != nil {
		t.Fatal(err)
	}
	field := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|")
	sections := make(map[string]map[string]bool)
	for _, section := range regexp.MustCompile("\n##+ ").Split(string(page), -1) {
		name, body, _ := strings.Cut(section, "\n")
		fields := make(map[string]bool)
		for _, match := range field.FindAllStringSubmatch(body, -1) {
			fields[match[1]] = true
		}
		sections[strings.Trim(name, "`")] = fields
	}
	return sections
}

// TestEveryFieldIsDocumented checks that the operators' page describes every logged
// field under its event, and that every field described there is logged.
func TestEveryFieldIsDocumented(t *testing.T) {
	sections := documentedFields(t)
	var out bytes.Buffer
	logAll(NewDecisionLog(zerolog.New(&out)))
	for line := range strings.Lines(out.String()) {
		members := make(map[string]any)
		if err := json.Unmarshal([]byte(line), &members); err != nil {
			t.Fatal(err)
		}
		event := members["event"].(string)
		for member := range members {
			if member != "event" && member != "level" && !sections[event][member] && !sections["request"][member] {
				t.Errorf("%s: field %q is logged but not documented", event, member)
			}
		}
		for member := range sections[event] {
			if members[member] == nil && member != "service" {
				t.Errorf("%s: field %q is documented but not logged", event, member)
			}
		}
	}
	if !strings.Contains(out.String(), `"wait_ms":1500`) || !strings.Contains(out.String(), `"alternatives":[{"customer":"c2","virtual_time":7},{"target":"t2","running":1,"limit":2}]`) {
		t.Errorf("wait_ms or alternatives missing or wrong in:\n%s", out.String())
	}
}

func BenchmarkGranted(b *testing.B) {
	d := NewDecisionLog(zerolog.New(io.Discard).With().Timestamp().Logger())
	g := &Granted{Customer: "c1", Target: "t1", Entry: "i1", Owner: "i2", Reason: ReasonLeastService, Alternatives: testAlternatives}
	b.ReportAllocs()
	for b.Loop() {
		d.Granted(g)
	}
}
