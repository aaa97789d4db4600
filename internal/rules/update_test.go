package rules

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestUpdateIsParse guards against an Update that differs from Parse. It changes, adds
// and removes random lines of a document in several steps and compares both results.
func TestUpdateIsParse(t *testing.T) {
	edits := strings.Split(strings.TrimSpace(validRules+strings.ReplaceAll(validRules, "limit 8", "limit 9")+strings.NewReplacer(
		"share 3", "share 4", " in #", " out #", " cold 1", " cold 2", " serves appraise,tag", " serves tag",
		" once", " repeatable", keyB, strings.ReplaceAll(keyB, "3", "4"), "# Wu", "# Wu, later", "output 4", "output 5",
		"service registry", "service ledger", "datacentre tw-north serves", "datacentre tw-south serves",
	).Replace(validRules)+strings.ReplaceAll(validRules, keyA, keyB)), "\n")
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(validRules)
		base, _ := Parse(text)
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			lines := strings.Split(string(text), "\n")
			for range rapid.IntRange(1, 2).Draw(t, "edits") {
				at := rapid.IntRange(0, len(lines)-1).Draw(t, "at")
				count := rapid.SampledFrom([]int{1, 1, 1, 0}).Draw(t, "replaced")
				edit := rapid.SampledFrom(edits).Draw(t, "edit")
				if same := editsOfSameRule(edits, lines[at]); len(same) > 0 && rapid.IntRange(0, 3).Draw(t, "same") > 0 {
					edit = rapid.SampledFrom(same).Draw(t, "variant")
				}
				lines = append(lines[:at:at], append([]string{edit}, lines[min(at+count, len(lines)):]...)...)
			}
			next := []byte(strings.Join(lines, "\n"))
			got, gotErr := Update(base, text, next)
			want, wantErr := Parse(next)
			if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotErr, wantErr) {
				t.Fatalf("from\n%s\nto\n%s\ngot %+v, %v\nwant %+v, %v", text, next, got, gotErr, want, wantErr)
			}
			if wantErr == nil {
				base, text = got, next
			}
		}
	})
}

// editsOfSameRule returns the edits with the same first two words as the line.
func editsOfSameRule(edits []string, line string) []string {
	var same []string
	words := strings.Fields(line)
	for _, edit := range edits {
		if len(words) > 1 && strings.HasPrefix(edit, words[0]+" "+words[1]+" ") {
			same = append(same, edit)
		}
	}
	return same
}

// TestUpdateReadsChangedLinesOnly guards against a full parse after a small change: if a
// share or a data centre changes, Update must share the map of targets with the base.
func TestUpdateReadsChangedLinesOnly(t *testing.T) {
	base, err := Parse([]byte(validRules))
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{{"share 3", "share 9"}, {" in # Lin", " out # Lin"}} {
		next, err := Update(base, []byte(validRules), []byte(strings.Replace(validRules, change[0], change[1], 1)))
		if err != nil || reflect.ValueOf(next.Targets).Pointer() != reflect.ValueOf(base.Targets).Pointer() {
			t.Errorf("%v: Update() did not share the targets with the base document, error = %v", change, err)
		}
	}
}
