package client_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
)

// endlessBytes is how much an endlessConn sends before it ends, so that a client without a
// limit does not use up the machine.
const endlessBytes = 64 << 20

// endlessConn is a connection to an instance that responds to a request with start and then
// with the results of next for 0, 1, 2 and so on.
type endlessConn struct {
	net.Conn
	next    func(i int) []byte
	pending []byte
	pieces  int
	sent    int
	// requested is closed by the first Write, closed by Close.
	requested, closed         chan struct{}
	requestedOnce, closedOnce sync.Once
}

func newEndlessConn(start string, next func(i int) []byte) *endlessConn {
	return &endlessConn{pending: []byte(start), next: next, requested: make(chan struct{}), closed: make(chan struct{})}
}

func (c *endlessConn) Read(p []byte) (int, error) {
	select {
	case <-c.requested:
	case <-c.closed:
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if len(c.pending) == 0 {
		if c.next == nil || c.sent >= endlessBytes {
			return 0, io.EOF
		}
		c.pending = c.next(c.pieces)
		c.pieces++
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	c.sent += n
	return n, nil
}

func (c *endlessConn) Write(p []byte) (int, error) {
	c.requestedOnce.Do(func() { close(c.requested) })
	return len(p), nil
}

func (c *endlessConn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *endlessConn) SetDeadline(time.Time) error      { return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }

// newEndlessClient returns a client of an instance that locates itself and responds to other
// requests with start and next.
func newEndlessClient(t *testing.T, o client.Options, start string, next func(i int) []byte) *client.Client {
	t.Helper()
	located, err := proto.Marshal(&medlarwindv1.LocateResponse{Addresses: []string{"instance:80"}, LifetimeMs: 60_000})
	if err != nil {
		t.Fatal(err)
	}
	o.Seeds = []string{"seed:80"}
	o.MaxTries = 1
	o.Dial = func(_ context.Context, _, addr string) (net.Conn, error) {
		if addr == "seed:80" {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(located))
			return newEndlessConn(head+string(located), nil), nil
		}
		return newEndlessConn(start, next), nil
	}
	c := client.New(o)
	t.Cleanup(c.Close)
	return c
}

// repeat returns a function that always returns 64 KiB of unit.
func repeat(unit string) func(int) []byte {
	piece := bytes.Repeat([]byte(unit), 64<<10/len(unit))
	return func(int) []byte { return piece }
}

const (
	unaryHead  = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\n\r\n"
)

// An instance, or what listens at its address now, may send a message without end. The
// client must not keep it.
func TestEndlessMessageIsNotKept(t *testing.T) {
	call := func(ctx context.Context, c *client.Client) error {
		_, err := c.Call(ctx, "s", "m", nil)
		return err
	}
	generate := func(ctx context.Context, c *client.Client) error {
		_, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "m"}, nil)
		return err
	}
	// A buffer that doubles allocates up to four times what it holds, twice as much under the
	// race detector; a broken stream is attached to once more. Parsed headers take up to 30
	// times their size.
	const (
		maxMessage = 2 * 2 * 4 * client.MaxMessageBytes
		maxHead    = 30 * client.MaxHeaderBytes
	)
	for name, test := range map[string]struct {
		start, unit  string
		send         func(context.Context, *client.Client) error
		maxAllocated uint64
	}{
		"head":              {"HTTP/1.1 200 OK\r\nX-Long: ", "a", call, maxHead},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", call, maxHead},
		"call":              {unaryHead, "a", call, maxMessage},
		"failed call":       {strings.Replace(unaryHead, "200 OK", "500 Failed", 1), "a", call, maxMessage},
		"frame":             {streamHead + "\x00\xff\xff\xff\xff", "a", generate, maxMessage},
		"end of the stream": {streamHead + "\x02\xff\xff\xff\xff", "a", generate, maxMessage},
	} {
		t.Run(name, func(t *testing.T) {
			c := newEndlessClient(t, client.Options{}, test.start, repeat(test.unit))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := test.send(t.Context(), c)
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("endless message was accepted")
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > test.maxAllocated {
				t.Errorf("client allocated %d bytes, want at most %d", n, test.maxAllocated)
			}
		})
	}
}

// An answer may have frames without end, each of them short.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const limit = 1 << 20
	data := make([]byte, 1000)
	received := 0
	c := newEndlessClient(t, client.Options{MaxAnswerBytes: limit}, streamHead, func(i int) []byte {
		frame, err := proto.Marshal(&medlarwindv1.Frame{RequestId: "r", Sequence: int64(i), Data: data})
		if err != nil {
			t.Error(err)
		}
		return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(frame))), frame...)
	})
	_, err := c.Generate(t.Context(), &medlarwindv1.GenerateRequest{Model: "m"}, func(b []byte) { received += len(b) })
	if !errors.Is(err, client.ErrAnswerTooLong) {
		t.Errorf("Generate error = %v, want ErrAnswerTooLong", err)
	}
	if received > limit {
		t.Errorf("received %d bytes of the answer, want at most %d", received, limit)
	}
}
