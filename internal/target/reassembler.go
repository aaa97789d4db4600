package target

import (
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// Errors of a Reassembler.
var (
	errChecksum  = errors.New("checksum does not match the answer")
	errTooFar    = errors.New("frame is too far ahead")
	errWholeness = errors.New("last frame does not match the answer")
)

// Chunk is one frame of an answer, in order and checked.
type Chunk struct {
	// Sequence counts from 0 without gaps.
	Sequence int64
	// Data belongs to the receiver; it is empty in the last chunk.
	Data []byte
	// Last ends the answer; its Frames is the number of frames that carry data.
	Last   bool
	Frames int64
	// Checksum is the CRC-32C of the answer up to the end of this chunk, so in the
	// last chunk of the whole answer.
	Checksum uint32
	// InputTokens and OutputTokens are the tokens so far.
	InputTokens, OutputTokens int64
}

// Reassembler puts the frames of one attempt in order. It drops frames that are
// repeated, of another attempt or older than the first one wanted, and holds at
// most a fixed number of frames that came early. It is not safe for concurrent
// use. Push and Pop take constant time.
type Reassembler struct {
	requestID string
	attempt   int
	next      int64
	checksum  uint32
	maxHeld   int64
	// head is the frame numbered next, if it is here; held are later ones.
	head    enginewire.Frame
	hasHead bool
	held    map[int64]enginewire.Frame
	done    bool
}

// NewReassembler starts at frame from; checksum is the CRC-32C of the answer
// before it, 0 at the start.
func NewReassembler(requestID string, attempt int, from int64, checksum uint32, maxHeld int) *Reassembler {
	return &Reassembler{
		requestID: requestID,
		attempt:   attempt,
		next:      from,
		checksum:  checksum,
		maxHeld:   int64(maxHeld),
	}
}

// Push takes one frame. It fails if the frame is further ahead than frames are
// held.
func (r *Reassembler) Push(f enginewire.Frame) error {
	if r.done || f.Attempt != r.attempt || f.Sequence < r.next {
		return nil
	}
	if f.Sequence == r.next {
		if !r.hasHead {
			r.head, r.hasHead = f, true
		}
		return nil
	}
	if f.Sequence-r.next > r.maxHeld {
		return errTooFar
	}
	if r.held == nil {
		r.held = make(map[int64]enginewire.Frame)
	}
	if _, repeated := r.held[f.Sequence]; !repeated {
		r.held[f.Sequence] = f
	}
	return nil
}

// Pop returns the next chunk if its frame is here. It fails if the frame does not
// continue the answer, which then must not be read on.
func (r *Reassembler) Pop() (Chunk, bool, error) {
	if !r.hasHead {
		return Chunk{}, false, nil
	}
	f := r.head
	if err := r.check(f); err != nil {
		return Chunk{}, false, err
	}
	r.checksum = f.Checksum
	r.next++
	r.done = f.Last
	r.advance()
	return Chunk{
		Sequence:     f.Sequence,
		Data:         f.Data,
		Last:         f.Last,
		Frames:       f.Frames,
		Checksum:     f.Checksum,
		InputTokens:  f.InputTokens,
		OutputTokens: f.OutputTokens,
	}, true, nil
}

// check verifies that f continues the answer.
func (r *Reassembler) check(f enginewire.Frame) error {
	if enginewire.Checksum(r.checksum, f.Data) != f.Checksum {
		return errChecksum
	}
	if f.Last && (f.Frames != f.Sequence || len(f.Data) > 0 || f.RequestID != r.requestID) {
		return errWholeness
	}
	return nil
}

// advance makes the held frame numbered next the head.
func (r *Reassembler) advance() {
	r.head, r.hasHead = enginewire.Frame{}, false
	if len(r.held) == 0 {
		return
	}
	if f, ok := r.held[r.next]; ok {
		r.head, r.hasHead = f, true
		delete(r.held, r.next)
	}
}

// Position returns the sequence of the next chunk and the CRC-32C of the answer before
// it: what a resume needs.
func (r *Reassembler) Position() (sequence int64, checksum uint32) {
	return r.next, r.checksum
}
