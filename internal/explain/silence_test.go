package explain_test

import (
	"strings"
	"testing"

	"medlarwind.dev/medlarwind/internal/explain"
)

// The line of an aborted answer must say which run was silent, since when, what became of its
// replacement and why no other run followed.
func TestExplainTellsSilenceAndItsReplacement(t *testing.T) {
	const log = `{"instance":"front-1","event":"request","id":"s1","status":200,"reason":"target_refused","aborted":true,"no_retry":"targets_used","silent_target":"t1","silent_from_ms":120,"silent_asked_ms":1120,"replacement":"t2","replacement_result":"took_over","replacement_ms":80,"target":"t2","events":2,"runs":1,"time":"2026-06-23T16:20:40Z"}
{"instance":"front-1","event":"request","id":"s2","status":200,"target":"t1","silent_target":"t1","silent_from_ms":0,"silent_asked_ms":900,"replacement":"","replacement_result":"not_placed","time":"2026-06-23T16:20:40Z"}
{"instance":"front-1","event":"request","id":"s3","status":200,"target":"t1","time":"2026-06-23T16:20:40Z"}
`
	lines, skipped, err := explain.Read(strings.NewReader(log))
	if err != nil || skipped != 0 {
		t.Fatalf("Read skipped %d lines, error %v", skipped, err)
	}
	for _, test := range []struct {
		id           string
		want, absent []string
	}{
		{"s1", []string{
			"t1 sent nothing from 120 ms on; at 1120 ms another target was sought, t2: it delivered first, and the silent run was ended for it (80 ms later)",
			"no other target got it: the request might run on no further target",
		}, nil},
		{"s2", []string{"t1 sent nothing from 0 ms on; at 900 ms another target was sought: no other target could take it, and the run went on"},
			[]string{"no other target got it"}},
		{"s3", nil, []string{"sent nothing", "no other target"}},
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
