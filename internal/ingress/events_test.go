package ingress

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/upstream"
)

// endlessBytes is how much an endlessStream sends before it ends, so that a reader without a
// limit does not use up the machine.
const endlessBytes = 16 << 20

// endlessStream sends start and then repetitions of unit. It counts the bytes that are read.
type endlessStream struct {
	start, unit string
	read        int
}

func (s *endlessStream) Read(p []byte) (int, error) {
	if s.read >= endlessBytes {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) {
		rest := s.start
		if at := s.read; at >= len(s.start) {
			rest = s.unit[(at-len(s.start))%len(s.unit):]
		} else {
			rest = rest[at:]
		}
		k := copy(p[n:], rest)
		n += k
		s.read += k
	}
	return n, nil
}

// An event without end must not use up the instance's memory, whatever its lines are like.
func TestEndlessEventIsCutOff(t *testing.T) {
	for name, s := range map[string]*endlessStream{
		"lines":                  {unit: "data: x\n"},
		"lines with CRLF":        {unit: "data: x\r\n"},
		"ids":                    {unit: "id: 1\n"},
		"comments":               {unit: ":\n"},
		"one line":               {start: "data: ", unit: "x"},
		"lines after empty line": {start: "\n", unit: "data: x\n"},
		"long lines":             {unit: "data: " + strings.Repeat("x", 5000) + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			events := newEventReader(s, unlimitedMemory())
			_, err := events.next()
			var limit *upstream.LimitError
			if !errors.As(err, &limit) {
				t.Errorf("next error = %v, want a LimitError", err)
			}
			if want := maxEventBytes + readBufferBytes; s.read > want {
				t.Errorf("read %d bytes of an event, want at most %d", s.read, want)
			}
			if want := 2 * maxEventBytes; cap(events.raw) > want {
				t.Errorf("an event takes %d bytes of memory, want at most %d", cap(events.raw), want)
			}
		})
	}
}

// Empty lines that end no event are passed on as they come and not accumulated.
func TestEndlessEmptyLinesAreNotAccumulated(t *testing.T) {
	for _, unit := range []string{"\n", "\r\n"} {
		events := newEventReader(&endlessStream{unit: unit}, unlimitedMemory())
		for passed := 0; passed < 1<<20; {
			e, err := events.next()
			if err != nil {
				t.Fatal(err)
			}
			passed += len(e.raw)
		}
		if want := readBufferBytes; cap(events.raw) > want {
			t.Errorf("empty lines %q take %d bytes of memory, want at most %d", unit, cap(events.raw), want)
		}
	}
}

// An event of the largest size is passed on whole.
func TestLargestEventIsRead(t *testing.T) {
	text := "id: 3\ndata: " + strings.Repeat("x", maxEventBytes-len("id: 3\ndata: \n\n")) + "\n\n"
	e, err := newEventReader(strings.NewReader(text), unlimitedMemory()).next()
	if err != nil || string(e.id) != "3" || !bytes.Equal(e.raw, []byte(text)) {
		t.Errorf("got an event of %d bytes with id %q, error %v; want %d bytes and id 3", len(e.raw), e.id, err, len(text))
	}
}

// A line that is longer than the read buffer is read in several parts. No part must be taken
// for a line of its own: its text may look like an id, from which the stream would be resumed,
// or like the empty line that ends an event.
func TestPartOfLongLineIsNotLine(t *testing.T) {
	data := "data: " + strings.Repeat("x", readBufferBytes-len("data: "))
	for name, text := range map[string]string{
		"like an id":            "id: 7\n" + data + "id: 99\n\n",
		"line end":              "id: 7\n" + data + "\n\n",
		"line end of the first": data + "\nid: 7\n\n",
		"CRLF":                  data + "\r\nid: 7\r\n\r\n",
	} {
		e, err := newEventReader(strings.NewReader(text), unlimitedMemory()).next()
		if err != nil || string(e.id) != "7" || string(e.raw) != text {
			t.Errorf("%s: got an event of %d bytes with id %q, error %v; want %d bytes and id 7", name, len(e.raw), e.id, err, len(text))
		}
	}
}

// Lines that are no part of an event, such as the head of an error, must not be passed on as one.
func TestErrorIsTakenForEvent(t *testing.T) {
	for _, text := range []string{
		"data: x\n\n", "data\n\n", "id:7\r\ndata: a: b\r\n\r\n", ": comment\n\n", ":\n\n", "weight-versions: 3\nid: 7\n\n", "\nx_1:\n\n",
		"\ufeffdata: x\n\n", "data: HTTP/1.1 500 Internal Server Error\n\n", "event:error\nretry: 5\nid\n\n",
	} {
		if e, err := newEventReader(strings.NewReader(text), unlimitedMemory()).next(); err != nil || string(e.raw) != text {
			t.Errorf("event %q: got %q and error %v, want it unchanged", text, e.raw, err)
		}
	}
	for _, text := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", "overloaded\n\n", "error: x\nat line 3\n\n",
		"{\"error\": \"x\"}\n\n", "<html>: x\n\n", "two words: x\n\n", "\x00: x\n\n", "data: x\nHTTP/1.1 200 OK\n\n", " data: x\n\n",
	} {
		if e, err := newEventReader(strings.NewReader(text), unlimitedMemory()).next(); err == nil {
			t.Errorf("text %q: got event %q, want an error", text, e.raw)
		}
	}
}
