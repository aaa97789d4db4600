package cli

import (
	"io"
	"testing"
)

// A reader of standard output that stops reading blocks no request: lines are dropped
// and counted.
func TestSlowLogReaderDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	l := newAsyncLog(w)
	for range 3 * logBacklog {
		if _, err := l.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	// The reader comes back; what was dropped is counted once the writer moves on.
	linesRead := make(chan int)
	go func() {
		text, _ := io.ReadAll(r)
		linesRead <- len(text) / len("line\n")
	}()
	_ = l.Close()
	_ = w.Close()
	lines := <-linesRead
	if lines > logBacklog+1 || l.Dropped() < logBacklog {
		t.Errorf("%d lines kept and %d dropped of %d", lines, l.Dropped(), 3*logBacklog)
	}
}
