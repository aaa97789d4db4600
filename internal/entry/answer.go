package entry

import (
	"context"
	"hash/crc32"
	"sync"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/fleet"
)

// castagnoli is the CRC-32C table for the checksum in trailers.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// answer is a bounded buffer of frames between the goroutine that runs a request and
// the callers' streams that read its answer. All methods are safe for concurrent use.
// A frame is never changed after it was appended.
//
// The buffer holds at most maxBytes. append blocks while there is no room and the
// oldest frame is still needed by an attached reader or was not yet read by any.
type answer struct {
	id       string
	customer fleet.CustomerID
	maxBytes int

	mu            sync.Mutex
	frames        []*medlarwindv1.Frame
	firstSequence int64
	bytes         int
	readPosition  int64
	checksum      uint32
	done          bool
	err           error
	readers       map[*reader]struct{}
	spaceFreed    chan struct{}
}

// reader is the position of one caller's stream. Its wake channel has room for one
// pending signal.
type reader struct {
	next int64
	wake chan struct{}
}

func newAnswer(id string, customer fleet.CustomerID, maxBytes int) *answer {
	return &answer{
		id:         id,
		customer:   customer,
		maxBytes:   maxBytes,
		readers:    make(map[*reader]struct{}),
		spaceFreed: make(chan struct{}, 1),
	}
}

// append adds data as the next frame. It blocks until there is room or ctx ends.
func (a *answer) append(ctx context.Context, data []byte) error {
	for {
		if a.tryAppend(data) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.spaceFreed:
		}
	}
}

// tryAppend adds data as the next frame and reports whether there was room for it.
// One frame larger than maxBytes is accepted into an empty buffer.
func (a *answer) tryAppend(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trim(len(data))
	if a.bytes > 0 && a.bytes+len(data) > a.maxBytes {
		return false
	}
	frame := &medlarwindv1.Frame{
		RequestId: a.id,
		Sequence:  a.firstSequence + int64(len(a.frames)),
		Data:      data,
	}
	a.frames = append(a.frames, frame)
	a.bytes += len(data)
	a.checksum = crc32.Update(a.checksum, castagnoli, data)
	a.wakeReaders()
	return true
}

// trim drops the oldest frames until there is room for need bytes. It keeps frames that
// an attached reader still needs or that no reader has read. a.mu must be held.
func (a *answer) trim(need int) {
	allRead := a.readPosition
	for r := range a.readers {
		allRead = min(allRead, r.next)
	}
	for a.bytes+need > a.maxBytes && len(a.frames) > 0 && a.firstSequence < allRead {
		a.bytes -= len(a.frames[0].Data)
		a.frames[0] = nil
		a.frames = a.frames[1:]
		a.firstSequence++
	}
}

// finish appends the trailer frame and ends the answer. Nothing may be appended
// afterwards.
func (a *answer) finish(inputTokens, outputTokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sequence := a.firstSequence + int64(len(a.frames))
	a.frames = append(a.frames, &medlarwindv1.Frame{
		RequestId: a.id,
		Sequence:  sequence,
		Trailer: &medlarwindv1.Trailer{
			Frames:       sequence,
			Checksum:     a.checksum,
			InputTokens:  inputTokens,
			OutputTokens: outputTokens,
		},
	})
	a.done = true
	a.wakeReaders()
}

// fail ends the answer with an error, which readers receive after the last frame. It
// has no effect on an answer that has ended.
func (a *answer) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	a.err = err
	a.wakeReaders()
}

// empty reports whether no frame was ever appended.
func (a *answer) empty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.firstSequence == 0 && len(a.frames) == 0
}

// attach adds a reader that starts at the given sequence. It returns false if that
// frame is no longer held or is beyond the next one.
func (a *answer) attach(sequence int64) (*reader, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sequence < a.firstSequence || sequence > a.firstSequence+int64(len(a.frames)) {
		return nil, false
	}
	r := &reader{next: sequence, wake: make(chan struct{}, 1)}
	a.readers[r] = struct{}{}
	return r, true
}

// detach removes a reader and returns the number of readers left.
func (a *answer) detach(r *reader) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readers, r)
	a.signalSpace()
	return len(a.readers)
}

// read returns the reader's next frame and blocks until there is one. At the end of
// the answer the frame is nil, done is true and err is the answer's error. If ctx ends
// first, done is true and err is ctx.Err().
func (a *answer) read(ctx context.Context, r *reader) (frame *medlarwindv1.Frame, done bool, err error) {
	for {
		frame, done, err = a.tryRead(r)
		if frame != nil || done {
			return frame, done, err
		}
		select {
		case <-ctx.Done():
			return nil, true, ctx.Err()
		case <-r.wake:
		}
	}
}

func (a *answer) tryRead(r *reader) (*medlarwindv1.Frame, bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	index := r.next - a.firstSequence
	if index < int64(len(a.frames)) {
		frame := a.frames[index]
		r.next++
		a.readPosition = max(a.readPosition, r.next)
		a.signalSpace()
		return frame, false, nil
	}
	return nil, a.done, a.err
}

// wakeReaders signals every reader. a.mu must be held.
func (a *answer) wakeReaders() {
	for r := range a.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// signalSpace wakes an append that waits for room.
func (a *answer) signalSpace() {
	select {
	case a.spaceFreed <- struct{}{}:
	default:
	}
}
