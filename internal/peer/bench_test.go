package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// benchmarkSizes gives the numbers of targets and customers in a heartbeat by fleet
// size.
var benchmarkSizes = map[string][2]int{"fleet6": {3, 5}, "fleet380": {32, 60}}

// heartbeats returns successive heartbeats of one sender with the given numbers of
// targets and customers, of which about a fifth change each time.
func heartbeats(targets, customers int) []*wire.Heartbeat {
	rnd := rand.New(rand.NewPCG(1, 2))
	running, totals := make([]wire.Running, targets), make([]fleet.Cost, customers)
	for i := range running {
		running[i] = wire.Running{Target: fleet.TargetID(fmt.Sprintf("engine-%04d", i*37)), Count: rnd.IntN(8)}
	}
	echo, view := fleet.Incarnation(rnd.Uint64()), rnd.Uint64()
	hbs := make([]*wire.Heartbeat, 64)
	for i := range hbs {
		hb := &wire.Heartbeat{Incarnation: 1, Seq: uint64(i), EchoSeq: uint64(i), EchoIncarnation: echo, View: view, LendsEscrow: true, ConfigVersion: 41, ConfigDigest: "9f8a4c0d77e1b2a3"}
		for j := range running {
			if rnd.IntN(5) == 0 {
				running[j].Count = rnd.IntN(8)
			}
		}
		hb.Running = slices.Clone(running)
		for c := range customers {
			id := fleet.CustomerID(fmt.Sprintf("customer-%05d", c*91))
			hb.Demand = append(hb.Demand, wire.Demand{Customer: id, Workload: fleet.Workload{Model: "appraisal-large"}, Waiting: rnd.IntN(20), Estimate: 900, WaitMillis: rnd.Int64N(5000)})
			if rnd.IntN(5) == 0 {
				totals[c] += fleet.Cost(rnd.IntN(5000))
				hb.ServiceCounter = append(hb.ServiceCounter, wire.ServiceCounter{Incarnation: echo, Customer: id, Total: totals[c]})
			}
		}
		hbs[i] = hb
	}
	return hbs
}

// signalHandler is a Handler that sends to a channel for each message and connection.
type signalHandler struct {
	recorder
	received chan struct{}
}

func (a *signalHandler) PeerHeartbeat(wire.Hello, *wire.Heartbeat) { a.received <- struct{}{} }
func (a *signalHandler) PeerGrant(wire.Hello, *wire.Grant)         { a.received <- struct{}{} }
func (a *signalHandler) PeerConnected(wire.Hello)                  { a.received <- struct{}{} }

// BenchmarkHeartbeat sends heartbeats over mutual TLS on loopback TCP. It reports the
// total processor time of both ends and the bytes sent on the connection.
func BenchmarkHeartbeat(b *testing.B) {
	for name, size := range benchmarkSizes {
		b.Run(name, func(b *testing.B) {
			hbs := heartbeats(size[0], size[1])
			from, _, to := loopbackPair(b)
			reportCosts(b, from, func(i int) {
				from.SendHeartbeat("b", hbs[i%len(hbs)])
				<-to.received
			})
		})
	}
}

// BenchmarkGrant sends grants and reports the same values as BenchmarkHeartbeat.
func BenchmarkGrant(b *testing.B) {
	from, _, to := loopbackPair(b)
	reportCosts(b, from, func(i int) {
		from.SendGrant("b", &wire.Grant{
			Incarnation: 1, Seq: uint64(i), EchoIncarnation: 2, EchoSeq: uint64(i / 100),
			Customer: fleet.CustomerID(fmt.Sprintf("customer-%05d", i*i%60*91)), Workload: fleet.Workload{Model: "appraisal-large"},
			Target: fleet.TargetID(fmt.Sprintf("engine-%04d", i*7%32*37)), BootID: "9f8a4c0d77e1b2a3",
		})
		<-to.received
	})
}

// BenchmarkConnect closes the connection and waits for the next one, which takes the
// TCP and TLS handshakes and the hello.
func BenchmarkConnect(b *testing.B) {
	from, fromHandler, toHandler := loopbackPair(b)
	reportCosts(b, from, func(int) {
		from.linkTo("b").abort(newError(KindClosed, nil))
		<-fromHandler.received
		<-toHandler.received
	})
}

// reportCosts repeats step and reports the total processor time of both ends and the
// bytes that from sent, both per step.
func reportCosts(b *testing.B, from *Transport, step func(i int)) {
	before, sent := processorTime(), from.Counters().Peers["b"].BytesSent
	for i := 0; b.Loop(); i++ {
		step(i)
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(from.Counters().Peers["b"].BytesSent-sent)/float64(b.N), "wire-B/op")
}

// loopbackPair connects two transports, a and b, over loopback TCP. It returns the
// transport of a and the handlers of a and b.
func loopbackPair(b *testing.B) (from *Transport, fromHandler, toHandler *signalHandler) {
	ca, err := NewEphemeralCA()
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	fromHandler, toHandler = &signalHandler{received: make(chan struct{}, 1)}, &signalHandler{received: make(chan struct{}, 1)}
	transports := make([]*Transport, 2)
	for i, h := range []*signalHandler{fromHandler, toHandler} {
		id := fleet.InstanceID("ab"[i : i+1])
		config, err := ca.Issue(id)
		if err != nil {
			b.Fatal(err)
		}
		hello := wire.Hello{ProtocolVersion: wire.ProtocolVersion, Instance: id, Incarnation: fleet.Incarnation(i + 1)}
		transports[i] = New(Options{Self: hello, TLS: config, Handler: h, Log: zerolog.Nop()})
		b.Cleanup(func() { _ = transports[i].Close(context.Background()) })
	}
	go func() { _ = transports[1].Serve(ln) }()
	transports[0].SetPeers([]fleet.ListedInstance{{ID: "b", PeerAddr: ln.Addr().String()}})
	<-fromHandler.received
	<-toHandler.received
	return transports[0], fromHandler, toHandler
}

// processorTime returns the user and system time of the process in nanoseconds.
func processorTime() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkFrame compresses and decompresses successive heartbeats on one connection.
func BenchmarkFrame(b *testing.B) {
	for name, size := range benchmarkSizes {
		var texts [][]byte
		for _, hb := range heartbeats(size[0], size[1]) {
			s := new(stream)
			text, err := s.notificationText(wire.MethodHeartbeat, hb)
			if err != nil {
				b.Fatal(err)
			}
			texts = append(texts, text)
		}
		for _, level := range []int{flate.NoCompression, flate.HuffmanOnly, 1, 2, 3, 6, 9} {
			b.Run(fmt.Sprintf("%s/level=%d", name, level), func(b *testing.B) { benchmarkFrame(b, texts, level) })
		}
	}
}

func benchmarkFrame(b *testing.B, texts [][]byte, level int) {
	e, err := newEncoder(level)
	if err != nil {
		b.Fatal(err)
	}
	var pipe bytes.Buffer
	d := newDecoder(&pipe, wire.MaxMessageBytes)
	var frame []byte
	total := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if frame, err = e.appendFrame(frame[:0], texts[i%len(texts)]); err != nil {
			b.Fatal(err)
		}
		total += len(frame)
		pipe.Write(frame)
		if _, err := d.next(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(total)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(len(texts[0])), "json-B/op")
}

// BenchmarkMemory reports the heap and stack bytes of one end of a connection that
// carried heartbeats, including its transport, as the mean over 40 pairs.
func BenchmarkMemory(b *testing.B) {
	const pairs = 40
	for b.Loop() {
		before := memoryInUse()
		for range pairs {
			from, _, to := loopbackPair(b)
			for _, hb := range heartbeats(32, 60) {
				from.SendHeartbeat("b", hb)
				<-to.received
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/(2*pairs), "B/end")
	}
}

// memoryInUse returns the heap and stack bytes in use after a collection.
func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkMessageBytes reports the frame size of successive grants, and of successive
// heartbeats without demand that carry the counters of some of 15,000 customers.
func BenchmarkMessageBytes(b *testing.B) {
	for _, changed := range []int{0, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("heartbeat/changed=%d", changed), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			hb := wire.Heartbeat{Incarnation: fleet.Incarnation(rnd.Uint64()), EchoIncarnation: fleet.Incarnation(rnd.Uint64()), View: rnd.Uint64(), LendsEscrow: true, ConfigVersion: 41, ConfigDigest: "9f8a4c0d77e1b2a39f8a4c0d77e1b2a3"}
			frameBytes(b, wire.MethodHeartbeat, func() any {
				hb.Seq, hb.EchoSeq, hb.ServiceCounter = hb.Seq+1, hb.EchoSeq+1, nil
				for range changed {
					id := fleet.CustomerID(fmt.Sprintf("mill-%05d", rnd.IntN(15_000)))
					hb.ServiceCounter = append(hb.ServiceCounter, wire.ServiceCounter{Incarnation: hb.Incarnation, Customer: id, Total: fleet.Cost(1_000_000 + rnd.IntN(1_000_000))})
				}
				return hb
			})
		})
	}
	for _, era := range []uint64{0, 2} {
		b.Run(fmt.Sprintf("heartbeat/era=%d", era), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			hb := wire.Heartbeat{Incarnation: fleet.Incarnation(rnd.Uint64()), EchoIncarnation: fleet.Incarnation(rnd.Uint64())}
			frameBytes(b, wire.MethodHeartbeat, func() any {
				hb.Seq, hb.EchoSeq = hb.Seq+1, hb.EchoSeq+1
				hb.Records = &wire.RecordsState{Era: era, Revision: 1000 + hb.Seq/5, AgeMillis: int64(rnd.IntN(900))}
				return hb
			})
		})
	}
	for _, traits := range []int{1, 32} {
		b.Run(fmt.Sprintf("heartbeat/evidence=%d", traits), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			hb := wire.Heartbeat{Incarnation: fleet.Incarnation(rnd.Uint64())}
			for range traits {
				e := wire.Evidence{Trait: rnd.Uint64(), Depth: 2}
				for range 8 {
					e.Crashes = append(e.Crashes, wire.Crash{Target: rnd.Uint64(), Customer: rnd.Uint32(), Request: rnd.Uint32(), AgeMillis: rnd.Int64N(10_000)})
				}
				hb.Evidence = append(hb.Evidence, e)
			}
			frameBytes(b, wire.MethodHeartbeat, func() any {
				hb.Seq++
				for _, e := range hb.Evidence {
					for i := range e.Crashes {
						e.Crashes[i].AgeMillis += 200
					}
				}
				return hb
			})
		})
	}
	for _, limits := range []int{13, 144} {
		b.Run(fmt.Sprintf("heartbeat/limits=%d", limits), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			hb := wire.Heartbeat{Incarnation: fleet.Incarnation(rnd.Uint64())}
			for i := range limits {
				hb.Limits = append(hb.Limits, wire.TargetLimit{
					Target: fleet.TargetID(fmt.Sprintf("i-%010x", rnd.Uint32())), StartMillis: 1771061591031 + rnd.Int64N(5000),
					PerSecond: float64(rnd.IntN(90)) / 10, Origin: rnd.Uint64N(7), Seq: uint64(i), AgeMillis: rnd.Int64N(2000),
				})
				hb.Loads = append(hb.Loads, wire.TargetLoad{Target: hb.Limits[i].Target, Running: 20, Unread: 4000, Memory: 90000})
			}
			frameBytes(b, wire.MethodHeartbeat, func() any {
				hb.Seq++
				for i := range hb.Limits {
					hb.Limits[i].AgeMillis += 200
					hb.Loads[i].Starts = rnd.IntN(20)
				}
				return hb
			})
		})
	}
	for _, leaving := range []int{0, 1, 8, 72} {
		b.Run(fmt.Sprintf("heartbeat/leaving=%d", leaving), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			hb := wire.Heartbeat{Incarnation: fleet.Incarnation(rnd.Uint64())}
			for range leaving {
				hb.LeavingTargets = append(hb.LeavingTargets, wire.LeavingTarget{
					Target: fleet.TargetID(fmt.Sprintf("i-%010x", rnd.Uint32())), StartMillis: 1771061591031 + rnd.Int64N(5000), AgeMillis: rnd.Int64N(2000),
				})
			}
			frameBytes(b, wire.MethodHeartbeat, func() any {
				hb.Seq++
				for i := range hb.LeavingTargets {
					hb.LeavingTargets[i].AgeMillis += 200
				}
				return hb
			})
		})
	}
	b.Run("grant", func(b *testing.B) {
		rnd := rand.New(rand.NewPCG(1, 2))
		g := wire.Grant{Incarnation: fleet.Incarnation(rnd.Uint64()), EchoIncarnation: fleet.Incarnation(rnd.Uint64()), Workload: fleet.Workload{Model: "appraise"}, BootID: "e00417-1"}
		frameBytes(b, wire.MethodGrant, func() any {
			g.Seq, g.EchoSeq = g.Seq+1, g.EchoSeq+1
			g.Customer = fleet.CustomerID(fmt.Sprintf("mill-%05d", rnd.IntN(15_000)))
			g.Target = fleet.TargetID(fmt.Sprintf("dc-03-e%05d", rnd.IntN(32)*380))
			return g
		})
	})
}

// frameBytes encodes successive messages with one encoder and reports the mean size of
// their frames.
func frameBytes(b *testing.B, method string, next func() any) {
	e, err := newEncoder(compressionLevel)
	if err != nil {
		b.Fatal(err)
	}
	var frame []byte
	total := 0
	for b.Loop() {
		text, err := new(stream).notificationText(method, next())
		if err != nil {
			b.Fatal(err)
		}
		if frame, err = e.appendFrame(frame[:0], text); err != nil {
			b.Fatal(err)
		}
		total += len(frame)
	}
	b.ReportMetric(float64(total)/float64(b.N), "wire-B/op")
}
