package publisher_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/publisher"
)

// A platform that sends without end must be cut off at the limit of what was asked for, and a
// slow one at the time limit of a request.
func TestEndlessReplyIsCutOff(t *testing.T) {
	config := func(c *publisher.Client) error {
		_, _, err := c.Config(context.Background(), 0)
		return err
	}
	list := func(c *publisher.Client) error {
		_, err := c.List(context.Background())
		return err
	}
	for name, test := range map[string]struct {
		read   func(*publisher.Client) error
		status int
		pause  time.Duration
		kind   publisher.Kind
		limit  int64
	}{
		"configuration":      {config, http.StatusOK, 0, publisher.Malformed, publisher.MaxConfigBytes},
		"list":               {list, http.StatusOK, 0, publisher.Malformed, publisher.MaxListBytes},
		"slow configuration": {config, http.StatusOK, time.Second, publisher.Unavailable, publisher.MaxConfigBytes},
		"error":              {config, http.StatusInternalServerError, 0, publisher.Unavailable, publisher.MaxConfigBytes},
		"slow error":         {config, http.StatusInternalServerError, time.Second, publisher.Unavailable, publisher.MaxConfigBytes},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(publisher.HeaderVersion, "7")
				w.WriteHeader(test.status)
				flusher := http.NewResponseController(w)
				for sent := 0; sent < 32<<20 && r.Context().Err() == nil; sent += 1 << 10 {
					if _, err := io.WriteString(w, strings.Repeat("a", 1<<10)); err != nil || flusher.Flush() != nil {
						return
					}
					time.Sleep(test.pause)
				}
			})
			withTestEnv(t, h, func(w *testEnv) {
				began := time.Now()
				wantKind(t, test.read(w.reader), test.kind)
				if took := time.Since(began); took > 3*time.Second {
					t.Errorf("read ended after %s, want 3s at most", took)
				}
				// The network and the buffers on both sides hold up to 1 MiB, and the chunks of the
				// body take some bytes.
				if sent, want := w.net.BytesSent(host, reader), test.limit*5/4+1<<20; sent > want {
					t.Errorf("platform sent %d bytes, want at most %d", sent, want)
				}
			})
		})
	}
}
