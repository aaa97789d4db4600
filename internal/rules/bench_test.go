package rules

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// The size of a full fleet, for which the system is designed.
const (
	benchCustomers   = 15_000
	benchTargets     = 12_000
	benchDataCentres = 21
	benchRegions     = 8
)

// fullSizeDocument returns a document of the full design size.
func fullSizeDocument() []byte {
	var out strings.Builder
	for i := range benchDataCentres {
		fmt.Fprintf(&out, "datacentre dc-%02d region region-%d in # Lin, operations\n", i, i%benchRegions)
	}
	for _, model := range []string{"appraise", "tag", "answer"} {
		fmt.Fprintf(&out, "model %s input 1 output 4 # Wu, inspection\n", model)
	}
	for i := range benchCustomers {
		key := sha256.Sum256(fmt.Appendf(nil, "secret %d", i))
		fmt.Fprintf(&out, "customer mill-%05d share %d queue 64 key sha256:%x # Chen, auction floor\n", i, 1+i%9, key)
	}
	for i := range benchTargets {
		fmt.Fprintf(&out, "target dc-%02d-e%05d datacentre dc-%02d serves appraise,tag limit 8 cold 1 fencing checked sender ignored # Wu, inspection\n",
			i%benchDataCentres, i, i%benchDataCentres)
	}
	return []byte(out.String())
}

// BenchmarkParse parses and checks a document of the design size. heap-MB is the heap
// that the document retains, text-MB and gzip-MB are the sizes of its plain and
// compressed forms.
func BenchmarkParse(b *testing.B) {
	text := fullSizeDocument()
	compressed, err := Encode(text)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept, err := Parse(text)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
	b.ReportMetric(float64(len(text))/1e6, "text-MB")
	b.ReportMetric(float64(len(compressed))/1e6, "gzip-MB")
	runtime.KeepAlive(kept)
}

// BenchmarkDecode decompresses a document of the design size.
func BenchmarkDecode(b *testing.B) {
	compressed, err := Encode(fullSizeDocument())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(compressed); err != nil {
			b.Fatal(err)
		}
	}
}
