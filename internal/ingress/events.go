package ingress

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errTruncatedEvent says that a stream ended within an event.
var errTruncatedEvent = errors.New("the stream ends within an event")

// eventReader splits a stream of server-sent events.
type eventReader struct {
	in  *bufio.Reader
	raw []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 4<<10)}
}

// event is one whole event, valid until the next is read.
type event struct {
	// raw is the event as it came, with the empty line that ends it.
	raw []byte
	// id is the value of its id field, nil without one.
	id []byte
}

// next returns the next whole event, or io.EOF when the stream ended between events.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	var idStart, idEnd int
	for {
		line, err := r.in.ReadSlice('\n')
		start := len(r.raw)
		r.raw = append(r.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(r.raw) > maxEventBytes {
				return event{}, errors.New("an event is too long")
			}
			continue
		case err == io.EOF && len(r.raw) == 0:
			return event{}, io.EOF
		case err == io.EOF:
			return event{}, errTruncatedEvent
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if start == 0 {
				// An empty line before an event belongs to none; it is passed on with the next.
				continue
			}
			return event{raw: r.raw, id: r.raw[idStart:idEnd]}, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			trimmed := bytes.TrimPrefix(value, []byte(" "))
			idEnd = start + len(text)
			idStart = idEnd - len(trimmed)
		}
	}
}

// buffered reports whether more bytes are at hand without waiting.
func (r *eventReader) buffered() bool { return r.in.Buffered() > 0 }
