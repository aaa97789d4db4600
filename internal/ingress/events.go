package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"unicode/utf8"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/upstream"
)

// Sizes in bytes.
const (
	// maxEventBytes limits one event of a stream. Each stream may hold one in memory.
	maxEventBytes = 256 << 10
	// readBufferBytes is the size of the read buffer. Longer lines are read in several parts.
	readBufferBytes = 4 << 10
)

// errTruncatedEvent is returned when a stream ended within an event.
var errTruncatedEvent = errors.New("stream ended within an event")

// maxQuotedBytes limits how much of what a target sent is quoted in an error.
const maxQuotedBytes = 40

// eventReader reads server-sent events from a stream.
type eventReader struct {
	in  *bufio.Reader
	raw []byte
	// memory is the memory of the answer. other is the number of bytes of it that are held
	// beside raw.
	memory *answerPart
	other  int
}

// newEventReader returns a reader of the events in r, which holds them in memory.
func newEventReader(r io.Reader, memory *answerPart) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, readBufferBytes), memory: memory}
}

// event is a complete event. Its slices are valid until the next event is read.
type event struct {
	// raw is the event as received, including the empty line that ends it.
	raw []byte
	// id is the value of the event's id field, empty if it has none.
	id []byte
	// hasContent reports whether the event has a field other than retry, so that it is more than
	// comments and settings of the connection.
	hasContent bool
}

// next returns the next complete event. The error is io.EOF if the stream ended between
// events, errTruncatedEvent if it ended within one, and an *upstream.LimitError if an event
// exceeds maxEventBytes, and errAnswerMemory if there is no memory for it. Bytes that cannot belong to an event are an error, too.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	if cap(r.raw) > freeAnswerBytes && r.other == 0 {
		// The memory for one long event is not kept for the rest of the stream.
		r.raw = nil
		r.memory.release()
		if err := r.memory.hold(0); err != nil {
			return event{}, err
		}
	}
	var idStart, idEnd, lineStart int
	hasContent := false
	for {
		part, err := r.in.ReadSlice('\n')
		if size := len(r.raw) + len(part); size > maxEventBytes {
			return event{}, &upstream.LimitError{
				Part: "event", Got: fmt.Sprintf("%d bytes", size), Limit: fmt.Sprintf("%d bytes", maxEventBytes),
			}
		}
		if err := r.grow(len(part)); err != nil {
			return event{}, err
		}
		r.raw = append(r.raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(r.raw) == 0:
			return event{}, io.EOF
		case err == io.EOF:
			return event{}, errTruncatedEvent
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(r.raw[lineStart:], "\r\n")
		if !isEventLine(text) {
			return event{}, errors.Errorf("event stream: got line %.*q, want a field or a comment", maxQuotedBytes, text)
		}
		// An empty line at the start ends no event. It is kept and passed on with the next event.
		if len(text) == 0 && lineStart > 0 {
			return event{raw: r.raw, id: r.raw[idStart:idEnd], hasContent: hasContent}, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			idEnd = lineStart + len(text)
			idStart = idEnd - len(bytes.TrimPrefix(value, []byte(" ")))
		}
		name, _, _ := bytes.Cut(text, []byte(":"))
		hasContent = hasContent || len(name) > 0 && string(name) != "retry"
		lineStart = len(r.raw)
	}
}

// grow makes room for n more bytes of an event.
func (r *eventReader) grow(n int) error {
	need := len(r.raw) + n
	if need <= cap(r.raw) {
		return nil
	}
	size := min(max(need, 2*cap(r.raw)), need+answerChunk)
	if err := r.memory.hold(r.other + size); err != nil {
		return err
	}
	grown := make([]byte, len(r.raw), size)
	copy(grown, r.raw)
	r.raw = grown
	return nil
}

// isEventLine reports whether a line, without its end, can be part of an event: an empty line, a
// comment or a field. The name of a field is not restricted to the known ones, but it is a word.
// A target may write the head or the text of an error into its stream.
func isEventLine(text []byte) bool {
	name, _, hasColon := bytes.Cut(text, []byte(":"))
	if !hasColon {
		switch string(name) {
		case "", "data", "event", "id", "retry":
			return true
		}
		return false
	}
	return !bytes.ContainsFunc(name, func(c rune) bool {
		return c < utf8.RuneSelf && c != '-' && c != '_' && (c < '0' || c > '9') && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z')
	})
}

// hasBuffered reports whether a complete event can be read without blocking.
func (r *eventReader) hasBuffered() bool {
	// Peek does not fail for bytes that are buffered.
	b, _ := r.in.Peek(r.in.Buffered())
	b = bytes.TrimLeft(b, "\r\n")
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}
