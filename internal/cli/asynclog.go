package cli

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// logBacklog is the number of log lines buffered for a slow reader of standard output,
// a few seconds of output of a busy instance. When the buffer is full, the oldest lines
// are dropped.
const logBacklog = 4096

// asyncLog is an io.Writer that buffers log lines, so that Write never blocks on the
// underlying writer.
type asyncLog struct {
	diode.Writer
	dropped atomic.Int64
}

// newAsyncLog returns an asyncLog that writes to w. Close flushes the buffered lines.
func newAsyncLog(w io.Writer) *asyncLog {
	l := &asyncLog{}
	l.Writer = diode.NewWriter(w, logBacklog, 0, func(missed int) { l.dropped.Add(int64(missed)) })
	return l
}

// Dropped returns the number of lines dropped so far.
func (l *asyncLog) Dropped() int64 { return l.dropped.Load() }
