package target

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// split cuts an answer into frames of attempt 1.
func split(rt *rapid.T, answer []byte) []enginewire.Frame {
	var frames []enginewire.Frame
	var sum uint32
	for rest := answer; len(rest) > 0; {
		n := rapid.IntRange(1, len(rest)).Draw(rt, "frame size")
		sum = enginewire.Checksum(sum, rest[:n])
		frames = append(frames, enginewire.Frame{Attempt: 1, Sequence: int64(len(frames)), Checksum: sum, Data: rest[:n]})
		rest = rest[n:]
	}
	n := int64(len(frames))
	return append(frames, enginewire.Frame{Attempt: 1, Sequence: n, Checksum: sum, Last: true, Frames: n, RequestID: "r"})
}

// disturb returns frames late, reordered, repeated, cut short and mixed with those
// of a former attempt.
func disturb(rt *rapid.T, frames []enginewire.Frame) []enginewire.Frame {
	all := append([]enginewire.Frame(nil), frames...)
	for range rapid.IntRange(0, 2*len(frames)).Draw(rt, "extra") {
		f := rapid.SampledFrom(frames).Draw(rt, "frame")
		switch rapid.IntRange(0, 5).Draw(rt, "kind") {
		case 0, 1:
			f.Attempt = 0
			f.Data = []byte("former attempt")
		case 2:
			f.Data = f.Data[:len(f.Data)/2]
		}
		all = append(all, f)
	}
	return rapid.Permutation(all).Draw(rt, "order")
}

// Whatever arrives, what is passed on is a prefix of the answer; it is whole if no
// frame was cut and none is missing.
func TestReassemblerProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(rt, "answer")
		frames := split(rt, answer)
		from := rapid.IntRange(0, len(frames)-1).Draw(rt, "from")
		var got []byte
		var sum uint32
		for _, f := range frames[:from] {
			got = append(got, f.Data...)
			sum = f.Checksum
		}
		arriving := disturb(rt, frames)
		arriving = arriving[:rapid.IntRange(0, len(arriving)).Draw(rt, "arrived")]
		cut := false
		here := make(map[int64]bool)
		for _, f := range arriving {
			cut = cut || (f.Attempt == 1 && len(f.Data) != len(frames[f.Sequence].Data))
			here[f.Sequence] = here[f.Sequence] || f.Attempt == 1
		}
		missing := false
		for i := from; i < len(frames); i++ {
			missing = missing || !here[int64(i)]
		}
		r := NewReassembler("r", 1, int64(from), sum, len(frames))
		whole := false
		for _, f := range arriving {
			if err := r.Push(f); err != nil {
				rt.Fatal(err)
			}
			chunk, ok, err := r.Pop()
			for ; ok; chunk, ok, err = r.Pop() {
				got = append(got, chunk.Data...)
				whole = chunk.Last
			}
			if err != nil && !cut {
				rt.Fatal(err)
			}
		}
		if !bytes.HasPrefix(answer, got) {
			rt.Fatalf("passed on %x of %x", got, answer)
		}
		if whole && !bytes.Equal(got, answer) {
			rt.Fatalf("whole after %x of %x", got, answer)
		}
		if !cut && !missing && !whole {
			rt.Fatal("not whole although every frame arrived")
		}
	})
}
