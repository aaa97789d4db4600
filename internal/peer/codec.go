package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"net"

	"github.com/pkg/errors"
)

// A frame is the length of the message, the length of its compressed form, both as
// unsigned varints in bytes, and the compressed form. A frame whose first length
// is 0 ends there; it only shows that the sender is alive.
const (
	// compressionLevel is the level of compress/flate.
	compressionLevel = 6
	// retainedBytes is the largest buffer kept between messages.
	retainedBytes = 64 << 10
	// maxLeftover is the longest end of a frame that the decompressor may leave
	// unread after it returned the whole message: an end-of-block code and a marker.
	maxLeftover = 16
	// expansion bounds the compressed form: at most 1/expansion longer than the
	// message, plus expansionBase bytes.
	expansion     = 256
	expansionBase = 64
)

// tlsAlertOp is the Op of the net.OpError by which crypto/tls tells of an alert.
const tlsAlertOp = "remote error"

// syncMarker ends each sync flush of compress/flate; it is not sent.
var syncMarker = []byte{0x00, 0x00, 0xff, 0xff}

// encoder turns messages into frames. Each frame is compressed with the history
// of the earlier ones. It is not safe for concurrent use.
type encoder struct {
	compressed bytes.Buffer
	flate      *flate.Writer
}

func newEncoder(level int) (*encoder, error) {
	e := &encoder{}
	w, err := flate.NewWriter(&e.compressed, level)
	if err != nil {
		return nil, failure(KindMalformed, err)
	}
	e.flate = w
	return e, nil
}

// appendFrame appends the frame of message to dst.
func (e *encoder) appendFrame(dst, message []byte) ([]byte, error) {
	e.compressed.Reset()
	if _, err := e.flate.Write(message); err != nil {
		return dst, failure(KindMalformed, err)
	}
	if err := e.flate.Flush(); err != nil {
		return dst, failure(KindMalformed, err)
	}
	body := bytes.TrimSuffix(e.compressed.Bytes(), syncMarker)
	dst = appendLengths(dst, len(message), len(body))
	dst = append(dst, body...)
	if e.compressed.Cap() > retainedBytes {
		e.compressed = bytes.Buffer{}
	}
	return dst, nil
}

// appendLengths appends the head of a frame.
func appendLengths(dst []byte, message, compressed int) []byte {
	dst = binary.AppendUvarint(dst, uint64(message))
	return binary.AppendUvarint(dst, uint64(compressed))
}

// appendKeepAlive appends a frame without a message.
func appendKeepAlive(dst []byte) []byte {
	return append(dst, 0)
}

// decoder turns frames into messages. It never decompresses more than the length
// that a frame declares and its limit allows. It is not safe for concurrent use.
type decoder struct {
	in      *bufio.Reader
	limit   int
	segment segment
	flate   io.Reader
	message []byte
}

func newDecoder(r io.Reader, limit int) *decoder {
	d := &decoder{in: bufio.NewReader(r), limit: limit}
	d.flate = flate.NewReader(&d.segment)
	return d
}

// next returns the next message, valid until the following call. Frames without a
// message are skipped.
func (d *decoder) next() ([]byte, error) {
	length, err := d.messageLength()
	if err != nil {
		return nil, err
	}
	if err := d.fillSegment(length); err != nil {
		return nil, err
	}
	if cap(d.message) < length || cap(d.message) > max(length, retainedBytes) {
		d.message = make([]byte, length)
	}
	d.message = d.message[:length]
	if _, err := io.ReadFull(d.flate, d.message); err != nil {
		return nil, failure(KindMalformed, err)
	}
	if d.segment.len() > maxLeftover {
		return nil, failuref(KindMalformed, "%d bytes after the message", d.segment.len())
	}
	return d.message, nil
}

// messageLength reads frames without a message and the length that begins the
// first frame with one.
func (d *decoder) messageLength() (int, error) {
	for {
		n, err := binary.ReadUvarint(d.in)
		if err != nil {
			return 0, readFailure(err)
		}
		if n > uint64(d.limit) {
			return 0, failuref(KindOversize, "message of %d bytes", n)
		}
		if n > 0 {
			return int(n), nil
		}
	}
}

// fillSegment reads the compressed form of a message of the given length.
func (d *decoder) fillSegment(length int) error {
	n, err := binary.ReadUvarint(d.in)
	if err != nil {
		return readFailure(err)
	}
	if n > uint64(length+length/expansion+expansionBase) {
		return failuref(KindOversize, "%d bytes compressed for %d", n, length)
	}
	if err := d.segment.fill(d.in, int(n)); err != nil {
		return readFailure(err)
	}
	return nil
}

// segment is the part of the compressed stream that has arrived in whole frames.
// It implements io.ByteReader so that the decompressor does not read ahead.
type segment struct {
	data []byte
	off  int
}

func (s *segment) len() int { return len(s.data) - s.off }

// fill keeps what is unread and appends n bytes from r and the marker.
func (s *segment) fill(r io.Reader, n int) error {
	unread := s.len()
	need := unread + n + len(syncMarker)
	next := s.data
	if cap(next) < need || cap(next) > max(need, retainedBytes) {
		next = make([]byte, need)
	}
	next = next[:need]
	copy(next, s.data[s.off:])
	s.data, s.off = next, 0
	copy(next[unread+n:], syncMarker)
	_, err := io.ReadFull(r, next[unread:unread+n])
	return err
}

// ReadByte implements io.ByteReader.
func (s *segment) ReadByte() (byte, error) {
	if s.off == len(s.data) {
		return 0, io.ErrUnexpectedEOF
	}
	b := s.data[s.off]
	s.off++
	return b, nil
}

// Read implements io.Reader.
func (s *segment) Read(p []byte) (int, error) {
	if s.off == len(s.data) {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, s.data[s.off:])
	s.off += n
	return n, nil
}

// readFailure classifies an error of the connection.
func readFailure(err error) error {
	var operation *net.OpError
	var network net.Error
	switch {
	case errors.As(err, &network) && network.Timeout():
		return failure(KindSilent, err)
	case errors.As(err, &operation) && operation.Op == tlsAlertOp:
		return failure(KindTLS, err)
	default:
		return failure(KindDisconnected, err)
	}
}
