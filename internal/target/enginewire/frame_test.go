package enginewire

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawFrame draws a frame with arbitrary field values.
func drawFrame(rt *rapid.T) Frame {
	count := rapid.Int64Range(0, 1<<62)
	f := Frame{
		Attempt:      rapid.IntRange(0, 9).Draw(rt, "attempt"),
		Sequence:     count.Draw(rt, "sequence"),
		InputTokens:  count.Draw(rt, "input"),
		OutputTokens: count.Draw(rt, "output"),
		Checksum:     rapid.Uint32().Draw(rt, "checksum"),
		Last:         rapid.Bool().Draw(rt, "last"),
		RequestID:    rapid.String().Draw(rt, "request"),
		Error:        rapid.String().Draw(rt, "error"),
	}
	if f.Last {
		f.Frames = count.Draw(rt, "frames")
	}
	if data := rapid.SliceOf(rapid.Byte()).Draw(rt, "data"); len(data) > 0 {
		f.Data = data
	}
	return f
}

// A frame written by AppendFrame or by encoding/json is parsed back unchanged.
func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := drawFrame(rt)
		line := AppendFrame(nil, f)
		if bytes.Count(line, []byte("\n")) != 1 || line[len(line)-1] != '\n' {
			rt.Fatalf("AppendFrame did not write exactly one line: %q", line)
		}
		slow, _ := json.Marshal(f)
		for _, text := range [][]byte{line[:len(line)-1], slow} {
			if got, err := ParseFrame(text); err != nil || !reflect.DeepEqual(got, f) {
				rt.Fatalf("ParseFrame(%s) = %+v, %v", text, got, err)
			}
		}
	})
}

// Whatever the fast path accepts, encoding/json accepts with the same result.
func FuzzParseFast(f *testing.F) {
	f.Add(AppendFrame(nil, Frame{Attempt: 1, Data: []byte("data"), Error: "e"}))
	for _, line := range []string{`{"a":01}`, `{"c":4294967296}`, `{"l":true,}`, `{"d":"YQ="}`, `{"r":"\"}`, `{}`, `{"a":1"s":2}`} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		line = bytes.TrimSpace(line)
		fast, ok := parseFast(line)
		if !ok {
			return
		}
		var slow Frame
		if err := json.Unmarshal(line, &slow); err != nil {
			t.Fatalf("fast path accepts %q: %v", line, err)
		}
		if len(fast.Data) == 0 {
			fast.Data, slow.Data = nil, nil
		}
		if !reflect.DeepEqual(fast, slow) {
			t.Fatalf("%q: %+v, want %+v", line, fast, slow)
		}
	})
}
