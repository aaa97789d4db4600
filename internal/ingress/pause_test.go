package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/inventory"
)

// allowTargets lets requests on all routes reach this many targets.
func (e *testIngress) allowTargets(n int) {
	config := catalog.Config{Version: 2, Services: []catalog.Service{{ID: "app"}}}
	for _, r := range testRoutes {
		r.Host, r.Prefix, r.MaxTargets = testHost, "/"+r.Name+"/", n
		r.FirstByteSLO, r.Timeout, r.Anonymous = testFirstByteSLO, 10*time.Second, true
		r.Services = []catalog.WeightedService{{Service: "app", Weight: 1}}
		config.Routes = append(config.Routes, r)
	}
	current := catalog.New(config)
	e.config.current.Store(current)
	e.scheduler.SetCatalog(current)
}

// What a rawTarget does at its cut.
const (
	cutPauses = "pauses"
	cutBreaks = "breaks off"
	cutHangs  = "hangs"
)

// rawTarget is a target whose response does something at any of its bytes.
type rawTarget struct {
	// refuses says that no request runs there.
	refuses bool
	// at is the place of the cut in the response, from 0 to 1, and what happens there.
	at    float64
	what  string
	pause time.Duration
	// untilClosed says that the end of the connection ends the response.
	untilClosed bool
}

// drawTarget returns a target that is sound, or not.
func drawTarget(t *rapid.T, sound bool, name string) rawTarget {
	r := rawTarget{what: cutPauses, untilClosed: rapid.Bool().Draw(t, name+" ends with its connection")}
	if !sound {
		if r.refuses = rapid.IntRange(0, 3).Draw(t, name+" refuses") == 3; r.refuses {
			return r
		}
		r.what = rapid.SampledFrom([]string{cutPauses, cutBreaks, cutHangs}).Draw(t, name+" at the cut")
	}
	// The ends of the response are as likely as a place within it.
	r.at = rapid.SampledFrom([]float64{0, 1, rapid.Float64Range(0, 1).Draw(t, name+" within")}).Draw(t, name+" cut")
	r.pause = time.Duration(rapid.IntRange(500, 3000).Draw(t, name+" pause, ms")) * time.Millisecond
	return r
}

// response returns the response to a request that resumes a stream after an event, 0 for none.
func (r rawTarget) response(stream bool, after int) string {
	body, contentType := whole, "text/plain"
	if stream {
		contentType = "text/event-stream"
		body = ""
		for id := after + 1; id <= lastEvent; id++ {
			body += testEvent(id)
		}
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\nConnection: close\r\n"
	switch {
	case stream && r.untilClosed:
		return head + "\r\n" + body
	case stream:
		chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
		for _, event := range strings.SplitAfter(body, "\n\n") {
			if event != "" {
				chunked += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
		}
		return chunked + "0\r\n\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// run returns a run of the target that counts itself in ran.
func (r rawTarget) run(t *testing.T, ran *atomic.Int64) runFunc {
	return func(ctx context.Context, w http.ResponseWriter, request *http.Request) {
		if r.refuses {
			refuse(ctx, w, request)
			return
		}
		ran.Add(1)
		after, _ := strconv.Atoi(request.Header.Get(resumeHeader))
		response := r.response(strings.Contains(request.URL.Path, "str") || strings.Contains(request.URL.Path, "resum"), after)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		cut := int(r.at * float64(len(response)))
		_, _ = io.WriteString(conn, response[:cut])
		switch r.what {
		case cutBreaks:
			return
		case cutHangs:
			time.Sleep(time.Minute)
			return
		}
		time.Sleep(r.pause)
		_, _ = io.WriteString(conn, response[cut:])
	}
}

// A sound target may fall silent at any byte of its answer and go on. No request may be aborted or
// get 502 while one of its runs is sound and no other run has delivered in its place, and none at
// all if all its targets are sound. No more targets may run it than its route allows.
func TestPauseLosesAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := rapid.SampledFrom(testRoutes).Draw(rt, "route")
		allowed := rapid.IntRange(1, 3).Draw(rt, "targets allowed")
		retryExtra := rapid.SampledFrom([]float64{0, oneRetry, 100, 100}).Draw(rt, "retries")
		allSound := rapid.Bool().Draw(rt, "all sound")
		first := drawTarget(rt, true, "first")
		var others []rawTarget
		for i := range rapid.IntRange(0, 3).Draw(rt, "others") {
			others = append(others, drawTarget(rt, allSound, fmt.Sprint("other ", i)))
		}
		var ran atomic.Int64
		var status int
		var body string
		var err error
		var report Report
		synctest.Test(t, func(t *testing.T) {
			e := newTestIngress(t, retryExtra)
			e.allowTargets(allowed)
			e.addTarget("t0", inventory.Ready, first.run(t, &ran))
			time.AfterFunc(time.Millisecond, func() {
				for i, other := range others {
					e.addTarget(fmt.Sprint("t", i+1), inventory.Ready, other.run(t, &ran))
				}
			})
			status, body, err = e.call(route.Name)
			report = e.lastReport()
			// Targets that hang or pause go on after the answer.
			defer time.Sleep(2 * time.Minute)
			e.checkReleased()
		})
		if !route.Repeatable() {
			allowed = 1
		}
		if got := ran.Load(); got > int64(allowed) {
			rt.Errorf("%d targets ran the request, want at most %d", got, allowed)
		}
		complete := status == http.StatusOK && err == nil && body == whole
		// The first target is sound, so that only another run that delivers takes its place.
		overtaken := report.Target != "t0"
		switch {
		case complete:
		case allSound || !overtaken:
			rt.Errorf("got status %d, body %q and error %v, want the whole answer: %+v", status, body, err, report)
		case status == http.StatusOK && (err == nil || !strings.HasPrefix(whole, body)):
			rt.Errorf("got body %q and error %v, want the whole answer, or an error after its first pieces", body, err)
		}
	})
}
