package gateway

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/handover"
)

// BenchmarkHandOver measures a new connection with a 12 KB request that is handed over to a peer with a fixed
// answer, beside the same peer called directly. Caller, instance and peer share the process; cpu-ns/op
// is the time of all.
func BenchmarkHandOver(b *testing.B) {
	body := strings.Repeat("b", 12<<10)
	request := []byte("POST /s/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 12288\r\n\r\n" + body)
	const answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\nConnection: close\r\n\r\nbusy\n"
	serve := func(conn net.Conn, n int) {
		buffer := make([]byte, 16<<10)
		_, _ = io.ReadFull(conn, buffer[:n])
		_, _ = io.WriteString(conn, answer)
	}
	for _, direct := range []bool{true, false} {
		name := map[bool]string{true: "direct", false: "handed_over"}[direct]
		b.Run(name, func(b *testing.B) {
			var addr string
			if direct {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				defer l.Close()
				addr = l.Addr().String()
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go func() { serve(conn, len(request)); _ = conn.Close() }()
					}
				}()
			} else {
				x := newHandOverTest(b, func(conn net.Conn) {
					_, _ = conn.Write([]byte{handover.Accepted})
					serve(conn, handover.PreambleBytes+len(request))
				})
				h := x.conns.handOver
				x.offers[0].PerSecond, x.offers[0].HeardAt = 1<<20, clock.BootTime().Add(time.Hour)
				h.mu.Lock()
				h.leases.Update(x.offers, clock.BootTime())
				h.mu.Unlock()
				addr = x.addr
			}
			var before, after syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			b.ReportAllocs()
			for b.Loop() {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = conn.Write(request)
				if text, err := io.ReadAll(conn); string(text) != answer {
					b.Fatalf("%q, %v", text, err)
				}
				_ = conn.Close()
			}
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
			b.ReportMetric(float64(used)/float64(b.N), "cpu-ns/op")
		})
	}
}
