package target

import (
	"bytes"
	"context"
	"testing"

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
