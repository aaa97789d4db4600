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

// A frame consists of the length of the message and the length of its compressed
// form, both in bytes as unsigned varints, followed by the compressed form. A frame
// whose first length is 0 ends there and serves as a keep-alive.
const (
	// compressionLevel is the level passed to compress/flate.
	compressionLevel = 6
	// maxRetainedBytes is the capacity up to which a buffer is reused for the next
	// message.
	maxRetainedBytes = 64 << 10
	// maxTrailingBytes bounds the bytes of a frame that the decompressor leaves unread
	// after it has returned the whole message: an end-of-block code and a sync marker.
	maxTrailingBytes = 16
	// The compressed form of a message of n bytes has at most
	// n + n/expansionDivisor + expansionBytes bytes.
	expansionDivisor = 256
	expansionBytes   = 64
)

// tlsAlertOp is the Op of the net.OpError that crypto/tls returns for an alert sent
// by the peer.
const tlsAlertOp = "remote error"

// syncMarker is the end of each sync flush of compress/flate. The encoder removes it
// and the decoder adds it again.
var syncMarker = []byte{0x00, 0x00, 0xff, 0xff}

// encoder encodes messages as frames. All frames of an encoder form one compressed
// stream, so that later messages can refer to earlier ones. It is not safe for
// concurrent use.
type encoder struct {
	compressed bytes.Buffer
	flate      *flate.Writer
}

// newEncoder returns an encoder with a compression level of compress/flate.
func newEncoder(level int) (*encoder, error) {
	e := &encoder{}
	w, err := flate.NewWriter(&e.compressed, level)
	if err != nil {
		return nil, newError(KindMalformed, err)
	}
	e.flate = w
	return e, nil
}

// appendFrame appends the frame of message to dst and returns the extended slice.
func (e *encoder) appendFrame(dst, message []byte) ([]byte, error) {
	e.compressed.Reset()
	if _, err := e.flate.Write(message); err != nil {
		return dst, newError(KindMalformed, err)
	}
	if err := e.flate.Flush(); err != nil {
		return dst, newError(KindMalformed, err)
	}
	body := bytes.TrimSuffix(e.compressed.Bytes(), syncMarker)
	dst = appendLengths(dst, len(message), len(body))
	dst = append(dst, body...)
	if e.compressed.Cap() > maxRetainedBytes {
		e.compressed = bytes.Buffer{}
	}
	return dst, nil
}

// appendLengths appends the two lengths at the start of a frame, in bytes.
func appendLengths(dst []byte, message, compressed int) []byte {
	dst = binary.AppendUvarint(dst, uint64(message))
	return binary.AppendUvarint(dst, uint64(compressed))
}

// appendKeepAlive appends a keep-alive frame, which has no message.
func appendKeepAlive(dst []byte) []byte {
	return append(dst, 0)
}

// decoder decodes frames to messages. It refuses a frame that declares a message
// longer than limit bytes, and never decompresses more than the declared length. It
// is not safe for concurrent use.
type decoder struct {
	in      *bufio.Reader
	limit   int
	segment segment
	flate   io.Reader
	message []byte
}

// newDecoder returns a decoder that reads frames from r and accepts messages of up
// to limit bytes.
func newDecoder(r io.Reader, limit int) *decoder {
	d := &decoder{in: bufio.NewReader(r), limit: limit}
	d.flate = flate.NewReader(&d.segment)
	return d
}

// next returns the next message. The slice is valid until the following call of next.
// Keep-alive frames are skipped.
func (d *decoder) next() ([]byte, error) {
	length, err := d.messageLength()
	if err != nil {
		return nil, err
	}
	if err := d.fillSegment(length); err != nil {
		return nil, err
	}
	if cap(d.message) < length || cap(d.message) > max(length, maxRetainedBytes) {
		d.message = make([]byte, length)
	}
	d.message = d.message[:length]
	if _, err := io.ReadFull(d.flate, d.message); err != nil {
		return nil, newError(KindMalformed, err)
	}
	if d.segment.len() > maxTrailingBytes {
		return nil, errorf(KindMalformed, "%d unread bytes after the end of the message", d.segment.len())
	}
	return d.message, nil
}

// messageLength skips keep-alive frames and reads the message length at the start of
// the next other frame.
func (d *decoder) messageLength() (int, error) {
	for {
		n, err := binary.ReadUvarint(d.in)
		if err != nil {
			return 0, connError(err)
		}
		if n > uint64(d.limit) {
			return 0, errorf(KindOversize, "message of %d bytes exceeds the limit", n)
		}
		if n > 0 {
			return int(n), nil
		}
	}
}

// fillSegment reads the compressed form of a message of length bytes.
func (d *decoder) fillSegment(length int) error {
	n, err := binary.ReadUvarint(d.in)
	if err != nil {
		return connError(err)
	}
	if n > uint64(length+length/expansionDivisor+expansionBytes) {
		return errorf(KindOversize, "%d compressed bytes are too many for a message of %d bytes", n, length)
	}
	if err := d.segment.fill(d.in, int(n)); err != nil {
		return connError(err)
	}
	return nil
}

// segment holds the compressed bytes of received frames that are not yet decompressed.
// It implements io.ByteReader so that the decompressor does not read ahead.
type segment struct {
	data []byte
	off  int
}

// len returns the number of unread bytes.
func (s *segment) len() int { return len(s.data) - s.off }

// fill appends n bytes from r and the sync marker to the unread bytes.
func (s *segment) fill(r io.Reader, n int) error {
	unread := s.len()
	need := unread + n + len(syncMarker)
	next := s.data
	if cap(next) < need || cap(next) > max(need, maxRetainedBytes) {
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

// connError wraps an error of reading from or writing to a connection in an Error of
// the kind that fits.
func connError(err error) error {
	var operation *net.OpError
	var network net.Error
	switch {
	case errors.As(err, &network) && network.Timeout():
		return newError(KindSilent, err)
	case errors.As(err, &operation) && operation.Op == tlsAlertOp:
		return newError(KindTLS, err)
	default:
		return newError(KindDisconnected, err)
	}
}
