package records

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
	"strings"
	"testing"
)

// checkDecoded checks that records of a peer are within the limit and can be passed on.
func checkDecoded(t *testing.T, all []Change) {
	if len(all) > maxDecodedRecords {
		t.Fatalf("%d records, want at most %d", len(all), maxDecodedRecords)
	}
	text, err := EncodeChanges(all)
	if err != nil {
		t.Fatalf("records cannot be encoded: %v", err)
	}
	if again, err := DecodeChanges(text); err != nil || len(again) != len(all) {
		t.Fatalf("%d records after encoding, want %d: %v", len(again), len(all), err)
	}
}

func FuzzDecode(f *testing.F) {
	add := func(text string) {
		var out bytes.Buffer
		w := gzip.NewWriter(&out)
		_, _ = io.WriteString(w, text)
		_ = w.Close()
		f.Add(out.Bytes())
		f.Add(out.Bytes()[:out.Len()/2])
		f.Add(slices.Concat(out.Bytes(), out.Bytes()))
	}
	for _, text := range oddChanges {
		add(text)
	}
	add(strings.Repeat(" ", 1<<20))
	f.Fuzz(func(t *testing.T, text []byte) {
		if all, err := Decode(text); err == nil {
			checkDecoded(t, all)
		}
	})
}

// oddChanges are texts of changes, most of them odd.
var oddChanges = []string{
	`[{"k":"a/1","v":"e30=","r":5},{"k":"b","r":6,"d":true}]`, "null", "[]", "[null]", `[{}]`,
	`[{"k":"a","r":18446744073709551615}]`, `[{"k":"a","r":1e30}]`, `[{"k":"a","v":"not base64!"}]`, `[{"k":"\ud800"}]`,
	strings.Repeat("[", 20_000), `[{"x":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}]`, `[{"k":"a"}]]`,
}

func FuzzDecodeChanges(f *testing.F) {
	for _, text := range oddChanges {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if all, err := DecodeChanges(text); err == nil {
			checkDecoded(t, all)
		}
	})
}
