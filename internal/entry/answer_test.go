package entry

import (
	"bytes"
	"context"
	"testing"

	"pgregory.net/rapid"
)

// readAll reads an answer from a sequence to its end. It returns the data and the
// sequence of the last frame.
func readAll(t *rapid.T, a *answer, sequence int64) (data []byte, last int64) {
	r, ok := a.attach(sequence)
	if !ok {
		t.Fatalf("attach at sequence %d failed", sequence)
	}
	defer a.detach(r)
	for {
		frame, done, err := a.read(context.Background(), r)
		if frame == nil {
			if !done || err != nil {
				t.Fatalf("read: done=%v err=%v", done, err)
			}
			return data, last
		}
		data = append(data, frame.Data...)
		last = frame.Sequence
	}
}

// A reader that attaches at any sequence must get all later bytes and the trailer. A
// lost or repeated frame would corrupt the answer of a caller that attaches again.
func TestAnswerReadersGetAllBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 20), 1, 30).Draw(t, "pieces")
		a := newAnswer("id", "mill-a", 1<<20)
		for _, piece := range pieces {
			if err := a.append(context.Background(), piece); err != nil {
				t.Fatal(err)
			}
		}
		a.finish(1, int64(len(pieces)))
		from := rapid.IntRange(0, len(pieces)).Draw(t, "from")
		data, last := readAll(t, a, int64(from))
		if want := bytes.Join(pieces[from:], nil); !bytes.Equal(data, want) {
			t.Fatalf("read %q, want %q", data, want)
		}
		if last != int64(len(pieces)) {
			t.Fatalf("trailer has sequence %d, want %d", last, len(pieces))
		}
	})
}

// A slow reader must make the writer wait, or else lose frames that it has not read.
func TestAnswerWindowBlocksWriterUntilReaderPasses(t *testing.T) {
	a := newAnswer("id", "mill-a", 10)
	r, _ := a.attach(0)
	if !a.tryAppend(make([]byte, 8)) {
		t.Fatal("append to an empty answer failed")
	}
	if a.tryAppend(make([]byte, 8)) {
		t.Fatal("append beyond the window succeeded although the reader has not read the frame")
	}
	if frame, _, _ := a.tryRead(r); frame == nil {
		t.Fatal("tryRead returned no frame")
	}
	if !a.tryAppend(make([]byte, 8)) {
		t.Fatal("append failed after the reader read the frame")
	}
	if _, ok := a.attach(0); ok {
		t.Fatal("attach at a dropped frame succeeded")
	}
}
