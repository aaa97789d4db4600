package explain_test

import (
	"strings"
	"testing"

	"medlarwind.dev/medlarwind/internal/explain"
)

const logs = `  0.76 front-1 {"instance":"front-1","event":"request","id":"a1","status":502,"own":true,"reason":"target_broken","cause":"reset","route":"r","customer":"c","target":"t1","version":12,"budget_ms":14860,"prompt":11452,"output":209,"sends":1,"runs":1,"total_ms":3,"time":"2026-06-23T16:20:40Z"}
not a line
{"instance":"front-2","event":"request","id":"a2","status":200,"route":"r","customer":"c","target":"t2","prompt":11452,"output":209,"time":"2026-06-23T16:20:42Z"}
{"instance":"front-2","event":"request","id":"b","status":502,"own":true,"reason":"target_broken","target":"t1","runs":1,"prompt":5,"time":"2026-06-23T16:20:40Z"}
{"instance":"front-1","event":"targets","revision":7,"time":"2026-06-23T16:20:41Z"}
{"instance":"front-1","event":"targets","revision":9,"time":"2026-06-23T16:25:41Z"}
`

// TestExplainJoinsLinesOfSeveralInstances checks that the request is listed with the
// retry, the failure at its target and the event at its instance that are close in time,
// whichever instance logged them, and without a later event.
func TestExplainJoinsLinesOfSeveralInstances(t *testing.T) {
	lines, skipped, err := explain.Read(strings.NewReader(logs))
	if err != nil || skipped != 1 || len(lines) != 5 {
		t.Fatalf("Read returned %d lines, %d skipped, error %v, want 5 lines, 1 skipped, no error", len(lines), skipped, err)
	}
	var out strings.Builder
	if err := explain.Explain(&out, lines, "a1"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"request a1 at front-1", "answered 502 by the instance; target_broken (reset)", "may have run on 1 targets",
		`"id":"a2"`, `"id":"b"`, `"revision":7`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing from the output:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), `"revision":9`) {
		t.Error("an event minutes after the request is listed")
	}
	if err := explain.Explain(&out, lines, "zzz"); err == nil {
		t.Error("Explain accepts an unknown id")
	}
}
