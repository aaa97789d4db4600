package records_test

import (
	"bytes"
	"compress/gzip"
	"runtime"
	"strings"
	"testing"

	"medlarwind.dev/medlarwind/internal/records"
)

// compress returns the gzip form of a text.
func compress(text string) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write([]byte(text))
	_ = w.Close()
	return out.Bytes()
}

// A copy or a list of changes from a peer that is compressed, or that has very many empty
// records, must be refused before it takes more memory than an instance has.
func TestRecordsFromPeerFitInMemory(t *testing.T) {
	// maxAllocated is the memory of an instance on the smallest machine; all of it counts that
	// is allocated until the records are refused.
	const maxAllocated = 112 << 20
	empty := func(bytes int) string { return "[{}" + strings.Repeat(",{}", bytes/3) + "]" }
	bomb := compress(strings.Repeat(" ", 24<<20))
	many := compress(empty(15 << 20))
	patch := []byte(empty(3 << 20))
	nulls := compress("[null" + strings.Repeat(",null", 15<<20/5) + "]")
	fewNulls := []byte("[null" + strings.Repeat(",null", 100_000) + "]")
	numbers := []byte("[0" + strings.Repeat(",0", 3<<20/2) + "]")
	for name, decode := range map[string]func() error{
		"bomb":          func() error { _, err := records.Decode(bomb); return err },
		"empty records": func() error { _, err := records.Decode(many); return err },
		"nulls":         func() error { _, err := records.Decode(nulls); return err },
		"few nulls":     func() error { _, err := records.DecodeChanges(fewNulls); return err },
		"numbers":       func() error { _, err := records.DecodeChanges(numbers); return err },
		"empty changes": func() error { _, err := records.DecodeChanges(patch); return err },
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := decode()
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("records were accepted")
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
				t.Errorf("allocated %d bytes, want at most %d", n, maxAllocated)
			}
		})
	}
}
