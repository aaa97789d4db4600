package ingress

import (
	"bytes"
	"math"
	"testing"

	"github.com/pkg/errors"
)

// unlimitedMemory returns the memory of an answer that is never ended for it.
func unlimitedMemory() *answerPart { return newAnswerMemory(math.MaxInt64).part(func(error) {}) }

// Once the memory is used up, the answer that holds the most is ended, and no other.
func TestLargestAnswerIsEnded(t *testing.T) {
	m := newAnswerMemory(8 * answerChunk)
	var ended []string
	part := func(name string) *answerPart {
		return m.part(func(err error) {
			if !errors.Is(err, errAnswerMemory) {
				t.Errorf("%s ended with %v", name, err)
			}
			ended = append(ended, name)
		})
	}
	hold := func(p *answerPart, chunks int, want error) {
		t.Helper()
		if err := p.hold(chunks * answerChunk); !errors.Is(err, want) {
			t.Errorf("hold(%d chunks) = %v, want %v", chunks, err, want)
		}
	}
	large, small, late := part("large"), part("small"), part("late")
	hold(large, 5, nil)
	hold(small, 2, nil)
	hold(late, 1, nil)
	hold(late, 2, nil)
	if len(ended) != 1 || ended[0] != "large" || m.used != 4*answerChunk {
		t.Fatalf("ended %v, %d bytes are used; want large ended and %d bytes used", ended, m.used, 4*answerChunk)
	}
	hold(large, 1, errAnswerMemory)
	// The one that asks is ended itself if it would hold the most.
	hold(late, 7, errAnswerMemory)
	hold(small, 2, nil)
	if len(ended) != 2 || ended[1] != "late" || !late.wasEnded() || small.wasEnded() {
		t.Errorf("ended %v, want large and late", ended)
	}
	// What needs no reservation is never refused for memory.
	if err := m.part(nil).hold(freeAnswerBytes); err != nil {
		t.Error(err)
	}
	small.release()
	late.release()
	large.release()
	if m.used != 0 || len(m.parts) != 0 {
		t.Errorf("%d bytes in %d answers are used after all were released", m.used, len(m.parts))
	}
}

// The memory for a long event is returned when the next one is read.
func TestLongEventIsNotHeldForRestOfStream(t *testing.T) {
	m := newAnswerMemory(maxEventBytes + answerChunk)
	long := "data: " + string(bytes.Repeat([]byte("x"), maxEventBytes-100)) + "\n\n"
	events := newEventReader(bytes.NewReader([]byte(long+"data: y\n\ndata: z\n\n")), m.part(func(error) {}))
	for i := range 3 {
		if _, err := events.next(); err != nil {
			t.Fatal(err)
		}
		if held := m.used > 0; held != (i == 0) {
			t.Errorf("after event %d %d bytes are held", i, m.used)
		}
	}
}
