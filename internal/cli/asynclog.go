package cli

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// logBacklog is the number of log lines that may wait for a slow reader of standard
// output; beyond it the oldest are dropped. It holds some seconds of a busy instance.
const logBacklog = 4096

// asyncLog writes log lines without ever blocking the writer of a line.
type asyncLog struct {
	diode.Writer
	dropped atomic.Int64
}

// newAsyncLog returns a log writer over w. Close writes what still waits.
func newAsyncLog(w io.Writer) *asyncLog {
	l := &asyncLog{}
	l.Writer = diode.NewWriter(w, logBacklog, 0, func(missed int) { l.dropped.Add(int64(missed)) })
	return l
}

// Dropped returns the number of lines dropped so far.
func (l *asyncLog) Dropped() int64 { return l.dropped.Load() }
