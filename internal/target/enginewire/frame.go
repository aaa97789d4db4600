package enginewire

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// Frame is one line of an answer stream.
type Frame struct {
	// Attempt is the attempt number of the request on this connection.
	Attempt int `json:"a"`
	// Sequence counts the frames of the answer from 0. In the last frame it equals
	// Frames.
	Sequence int64 `json:"s"`
	// InputTokens and OutputTokens are the numbers of tokens read and generated so
	// far.
	InputTokens  int64 `json:"i"`
	OutputTokens int64 `json:"o"`
	// Checksum is the CRC-32C of the answer up to the end of this frame.
	Checksum uint32 `json:"c"`
	// Data is empty in the last frame.
	Data []byte `json:"d,omitempty"`
	// Last is set on the frame that ends the answer, together with RequestID and
	// Frames.
	Last      bool   `json:"l,omitempty"`
	RequestID string `json:"r,omitempty"`
	// Frames is the number of frames that carry data.
	Frames int64 `json:"n,omitempty"`
	// Error ends the stream. It says why the engine failed while it ran the request.
	Error string `json:"e,omitempty"`
}

// ErrMalformedFrame is returned for a line that is not a valid frame.
var ErrMalformedFrame = errors.New("malformed frame")

// AppendFrame appends f to b as one line of JSON, with the newline.
func AppendFrame(b []byte, f Frame) []byte {
	b = appendInt(b, `{"a":`, int64(f.Attempt))
	b = appendInt(b, `,"s":`, f.Sequence)
	b = appendInt(b, `,"i":`, f.InputTokens)
	b = appendInt(b, `,"o":`, f.OutputTokens)
	b = appendInt(b, `,"c":`, int64(f.Checksum))
	if len(f.Data) > 0 {
		b = append(b, `,"d":"`...)
		b = base64.StdEncoding.AppendEncode(b, f.Data)
		b = append(b, '"')
	}
	if f.Last {
		b = append(b, `,"l":true`...)
		b = appendInt(b, `,"n":`, f.Frames)
	}
	b = appendText(b, `,"r":`, f.RequestID)
	b = appendText(b, `,"e":`, f.Error)
	return append(b, '}', '\n')
}

// appendInt appends a key and a number.
func appendInt(b []byte, key string, v int64) []byte {
	return strconv.AppendInt(append(b, key...), v, 10)
}

// appendText appends a key and a JSON string, or nothing if text is empty.
func appendText(b []byte, key, text string) []byte {
	if text == "" {
		return b
	}
	quoted, _ := json.Marshal(text)
	return append(append(b, key...), quoted...)
}

// ParseFrame parses one line without its newline. Lines written by AppendFrame take
// a fast path with one allocation, for Data; any other JSON encoding of a Frame is
// accepted as well. The result does not refer to line. Errors wrap
// ErrMalformedFrame.
func ParseFrame(line []byte) (Frame, error) {
	f, ok := parseFast(line)
	if !ok {
		var err error
		if f, err = parseSlow(line); err != nil {
			return Frame{}, err
		}
	}
	if f.Sequence < 0 || f.InputTokens < 0 || f.OutputTokens < 0 || f.Frames < 0 {
		return Frame{}, errors.Wrap(ErrMalformedFrame, "negative number")
	}
	return f, nil
}

// parseSlow parses any JSON encoding of a frame.
func parseSlow(line []byte) (Frame, error) {
	var f Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return Frame{}, errors.Wrap(ErrMalformedFrame, err.Error())
	}
	return f, nil
}

// parseFast parses an object with one-letter keys whose values are unsigned
// integers, "true" or strings without escapes. It returns false for anything else.
func parseFast(line []byte) (Frame, bool) {
	var f Frame
	if len(line) < 2 || line[0] != '{' || line[len(line)-1] != '}' {
		return f, false
	}
	rest := line[1 : len(line)-1]
	for len(rest) > 0 {
		if len(rest) < 5 || rest[0] != '"' || rest[2] != '"' || rest[3] != ':' {
			return f, false
		}
		n, ok := f.setField(rest[1], rest[4:])
		if !ok {
			return f, false
		}
		rest = rest[4+n:]
		if len(rest) == 0 {
			break
		}
		if rest[0] != ',' || len(rest) == 1 {
			return f, false
		}
		rest = rest[1:]
	}
	return f, true
}

// setField parses the value at the start of b into the field with the given key. It
// returns the length of the value, and false if the fast path cannot parse it.
func (f *Frame) setField(key byte, b []byte) (int, bool) {
	switch key {
	case 'd', 'r', 'e':
		return f.setText(key, b)
	case 'l':
		f.Last = true
		return 4, bytes.HasPrefix(b, []byte("true"))
	}
	v, n := parseInt(b)
	if n == 0 {
		return 0, false
	}
	switch key {
	case 'a':
		f.Attempt = int(v)
	case 's':
		f.Sequence = v
	case 'i':
		f.InputTokens = v
	case 'o':
		f.OutputTokens = v
	case 'c':
		f.Checksum = uint32(v)
		return n, v <= math.MaxUint32
	case 'n':
		f.Frames = v
	default:
		return 0, false
	}
	return n, true
}

// setText parses a string without escapes into the field with the given key. Its
// results are those of setField.
func (f *Frame) setText(key byte, b []byte) (int, bool) {
	if len(b) < 2 || b[0] != '"' {
		return 0, false
	}
	end := bytes.IndexByte(b[1:], '"')
	if end < 0 {
		return 0, false
	}
	text := b[1 : 1+end]
	if key == 'd' {
		return end + 2, f.setData(text)
	}
	for _, c := range text {
		if c == '\\' || c < ' ' || c > '~' {
			return 0, false
		}
	}
	if key == 'r' {
		f.RequestID = string(text)
	} else {
		f.Error = string(text)
	}
	return end + 2, true
}

// setData decodes base64 text into Data. It rejects line breaks, which the decoder
// would skip.
func (f *Frame) setData(text []byte) bool {
	if bytes.IndexByte(text, '\r') >= 0 || bytes.IndexByte(text, '\n') >= 0 {
		return false
	}
	data := make([]byte, base64.StdEncoding.DecodedLen(len(text)))
	n, err := base64.StdEncoding.Decode(data, text)
	f.Data = data[:n]
	return err == nil
}

// maxDigits is the largest number of decimal digits that always fits into an int64.
const maxDigits = 18

// parseInt parses an unsigned JSON integer and returns its value and length. The
// length is 0 if there is none or if it has a form that only the slow path accepts.
func parseInt(b []byte) (int64, int) {
	var v int64
	n := 0
	for n < len(b) && b[n] >= '0' && b[n] <= '9' {
		v = v*10 + int64(b[n]-'0')
		n++
		if n > maxDigits {
			return 0, 0
		}
	}
	if n > 1 && b[0] == '0' {
		return 0, 0
	}
	return v, n
}
