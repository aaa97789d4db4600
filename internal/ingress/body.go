package ingress

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Errors of reading a body.
var (
	errBodyTooLarge = errors.New("the request body is too large")
	errMemoryFull   = errors.New("the memory for request bodies is used up")
)

// bodyChunk is how much memory a body of unknown length reserves at a time, in bytes.
const bodyChunk = 32 << 10

// bodyMemory bounds the bytes of all bodies that are held.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// body is a request's body with its reserved memory.
type body struct {
	bytes    []byte
	memory   *bodyMemory
	reserved int64
}

// release returns the memory.
func (b *body) release() {
	b.memory.used.Add(-b.reserved)
	b.reserved, b.bytes = 0, nil
}

func (b *body) reserve(n int64) error {
	if b.memory.used.Add(n) > b.memory.limit {
		b.memory.used.Add(-n)
		return errMemoryFull
	}
	b.reserved += n
	return nil
}

// read reads a whole body of at most limit bytes. The caller frees it.
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

// readChunk appends up to bodyStep bytes; the error is io.EOF at the body's end.
func (b *body) readChunk(r io.Reader) (int, error) {
	start := len(b.bytes)
	b.bytes = append(b.bytes, make([]byte, bodyChunk)...)
	n, err := io.ReadFull(r, b.bytes[start:])
	b.bytes = b.bytes[:start+n]
	if errors.Is(err, io.ErrUnexpectedEOF) {
		// ReadFull says so for a short last step; a body that was cut says so itself.
		_, err = r.Read(make([]byte, 1))
	}
	return n, err
}
