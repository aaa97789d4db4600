package peer

import (
	"bytes"
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
//
// Notifications, which are almost all of the traffic, do not pass through jsonrpc2:
// it decodes and encodes the parameters of each message several times.
type stream struct {
	conn net.Conn
	// raw is closed in place of conn: a TLS connection would wait to send its alert.
	raw      net.Conn
	encoder  *encoder
	decoder  *decoder
	text     bytes.Buffer
	buffered []byte
	// notified takes notifications, in the order of all messages.
	notified func(method string, params []byte) error
	onError  func(error)
}

func newStream(conn, raw net.Conn) (*stream, error) {
	encoder, err := newEncoder(compressionLevel)
	if err != nil {
		return nil, err
	}
	s := &stream{
		conn:    conn,
		raw:     raw,
		encoder: encoder,
		decoder: newDecoder(conn, maxHelloBytes),
	}
	return s, nil
}

// ReadObject implements jsonrpc2.ObjectStream. It handles notifications until the
// next call or reply, which it returns.
func (s *stream) ReadObject(v any) error {
	for {
		done, err := s.readObject(v)
		if err != nil {
			s.onError(err)
			return err
		}
		if done {
			return nil
		}
	}
}

// readObject reads one message; done means that it is in v.
func (s *stream) readObject(v any) (done bool, err error) {
	text, err := s.decoder.next()
	if err != nil {
		return false, err
	}
	if err := checkShape(text, wire.MaxListLength); err != nil {
		return false, err
	}
	if method, params, ok := cutNotification(text); ok {
		return false, s.notified(method, params)
	}
	if err := json.Unmarshal(text, v); err != nil {
		return false, failure(KindMalformed, err)
	}
	return true, nil
}

// The parts of a notification as writeNotification writes it. A text of another
// form is left to jsonrpc2.
const (
	notificationHead   = `{"jsonrpc":"2.0","method":"`
	notificationParams = `","params":`
	notificationTail   = `}`
)

// cutNotification returns the method and the parameters of a notification. The
// parameters are not checked: they need not be one JSON value.
func cutNotification(text []byte) (method string, params []byte, ok bool) {
	rest, ok := bytes.CutPrefix(text, []byte(notificationHead))
	if !ok {
		return "", nil, false
	}
	name, rest, ok := bytes.Cut(rest, []byte(notificationParams))
	if !ok || bytes.ContainsAny(name, `"\\`) {
		return "", nil, false
	}
	params, ok = bytes.CutSuffix(rest, []byte(notificationTail))
	return string(name), params, ok
}

// writeNotification appends a notification to the buffer.
func (s *stream) writeNotification(method string, params any) error {
	text, err := s.notificationText(method, params)
	if err != nil {
		return err
	}
	if s.text.Cap() > retainedBytes {
		s.text = bytes.Buffer{}
	}
	return s.writeText(text)
}

// notificationText returns the text of a notification, valid until the next call.
func (s *stream) notificationText(method string, params any) ([]byte, error) {
	s.text.Reset()
	s.text.WriteString(notificationHead)
	s.text.WriteString(method)
	s.text.WriteString(notificationParams)
	if err := json.NewEncoder(&s.text).Encode(params); err != nil {
		return nil, failure(KindMalformed, err)
	}
	s.text.Truncate(s.text.Len() - len("\n"))
	s.text.WriteString(notificationTail)
	return s.text.Bytes(), nil
}

// WriteObject implements jsonrpc2.ObjectStream. The object goes out with flush.
func (s *stream) WriteObject(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return failure(KindMalformed, err)
	}
	return s.writeText(text)
}

func (s *stream) writeText(text []byte) error {
	if len(text) > wire.MaxMessageBytes {
		return failuref(KindOversize, "message of %d bytes", len(text))
	}
	var err error
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
