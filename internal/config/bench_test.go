package config

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"medlarwind.dev/medlarwind/internal/wire"
)

// largeDocument returns a document with 15,000 customers and 12,000 targets, the
// design size. The share of one customer depends on n.
func largeDocument(n int) []byte {
	var out strings.Builder
	for i := range 21 {
		fmt.Fprintf(&out, "datacentre dc-%02d region region-%d in # Lin, operations\n", i, i%8)
	}
	out.WriteString("model appraise input 1 output 4 # Wu, inspection\n")
	for i := range 15_000 {
		share := 1 + i%9
		if i == 7_000 {
			share = 1 + n
		}
		key := sha256.Sum256(fmt.Appendf(nil, "secret %d", i))
		fmt.Fprintf(&out, "customer mill-%05d share %d queue 64 key sha256:%x # Chen, auction floor\n", i, share, key)
	}
	for i := range 12_000 {
		fmt.Fprintf(&out, "target dc-%02d-e%05d datacentre dc-%02d serves appraise limit 8 cold 1 fencing checked sender ignored # Wu, inspection\n", i%21, i, i%21)
	}
	return []byte(out.String())
}

// BenchmarkChange applies a change of one line to a document of the design size, as a
// patch from a peer and as the whole compressed document.
func BenchmarkChange(b *testing.B) {
	responders := []*Store{NewStore(), NewStore()}
	for i, s := range responders {
		s.Offer(1, largeDocument(2-i), "service")
		s.Offer(2, largeDocument(1+i), "service")
	}
	run := func(b *testing.B, request wire.ConfigRequest) {
		s := NewStore()
		s.Offer(1, largeDocument(2), "service")
		b.ReportAllocs()
		size := 0
		for b.Loop() {
			request.CurrentDigest = s.Current().Digest
			reply, err := responders[s.Version()%2^1].Answer(request, true)
			if err != nil {
				b.Fatal(err)
			}
			size = len(reply.Text)
			for _, patch := range reply.Patches {
				size += len(patch)
			}
			reply.Version = s.Version() + 1
			if outcome, err := s.OfferReply(reply, "peer"); outcome != Applied {
				b.Fatal(outcome, err)
			}
		}
		b.ReportMetric(float64(size), "sent-bytes/op")
	}
	b.Run("patch", func(b *testing.B) { run(b, wire.ConfigRequest{CurrentVersion: 1}) })
	b.Run("whole", func(b *testing.B) { run(b, wire.ConfigRequest{}) })
}

// BenchmarkStep measures a step of the coordinator with nothing to do, in a fleet of
// 21 data centres with 18 instances each. There are 1/stepInterval steps per second.
func BenchmarkStep(b *testing.B) {
	f := newTestFleet(21, 18, 1)
	w := NewWatcher(f.options, NewStore(), nil, nil, f.rand, zerolog.Nop())
	w.options.Self, w.options.DataCentre = f.list.Instances[3].ID, f.list.Instances[3].DataCentre
	now := time.Unix(0, 0)
	c := newCoordinator(w, now)
	c.setList(f.list)
	w.store.Offer(1, document(1), "service")
	for _, id := range c.gate.Unanswered() {
		c.gate.RecordAnswer(id, 1, true)
		c.observe(Observation{Peer: id, Version: 1, Digest: w.store.Current().Digest}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.step(now)
	}
}
