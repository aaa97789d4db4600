package config

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// lines generates texts of few distinct lines, so that many are repeated or moved.
func lines() *rapid.Generator[[]byte] {
	return rapid.Custom(func(t *rapid.T) []byte {
		line := rapid.SampledFrom([]string{"a\n", "b\n", "abc\n", "\n", "a", "some longer line\n", "é\n"})
		return []byte(strings.Join(rapid.SliceOfN(line, 0, 12).Draw(t, "lines"), ""))
	})
}

// TestDeltaRoundTrip checks that applying a patch to its old text gives the new text,
// that another old text is rejected, and that a damaged patch never gives a wrong
// text.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := lines().Draw(t, "old"), lines().Draw(t, "new")
		patch := Delta(old, next)
		got, err := Apply(old, patch)
		if err != nil || !bytes.Equal(got, next) {
			t.Fatalf("Apply() = %q, %v, want %q", got, err, next)
		}
		if _, err := Apply(append(old, 'x'), patch); !errors.Is(err, ErrPatchBase) {
			t.Fatalf("Apply() to another old text: %v, want ErrPatchBase", err)
		}
		at := rapid.IntRange(0, len(patch)-1).Draw(t, "at")
		patch[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		if got, err := Apply(old, patch); err == nil && !bytes.Equal(got, next) {
			t.Fatalf("Apply() with a damaged patch = %q, want %q or an error", got, next)
		}
	})
}

// TestDeltaSize checks that the size of a patch is proportional to the changed lines.
// Each costs its own bytes and at most four numbers of at most five bytes.
func TestDeltaSize(t *testing.T) {
	var old []string
	for i := range 5000 {
		old = append(old, fmt.Sprintf("line %d\n", i))
	}
	for _, changes := range []int{0, 1, 10, 100} {
		next := append([]string(nil), old...)
		bound := 2*digestLength + 20
		for i := range changes {
			next[i*37] = fmt.Sprintf("changed %d\n", i)
			bound += len(next[i*37]) + 20
		}
		next[4000], next[4500] = next[4500], next[4000]
		bound += 4 * 20
		patch := Delta([]byte(strings.Join(old, "")), []byte(strings.Join(next, "")))
		if len(patch) > bound {
			t.Errorf("%d lines changed: patch has %d bytes, want at most %d", changes, len(patch), bound)
		}
	}
}
