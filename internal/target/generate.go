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
	// streamBufferBytes is the size of a stream's read buffer; longer lines are
	// assembled in a separate buffer.
	streamBufferBytes = 4 << 10
	// drainTimeout bounds the wait for the end of a body after the last frame, and for that of
	// the body of a refusal.
	drainTimeout = 100 * time.Millisecond
)

// GenerateRequest is a new request to a model engine, or the resumption of one.
type GenerateRequest struct {
	RequestID string
	// Attempt distinguishes the attempts of one request; frames of other attempts
	// are dropped.
	Attempt   int
	Model     fleet.ModelID
	Prompt    string
	MaxTokens int64
	// BootID, if set, resumes the engine's run of RequestID. An engine with another
	// boot id refuses with the outcome not_run. If empty, a new run starts.
	BootID string
	// FromFrame is the first frame to send after a resume. Checksum is the CRC-32C of
	// the answer before it: Chunk.Checksum of the last chunk received.
	FromFrame int64
	Checksum  uint32
	// Deadline is sent along for targets that check it; zero means none.
	Deadline time.Time
	Fence    uint64
	Instance fleet.InstanceID
}

// Stream is an answer being received. It must be used by one goroutine only; other
// goroutines can end it by cancelling its context.
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

// Generate sends one request and returns the answer stream once the engine has
// accepted the request. ctx bounds the whole stream. Every error is an *Error.
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

// wireRequest converts r to the request body.
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

// checkHeader checks that the response belongs to r; otherwise it closes the stream
// and returns an error.
func (s *Stream) checkHeader(h http.Header, r GenerateRequest) error {
	idMatches := h.Get(enginewire.HeaderRequestID) == r.RequestID
	if !idMatches || s.bootID == "" || (r.BootID != "" && r.BootID != s.bootID) {
		return s.fail(&Error{Kind: Unknown, Reason: ReasonMalformedAnswer})
	}
	return nil
}

// BootID returns the boot id of the engine that runs the request.
func (s *Stream) BootID() string { return s.bootID }

// Position returns the sequence number of the next frame and the CRC-32C of the
// answer before it, as needed for a resume.
func (s *Stream) Position() (fromFrame int64, checksum uint32) { return s.frames.ResumePoint() }

// Next waits for the next chunk in order and returns it. After the last chunk it
// returns io.EOF. Every other error is an *Error and ends the stream.
func (s *Stream) Next() (Chunk, error) {
	for s.err == nil {
		chunk, ok, err := s.frames.Pop()
		if err != nil {
			return Chunk{}, s.fail(malformedAnswerError(err))
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

// readFrame reads one line and passes its frame to the reassembler. It ignores blank
// lines, which are keep-alives.
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
		return malformedAnswerError(err)
	}
	if frame.Error != "" && frame.Attempt == s.attempt {
		reason := frame.Error[:min(len(frame.Error), maxReasonLength)]
		return &Error{Kind: Failed, Reason: reason}
	}
	if err := s.frames.Push(frame); err != nil {
		return malformedAnswerError(err)
	}
	return nil
}

// readError converts an error of the line reader to an *Error.
func (s *Stream) readError(err error) *Error {
	if errors.Is(err, errLineTooLong) {
		return &Error{Kind: Unknown, Reason: ReasonAnswerTooLarge, err: err}
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return &Error{Kind: Unknown, Reason: s.x.breakReason(s.ctx, err), err: err}
}

// malformedAnswerError converts an error in the content of the answer to an *Error.
func malformedAnswerError(err error) *Error {
	if errors.Is(err, errChecksum) || errors.Is(err, errLastFrame) {
		return &Error{Kind: Unknown, Reason: ReasonChecksum, err: err}
	}
	return &Error{Kind: Unknown, Reason: ReasonMalformedAnswer, err: err}
}

// fail closes the stream; later calls of Next return e.
func (s *Stream) fail(e *Error) error {
	s.err = e
	_ = s.Close()
	return e
}

// Close ends the stream. After the last chunk it waits up to drainTimeout for the end
// of the body, so that the connection returns to the pool. Before that it closes the
// connection, which does not cancel the request in the engine.
func (s *Stream) Close() error {
	if s.done {
		s.drain()
	}
	s.done = false
	err := s.body.Close()
	s.cancel()
	return err
}

// drain reads to the end of the body for at most drainTimeout.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.lines.r, streamBufferBytes)
}

// errLineTooLong is returned for a line that exceeds Options.MaxLineBytes.
var errLineTooLong = errors.New("line too long")

// lineReader reads lines of bounded length.
type lineReader struct {
	r     *bufio.Reader
	limit int
	long  []byte
}

// newLineReader returns a reader for lines of at most limit bytes from r.
func newLineReader(r io.Reader, limit int) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(r, streamBufferBytes), limit: limit}
}

// next returns the next line without its line ending. The line is valid until the
// next call. An incomplete line at the end of the stream is not returned.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = l.readLong(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLong reads the rest of a line that is longer than the buffer.
func (l *lineReader) readLong(start []byte) ([]byte, error) {
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
