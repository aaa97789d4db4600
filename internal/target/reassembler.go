package target

import (
	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// Errors of Reassembler.
var (
	errChecksum    = errors.New("checksum does not match the answer")
	errTooFarAhead = errors.New("frame is too far ahead")
	errLastFrame   = errors.New("last frame does not match the answer")
)

// Chunk is the content of one frame, returned in order and after verification.
type Chunk struct {
	// Sequence counts from 0 without gaps.
	Sequence int64
	// Data is owned by the receiver; it is empty in the last chunk.
	Data []byte
	// Last is set on the chunk that ends the answer. There Frames is the number of
	// frames that carry data.
	Last   bool
	Frames int64
	// Checksum is the CRC-32C of the answer up to the end of this chunk.
	Checksum uint32
	// InputTokens and OutputTokens are the numbers of tokens processed so far.
	InputTokens, OutputTokens int64
}

// Reassembler puts the frames of one attempt in order. It drops repeated frames,
// frames of other attempts and frames before the first one requested, and buffers a
// bounded number of frames that arrive early. It is not safe for concurrent use.
// Push and Pop take constant time.
type Reassembler struct {
	requestID string
	attempt   int
	next      int64
	checksum  uint32
	maxHeld   int64
	// head is the frame with sequence number next, valid if hasHead is set; held
	// contains later frames by sequence number.
	head    enginewire.Frame
	hasHead bool
	held    map[int64]enginewire.Frame
	done    bool
}

// NewReassembler returns a Reassembler that starts at frame from. checksum is the
// CRC-32C of the answer before that frame, 0 at the start of the answer. maxHeld is
// the greatest distance of a buffered frame from the next one.
func NewReassembler(requestID string, attempt int, from int64, checksum uint32, maxHeld int) *Reassembler {
	return &Reassembler{
		requestID: requestID,
		attempt:   attempt,
		next:      from,
		checksum:  checksum,
		maxHeld:   int64(maxHeld),
	}
}

// Push adds a frame. It fails if the frame is more than maxHeld frames ahead of the
// next one.
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
		return errTooFarAhead
	}
	if r.held == nil {
		r.held = make(map[int64]enginewire.Frame)
	}
	if _, repeated := r.held[f.Sequence]; !repeated {
		r.held[f.Sequence] = f
	}
	return nil
}

// Pop returns the next chunk, and false if its frame has not arrived. It fails if
// the frame does not continue the answer; then no more chunks may be read.
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

// check verifies the checksum of f and, for the last frame, that the answer is
// complete and belongs to the request.
func (r *Reassembler) check(f enginewire.Frame) error {
	if enginewire.Checksum(r.checksum, f.Data) != f.Checksum {
		return errChecksum
	}
	if f.Last && (f.Frames != f.Sequence || len(f.Data) > 0 || f.RequestID != r.requestID) {
		return errLastFrame
	}
	return nil
}

// advance moves the held frame with sequence number next, if there is one, to the
// head.
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

// ResumePoint returns the sequence number of the next chunk and the CRC-32C of the
// answer before it, as needed for a resume.
func (r *Reassembler) ResumePoint() (sequence int64, checksum uint32) {
	return r.next, r.checksum
}
