package peer

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"medlarwind.dev/medlarwind/internal/wire"
)

// maxHelloBytes is the largest message accepted before the peer's hello.
const maxHelloBytes = 4 << 10

// meteredConn counts the bytes of a connection and gives each read and write the
// time limit silence.
type meteredConn struct {
	net.Conn
	silence  time.Duration
	now      func() time.Time
	sent     atomic.Int64
	received atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.now().Add(c.silence)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.now().Add(c.silence)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// stream implements jsonrpc2.ObjectStream. One goroutine may read while another
// writes. Written objects wait in a buffer for flush.
type stream struct {
	conn net.Conn
	// raw is closed in place of conn: a TLS connection would wait to send its alert.
	raw      net.Conn
	encoder  *encoder
	decoder  *decoder
	buffered []byte
	onError  func(error)
}

func newStream(conn, raw net.Conn, onError func(error)) (*stream, error) {
	encoder, err := newEncoder(compressionLevel)
	if err != nil {
		return nil, err
	}
	s := &stream{
		conn:    conn,
		raw:     raw,
		encoder: encoder,
		decoder: newDecoder(conn, maxHelloBytes),
		onError: onError,
	}
	return s, nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	err := s.readObject(v)
	if err != nil {
		s.onError(err)
	}
	return err
}

func (s *stream) readObject(v any) error {
	text, err := s.decoder.next()
	if err != nil {
		return err
	}
	if err := checkShape(text, wire.MaxEntries); err != nil {
		return err
	}
	if err := json.Unmarshal(text, v); err != nil {
		return failure(KindMalformed, err)
	}
	return nil
}

// WriteObject implements jsonrpc2.ObjectStream. The object goes out with flush.
func (s *stream) WriteObject(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return failure(KindMalformed, err)
	}
	if len(text) > wire.MaxMessageBytes {
		return failuref(KindOversize, "message of %d bytes", len(text))
	}
	s.buffered, err = s.encoder.appendFrame(s.buffered, text)
	return err
}

// keepAlive appends a frame without a message.
func (s *stream) keepAlive() {
	s.buffered = appendKeepAlive(s.buffered)
}

// flush writes what is buffered.
func (s *stream) flush() error {
	if len(s.buffered) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.buffered)
	if cap(s.buffered) > retainedBytes {
		s.buffered = nil
	}
	s.buffered = s.buffered[:0]
	if err != nil {
		return readFailure(err)
	}
	return nil
}

// allowLargeMessages lifts the limit that holds before the hello. It is called by
// the reading goroutine.
func (s *stream) allowLargeMessages() {
	s.decoder.limit = wire.MaxMessageBytes
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	return s.raw.Close()
}
