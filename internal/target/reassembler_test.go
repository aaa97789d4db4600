package target

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// splitFrames divides an answer into frames of attempt 1.
func splitFrames(rt *rapid.T, answer []byte) []enginewire.Frame {
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

// disturbFrames returns frames in random order, with repeated and truncated ones and
// with frames of a former attempt mixed in.
func disturbFrames(rt *rapid.T, frames []enginewire.Frame) []enginewire.Frame {
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

// Whatever frames arrive, the reassembled data must be a prefix of the answer, and the
// complete answer if no frame was truncated and none is missing.
func TestReassemblerProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(rt, "answer")
		frames := splitFrames(rt, answer)
		from := rapid.IntRange(0, len(frames)-1).Draw(rt, "from")
		var got []byte
		var sum uint32
		for _, f := range frames[:from] {
			got = append(got, f.Data...)
			sum = f.Checksum
		}
		arriving := disturbFrames(rt, frames)
		arriving = arriving[:rapid.IntRange(0, len(arriving)).Draw(rt, "arrived")]
		cut := false
		arrived := make(map[int64]bool)
		for _, f := range arriving {
			cut = cut || (f.Attempt == 1 && len(f.Data) != len(frames[f.Sequence].Data))
			arrived[f.Sequence] = arrived[f.Sequence] || f.Attempt == 1
		}
		missing := false
		for i := from; i < len(frames); i++ {
			missing = missing || !arrived[int64(i)]
		}
		r := NewReassembler("r", 1, int64(from), sum, len(frames))
		complete := false
		for _, f := range arriving {
			if err := r.Push(f); err != nil {
				rt.Fatal(err)
			}
			chunk, ok, err := r.Pop()
			for ; ok; chunk, ok, err = r.Pop() {
				got = append(got, chunk.Data...)
				complete = chunk.Last
			}
			if err != nil && !cut {
				rt.Fatal(err)
			}
		}
		if !bytes.HasPrefix(answer, got) {
			rt.Fatalf("got %x, which is not a prefix of %x", got, answer)
		}
		if complete && !bytes.Equal(got, answer) {
			rt.Fatalf("answer reported as complete after %x of %x", got, answer)
		}
		if !cut && !missing && !complete {
			rt.Fatal("answer not complete although every frame arrived")
		}
	})
}
