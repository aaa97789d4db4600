package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// BenchmarkStreamNext is the cost of one frame: read, parse, check and order.
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

// BenchmarkGenerateLoopback is the cost of one request with its answer over TCP,
// the engine's part included.
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
