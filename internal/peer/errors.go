package peer

import (
	"fmt"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// Kind classifies an Error. It is also the "reason" in log lines.
type Kind string

// The kinds of errors of this package.
const (
	// KindNotConnected means that no connection to the peer exists.
	KindNotConnected Kind = "not_connected"
	// KindQueueFull means that the outbox has no room for a call or a reply.
	KindQueueFull Kind = "queue_full"
	// KindClosed means that the transport was closed.
	KindClosed Kind = "closed"
	// KindDial means that no TCP connection could be made.
	KindDial Kind = "dial"
	// KindTLS means that the TLS handshake failed.
	KindTLS Kind = "tls"
	// KindIdentity means that a peer named itself otherwise than its certificate.
	KindIdentity Kind = "identity"
	// KindVersion means that a peer speaks another version of the protocol.
	KindVersion Kind = "version"
	// KindSuperseded means that a newer connection or incarnation took over.
	KindSuperseded Kind = "superseded"
	// KindMalformed means that a frame or message could not be decoded.
	KindMalformed Kind = "malformed"
	// KindOversize means that a frame or list exceeds its limit.
	KindOversize Kind = "oversize"
	// KindMethod means that a message is unknown or not allowed at this point.
	KindMethod Kind = "method"
	// KindSilent means that no byte arrived, or none could be sent, in time.
	KindSilent Kind = "silent"
	// KindDisconnected means that the connection ended.
	KindDisconnected Kind = "disconnected"
	// KindRemote means that the peer answered a call with an error.
	KindRemote Kind = "remote"
	// KindUnlisted means that the peer is no longer listed.
	KindUnlisted Kind = "unlisted"
)

// Error is the only error type that this package returns or hands to a Handler.
type Error struct {
	Kind Kind
	// Peer is the instance concerned, empty where it has not yet proved its id.
	Peer  fleet.InstanceID
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Kind)
	if e.Peer != "" {
		text = fmt.Sprintf("peer %q: %s", e.Peer, text)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err, or the empty kind if err is not an Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// withPeer returns err with the peer's id.
func withPeer(err error, id fleet.InstanceID) error {
	var e *Error
	if !errors.As(err, &e) {
		return &Error{Kind: KindDisconnected, Peer: id, Cause: err}
	}
	return &Error{Kind: e.Kind, Peer: id, Cause: e.Cause}
}

// causeOf returns what a log line says besides the kind.
func causeOf(err error) error {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}
	return err
}

func failure(kind Kind, cause error) *Error {
	return &Error{Kind: kind, Cause: cause}
}

func failuref(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Cause: errors.Errorf(format, args...)}
}
