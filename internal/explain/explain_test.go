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

const refusals = `{"instance":"front-1","event":"request","id":"r1","status":503,"own":true,"reason":"over_share","route":"r","customer":"c","used":5000000,"reports":5,"reports_age_ms":210,"nominal":860000,"effective":960000,"decisions":3,"decided_ago_ms":20,"preferred":"t1","preferred_wait_ms":120,"wait_limit_ms":40,"shortest_wait_ms":0,"preferred_running":4,"preferred_slots":64,"time":"2026-06-23T16:20:40Z"}
{"instance":"front-1","event":"request","id":"r2","status":200,"reason":"answer_broken","retry_refused":"retry_budget","retry_waited_ms":3,"gave_up":true,"aborted":true,"retries":7,"retries_allowed":7,"used":10,"reports":5,"reports_age_ms":1,"events":2,"first_ms":77,"runs":1,"time":"2026-06-23T16:20:40Z"}
{"instance":"front-1","event":"request","id":"r3","status":503,"own":true,"reason":"busy","decisions":1,"decided_ago_ms":0,"time":"2026-06-23T16:20:40Z"}
{"instance":"front-1","event":"shares","reports":5,"reports_age_ms":200,"largest":[{"customer":"d","demand":7000000,"used":6000000,"own_requested":100,"own_started":90},{"customer":"c","demand":6000000,"used":5000000,"own_requested":50,"own_started":0}],"time":"2026-06-23T16:20:39.5Z"}
{"instance":"front-1","event":"shares","reports":5,"reports_age_ms":200,"largest":[{"customer":"stale","demand":1,"used":1}],"time":"2026-06-23T16:20:38.6Z"}
{"instance":"front-2","event":"shares","reports":4,"reports_age_ms":900,"largest":[{"customer":"d","demand":7000000,"used":2000000,"own_requested":100,"own_started":90}],"time":"2026-06-23T16:20:40.4Z"}
{"instance":"front-3","event":"shares","largest":[{"customer":"late","demand":1,"used":1}],"time":"2026-06-23T16:20:50Z"}
`

// TestExplainTellsInputsOfRefusal checks that a refusal is explained from what it rested on:
// the usage and the shares, the target and whether another idled, the retry budget, and
// what other instances knew of the same customer.
func TestExplainTellsInputsOfRefusal(t *testing.T) {
	lines, skipped, err := explain.Read(strings.NewReader(refusals))
	if err != nil || skipped != 0 {
		t.Fatalf("Read skipped %d lines, error %v", skipped, err)
	}
	for _, test := range []struct {
		id           string
		want, absent []string
	}{
		{"r1", []string{
			"had used 5000000 tokens in the window, of a share of 860000 of the configured throughput and 960000 of that reached, as counted with the reports of 5 peers, the oldest 210 ms old",
			"sought 3 times, last 20 ms before the refusal: t1 was preferred, with a wait of 120 ms where 40 ms were allowed, and 4 of 64 slots taken; the shortest wait at any target with room was 0 ms, so that another target idled",
			"front-1 at 16:20:39.500, 5 peers' reports, the oldest 200 ms old: c: 5000000 of 6000000 asked, of which in the last second here 0 of 50; most used by d: 6000000 of 7000000",
			"front-2 at 16:20:40.400, 4 peers' reports, the oldest 900 ms old: c is not among the 1 with the largest demand; most used by d: 2000000 of 7000000",
		}, []string{"stale", "late", "retries", `"event":"shares"`}},
		{"r2", []string{
			"2 events, and then aborted by the instance",
			"no other target got it, after 3 ms: the retry budget was exhausted; the instance had ended the run before, because the target sent nothing in time",
			"had used 7 of its 7 retries", "had used 10 tokens in the window, as counted",
		}, []string{"a share of", "sought"}},
		{"r3", []string{"sought 1 times, last 0 ms before the refusal: none had room"}, []string{"tokens in the window", "retries"}},
	} {
		var out strings.Builder
		if err := explain.Explain(&out, lines, test.id); err != nil {
			t.Fatal(err)
		}
		for _, want := range test.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: %q is missing from the output:\n%s", test.id, want, out.String())
			}
		}
		for _, absent := range test.absent {
			if strings.Contains(out.String(), absent) {
				t.Errorf("%s: the output has %q:\n%s", test.id, absent, out.String())
			}
		}
	}
}

// An on-call engineer must see from a refused request's id that the instance's processor held it back,
// and when the caller was told to return.
func TestExplainTellsThatProcessorWasLate(t *testing.T) {
	const line = `{"instance":"front-1","event":"request","id":"r1","status":503,"own":true,"reason":"instance_busy","retry_after_ms":1700,"route":"r","customer":"c","used":5,"reports":1,"reports_age_ms":9,"nominal":4,"effective":6,"processor_delay_ms":23,"time":"2026-06-23T16:20:40Z"}` + "\n"
	lines, _, err := explain.Read(strings.NewReader(line))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := explain.Explain(&out, lines, "r1"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"the instance's own processor was late", "work waited 23 ms for the instance's processor", "told to come back after 1700 ms"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing from the output:\n%s", want, out.String())
		}
	}
}

// The history of a request that was cut says who ended it, and by which version's time limit.
func TestExplainTellsWhoEndedRequest(t *testing.T) {
	const log = `{"instance":"front-1","event":"request","id":"e1","status":200,"reason":"answer_broken","cause":"read: connection timed out","ended_by":"network","route_timeout_ms":12000,"aborted":true,"target":"t1","version":8,"events":2,"runs":1,"time":"2026-06-23T16:20:40Z"}
`
	lines, _, err := explain.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := explain.Explain(&out, lines, "e1"); err != nil {
		t.Fatal(err)
	}
	const want = "ended by the instance's kernel, since the target acknowledged nothing for too long; configuration 8 gives the route 12000 ms"
	if !strings.Contains(out.String(), want) {
		t.Errorf("%q is missing from the output:\n%s", want, out.String())
	}
}
