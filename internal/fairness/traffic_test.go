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

// BenchmarkTraffic reports the bytes and counters that one entry sends to one peer per
// second, and the most service that was unsent at a heartbeat, for several publish
// thresholds; a threshold of 1 sends every change. Each of 15 customers streams 4
// answers at 50 cost units per second, an answer costs 20 to 600 units, and a heartbeat
// is sent every 200 ms.
func BenchmarkTraffic(b *testing.B) {
	const customers, streams, chunk, interval = 15, 4, 5, 100 * time.Millisecond
	for _, threshold := range []fleet.Cost{1, 200, 1000, 5000} {
		b.Run(fmt.Sprint("threshold=", threshold), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			a := New(1<<63, Params{PublishThreshold: threshold})
			var charges [customers * streams]RequestCharge
			var used, size [customers * streams]fleet.Cost
			now, bytes, records, unsent := time.Unix(1, 0), 0, 0, fleet.Cost(0)
			seq := uint64(0)
			for b.Loop() {
				seq++
				now = now.Add(interval)
				a.Tick(now)
				for i := range charges {
					c := customer(i % customers)
					if used[i] >= size[i] {
						a.Finish(&charges[i], used[i])
						charges[i], used[i], size[i] = a.Start(c, 1), 1, fleet.Cost(20+rng.IntN(580))
					}
					used[i] += chunk
					a.Update(&charges[i], used[i])
				}
				if seq%2 == 1 {
					continue
				}
				hb := wire.Heartbeat{Seq: seq}
				a.Acknowledge("peer", 2, seq-2)
				a.FillHeartbeat("peer", &hb, 100)
				text, err := json.Marshal(hb.ServiceCounter)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(text)
				records += len(hb.ServiceCounter)
				sum := fleet.Cost(0)
				for i := range a.accounts {
					sum += a.accounts[i].own - a.accounts[i].published
				}
				unsent = max(unsent, sum)
			}
			seconds := float64(seq) * interval.Seconds()
			b.ReportMetric(float64(bytes)/seconds, "B/s")
			b.ReportMetric(float64(records)/seconds, "records/s")
			b.ReportMetric(float64(unsent), "unsent-units")
			b.ReportMetric(0, "ns/op")
		})
	}
}
