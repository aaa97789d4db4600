package config

import (
	"bytes"
	"encoding/binary"
	"strings"

	"medlarwind.dev/medlarwind/internal/rules"
)

// digestLength is the length of a digest's text in bytes.
var digestLength = len(Digest(nil))

// A patch consists of the old text's digest, the new text's digest, the length of
// the new text and a sequence of steps. Numbers are unsigned varints. A step begins
// with its length, shifted left by one. If the lowest bit is stepAdd, that many bytes
// of new text follow. Otherwise the offset in the old text follows from which that
// many bytes are copied.
const stepAdd = 1

// Delta returns a patch that turns the old text into the new one. Equal lines are
// copied from the old text even if they have moved, so that the patch's length is
// proportional to the changed lines. It takes time and memory proportional to the
// length of both texts.
func Delta(old, new []byte) []byte {
	return makePatch(old, new, Digest(old), Digest(new))
}

// makePatch is like Delta, for texts whose digests are known.
func makePatch(old, new []byte, oldDigest, newDigest string) []byte {
	w := &patchWriter{}
	w.patch = append(w.patch, oldDigest...)
	w.patch = append(w.patch, newDigest...)
	w.patch = binary.AppendUvarint(w.patch, uint64(len(new)))

	prefix, suffix := rules.CommonLines(old, new)
	w.copy(0, prefix)
	w.addMiddle(old[:len(old)-suffix], new[prefix:len(new)-suffix], prefix)
	w.copy(len(old)-suffix, suffix)
	w.flush()
	return w.patch
}

// patchWriter appends steps to a patch and merges adjacent copies.
type patchWriter struct {
	patch []byte
	// from and length describe the pending copy.
	from   int
	length int
}

// addMiddle writes the lines between the common prefix and suffix. Old lines before
// from belong to the prefix and are not searched.
func (w *patchWriter) addMiddle(old, new []byte, from int) {
	if len(new) == 0 {
		return
	}
	index := indexLines(old, from)
	next := from
	for line := range bytes.Lines(new) {
		at := next
		if !bytes.HasPrefix(old[at:], line) {
			found, known := index[string(line)]
			if !known {
				w.add(line)
				continue
			}
			at = found
		}
		w.copy(at, len(line))
		next = at + len(line)
	}
}

// indexLines returns, for each distinct line at or after offset from, the offset of
// its first occurrence.
func indexLines(text []byte, from int) map[string]int {
	index := make(map[string]int)
	for line := range strings.Lines(string(text[from:])) {
		if _, known := index[line]; !known {
			index[line] = from
		}
		from += len(line)
	}
	return index
}

func (w *patchWriter) copy(from, length int) {
	if length == 0 {
		return
	}
	if w.length > 0 && w.from+w.length == from {
		w.length += length
		return
	}
	w.flush()
	w.from, w.length = from, length
}

func (w *patchWriter) add(line []byte) {
	w.flush()
	w.patch = binary.AppendUvarint(w.patch, uint64(len(line))<<1|stepAdd)
	w.patch = append(w.patch, line...)
}

// flush writes the pending copy, if any.
func (w *patchWriter) flush() {
	if w.length > 0 {
		w.patch = binary.AppendUvarint(w.patch, uint64(w.length)<<1)
		w.patch = binary.AppendUvarint(w.patch, uint64(w.from))
	}
	w.length = 0
}

// Apply applies a patch to the old text and returns the new one. It returns
// ErrPatchBase if the patch was made for another old text, and ErrPatchDamaged if it
// is malformed or its result does not match the digest in it. It allocates at most
// rules.MaxTextBytes for the result.
func Apply(old, patch []byte) ([]byte, error) {
	text, _, err := applyPatch(old, Digest(old), patch)
	return text, err
}

// applyPatch is like Apply, for an old text whose digest is known. It also returns
// the digest of the new text.
func applyPatch(old []byte, oldDigest string, patch []byte) (text []byte, digest string, err error) {
	if len(patch) < 2*digestLength {
		return nil, "", ErrPatchDamaged
	}
	if string(patch[:digestLength]) != oldDigest {
		return nil, "", ErrPatchBase
	}
	want := string(patch[digestLength : 2*digestLength])
	r := &patchReader{rest: patch[2*digestLength:]}
	size := r.number()
	if r.invalid || size > rules.MaxTextBytes {
		return nil, "", ErrPatchDamaged
	}
	text = make([]byte, 0, size)
	for len(r.rest) > 0 && !r.invalid {
		text = r.step(old, text)
	}
	if r.invalid || len(text) != size || Digest(text) != want {
		return nil, "", ErrPatchDamaged
	}
	return text, want, nil
}

// patchReader reads numbers and steps. It becomes invalid at the first one that is
// malformed or out of range.
type patchReader struct {
	rest    []byte
	invalid bool
}

// number reads one varint and checks that it is small enough for a step's length
// or offset.
func (r *patchReader) number() int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > 2*rules.MaxTextBytes+1 {
		r.invalid = true
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

// step reads one step and appends its bytes to text. The reader becomes invalid if
// the step is out of range or text would exceed its capacity.
func (r *patchReader) step(old, text []byte) []byte {
	head := r.number()
	length := head >> 1
	source, from := r.rest, 0
	if head&stepAdd == 0 {
		source, from = old, r.number()
	}
	if r.invalid || from > len(source) || length > len(source)-from || length > cap(text)-len(text) {
		r.invalid = true
		return text
	}
	if head&stepAdd != 0 {
		r.rest = r.rest[length:]
	}
	return append(text, source[from:from+length]...)
}
