package peer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// gatewayHeartbeat returns a heartbeat of a relay with loads on the given number of targets, the
// usage of as many customers, and as many members.
func gatewayHeartbeat(rnd *rand.Rand, targets, customers, members int) *wire.Heartbeat {
	hb := &wire.Heartbeat{
		Incarnation: 1, Seq: rnd.Uint64N(1000), EchoSeq: rnd.Uint64N(1000), EchoIncarnation: 7, ConfigVersion: 41, Scope: wire.ScopeRest,
		Records: &wire.RecordsState{Revision: 4711, AgeMillis: rnd.Int64N(1000)},
	}
	for i := range targets {
		hb.Loads = append(hb.Loads, wire.TargetLoad{
			Target: fleet.TargetID(fmt.Sprintf("i-%010x", i*7919)), Running: rnd.IntN(12), Unread: rnd.IntN(12000), Memory: rnd.IntN(200000),
		})
	}
	for i := range customers {
		hb.Usage = append(hb.Usage, wire.CustomerUsage{
			Customer: fleet.CustomerID(fmt.Sprintf("customer%d", i)), Requested: rnd.Int64N(90000000), Started: rnd.Int64N(90000000),
		})
	}
	for i := range members {
		hb.Members = append(hb.Members, wire.Member{
			ID: fleet.InstanceID(fmt.Sprintf("10.%d.0.%d:8306", i%6, i)), Incarnation: fleet.Incarnation(i * 1e15), DataCentre: "central-a",
			CallerAddr: fmt.Sprintf("10.%d.0.%d:8783", i%6, i), ProcessorMillis: 192, AgeMillis: rnd.Int64N(600),
		})
	}
	return hb
}

// BenchmarkGatewayHeartbeat encodes and decodes heartbeats of the fleets in docs/CAPACITY.md, on
// one connection, with and without members, and those without loads.
func BenchmarkGatewayHeartbeat(b *testing.B) {
	for _, c := range []struct {
		name                        string
		targets, customers, members int
	}{{"members", 123, 60, 195}, {"loads", 123, 60, 0}, {"short", 0, 0, 0}} {
		b.Run(c.name, func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			var hbs []*wire.Heartbeat
			for range 16 {
				hbs = append(hbs, gatewayHeartbeat(rnd, c.targets, c.customers, c.members))
			}
			e, err := newEncoder(compressionLevel)
			if err != nil {
				b.Fatal(err)
			}
			var pipe bytes.Buffer
			d := newDecoder(&pipe, wire.MaxMessageBytes)
			var frame []byte
			total := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				text, err := new(stream).notificationText(wire.MethodHeartbeat, hbs[i%len(hbs)])
				if err != nil {
					b.Fatal(err)
				}
				if frame, err = e.appendFrame(frame[:0], text); err != nil {
					b.Fatal(err)
				}
				total += len(frame)
				pipe.Write(frame)
				message, err := d.next()
				if err != nil {
					b.Fatal(err)
				}
				var m struct {
					Params wire.Heartbeat `json:"params"`
				}
				if err := json.Unmarshal(message, &m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(total)/float64(b.N), "wire-B/op")
		})
	}
}
