package settings

// example is a whole settings file with every key.
const example = `// Settings of one medlarwind instance: JSON with comments.
{
	// Who and where this instance is. All three are required.
	"instance": "tw-north-1",
	"data_centre": "tw-north",
	"region": "taiwan",

	// IP:port each; host names are not resolved. All four are required.
	"caller_addr": "127.0.0.1:7400",
	"peer_addr": "127.0.0.1:7401",
	"operator_addr": "127.0.0.1:7402",
	"platform_addr": "127.0.0.1:7500",

	// The data centres that this instance knows; its own must be among them.
	"data_centres": [
		{"id": "tw-north", "region": "taiwan"},
		{"id": "uy-south", "region": "uruguay"},
	],

	// Keys between instances, as PEM text or file. Required unless peer_addr is a
	// loopback address.
	// "peer_tls": {"cert": "peer.crt", "key": "peer.key", "ca": "peers.crt"},

	// debug, info, warn or error.
	"log_level": "info",

	// How long a caller may keep the addresses it was given.
	"locate_lifetime": "30s",
	// Time between two heartbeats to one peer, and the silence after which the
	// peer counts as unreachable.
	"heartbeat_interval": "500ms",
	"peer_timeout": "2s",
	// Leases of a permit to start a request and of lent escrow.
	"permit_time": "1s",
	"loan_time": "2s",
	// Longest wait for started requests at a stop, after locate_lifetime.
	"drain_timeout": "10m",
	// How long the identifier of a call that may not be repeated can be used.
	"call_id_lifetime": "5m",
	// How long a finished answer can still be attached to.
	"answer_retention": "1m",
	// Silence after which an open connection counts as broken.
	"stream_silence": "10s",

	// How long one watch of the configuration service may wait.
	"config_watch": "10s",
	// Wait for all peers' answers at the start, and the wait if none answers.
	"config_start_wait": "3s",
	"config_lone_wait": "15s",

	// Limits of memory, of queues and of requests that run at once.
	"memory_limit": "224MiB",
	"max_queued_bytes": "64MiB",
	"max_answer_bytes": "32MiB",
	"max_queued_requests": 20000,
	"max_streams": 4096,
}
`

// Example returns a whole commented settings file that Parse accepts. Every key
// that may be left out has its default value.
func Example() string { return example }
