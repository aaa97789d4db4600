package localfleet

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/gen/medlarwind/v1/medlarwindv1connect"
	"medlarwind.dev/medlarwind/internal/standin"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// Load of the relay benchmark: concurrent streams, frames per stream and the time the
// engine takes per token.
const (
	relayStreams = 64
	relayFrames  = 256
	relayToken   = 4 * time.Millisecond
)

// relayFleet starts one instance with one engine that sends one token per frame.
func relayFleet(b *testing.B) *Fleet {
	f, err := Start(Spec{
		DataCentres: []DataCentre{{ID: "dc", Region: "r", Instances: 1, Engines: 1, Services: 1}},
		Customers:   []Customer{{ID: "mill", Share: 1, QueueLimit: 256}},
		Limit:       relayStreams,
		ColdLimit:   relayStreams,
		Engine:      standin.EngineOptions{TokensPerFrame: 1, TokenTime: relayToken},
	}, Loopback())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	f.Engines[0].SetReady()
	return f
}

// BenchmarkRelay streams one-token frames from an engine to callers that discard
// them: directly, through a plain net/http copy, and through an instance. It reports
// the CPU time of the process per frame for the direct stream, and the CPU time that
// the copy and the instance add to it.
func BenchmarkRelay(b *testing.B) {
	f := relayFleet(b)
	engine := "http://" + f.list.Targets[0].Addr + enginewire.PathGenerate
	proxy := startCopyProxy(b, engine)
	transport := &http.Transport{MaxIdleConnsPerHost: relayStreams}
	b.Cleanup(transport.CloseIdleConnections)
	caller := &relayCaller{b: b, http: &http.Client{Transport: transport}, secret: f.Spec.Customers[0].Secret()}
	message, _ := proto.Marshal(&medlarwindv1.GenerateRequest{Model: "appraise", Prompt: "a lot", MaxTokens: relayFrames})
	envelope := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	router := "http://" + f.Members[0].CallerAddr + medlarwindv1connect.RouterServiceGenerateProcedure
	caller.run(router, "application/connect+proto", envelope)
	var direct, copied, relayed time.Duration
	for b.Loop() {
		direct += caller.run(engine, "application/json", nil)
		copied += caller.run(proxy, "application/json", nil)
		relayed += caller.run(router, "application/connect+proto", envelope)
	}
	perFrame := func(t time.Duration) float64 { return float64(t) / 1e3 / float64(b.N*relayStreams*relayFrames) }
	b.ReportMetric(perFrame(direct), "direct-µs/frame")
	b.ReportMetric(perFrame(copied-direct), "copy-µs/frame")
	b.ReportMetric(perFrame(relayed-direct), "instance-µs/frame")
	b.ReportMetric(float64(relayed-direct)/float64(copied-direct), "instance/copy")
}

// startCopyProxy starts a plain net/http proxy that copies the engine's answers, and
// returns its URL.
func startCopyProxy(b *testing.B, engine string) string {
	transport := &http.Transport{MaxIdleConnsPerHost: relayStreams}
	b.Cleanup(transport.CloseIdleConnections)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(standin.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, engine, r.Body)
		answer, err := transport.RoundTrip(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer answer.Body.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := answer.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	})))
	return "http://" + listener.Addr().String()
}

// relayCaller sends relayStreams requests concurrently and discards the answers.
type relayCaller struct {
	b      *testing.B
	http   *http.Client
	secret string
	sent   int
}

// run sends one round of requests to url and returns the CPU time that it took. If body
// is nil, it sends requests in the engine's own format.
func (c *relayCaller) run(url, contentType string, body []byte) time.Duration {
	before := cpuTime()
	var group sync.WaitGroup
	for range relayStreams {
		c.sent++
		message := body
		if body == nil {
			message, _ = json.Marshal(enginewire.GenerateRequest{RequestID: "r" + time.Now().String(), Attempt: c.sent, Model: "appraise", Prompt: "a lot", MaxTokens: relayFrames})
		}
		group.Go(func() { c.stream(url, contentType, message) })
	}
	group.Wait()
	return cpuTime() - before
}

func (c *relayCaller) stream(url, contentType string, body []byte) {
	request, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("Authorization", "Bearer "+c.secret)
	answer, err := c.http.Do(request)
	if err != nil {
		c.b.Error(err)
		return
	}
	defer answer.Body.Close()
	if n, err := io.Copy(io.Discard, answer.Body); err != nil || n < relayFrames*8 {
		c.b.Errorf("%s: read %d bytes, error %v", url, n, err)
	}
}

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
