// Package peer carries the messages of package wire between instances: JSON-RPC
// 2.0 objects, compressed with a history that lasts as long as the connection,
// over mutually authenticated TLS 1.3 on long-lived TCP connections.
//
// # Connections
//
// One connection serves both directions of a pair of instances. Of the two, the
// one with the smaller instance id dials at once; the other dials only when no
// connection has come up for StandbyDelay, so that a pair connects although only
// one side lists the other or only one side can reach the other. Whoever dialled a
// connection drops it, a grace after the peer is no longer listed.
//
// Two connections of one pair can exist for a moment, when both sides dial. Each
// side reads from both and sends on the newest; the instance with the smaller id
// closes the older one after half of Options.Silence. A hello from another
// incarnation closes every connection of the former one, and a hello from an
// incarnation that was replaced before is refused.
//
// # Goroutines and ownership
//
//   - Serve, one for each listener, accepts. It never waits for a peer.
//   - Handshake, one for each accepted connection, until TLS is up. At most
//     MaxHandshakes run for listed peers' addresses and as many for all others; a
//     connection beyond that is closed at once.
//   - Read, one for each connection (started by jsonrpc2), owns the decompressor,
//     decodes messages and calls the Handler.
//   - Write, one for each connection, owns the compressor and is the only one that
//     writes. It takes from the connection's outbox.
//   - Redial, one for each listed peer, dials whenever no connection exists.
//
// The outbox of a connection is bounded: it holds one heartbeat, which a newer
// one replaces, MaxQueuedGrants grants, further ones of which are refused to the
// sender, and MaxQueuedControl calls and replies, beyond which a call is refused
// to the caller and a peer that causes more replies is cut off. What an outbox
// holds when its connection ends is lost.
//
// The Transport's mutex guards the tables of peers. Each peer has a second mutex
// that orders the calls to the Handler: PeerConnected, then messages, then
// PeerGone. It is never held while sending, so a Handler may send.
package peer
