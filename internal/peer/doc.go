// Package peer exchanges the messages of package wire between instances. Messages
// are JSON-RPC 2.0 objects on long-lived TCP connections with mutually authenticated
// TLS 1.3. All messages that one side sends on a connection form one compressed
// stream.
//
// # Connections
//
// Two instances share one connection for both directions. The instance with the
// smaller id dials at once. The other dials after about StandbyDelay without a
// connection, so that a pair also connects if only one side lists the other or only
// one side can reach the other. The side that dialled a connection closes it
// Options.UnlistedGrace after the peer was removed from its list.
//
// If both sides dial, two connections exist for a short time. Each side reads from
// both and sends on the newest; the instance with the smaller id closes the older
// one after half of Options.SilenceTimeout. A hello from a new incarnation closes
// every connection of the previous one. A hello from an incarnation that was already
// replaced is refused.
//
// # Goroutines and ownership
//
//   - Serve, one for each listener, accepts connections. It never blocks on a peer.
//   - Handshake, one for each accepted connection, runs until the peer's hello. At
//     most MaxHandshakes run for addresses of listed peers and as many for all other
//     addresses; further connections are closed at once.
//   - Read, one for each connection (started by jsonrpc2), owns the decompressor,
//     decodes messages and calls the Handler.
//   - Write, one for each connection, owns the compressor and is the only goroutine
//     that writes. It takes messages from the outbox of the connection.
//   - Redial, one for each listed peer, dials whenever no connection exists.
//
// The outbox of a connection is bounded. It holds one heartbeat, which a newer one
// replaces; up to MaxQueuedGrants grants, beyond which SendGrant returns false; and
// up to MaxQueuedControl calls and replies, beyond which a call fails and a peer
// whose calls cause more replies is disconnected. Messages left in an outbox when
// its connection ends are lost.
//
// The mutex of the Transport guards the tables of peers. Each peer has a second mutex
// that orders the calls to the Handler: PeerConnected, then messages, then
// PeerGone. The Send methods do not take it, so a Handler may call them.
package peer
