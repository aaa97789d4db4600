package ingress

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Errors of reading a request body.
var (
	errBodyTooLarge = errors.New("request body too large")
	errMemoryFull   = errors.New("no memory left for request bodies")
)

// bodyChunk is how much memory is reserved at a time for a body of unknown length, in
// bytes.
const bodyChunk = 32 << 10

// bodyMemory limits the memory of all request bodies, in bytes. It is safe for concurrent
// use.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// body is a request body with the memory reserved for it.
type body struct {
	bytes    []byte
	memory   *bodyMemory
	reserved int64
}

// release drops the body and returns its reserved memory.
func (b *body) release() {
	b.memory.used.Add(-b.reserved)
	b.reserved, b.bytes = 0, nil
}

// reserve reserves n more bytes, or returns errMemoryFull.
func (b *body) reserve(n int64) error {
	if b.memory.used.Add(n) > b.memory.limit {
		b.memory.used.Add(-n)
		return errMemoryFull
	}
	b.reserved += n
	return nil
}

// read reads a complete body of at most limit bytes. The caller must release it.
func (m *bodyMemory) read(r *http.Request, limit int64) (*body, error) {
	b := &body{memory: m}
	var err error
	switch {
	case r.ContentLength > limit:
		err = errBodyTooLarge
	case r.ContentLength >= 0:
		err = b.readSized(r.Body, r.ContentLength)
	default:
		err = b.readUnsized(r.Body, limit)
	}
	if err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}

// readSized reads a body of the given length.
func (b *body) readSized(r io.Reader, length int64) error {
	if length == 0 {
		return nil
	}
	if err := b.reserve(length); err != nil {
		return err
	}
	b.bytes = make([]byte, length)
	_, err := io.ReadFull(r, b.bytes)
	return err
}

// readUnsized reads a body of unknown length and at most limit bytes.
func (b *body) readUnsized(r io.Reader, limit int64) error {
	for {
		if err := b.reserve(bodyChunk); err != nil {
			return err
		}
		n, err := b.readChunk(r)
		switch {
		case int64(len(b.bytes)) > limit:
			return errBodyTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case n == 0:
			return io.ErrNoProgress
		}
	}
}

// readChunk reads up to bodyChunk bytes, appends them to the body and returns their number.
// The error is io.EOF at the end of the body.
func (b *body) readChunk(r io.Reader) (int, error) {
	start := len(b.bytes)
	b.bytes = append(b.bytes, make([]byte, bodyChunk)...)
	n, err := io.ReadFull(r, b.bytes[start:])
	b.bytes = b.bytes[:start+n]
	if errors.Is(err, io.ErrUnexpectedEOF) {
		// ReadFull returns this error also for a short last chunk. Another read returns io.EOF
		// if the body is complete, and ErrUnexpectedEOF if it was truncated.
		_, err = r.Read(make([]byte, 1))
	}
	return n, err
}
