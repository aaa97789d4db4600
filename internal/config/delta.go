package config

import (
	"bytes"
	"encoding/binary"
	"strings"

	"medlarwind.dev/medlarwind/internal/rules"
)

// digestLength is the length of a digest, in bytes of its text.
var digestLength = len(Digest(nil))

// A patch is the old text's digest, the new text's digest, the length of the new
// text and then steps. Numbers are unsigned varints. A step is its length shifted
// left by one; the lowest bit is stepAdd if that many bytes of new text follow,
// and otherwise the offset follows from which they are copied out of the old text.
const stepAdd = 1

// Delta returns a patch that turns the old text into the new one. Equal lines are
// copied, also where they have moved, so that its length is in proportion to the
// lines changed. It takes time and memory in proportion to both texts.
func Delta(old, new []byte) []byte {
	return makePatch(old, new, Digest(old), Digest(new))
}

// makePatch is Delta for texts with known digests.
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

// patchWriter appends steps and joins copies that follow one another.
type patchWriter struct {
	patch []byte
	// from and length are the copy that is not yet written.
	from   int
	length int
}

// addMiddle writes the lines between common prefix and suffix. Old lines before from
// are only in the prefix and are not looked for.
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

// indexLines returns the offset of the first of each line from an offset on.
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

// flush writes the copy that waits.
func (w *patchWriter) flush() {
	if w.length > 0 {
		w.patch = binary.AppendUvarint(w.patch, uint64(w.length)<<1)
		w.patch = binary.AppendUvarint(w.patch, uint64(w.from))
	}
	w.length = 0
}

// Apply returns the new text of a patch. It returns ErrPatchBase if the patch is
// not for the old text and ErrPatchDamaged if the result is not the text that the
// patch was made from. It allocates at most rules.MaxTextBytes.
func Apply(old, patch []byte) ([]byte, error) {
	text, _, err := applyPatch(old, Digest(old), patch)
	return text, err
}

// applyPatch is Apply for a text with known digest. It returns the new text's as
// well.
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

// patchReader reads numbers and steps until the first one that is out of range.
type patchReader struct {
	rest    []byte
	invalid bool
}

// number reads one number that a length or an offset can be.
func (r *patchReader) number() int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > 2*rules.MaxTextBytes+1 {
		r.invalid = true
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

// step appends what one step gives, unless it is out of range or the text would
// outgrow its capacity.
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
