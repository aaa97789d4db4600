package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

const (
	// streamBufferBytes is the read buffer of a stream; longer lines are gathered.
	streamBufferBytes = 4 << 10
	// drainTimeout bounds the wait for the end of a body whose answer is whole.
	drainTimeout = 100 * time.Millisecond
)

// GenerateRequest is one request, or a resume of one, for a model engine.
type GenerateRequest struct {
	RequestID string
	// Attempt tells the tries of one request apart; frames of others are dropped.
	Attempt   int
	Model     fleet.ModelID
	Prompt    string
	MaxTokens int64
	// BootID makes it a resume: the engine goes on with its run of RequestID, and
	// refuses, not run, on another boot. Empty starts a new run.
	BootID string
	// FromFrame is the first frame wanted of a resume, and Checksum the CRC-32C of
	// the answer before it, which is Chunk.Checksum of the last chunk received.
	FromFrame int64
	Checksum  uint32
	// Deadline is absolute, for targets that check it; zero is none.
	Deadline time.Time
	Fence    uint64
	Instance fleet.InstanceID
}

// Stream is an answer under way. It belongs to one goroutine; another one ends it
// by its context.
type Stream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	body    io.ReadCloser
	x       *exchange
	lines   *lineReader
	frames  *Reassembler
	attempt int
	bootID  string
	done    bool
	err     error
}

// Generate sends one request and returns its answer stream once the engine has
// taken it. ctx bounds the whole stream. It fails with an *Error.
func (c *Client) Generate(ctx context.Context, addr string, r GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(wireRequest(r))
	if err != nil {
		return nil, &Error{Kind: NotRun, Reason: ReasonInvalidRequest, err: err}
	}
	m := message{method: http.MethodPost, addr: addr, path: enginewire.PathGenerate, body: body}
	ctx, cancel := context.WithCancel(ctx)
	resp, x, err := c.engines.send(ctx, m)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer discardRefusal(resp)
		return nil, refusal(resp)
	}
	s := &Stream{
		ctx:     ctx,
		cancel:  cancel,
		body:    resp.Body,
		x:       x,
		lines:   newLineReader(resp.Body, c.opts.MaxLineBytes),
		frames:  NewReassembler(r.RequestID, r.Attempt, r.FromFrame, r.Checksum, c.opts.MaxHeldFrames),
		attempt: r.Attempt,
		bootID:  resp.Header.Get(enginewire.HeaderBootID),
	}
	if err := s.checkHeader(resp.Header, r); err != nil {
		return nil, err
	}
	return s, nil
}

// wireRequest turns r into the body that engines read.
func wireRequest(r GenerateRequest) enginewire.GenerateRequest {
	w := enginewire.GenerateRequest{
		RequestID: r.RequestID,
		Attempt:   r.Attempt,
		Model:     r.Model,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		BootID:    r.BootID,
		FromFrame: r.FromFrame,
		Fence:     r.Fence,
		Instance:  r.Instance,
	}
	if !r.Deadline.IsZero() {
		w.DeadlineMillis = r.Deadline.UnixMilli()
	}
	return w
}

// checkHeader closes the stream unless it answers r.
func (s *Stream) checkHeader(h http.Header, r GenerateRequest) error {
	answered := h.Get(enginewire.HeaderRequestID) == r.RequestID
	if !answered || s.bootID == "" || (r.BootID != "" && r.BootID != s.bootID) {
		return s.fail(&Error{Kind: Unknown, Reason: ReasonMalformedAnswer})
	}
	return nil
}

// BootID returns the boot id of the engine that runs the request.
func (s *Stream) BootID() string { return s.bootID }

// Position returns the next frame to come and the CRC-32C of the answer before it:
// what a resume needs.
func (s *Stream) Position() (fromFrame int64, checksum uint32) { return s.frames.Position() }

// Next returns the next chunk in order, waiting for it. After the last chunk it
// returns io.EOF. Every other failure is an *Error and ends the stream.
func (s *Stream) Next() (Chunk, error) {
	for s.err == nil {
		chunk, ok, err := s.frames.Pop()
		if err != nil {
			return Chunk{}, s.fail(answerError(err))
		}
		if ok {
			s.done = chunk.Last
			return chunk, nil
		}
		if s.done {
			s.err = io.EOF
			_ = s.Close()
			break
		}
		if err := s.readFrame(); err != nil {
			return Chunk{}, s.fail(err)
		}
	}
	return Chunk{}, s.err
}

// readFrame reads one line that is not blank and passes it to the reassembler.
func (s *Stream) readFrame() *Error {
	line, err := s.lines.next()
	if err != nil {
		return s.readError(err)
	}
	if len(line) == 0 {
		return nil
	}
	frame, err := enginewire.ParseFrame(line)
	if err != nil {
		return answerError(err)
	}
	if frame.Error != "" && frame.Attempt == s.attempt {
		reason := frame.Error[:min(len(frame.Error), maxReasonLength)]
		return &Error{Kind: Failed, Reason: reason}
	}
	if err := s.frames.Push(frame); err != nil {
		return answerError(err)
	}
	return nil
}

// readError turns a failure to read a line.
func (s *Stream) readError(err error) *Error {
	if errors.Is(err, errLineTooLong) {
		return &Error{Kind: Unknown, Reason: ReasonAnswerTooLarge, err: err}
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return &Error{Kind: Unknown, Reason: s.x.breakReason(s.ctx, err), err: err}
}

// answerError turns an answer that contradicts itself.
func answerError(err error) *Error {
	if errors.Is(err, errChecksum) || errors.Is(err, errWholeness) {
		return &Error{Kind: Unknown, Reason: ReasonChecksum, err: err}
	}
	return &Error{Kind: Unknown, Reason: ReasonMalformedAnswer, err: err}
}

// fail ends the stream with e.
func (s *Stream) fail(e *Error) error {
	s.err = e
	_ = s.Close()
	return e
}

// Close ends the stream. After the last chunk the connection goes back to the
// pool, for which Close waits a short time; before, the connection is closed, which
// does not cancel the engine's run.
func (s *Stream) Close() error {
	if s.done {
		s.drain()
	}
	s.done = false
	err := s.body.Close()
	s.cancel()
	return err
}

// drain reads the end of the body.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.lines.r, streamBufferBytes)
}

// errLineTooLong says that a line exceeds its bound.
var errLineTooLong = errors.New("line too long")

// lineReader reads lines of bounded length.
type lineReader struct {
	r     *bufio.Reader
	limit int
	long  []byte
}

// newLineReader reads lines of at most limit bytes from r.
func newLineReader(r io.Reader, limit int) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(r, streamBufferBytes), limit: limit}
}

// next returns the next line without its end, valid until the next call. A line
// cut off by the end of the stream is not returned.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = l.gather(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// gather reads the rest of a line that is longer than the buffer.
func (l *lineReader) gather(start []byte) ([]byte, error) {
	l.long = append(l.long[:0], start...)
	for {
		part, err := l.r.ReadSlice('\n')
		if len(l.long)+len(part) > l.limit {
			return nil, errLineTooLong
		}
		l.long = append(l.long, part...)
		if err != bufio.ErrBufferFull {
			return l.long, err
		}
	}
}
