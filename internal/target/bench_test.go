package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// BenchmarkStreamNext measures the cost of one frame: reading, parsing, verifying and
// ordering it.
func BenchmarkStreamNext(b *testing.B) {
	const (
		dataBytes = 64
		frames    = 4096
	)
	f := enginewire.Frame{Attempt: 1, InputTokens: 1000, Data: bytes.Repeat([]byte("x"), dataBytes)}
	var answer []byte
	for range frames {
		f.Checksum = enginewire.Checksum(f.Checksum, f.Data)
		answer = enginewire.AppendFrame(answer, f)
		f.Sequence++
		f.OutputTokens += dataBytes / 4
	}
	body := bytes.NewReader(answer)
	s := &Stream{ctx: context.Background(), lines: newLineReader(body, DefaultMaxLineBytes), attempt: 1}
	b.ReportAllocs()
	b.SetBytes(dataBytes)
	for i := 0; b.Loop(); i++ {
		if i%frames == 0 {
			body.Reset(answer)
			s.frames = NewReassembler("r", 1, 0, 0, DefaultMaxHeldFrames)
		}
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGenerateLoopback measures one request with its answer over TCP, including
// the work of the engine.
func BenchmarkGenerateLoopback(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e := standin.NewEngine(standin.EngineOptions{TokensPerFrame: 16, TokenTime: time.Nanosecond})
	e.SetReady()
	defer standin.Serve(l, e)()
	defer e.Close()
	c := NewClient((&net.Dialer{}).DialContext, Options{})
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		r := GenerateRequest{RequestID: "r", Prompt: "p", MaxTokens: 256}
		s, err := c.Generate(context.Background(), l.Addr().String(), r)
		for err == nil {
			_, err = s.Next()
		}
		if err != io.EOF {
			b.Fatal(err)
		}
	}
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// BenchmarkLoad measures one load poll over TCP, including the work of the engine,
// and reports the bytes sent and received.
func BenchmarkLoad(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e := standin.NewEngine(standin.EngineOptions{Name: "dc-03-e00417"})
	defer standin.Serve(l, e)()
	defer e.Close()
	var sent, received atomic.Int64
	c := NewClient(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return meteredConn{conn, &sent, &received}, err
	}, Options{})
	defer c.Close()
	b.ReportAllocs()
	before := cpuTime()
	for b.Loop() {
		if _, err := c.Load(context.Background(), l.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N)/1e3, "cpu-µs/op")
	b.ReportMetric(float64(sent.Load())/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(received.Load())/float64(b.N), "received-B/op")
}

func cpuTime() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano() + usage.Stime.Nano()
}
