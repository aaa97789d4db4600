package entry

import (
	"fmt"
	"testing"
)

// The table must keep a bounded number of ended answers, or memory would grow without
// limit, and must not count refused requests, which have no answer to attach to.
func TestAnswerTableEvictsOldestEnded(t *testing.T) {
	table := newAnswerTable(2)
	run := func(id string, frames bool) *answer {
		a := newAnswer(id, "mill-a", 100)
		if !table.add(&answerEntry{answer: a, cancel: func() {}}) {
			t.Fatalf("%s: add failed although no request is running", id)
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
		t.Error("the empty answer of a refused request was kept")
	}
	if table.get("answered-0", "mill-a") != nil || table.get("answered-4", "mill-a") == nil {
		t.Error("the oldest answer was not the one evicted")
	}
	if table.get("answered-4", "mill-b") != nil {
		t.Error("get returned the answer of another customer")
	}
	run("a", true)
	run("b", true)
	if table.add(&answerEntry{answer: newAnswer("c", "mill-a", 100)}) {
		t.Error("add accepted more running requests than the limit")
	}
}
