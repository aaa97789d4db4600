package settings

// example is a complete settings file with every key.
const example = `// Settings of one medlarwind instance: JSON with comments.
{
	// Name and location of this instance. All three are required.
	"instance": "tw-north-1",
	"data_centre": "tw-north",
	"region": "taiwan",

	// IP:port each; host names are not resolved. All four are required.
	"caller_addr": "127.0.0.1:7400",
	"peer_addr": "127.0.0.1:7401",
	"operator_addr": "127.0.0.1:7402",
	"platform_addr": "127.0.0.1:7500",

	// The data centres of the fleet; the one of this instance must be among them.
	"data_centres": [
		{"id": "tw-north", "region": "taiwan"},
		{"id": "uy-south", "region": "uruguay"},
	],

	// Keys for connections between instances, as PEM text or file. Required unless
	// peer_addr is a loopback address.
	// "peer_tls": {"cert": "peer.crt", "key": "peer.key", "ca": "peers.crt"},

	// debug, info, warn or error.
	"log_level": "info",

	// How long a caller may cache the addresses that Locate returns.
	"locate_lifetime": "30s",
	// Time between two heartbeats to one peer, and the silence after which the
	// peer counts as unreachable.
	"heartbeat_interval": "500ms",
	"peer_timeout": "2s",
	// Lease times of a permit to start a request and of lent escrow.
	"permit_time": "1s",
	"loan_time": "2s",
	// Maximum wait for started requests when stopping, after locate_lifetime.
	"drain_timeout": "10m",
	// How long the ID of a call that must not be repeated stays valid.
	"call_id_lifetime": "5m",
	// How long a finished answer is kept so that a caller can attach to it.
	"answer_retention": "1m",
	// Silence after which an open connection counts as broken.
	"stream_silence": "10s",

	// How long one watch of the configuration service may wait.
	"config_watch": "10s",
	// Start-up wait for the answers of all peers, and the wait if none answers.
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

// Example returns a complete, commented settings file that Parse accepts. Every
// optional key has its default value.
func Example() string { return example }
