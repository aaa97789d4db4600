package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/publisher"
	"medlarwind.dev/medlarwind/internal/standin"
)

const (
	reader = "10.0.0.1"
	stale  = "10.0.0.2"
	host   = "10.0.0.9"
	addr   = host + ":80"
)

// testEnv holds two clients of a platform and the network between them. The platform can
// serve outdated data to the second client, stale.
type testEnv struct {
	*testing.T
	net           *memnet.Network
	reader, stale *publisher.Client
}

// withTestEnv serves h as the platform and runs f in virtual time.
func withTestEnv(t *testing.T, h http.Handler, f func(w *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer standin.Serve(l, h)()
		w := &testEnv{T: t, net: n}
		w.reader = publisher.NewClient(addr, n.Host(reader).Dial)
		w.stale = publisher.NewClient(addr, n.Host(stale).Dial)
		defer w.reader.Close()
		defer w.stale.Close()
		f(w)
	})
}

// wantKind checks that err is an *Error of the given kind, or nil for kind 0.
func wantKind(t testing.TB, err error, kind publisher.Kind) {
	t.Helper()
	var e *publisher.Error
	if errors.As(err, &e); (e == nil) != (kind == 0) || (e != nil && e.Kind != kind) {
		t.Errorf("error %v, want %v", err, kind)
	}
}

// TestWatch checks that a watch returns as soon as there is a newer version, or after the
// watch time without one, and that it makes one request.
func TestWatch(t *testing.T) {
	p := newPlatform()
	withTestEnv(t, p, func(w *testEnv) {
		ctx := context.Background()
		p.SetConfig(3, []byte("three"))
		version, text, err := w.reader.Config(ctx, 0)
		if version != 3 || string(text) != "three" || err != nil {
			t.Errorf("version %d, text %q, error %v", version, text, err)
		}
		start := time.Now()
		version, text, err = w.reader.Config(ctx, 3)
		if version != 3 || text != nil || err != nil || time.Since(start) != publisher.DefaultWatchTime {
			t.Errorf("no change: version %d, text %q, error %v after %v", version, text, err, time.Since(start))
		}
		list := fleet.List{Version: 2, Targets: []fleet.ListedTarget{{ID: "t", DataCentre: "d", Addr: addr, State: fleet.StateLive}}}
		p.SetList(fleet.List{Version: 1}, 0)
		p.SetList(list, time.Second)
		start = time.Now()
		got, changed, err := w.reader.WatchList(ctx, 1)
		if got.Version != 2 || len(got.Targets) != 1 || !changed || err != nil || time.Since(start) != time.Second {
			t.Errorf("list %+v, changed %t, error %v after %v", got, changed, err, time.Since(start))
		}
		if p.Reads(publisher.PathConfig) != 2 || p.Reads(publisher.PathList) != 1 {
			t.Errorf("%d reads of the configuration and %d of the list, want 2 and 1", p.Reads(publisher.PathConfig), p.Reads(publisher.PathList))
		}
	})
}

// newPlatform returns a platform with low rate limits.
func newPlatform() *standin.Platform {
	return standin.NewPlatform(standin.PlatformOptions{ReadsPerSecond: 10, WeightsPerMinute: 1})
}

// TestPlatformFaults checks reads from a platform that is stale for one client, goes down or
// becomes unreachable without closing connections, and that the next read succeeds.
func TestPlatformFaults(t *testing.T) {
	p := newPlatform()
	withTestEnv(t, p, func(w *testEnv) {
		ctx := context.Background()
		p.SetConfig(1, []byte("one"))
		p.SetStale(stale)
		p.SetConfig(2, []byte("two"))
		for client, want := range map[*publisher.Client]uint64{w.reader: 2, w.stale: 1} {
			if version, _, err := client.Config(ctx, 0); version != want || err != nil {
				t.Errorf("version %d, error %v, want version %d", version, err, want)
			}
		}
		time.AfterFunc(time.Second, p.ClearStale)
		if version, _, err := w.stale.Config(ctx, 1); version != 2 || err != nil {
			t.Errorf("version %d, error %v, want version 2", version, err)
		}
		time.AfterFunc(time.Second, func() { p.SetDown(true) })
		_, _, err := w.reader.Config(ctx, 2)
		wantKind(t, err, publisher.Unavailable)
		p.SetDown(false)
		time.AfterFunc(time.Second, func() { w.net.Blackhole([]string{reader}, []string{host}) })
		start := time.Now()
		_, _, err = w.reader.Config(ctx, 2)
		wantKind(t, err, publisher.Unavailable)
		if took := time.Since(start); took > 2*publisher.DefaultWatchTime {
			t.Errorf("detected a silent connection after %v", took)
		}
		_, _, err = w.reader.Config(ctx, 0)
		wantKind(t, err, 0)
	})
}

// TestRateLimits checks the error kind of rate-limited reads, and that Weights waits for the
// time that the store requests.
func TestRateLimits(t *testing.T) {
	p := newPlatform()
	withTestEnv(t, p, func(w *testEnv) {
		ctx := context.Background()
		p.SetConfig(1, nil)
		var err error
		for range 11 {
			_, _, err = w.reader.Config(ctx, 0)
		}
		wantKind(t, err, publisher.Limited)
		if p.Refused() != 1 {
			t.Errorf("%d requests refused, want 1", p.Refused())
		}
		p.SetWeights("m", []byte("weights"))
		start := time.Now()
		for range 2 {
			data, err := w.reader.Weights(ctx, "m")
			if string(data) != "weights" || err != nil {
				t.Errorf("data %q, error %v", data, err)
			}
		}
		if took := time.Since(start); took != time.Minute || p.Reads(publisher.PathWeights) != 3 {
			t.Errorf("%d requests in %v, want 3 in one minute", p.Reads(publisher.PathWeights), took)
		}
		time.Sleep(time.Minute)
		_, err = w.reader.Weights(ctx, "other")
		wantKind(t, err, publisher.Missing)
	})
}

// TestMalformedListIsRejected checks that a response that violates the interface or its
// limits is rejected as a whole.
func TestMalformedListIsRejected(t *testing.T) {
	target := `{"id":"t","data_centre":"d","addr":"10.0.0.2:80","state":"live"}`
	tests := []struct {
		name, version, body string
		kind                publisher.Kind
	}{
		{"good", "1", `{"version":1,"targets":[` + target + `]}`, 0},
		{"no version", "", `{}`, publisher.Malformed},
		{"version 0", "0", `{}`, publisher.Malformed},
		{"versions differ", "1", `{"version":2}`, publisher.Malformed},
		{"not JSON", "1", `list`, publisher.Malformed},
		{"listed twice", "1", `{"version":1,"targets":[` + target + `,` + target + `]}`, publisher.Malformed},
		{"unknown state", "1", fmt.Sprintf(`{"version":1,"targets":[%s]}`, strings.Replace(target, "live", "gone", 1)), publisher.Malformed},
		{"no data centre", "1", fmt.Sprintf(`{"version":1,"targets":[%s]}`, strings.Replace(target, `"d"`, `""`, 1)), publisher.Malformed},
		{"bad address", "1", fmt.Sprintf(`{"version":1,"targets":[%s]}`, strings.Replace(target, ":80", "", 1)), publisher.Malformed},
		{"too large", "1", strings.Repeat(" ", publisher.MaxListBytes+1), publisher.Malformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(publisher.HeaderVersion, test.version)
				_, _ = w.Write([]byte(test.body))
			})
			withTestEnv(t, h, func(w *testEnv) {
				_, err := w.reader.List(context.Background())
				wantKind(t, err, test.kind)
			})
		})
	}
}

// TestListIfChanged checks that a list counts as unchanged only if the service reports the
// same version. Otherwise a stale service would confirm a list that it does not hold.
func TestListIfChanged(t *testing.T) {
	tests := []struct {
		name string
		// current is the service's version and known the client's version. named tells
		// whether the service reports its version in a response without a list.
		current uint64
		named   bool
		known   uint64
		// changed is whether the client must get the whole list.
		changed bool
	}{
		{"first read", 5, true, 0, true},
		{"same", 5, true, 5, false},
		{"newer", 6, true, 5, true},
		{"service behind", 4, true, 5, true},
		{"version not reported", 5, false, 5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := standin.NewPlatform(standin.PlatformOptions{})
			p.SetList(fleet.List{Version: test.current}, 0)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !test.named && r.URL.Query().Has(publisher.QueryAfter) {
					w.WriteHeader(http.StatusNoContent)
					return
				}
				p.ServeHTTP(w, r)
			})
			withTestEnv(t, handler, func(w *testEnv) {
				list, changed, err := w.reader.ListIfChanged(context.Background(), test.known)
				if err != nil || changed != test.changed || (changed && list.Version != test.current) {
					t.Errorf("version %d, changed %v, error %v", list.Version, changed, err)
				}
			})
		})
	}
}
