package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/gen/medlarwind/v1/medlarwindv1connect"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/rules"
	"medlarwind.dev/medlarwind/internal/target"
)

// testDirectory has the customers "mill-a" and "mill-b", whose secrets are their names.
// It accepts every workload, and no call is repeatable.
type testDirectory struct{}

func (testDirectory) Locate(fleet.CustomerID) ([]string, time.Duration) { return nil, time.Second }

func (testDirectory) Authenticate(hash [32]byte) (fleet.CustomerID, error) {
	for _, id := range []fleet.CustomerID{"mill-a", "mill-b"} {
		if hash == sha256.Sum256([]byte(id)) {
			return id, nil
		}
	}
	return "", ErrCredentials
}

func (testDirectory) Model(fleet.ModelID) (rules.Model, bool) { return rules.Model{}, true }
func (testDirectory) Call(rules.CallKey) (rules.Call, bool)   { return rules.Call{Once: true}, true }
func (testDirectory) SelfAddress() string                     { return entryAddr }

// blockingAdmission blocks every request until it is cancelled.
type blockingAdmission struct{}

func (blockingAdmission) Admit(ctx context.Context, _ *AdmissionRequest) (Lease, *OutcomeError) {
	<-ctx.Done()
	return nil, &OutcomeError{Kind: NotRun, Reason: ReasonCancelled}
}

const entryAddr = "10.0.0.1:80"

// withServer runs f with a Server and an HTTP client for it, in virtual time.
func withServer(t *testing.T, f func(t *testing.T, s *Server, h *http.Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		l, err := network.Listen(entryAddr)
		if err != nil {
			t.Fatal(err)
		}
		s := NewServer(Options{Incarnation: 7, MaxBodyBytes: 8 << 20}, blockingAdmission{}, testDirectory{},
			target.NewClient(network.Host("10.0.0.1").Dial, target.Options{}))
		server := &http.Server{Handler: s.Handler()}
		go server.Serve(l)
		transport := &http.Transport{DialContext: network.Host("10.0.0.2").Dial}
		f(t, s, &http.Client{Transport: transport})
		transport.CloseIdleConnections()
		server.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
}

// authorized returns a request with the credentials of a customer.
func authorized[T any](customer string, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+customer)
	return r
}

// outcomeDetail returns the Outcome detail of an error. Without one, the reason is the
// text of the error.
func outcomeDetail(err error) *medlarwindv1.Outcome {
	var failed *connect.Error
	if !errors.As(err, &failed) || len(failed.Details()) == 0 {
		return &medlarwindv1.Outcome{Reason: fmt.Sprint(err)}
	}
	value, _ := failed.Details()[0].Value()
	return value.(*medlarwindv1.Outcome)
}

// The identifiers of one customer must be useless to another: the replies must not
// differ from those to guessed identifiers, or they would reveal which ones exist.
func TestOtherCustomersIDsRevealNothing(t *testing.T) {
	withServer(t, func(t *testing.T, s *Server, h *http.Client) {
		router := medlarwindv1connect.NewRouterServiceClient(h, "http://"+entryAddr)
		ctx := t.Context()
		g, _ := s.newGeneration("mill-a", &medlarwindv1.GenerateRequest{Model: "m", Prompt: "secret"})
		g.answer.tryAppend([]byte("answer of mill-a"))
		issued, err := router.IssueCallID(ctx, authorized("mill-a", &medlarwindv1.IssueCallIDRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		guessed := callID{incarnation: 7, serial: 1, random: 1}.String()
		var replies [2][]string
		for i, ids := range [][2]string{{g.answer.id, issued.Msg.CallId}, {randomHex(16), guessed}} {
			stream, err := router.Attach(ctx, authorized("mill-b", &medlarwindv1.AttachRequest{RequestId: ids[0]}))
			if err == nil && stream.Receive() {
				t.Errorf("received a frame of another customer's answer: %q", stream.Msg().Data)
			}
			_, cancelErr := router.Cancel(ctx, authorized("mill-b", &medlarwindv1.CancelRequest{RequestId: ids[0]}))
			_, callErr := router.Call(ctx, authorized("mill-b", &medlarwindv1.CallRequest{Service: "r", Method: "m", CallId: ids[1]}))
			replies[i] = []string{fmt.Sprint(stream.Err()), fmt.Sprint(cancelErr), fmt.Sprint(callErr)}
		}
		if fmt.Sprint(replies[0]) != fmt.Sprint(replies[1]) {
			t.Errorf("replies to existing ids: %v, to guessed ids: %v; want the same", replies[0], replies[1])
		}
		if g.ctx.Err() != nil {
			t.Error("another customer was able to cancel the request")
		}
		if run, start, _ := s.once.begin(mustParse(t, issued.Msg.CallId), "mill-a", [32]byte{}, time.Now()); !start || run == nil {
			t.Error("another customer was able to use the call id")
		}
		g.stop()
	})
}

func mustParse(t *testing.T, text string) callID {
	id, err := parseCallID(text)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// slowReader is an endless reader that returns one byte per second.
type slowReader struct{}

func (slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	p[0] = ' '
	return 1, nil
}

// A body that is too slow, too large or without valid credentials must be refused in
// bounded time, or it would occupy a connection and memory.
func TestRequestBodyLimits(t *testing.T) {
	tests := map[string]struct {
		customer string
		body     io.Reader
		want     string
	}{
		"bad credentials, endless body": {"nobody", slowReader{}, ReasonCredentials},
		"slow":                          {"mill-a", slowReader{}, ReasonSlowBody},
		"long":                          {"mill-a", bytes.NewReader(make([]byte, 2<<20)), ReasonTooLarge},
		"long, unknown length":          {"mill-a", io.MultiReader(bytes.NewReader(make([]byte, 2<<20))), ReasonTooLarge},
		"malformed":                     {"mill-a", strings.NewReader("{\"model\": "), "invalid_argument"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(t *testing.T, s *Server, h *http.Client) {
				start := time.Now()
				request, _ := http.NewRequest(http.MethodPost, "http://"+entryAddr+medlarwindv1connect.RouterServiceCancelProcedure, test.body)
				request.Header.Set("Authorization", "Bearer "+test.customer)
				request.Header.Set("Content-Type", "application/json")
				response, err := h.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				text, _ := io.ReadAll(response.Body)
				response.Body.Close()
				if !strings.Contains(string(text), test.want) {
					t.Errorf("got %s %s, want %s", response.Status, text, test.want)
				}
				if elapsed := time.Since(start); elapsed > s.options.BodyTimeout+time.Second {
					t.Errorf("request took %s", elapsed)
				}
			})
		})
	}
}

// The bodies of one customer's waiting requests may use at most a quarter of the body
// memory, or a single customer could have all others refused.
func TestBodyMemoryPerCustomer(t *testing.T) {
	withServer(t, func(t *testing.T, _ *Server, h *http.Client) {
		router := medlarwindv1connect.NewRouterServiceClient(h, "http://"+entryAddr)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		refused := make(chan string, 8)
		send := func(customer string) {
			request := &medlarwindv1.GenerateRequest{Model: "m", Prompt: strings.Repeat("a", 1000<<10)}
			stream, err := router.Generate(ctx, authorized(customer, request))
			if err == nil && !stream.Receive() {
				err = stream.Err()
			}
			if ctx.Err() == nil {
				refused <- customer + " " + outcomeDetail(err).Reason
			}
		}
		for range 4 {
			go send("mill-a")
		}
		synctest.Wait()
		go send("mill-b")
		synctest.Wait()
		close(refused)
		var got []string
		for r := range refused {
			got = append(got, r)
		}
		if want := "[mill-a instance_memory mill-a instance_memory]"; fmt.Sprint(got) != want {
			t.Errorf("refused requests: %v, want %s", got, want)
		}
		cancel()
		synctest.Wait()
	})
}

// FuzzCallerRequest sends arbitrary bodies to the handler in each encoding. The handler
// must neither panic nor hang.
func FuzzCallerRequest(f *testing.F) {
	for _, body := range []string{"", "{}", `{"requestId":"x"}`, "\x0a\x01x", "\x00\x00\x00\x00\x02{}", "\x00\xff\xff\xff\xff", "\x01\x00\x00\x00\x00"} {
		for kind := range uint8(4) {
			f.Add(kind, []byte(body))
		}
	}
	s := NewServer(Options{Incarnation: 7}, blockingAdmission{}, testDirectory{}, target.NewClient(nil, target.Options{}))
	f.Cleanup(s.Close)
	handler := s.Handler()
	types := []string{"application/json", "application/proto", "application/grpc", "application/connect+proto"}
	paths := []string{medlarwindv1connect.RouterServiceCancelProcedure, medlarwindv1connect.RouterServiceAttachProcedure}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		for _, path := range paths {
			serveOnce(handler, path, types[int(kind)%len(types)], body)
		}
	})
}

// FuzzCallID checks that parseCallID accepts only the exact text that String returns.
func FuzzCallID(f *testing.F) {
	f.Add(callID{incarnation: 7, serial: 1, random: 1}.String())
	f.Add("")
	f.Add(strings.Repeat("0", 39))
	f.Add(strings.Repeat("V", 39))
	f.Fuzz(func(t *testing.T, text string) {
		if id, err := parseCallID(text); err == nil && id.String() != text {
			t.Errorf("parseCallID(%q) returned the id %q", text, id.String())
		}
	})
}

func serveOnce(handler http.Handler, path, contentType string, body []byte) {
	request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer mill-a")
	request.Header.Set("Content-Type", contentType)
	handler.ServeHTTP(httptest.NewRecorder(), request)
}
