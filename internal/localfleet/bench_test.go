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

// Sizes of the relay benchmark.
const (
	relayStreams = 64
	relayFrames  = 256
	relayToken   = 4 * time.Millisecond
)

// relayFleet is one instance before one engine that gives a token in each frame.
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
// the processor time of the process for each frame, and the relays' share of it:
// what is above the direct stream.
func BenchmarkRelay(b *testing.B) {
	f := relayFleet(b)
	engine := "http://" + f.list.Targets[0].Addr + enginewire.PathGenerate
	copier := relayCopier(b, engine)
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
		copied += caller.run(copier, "application/json", nil)
		relayed += caller.run(router, "application/connect+proto", envelope)
	}
	each := func(t time.Duration) float64 { return float64(t) / 1e3 / float64(b.N*relayStreams*relayFrames) }
	b.ReportMetric(each(direct), "direct-µs/frame")
	b.ReportMetric(each(copied-direct), "copy-µs/frame")
	b.ReportMetric(each(relayed-direct), "instance-µs/frame")
	b.ReportMetric(float64(relayed-direct)/float64(copied-direct), "instance/copy")
}

// relayCopier serves a plain copy of the engine's answers.
func relayCopier(b *testing.B, engine string) string {
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

// relayCaller sends all streams at once and discards the answers.
type relayCaller struct {
	b      *testing.B
	http   *http.Client
	secret string
	sent   int
}

// run returns the processor time of one round. Without a body it asks an engine.
func (c *relayCaller) run(url, contentType string, body []byte) time.Duration {
	before := processTime()
	var group sync.WaitGroup
	for range relayStreams {
		c.sent++
		text := body
		if body == nil {
			text, _ = json.Marshal(enginewire.GenerateRequest{RequestID: "r" + time.Now().String(), Attempt: c.sent, Model: "appraise", Prompt: "a lot", MaxTokens: relayFrames})
		}
		group.Go(func() { c.stream(url, contentType, text) })
	}
	group.Wait()
	return processTime() - before
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
		c.b.Errorf("%s answered %d bytes, %v", url, n, err)
	}
}

func processTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
