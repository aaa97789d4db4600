// Package settings parses and checks the settings file of an instance: JSON with
// comments, checked completely before the instance starts.
//
// Apart from the files that Load reads, Parse and Load have no side effects and keep no
// state. A Settings value is not modified afterwards and may be shared.
package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// MaxFileBytes is the maximum length of a settings file, in bytes.
const MaxFileBytes = 256 << 10

// Bytes is an amount of memory in bytes. In the file it is a string with a unit:
// B, KiB, MiB or GiB.
type Bytes int64

// Settings holds the settings of one instance. The json tag of a field is its key in
// the file. The tags min and max give the permitted range. A duration is written as a
// string with a unit, such as "500ms" or "2s".
type Settings struct {
	// Instance is the name under which the platform lists this instance. Required.
	Instance fleet.InstanceID `json:"instance" required:"yes"`
	// DataCentre is the data centre in which the instance runs. It must be one of
	// DataCentres. Required.
	DataCentre fleet.DataCentreID `json:"data_centre" required:"yes"`
	// Region is the region of DataCentre. Required.
	Region fleet.RegionID `json:"region" required:"yes"`

	// CallerAddr is the IP:port to which callers connect. Required.
	CallerAddr string `json:"caller_addr" required:"yes" format:"addr"`
	// PeerAddr is the IP:port to which the other instances connect. Required.
	PeerAddr string `json:"peer_addr" required:"yes" format:"addr"`
	// OperatorAddr is the IP:port that serves metrics and status. Required.
	OperatorAddr string `json:"operator_addr" required:"yes" format:"addr"`
	// PlatformAddr is the IP:port of the platform's list, configuration service
	// and weight store. Required.
	PlatformAddr string `json:"platform_addr" required:"yes" format:"addr"`

	// DataCentres are the data centres of the fleet, with their regions. Required.
	DataCentres []DataCentre `json:"data_centres" required:"yes"`
	// PeerTLS holds the keys for connections between instances. It may be omitted
	// only if PeerAddr is a loopback address.
	PeerTLS *PeerTLS `json:"peer_tls"`

	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level" format:"level"`

	// LocateLifetime is how long a caller may cache an answer of Locate. Default
	// 30 s.
	LocateLifetime time.Duration `json:"locate_lifetime" min:"1s" max:"1h"`
	// HeartbeatInterval is the time between two heartbeats to one peer. Default
	// 500 ms.
	HeartbeatInterval time.Duration `json:"heartbeat_interval" min:"50ms" max:"10s"`
	// PeerTimeout is the silence after which a peer counts as unreachable.
	// Default 2 s.
	PeerTimeout time.Duration `json:"peer_timeout" min:"100ms" max:"1m"`
	// PermitTime is the lease time of a permit to start one request. It must be the same
	// at all instances. Default 1 s.
	PermitTime time.Duration `json:"permit_time" min:"100ms" max:"1m"`
	// LoanTime is the lease time of lent escrow. It must be the same at all instances.
	// Default 2 s.
	LoanTime time.Duration `json:"loan_time" min:"100ms" max:"1m"`
	// DrainTimeout is the maximum time for which a stopping instance waits for
	// started requests, after LocateLifetime. Default 10 min.
	DrainTimeout time.Duration `json:"drain_timeout" min:"0s" max:"24h"`
	// CallIDLifetime is how long the ID of a call that must not be repeated stays
	// valid. Default 5 min.
	CallIDLifetime time.Duration `json:"call_id_lifetime" min:"1s" max:"24h"`
	// AnswerRetention is how long a finished answer is kept so that a caller can
	// attach to it. Default 1 min.
	AnswerRetention time.Duration `json:"answer_retention" min:"0s" max:"1h"`
	// StreamSilence is the silence after which a connection counts as broken.
	// Default 10 s.
	StreamSilence time.Duration `json:"stream_silence" min:"1s" max:"10m"`

	// ConfigWatch is the maximum time of one watch of the configuration service.
	// Default 10 s.
	ConfigWatch time.Duration `json:"config_watch" min:"1s" max:"10m"`
	// ConfigStartWait is how long a new instance waits for the answers of all
	// peers before it accepts the answer of a single settled peer. Default 3 s.
	ConfigStartWait time.Duration `json:"config_start_wait" min:"100ms" max:"1m"`
	// ConfigLoneWait is how long a new instance waits if no settled peer answers. Default
	// 15 s.
	ConfigLoneWait time.Duration `json:"config_lone_wait" min:"100ms" max:"1h"`

	// MemoryLimit is the soft memory limit of the process. Default 224MiB.
	MemoryLimit Bytes `json:"memory_limit" min:"32MiB" max:"64GiB"`
	// MaxQueuedBytes limits the total size of the bodies of waiting requests. Default
	// 64MiB.
	MaxQueuedBytes Bytes `json:"max_queued_bytes" min:"1MiB" max:"32GiB"`
	// MaxAnswerBytes limits the total size of retained answers. Default 32MiB.
	MaxAnswerBytes Bytes `json:"max_answer_bytes" min:"1MiB" max:"32GiB"`
	// MaxQueuedRequests is the maximum number of waiting requests. Default 20000.
	MaxQueuedRequests int `json:"max_queued_requests" min:"1" max:"1000000"`
	// MaxStreams is the maximum number of requests that may run at once through
	// this instance. Default 4096.
	MaxStreams int `json:"max_streams" min:"1" max:"1000000"`
}

// DataCentre is a data centre of the fleet and its region.
type DataCentre struct {
	// ID is the name of the data centre. Required.
	ID fleet.DataCentreID `json:"id" required:"yes"`
	// Region is the region of the data centre. Required.
	Region fleet.RegionID `json:"region" required:"yes"`
}

// PeerTLS holds the keys for connections between instances, each as PEM text or
// as the path of a PEM file, relative to the settings file.
type PeerTLS struct {
	// Cert is this instance's certificate. Required.
	Cert string `json:"cert" required:"yes"`
	// Key is the private key of Cert. Required.
	Key string `json:"key" required:"yes"`
	// CA holds the certificates of the authorities that may issue peers'
	// certificates. Required.
	CA string `json:"ca" required:"yes"`
}

// Defaults returns the default settings. Required fields are left empty.
func Defaults() Settings {
	return Settings{
		LogLevel:          "info",
		LocateLifetime:    30 * time.Second,
		HeartbeatInterval: 500 * time.Millisecond,
		PeerTimeout:       2 * time.Second,
		PermitTime:        time.Second,
		LoanTime:          2 * time.Second,
		DrainTimeout:      10 * time.Minute,
		CallIDLifetime:    5 * time.Minute,
		AnswerRetention:   time.Minute,
		StreamSilence:     10 * time.Second,
		ConfigWatch:       10 * time.Second,
		ConfigStartWait:   3 * time.Second,
		ConfigLoneWait:    15 * time.Second,
		MemoryLimit:       224 << 20,
		MaxQueuedBytes:    64 << 20,
		MaxAnswerBytes:    32 << 20,
		MaxQueuedRequests: 20_000,
		MaxStreams:        4096,
	}
}

// Parse parses and checks settings. The name is the name of the file for error
// messages. If the settings are invalid, Parse returns an *Errors with all errors found.
func Parse(name string, data []byte) (Settings, error) {
	d := &decoder{file: name, data: data, offsets: make(map[string]int)}
	if len(data) > MaxFileBytes {
		d.addError(0, "the file is longer than %d bytes", MaxFileBytes)
		return Settings{}, d.result()
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, syntaxErrors(name, err)
	}
	settings := Defaults()
	d.decode(value, &settings)
	if d.errors == nil {
		d.check(&settings)
	}
	if err := d.result(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Load reads, parses and checks a settings file, and replaces the paths in PeerTLS by
// the PEM text of the files.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	settings, err := Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	if settings.PeerTLS != nil {
		if err := settings.PeerTLS.loadFiles(filepath.Dir(path)); err != nil {
			return Settings{}, errors.Wrapf(err, "%s: peer_tls", path)
		}
	}
	return settings, nil
}
