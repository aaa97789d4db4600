package entry

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"medlarwind.dev/medlarwind/gen/medlarwind/v1/medlarwindv1connect"
)

// A short compressed message can have a very long text. The handler must not decompress more
// of it than a message may have, also not to report its length.
func TestCompressedMessageIsNotDecompressedBeyondLimit(t *testing.T) {
	const length = 64 << 20
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	zeros := make([]byte, 1<<20)
	for range length / len(zeros) {
		_, _ = w.Write(zeros)
	}
	_ = w.Close()
	withServer(t, func(t *testing.T, _ *Server, h *http.Client) {
		url := "http://" + entryAddr + medlarwindv1connect.RouterServiceCancelProcedure
		request, _ := http.NewRequest(http.MethodPost, url, &bomb)
		request.Header.Set("Authorization", "Bearer mill-a")
		request.Header.Set("Content-Type", "application/proto")
		request.Header.Set("Content-Encoding", "gzip")
		response, err := h.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if !bytes.Contains(text, []byte("resource_exhausted")) {
			t.Errorf("got %s %s, want resource_exhausted", response.Status, text)
		}
		for _, number := range regexp.MustCompile(`\d+`).FindAllString(string(text), -1) {
			if n, err := strconv.Atoi(number); err != nil || n > MaxMessageBytes+1 {
				t.Errorf("handler found %s bytes, want it to stop after %d: %s", number, MaxMessageBytes, text)
			}
		}
	})
}

// Compressed messages of any length up to the limit are read, one after another.
func TestCompressedMessagesAreRead(t *testing.T) {
	d := newDecompressor()
	for _, length := range []int{0, 1, MaxMessageBytes, 5, MaxMessageBytes} {
		var text bytes.Buffer
		w := gzip.NewWriter(&text)
		_, _ = w.Write(make([]byte, length))
		_ = w.Close()
		if err := d.Reset(&text); err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(d); err != nil || len(got) != length {
			t.Errorf("read %d bytes, error %v; want %d", len(got), err, length)
		}
	}
}
