package ingress

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// errAnswerMemory ends an answer that holds the most of the memory for answers when that is used up.
var errAnswerMemory = errors.New("no memory left for the answer")

// Sizes in bytes.
const (
	// freeAnswerBytes is what an answer may hold without a reservation. Ordinary events and bodies
	// are smaller, so that the answers of a faulty target do not take the place of theirs.
	freeAnswerBytes = 8 << 10
	// answerChunk is how much memory is reserved at a time.
	answerChunk = 16 << 10
)

// answerMemory limits the memory of what all targets have sent and has not been passed on yet, in
// bytes beyond freeAnswerBytes each. Once it is used up, the answer that holds the most is ended:
// one without end comes to that. It is safe for concurrent use.
type answerMemory struct {
	limit int64

	mu    sync.Mutex
	used  int64
	parts map[*answerPart]struct{}
}

// answerPart is the memory of one answer. Its methods other than end are called by one goroutine at
// a time.
type answerPart struct {
	memory *answerMemory
	// end interrupts the answer. It is called while memory.mu is held and must not block.
	end func(error)
	// head is the size of the answer's head, which is held as long as the answer.
	head int
	// held is what is reserved, ended says that the answer was ended for its memory. Both are
	// guarded by memory.mu.
	held  int64
	ended bool
}

func newAnswerMemory(limit int64) *answerMemory {
	return &answerMemory{limit: limit, parts: make(map[*answerPart]struct{})}
}

// part returns the memory of an answer that end interrupts. The caller must release it.
func (m *answerMemory) part(end func(error)) *answerPart { return &answerPart{memory: m, end: end} }

// fieldBytes is the memory of a field of a head beside its name and value, in bytes.
const fieldBytes = 128

// holdHead reserves the memory for the head of the answer.
func (p *answerPart) holdHead(h http.Header) error {
	p.head = 0
	for name, values := range h {
		for _, value := range values {
			p.head += len(name) + len(value) + fieldBytes
		}
	}
	return p.hold(0)
}

// hold reserves the memory for an answer of which size bytes are held beside its head. It returns
// errAnswerMemory if the answer must end.
func (p *answerPart) hold(size int) error {
	size += p.head
	if size <= freeAnswerBytes {
		return nil
	}
	m := p.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	want := (int64(size) + answerChunk - 1) / answerChunk * answerChunk
	for !p.ended && want > p.held && m.used+want-p.held > m.limit {
		m.largest(p, want).evict()
	}
	if p.ended {
		return errAnswerMemory
	}
	if want > p.held {
		m.used += want - p.held
		p.held = want
		m.parts[p] = struct{}{}
	}
	return nil
}

// largest returns the answer that holds the most if p held want. m.mu must be held.
func (m *answerMemory) largest(p *answerPart, want int64) *answerPart {
	largest := p
	for other := range m.parts {
		if other != p && other.held > want {
			largest, want = other, other.held
		}
	}
	return largest
}

// evict ends the answer. memory.mu must be held.
func (p *answerPart) evict() {
	p.ended = true
	p.free()
	p.end(errAnswerMemory)
}

// free returns what is reserved. memory.mu must be held.
func (p *answerPart) free() {
	p.memory.used -= p.held
	p.held = 0
	delete(p.memory.parts, p)
}

// release returns what is reserved. The answer may go on.
func (p *answerPart) release() {
	p.memory.mu.Lock()
	defer p.memory.mu.Unlock()
	p.free()
}

// wasEnded reports whether the answer was ended for its memory.
func (p *answerPart) wasEnded() bool {
	p.memory.mu.Lock()
	defer p.memory.mu.Unlock()
	return p.ended
}

// readAll reads up to limit bytes and holds memory for them. Unlike io.ReadAll it does not take
// much more memory than it holds.
func (p *answerPart) readAll(r io.Reader, limit int) ([]byte, error) {
	var read []byte
	for len(read) < limit {
		if len(read) == cap(read) {
			size := min(max(2*cap(read), readBufferBytes), cap(read)+answerChunk, limit)
			if err := p.hold(size); err != nil {
				return read, err
			}
			grown := make([]byte, len(read), size)
			copy(grown, read)
			read = grown
		}
		n, err := r.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case err == io.EOF:
			return read, nil
		case err != nil:
			return read, err
		}
	}
	return read, nil
}
