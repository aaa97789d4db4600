package upstream

import (
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/httphead"
)

// Limits of what a target may send before the body of its response. Bodies are not limited
// here; net/http limits the chunk sizes, extensions and trailers between their data.
const (
	// maxHeadBytes limits the status line and headers of a response together with those of
	// the informational responses before it. Parsed headers take up to 30 times their size
	// in memory.
	maxHeadBytes = 16 << 10
	// maxHeadLines limits the lines of one response's head. A field takes many times the size of
	// a short line in memory.
	maxHeadLines = 128
	// maxInformational limits the number of informational (1xx) responses to a request.
	maxInformational = 16
	// maxSkippedBodyBytes limits the body of a skipped response to another request.
	maxSkippedBodyBytes = 256 << 10
	// headTimeout limits the time from the first byte of a response to the end of its
	// headers, and to the end of its body if it is skipped. Targets send headers in one
	// piece; the time allows for packets that are lost.
	headTimeout = 10 * time.Second
)

// The parts of a response that are limited in bytes, as named in a LimitError.
const (
	partHead        = "response head"
	partSkippedBody = "body of a response to another request"
)

// LimitError is returned for a response that exceeds a limit. The response is malformed:
// the request may have run.
type LimitError struct {
	// Part is the part of the response, such as its head.
	Part string
	// Got and Limit are what the target sent and the most that it may send.
	Got, Limit string
}

// Error returns the part, what was received and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: got %s, want at most %s", e.Part, e.Got, e.Limit)
}

// newCountError returns an error for a number of parts that exceeds limit.
func newCountError(part string, n, limit int) error {
	return &LimitError{Part: part, Got: strconv.Itoa(n), Limit: strconv.Itoa(limit)}
}

// asHeadTimeout converts a missed deadline to a LimitError; it returns other errors as they
// are.
func asHeadTimeout(part string, err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return &LimitError{Part: part, Got: headTimeout.String() + " without its end", Limit: headTimeout.String()}
}

// limitedReader limits how many bytes are read for one part of a response. Unlike an
// io.LimitedReader, it returns a LimitError at the limit.
type limitedReader struct {
	in    io.Reader
	part  string
	limit int64
	left  int64
	// head counts the lines of the head that is being read.
	head httphead.Counter
}

// beginHead limits the lines of the head that comes next. buffered is what has been read of it.
func (r *limitedReader) beginHead(buffered []byte) error {
	r.head.Begin()
	_, err := r.head.Scan(buffered)
	return asLineLimit(err)
}

// asLineLimit converts an error of a head with too many lines to a LimitError.
func asLineLimit(err error) error {
	if err == nil {
		return nil
	}
	return newCountError("lines of a response head", maxHeadLines+1, maxHeadLines)
}

// newLimitedReader returns a reader of in without a limit.
func newLimitedReader(in io.Reader) *limitedReader {
	r := &limitedReader{in: in, head: httphead.Counter{Max: maxHeadLines}}
	r.removeLimit()
	return r
}

// setLimit limits the bytes that are read from now on, all of which belong to part.
func (r *limitedReader) setLimit(part string, limit int64) {
	r.part, r.limit, r.left = part, limit, limit
}

// removeLimit removes the limit.
func (r *limitedReader) removeLimit() { r.setLimit("", math.MaxInt64) }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, &LimitError{
			Part: r.part, Got: fmt.Sprintf("%d bytes without its end", r.limit), Limit: fmt.Sprintf("%d bytes", r.limit),
		}
	}
	n, err := r.in.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if within, lineErr := r.head.Scan(p[:n]); lineErr != nil {
		return within, asLineLimit(lineErr)
	}
	return n, err
}
