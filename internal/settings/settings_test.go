package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestExample guards against an example that is invalid, misses a key, or shows values
// of optional keys other than the defaults.
func TestExample(t *testing.T) {
	got, err := Parse("example.jsonc", []byte(Example()))
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	want.Instance, want.DataCentre, want.Region = got.Instance, got.DataCentre, got.Region
	want.CallerAddr, want.PeerAddr = got.CallerAddr, got.PeerAddr
	want.OperatorAddr, want.PlatformAddr = got.OperatorAddr, got.PlatformAddr
	got.DataCentres = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("optional values = %+v, want the defaults %+v", got, want)
	}
	for field := range reflect.TypeFor[Settings]().Fields() {
		key := field.Tag.Get("json")
		if !strings.Contains(Example(), `"`+key+`": `) {
			t.Errorf("the example has no key %q", key)
		}
	}
}

// TestReference guards against an operators' reference without a key or with another
// range.
func TestReference(t *testing.T) {
	reference, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for field := range reflect.TypeFor[Settings]().Fields() {
		_, row, found := strings.Cut(string(reference), "| `"+field.Tag.Get("json")+"` |")
		row, _, _ = strings.Cut(row, "\n")
		limits := " | " + field.Tag.Get("min") + " to " + field.Tag.Get("max") + " | "
		if !found || field.Tag.Get("min") != "" && !strings.Contains(row, limits) {
			t.Errorf("the reference has no key %q with range%s", field.Tag.Get("json"), limits)
		}
	}
}

// TestParseErrors changes one part of the example at a time and checks position and text
// of the resulting error.
func TestParseErrors(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"instance": "tw-north-1",`, ``, `f:2:1: instance is missing`},
		{`"platform_addr": "127.0.0.1:7500",`, ``, `f:2:1: platform_addr is missing`},
		{`"log_level"`, `"loglevel"`, `f:25:2: unknown key "loglevel"`},
		{`"region": "uruguay"`, `"region": "uruguay", "zone": 1`, `f:17:43: unknown key "data_centres[1].zone"`},
		{`"500ms"`, `500`, `f:31:24: heartbeat_interval: want a string with a unit such as "500ms"`},
		{`"500ms"`, `"500 parsecs"`, `f:31:24: heartbeat_interval: want a string with a unit`},
		{`"500ms"`, `"1ms"`, `f:31:24: heartbeat_interval: 1ms is out of range: want 50ms to 10s`},
		{`"peer_timeout": "2s"`, `"peer_timeout": "900ms"`, `f:32:18: peer_timeout must be at least two heartbeat intervals`},
		{`"64MiB"`, `"64MB"`, `f:53:22: max_queued_bytes: want a string with the unit B, KiB`},
		{`"64MiB"`, `"4GiB"`, `f:52:18: memory_limit is less than`},
		{`20000`, `"20000"`, `f:55:25: max_queued_requests: want an integer without a unit`},
		{`20000`, `-1`, `f:55:25: max_queued_requests: -1 is out of range: want 1 to 1000000`},
		{`"data_centre": "tw-north"`, `"data_centre": "tw-nroth"`, `f:5:17: data_centre "tw-nroth" is unknown`},
		{`"region": "taiwan",`, `"region": "uruguay",`, `f:6:12: region "uruguay" is not the region of data centre "tw-north", which is "taiwan"`},
		{`"uy-south", "region"`, `"tw-north", "region"`, `f:15:18: data_centres contains "tw-north" twice`},
		{`127.0.0.1:7400`, `router.example:7400`, `f:9:17: caller_addr: want IP:port, found "router.example:7400"`},
		{`127.0.0.1:7400`, `0.0.0.0:7400`, `f:9:17: caller_addr: "0.0.0.0:7400" is an unspecified address`},
		{`127.0.0.1:7402`, `127.0.0.1:0`, `f:11:19: operator_addr: "127.0.0.1:0" has port 0`},
		{`127.0.0.1:7401`, `127.0.0.1:7400`, `f:10:15: peer_addr is the same as caller_addr`},
		{`127.0.0.1:7401`, `192.0.2.1:7401`, `f:10:15: peer_addr is not a loopback address, so peer_tls is required`},
		{`"info"`, `"loud"`, `f:25:15: log_level: want debug, info, warn or error`},
		{`"region": "taiwan",`, `"region": "taiwan", "region": "taiwan",`, `f:6:22: duplicate key "region"`},
		{`"region": "taiwan",`, `"region": taiwan,`, `f:6:12: invalid literal`},
	}
	for _, test := range tests {
		text := strings.Replace(Example(), test.old, test.new, 1)
		_, err := Parse("f", []byte(text))
		var faults *Errors
		if !errors.As(err, &faults) || len(faults.List) != 1 || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%s -> %s:\n got %v\nwant %s", test.old, test.new, err, test.want)
		}
	}
	_, err := Parse("f", []byte(`{"instance": "", "drain_timeout": 5}`))
	if got := strings.Count(err.Error(), "\n") + 1; got != 9 {
		t.Errorf("got %d errors, want 9:\n%v", got, err)
	}
}

// TestLoadReadsKeys guards against PEM files that are not loaded relative to the settings
// file, and against a missing one that is not reported.
func TestLoadReadsKeys(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "settings.jsonc")
	keys := `"peer_tls": {"cert": "a", "key": "b", "ca": "c"}, "log_level"`
	text := strings.Replace(Example(), `"log_level"`, keys, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Load() without key files: error = %v, want os.ErrNotExist", err)
	}
	cert, key := selfSigned(t)
	for name, data := range map[string][]byte{"a": cert, "b": key, "c": cert} {
		if err := os.WriteFile(filepath.Join(directory, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Load(path)
	if err != nil || got.PeerTLS.Cert != string(cert) || got.PeerTLS.CA != string(cert) {
		t.Errorf("Load() = %+v, %v, want the PEM text of the files", got.PeerTLS, err)
	}
	if got.HeartbeatInterval != 500*time.Millisecond {
		t.Errorf("heartbeat interval = %v, want 500ms", got.HeartbeatInterval)
	}
}

// FuzzParse checks that Parse does not panic and that each of its errors is an *Errors.
func FuzzParse(f *testing.F) {
	f.Add([]byte(Example()))
	f.Add([]byte(`{"peer_tls": {}, "data_centres": [{}], "memory_limit": "9223372036854775807GiB"}`))
	f.Add([]byte(`[{"a": 1e400}] // x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f", data)
		var faults *Errors
		if err != nil && (!errors.As(err, &faults) || len(faults.List) == 0) {
			t.Fatalf("Parse() error = %#v, want *Errors", err)
		}
	})
}
