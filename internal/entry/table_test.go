package entry

import (
	"fmt"
	"testing"
)

func TestAnswerTableEvictsOldestEnded(t *testing.T) {
	table := newAnswerTable(2)
	run := func(id string, frames bool) *answer {
		a := newAnswer(id, "mill-a", 100)
		if !table.add(&answerEntry{answer: a, cancel: func() {}}) {
			t.Fatalf("%s: refused although nothing runs", id)
		}
		if frames {
			a.tryAppend([]byte("x"))
		}
		return a
	}
	for i := range 5 {
		table.end(run(fmt.Sprintf("refused-%d", i), false))
	}
	for i := range 5 {
		table.end(run(fmt.Sprintf("answered-%d", i), true))
	}
	if table.get("refused-4", "mill-a") != nil {
		t.Error("a refusal is kept")
	}
	if table.get("answered-0", "mill-a") != nil || table.get("answered-4", "mill-a") == nil {
		t.Error("not the oldest answer made room")
	}
	if table.get("answered-4", "mill-b") != nil {
		t.Error("another customer finds the answer")
	}
	run("a", true)
	run("b", true)
	if table.add(&answerEntry{answer: newAnswer("c", "mill-a", 100)}) {
		t.Error("more requests run than the limit")
	}
}
