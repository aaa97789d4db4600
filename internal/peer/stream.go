package peer

import (
	"bytes"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"medlarwind.dev/medlarwind/internal/wire"
)

// maxHelloBytes bounds the length of a message before the peer's hello.
const maxHelloBytes = 4 << 10

// meteredConn counts the bytes of a connection and sets a deadline after timeout
// for each read and write.
type meteredConn struct {
	net.Conn
	timeout  time.Duration
	now      func() time.Time
	sent     atomic.Int64
	received atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// stream implements jsonrpc2.ObjectStream. One goroutine may read while another
// writes. Written objects stay in a buffer until flush.
//
// Notifications, which are almost all of the traffic, bypass jsonrpc2, which would
// decode and encode the parameters of each message several times.
type stream struct {
	conn net.Conn
	// raw is the connection below TLS. Close closes it instead of conn, because closing
	// a TLS connection would block on sending an alert.
	raw      net.Conn
	encoder  *encoder
	decoder  *decoder
	text     bytes.Buffer
	buffered []byte
	// onNotification is called for each notification, in the order of all messages.
	onNotification func(method string, params []byte) error
	onError        func(error)
}

// newStream returns a stream over conn. raw is the connection below TLS, or conn
// itself without TLS.
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

// ReadObject implements jsonrpc2.ObjectStream. It passes notifications to
// onNotification until the next call or reply, which it decodes into v.
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

// readObject reads one message. done is true if it was decoded into v, false if it was
// a notification.
func (s *stream) readObject(v any) (done bool, err error) {
	text, err := s.decoder.next()
	if err != nil {
		return false, err
	}
	if err := checkJSONLimits(text, wire.MaxListLength); err != nil {
		return false, err
	}
	if method, params, ok := parseNotification(text); ok {
		return false, s.onNotification(method, params)
	}
	if err := json.Unmarshal(text, v); err != nil {
		return false, newError(KindMalformed, err)
	}
	return true, nil
}

// The fixed parts of a notification as writeNotification encodes it. A notification in
// another form is passed to jsonrpc2.
const (
	notificationHead   = `{"jsonrpc":"2.0","method":"`
	notificationParams = `","params":`
	notificationTail   = `}`
)

// parseNotification returns the method and the parameters of a notification. ok is
// false for a text of another form. It does not check that the parameters are one
// JSON value.
func parseNotification(text []byte) (method string, params []byte, ok bool) {
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

// writeNotification appends the frame of a notification to the buffer.
func (s *stream) writeNotification(method string, params any) error {
	text, err := s.notificationText(method, params)
	if err != nil {
		return err
	}
	if s.text.Cap() > maxRetainedBytes {
		s.text = bytes.Buffer{}
	}
	return s.writeText(text)
}

// notificationText returns the JSON text of a notification, valid until the next call.
func (s *stream) notificationText(method string, params any) ([]byte, error) {
	s.text.Reset()
	s.text.WriteString(notificationHead)
	s.text.WriteString(method)
	s.text.WriteString(notificationParams)
	if err := json.NewEncoder(&s.text).Encode(params); err != nil {
		return nil, newError(KindMalformed, err)
	}
	s.text.Truncate(s.text.Len() - len("\n"))
	s.text.WriteString(notificationTail)
	return s.text.Bytes(), nil
}

// WriteObject implements jsonrpc2.ObjectStream. The object stays in the buffer until
// flush.
func (s *stream) WriteObject(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return newError(KindMalformed, err)
	}
	return s.writeText(text)
}

// writeText appends the frame of a JSON text to the buffer. It returns an error of
// KindOversize for a text longer than wire.MaxMessageBytes.
func (s *stream) writeText(text []byte) error {
	if len(text) > wire.MaxMessageBytes {
		return errorf(KindOversize, "message of %d bytes", len(text))
	}
	var err error
	s.buffered, err = s.encoder.appendFrame(s.buffered, text)
	return err
}

// keepAlive appends a keep-alive frame to the buffer.
func (s *stream) keepAlive() {
	s.buffered = appendKeepAlive(s.buffered)
}

// flush writes the buffer to the connection.
func (s *stream) flush() error {
	if len(s.buffered) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.buffered)
	if cap(s.buffered) > maxRetainedBytes {
		s.buffered = nil
	}
	s.buffered = s.buffered[:0]
	if err != nil {
		return connError(err)
	}
	return nil
}

// allowLargeMessages raises the limit on received messages from maxHelloBytes to
// wire.MaxMessageBytes. The reading goroutine calls it.
func (s *stream) allowLargeMessages() {
	s.decoder.limit = wire.MaxMessageBytes
}

// Close implements jsonrpc2.ObjectStream. It closes the connection below TLS.
func (s *stream) Close() error {
	return s.raw.Close()
}
