package cli

import (
	"io"
	"testing"
)

// Guards against requests that block because the reader of standard output has stopped
// reading: log lines must be dropped and counted instead.
func TestSlowLogReaderDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	l := newAsyncLog(w)
	for range 3 * logBacklog {
		if _, err := l.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	// Dropped lines are counted only when the reader resumes and the writer proceeds.
	linesRead := make(chan int)
	go func() {
		text, _ := io.ReadAll(r)
		linesRead <- len(text) / len("line\n")
	}()
	_ = l.Close()
	_ = w.Close()
	lines := <-linesRead
	if lines > logBacklog+1 || l.Dropped() < logBacklog {
		t.Errorf("%d lines kept and %d dropped of %d written", lines, l.Dropped(), 3*logBacklog)
	}
}
