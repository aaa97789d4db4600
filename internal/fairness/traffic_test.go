package fairness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// BenchmarkTraffic reports what one entry sends to one peer, in bytes and counters
// for each second, and the most service that was unsent at a heartbeat, for
// thresholds from sending every change upwards. Each of 15 customers streams 4
// answers of 50 cost units a second, an answer has 20 to 600 of them, and heartbeats
// go every 200 ms.
func BenchmarkTraffic(b *testing.B) {
	const customers, streams, chunk, beat = 15, 4, 5, 100 * time.Millisecond
	for _, threshold := range []fleet.Cost{1, 200, 1000, 5000} {
		b.Run(fmt.Sprint("threshold=", threshold), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			a := New(1<<63, Params{PublishThreshold: threshold})
			var works [customers * streams]RequestCharge
			var used, size [customers * streams]fleet.Cost
			now, bytes, records, unsent := time.Unix(1, 0), 0, 0, fleet.Cost(0)
			seq := uint64(0)
			for b.Loop() {
				seq++
				now = now.Add(beat)
				a.Tick(now)
				for i := range works {
					c := customer(i % customers)
					if used[i] >= size[i] {
						a.Finish(&works[i], used[i])
						works[i], used[i], size[i] = a.Start(c, 1), 1, fleet.Cost(20+rng.IntN(580))
					}
					used[i] += chunk
					a.Update(&works[i], used[i])
				}
				if seq%2 == 1 {
					continue
				}
				hb := wire.Heartbeat{Seq: seq}
				a.Acknowledge("peer", 2, seq-2)
				a.FillHeartbeat("peer", &hb, 100)
				text, err := json.Marshal(hb.Service)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(text)
				records += len(hb.Service)
				sum := fleet.Cost(0)
				for i := range a.accounts {
					sum += a.accounts[i].own - a.accounts[i].published
				}
				unsent = max(unsent, sum)
			}
			seconds := float64(seq) * beat.Seconds()
			b.ReportMetric(float64(bytes)/seconds, "B/s")
			b.ReportMetric(float64(records)/seconds, "records/s")
			b.ReportMetric(float64(unsent), "unsent-units")
			b.ReportMetric(0, "ns/op")
		})
	}
}
