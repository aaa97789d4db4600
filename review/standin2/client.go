//go:build review2

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a requester.
type call struct {
	front, path, key string
	body             string
	budget           time.Duration
	prompt, output   int
	parts            string
	method           string
}

// reply is what a requester got.
type reply struct {
	attempt string
	sent    time.Time
	status  int
	body    string
	// signature is the server's, as the requester got it.
	signature string
	events    uint64
	// err says why the answer is not whole.
	err error
}

const host = "auction.example"

// newAttempt returns a new id of a request.
func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new channel and reads the answer.
func send(ctx context.Context, c call) reply {
	rep := reply{attempt: newAttempt(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.budget)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	method := c.method
	if method == "" {
		method = http.MethodPost
	}
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.front+c.path, body)
	if err != nil {
		rep.err = err
		return rep
	}
	r.Host = host
	r.Header.Set(hdrAttempt, rep.attempt)
	r.Header.Set(hdrDeadline, strconv.FormatInt(c.budget.Milliseconds(), 10))
	if c.key != "" {
		r.Header.Set(hdrKey, c.key)
	}
	if c.prompt > 0 {
		r.Header.Set(hdrModel, "m")
		r.Header.Set(hdrTokens, fmt.Sprintf("%d,%d", c.prompt, c.output))
		r.Header.Set(hdrPrompt, c.parts)
	}
	rep.sent = time.Now()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		rep.err = err
		return rep
	}
	defer answer.Body.Close()
	rep.status, rep.signature = answer.StatusCode, answer.Header.Get(hdrSignature)
	if rep.status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		rep.err = rep.readStream(answer.Body)
		return rep
	}
	text, err := io.ReadAll(answer.Body)
	rep.body, rep.err = string(text), err
	return rep
}

// readStream reads a stream of events and checks that each comes once, in order, up to the last.
func (rep *reply) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	id := uint64(0)
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.ParseUint(text, 10, 64)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			if id != rep.events+1 || text != eventText(rep.attempt, id) {
				return fmt.Errorf("event %d %q after event %d", id, text, rep.events)
			}
			rep.events = id
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if rep.events != eventsOf(rep.attempt) {
		return errors.New("stream ends as complete before its last event")
	}
	return nil
}

// describe describes a reply for the record.
func (rep *reply) describe() string {
	return fmt.Sprintf("attempt=%s status=%d events=%d bytes=%d took_ms=%d err=%v",
		rep.attempt, rep.status, rep.events, len(rep.body), time.Since(rep.sent).Milliseconds(), rep.err)
}
